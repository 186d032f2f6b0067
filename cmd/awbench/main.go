// Command awbench is described in docs/design.md.
package main

import (
	"os"

	"arbutuswind/io/awcommand"
)

func main() {
	os.Exit(awcommand.Bench(os.Args[1:], os.Stdout, os.Stderr))
}
