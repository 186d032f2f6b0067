package awdirectory_test

import (
	"fmt"

	"arbutuswind/core/awdirectory"
)

// A version says nothing about the versions of another era.
func ExamplePosition_After() {
	before := awdirectory.Position{Era: 1, Version: 90}
	fmt.Println(awdirectory.Position{Era: 2, Version: 80}.After(before))
	fmt.Println(awdirectory.Position{Era: 1, Version: 91}.After(before))
	fmt.Println(before.After(before))
	// Output:
	// true
	// true
	// false
}
