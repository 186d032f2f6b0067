// Command awstandin is described in docs/design.md.
package main

import (
	"os"

	"arbutuswind/io/awcommand"
)

func main() {
	os.Exit(awcommand.Standin(os.Args[1:], os.Stdout, os.Stderr))
}
