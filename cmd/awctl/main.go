// Command awctl is the command-line tool for operators.
package main

import (
	"os"

	"arbutuswind/io/awcommand"
)

func main() {
	os.Exit(awcommand.Ctl(os.Args[1:], os.Stdout, os.Stderr))
}
