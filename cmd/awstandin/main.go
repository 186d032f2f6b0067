// Command awstandin runs stand-ins for the systems around arbutuswind, for
// tests and benchmarks.
package main

import (
	"os"

	"arbutuswind/io/awcommand"
)

func main() {
	os.Exit(awcommand.Standin(os.Args[1:], os.Stdout, os.Stderr))
}
