// Command awgateway serves callers from backend servers that a platform's
// store lists.
package main

import (
	"os"

	"arbutuswind/io/awcommand"
)

func main() {
	os.Exit(awcommand.Gateway(os.Args[1:], os.Stdout, os.Stderr))
}
