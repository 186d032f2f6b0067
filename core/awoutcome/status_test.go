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

func ExampleIsFinalStatus() {
	for _, status := range []int{0, 103, 200, 599, 600} {
		fmt.Println(status, awoutcome.IsFinalStatus(status))
	}
	// Output:
	// 0 false
	// 103 false
	// 200 true
	// 599 true
	// 600 false
}
