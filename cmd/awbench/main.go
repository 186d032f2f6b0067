// Command awbench runs experiments with real processes and prints one JSON line
// per result.
package main

import (
	"os"

	"arbutuswind/io/awcommand"
)

func main() {
	os.Exit(awcommand.Bench(os.Args[1:], os.Stdout, os.Stderr))
}
