// Command awstandin runs stand-ins of the systems around arbutuswind for tests and the bench.
package main

import (
	"os"

	"arbutuswind/io/awcommand"
)

func main() {
	os.Exit(awcommand.Standin(os.Args[1:], os.Stdout, os.Stderr))
}
