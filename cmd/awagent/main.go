// Command awagent runs beside one backend server, admits requests to it and
// manages its weights.
package main

import (
	"os"

	"arbutuswind/io/awcommand"
)

func main() {
	os.Exit(awcommand.Agent(os.Args[1:], os.Stdout, os.Stderr))
}
