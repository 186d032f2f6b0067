package awoutcome_test

import (
	"fmt"

	"arbutuswind/core/awoutcome"
)

func ExamplePromisesNotRun() {
	for _, status := range []int{200, 408, 421, 429, 500, 502, 503, 504} {
		if awoutcome.PromisesNotRun(status) {
			fmt.Println(status)
		}
	}
	// Output:
	// 408
	// 421
	// 429
	// 503
}
