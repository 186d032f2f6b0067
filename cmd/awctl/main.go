// Command awctl is the operators' command line.
package main

import (
	"os"

	"arbutuswind/io/awcommand"
)

func main() {
	os.Exit(awcommand.Ctl(os.Args[1:], os.Stdout, os.Stderr))
}
