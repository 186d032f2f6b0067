// Command awentry accepts callers' requests and routes them to agents.
package main

import (
	"os"

	"arbutuswind/io/awcommand"
)

func main() {
	os.Exit(awcommand.Entry(os.Args[1:], os.Stdout, os.Stderr))
}
