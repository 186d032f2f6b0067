// Command awgateway routes callers' requests to the backend servers listed in
// a platform's store.
package main

import (
	"os"

	"arbutuswind/io/awcommand"
)

func main() {
	os.Exit(awcommand.Gateway(os.Args[1:], os.Stdout, os.Stderr))
}
