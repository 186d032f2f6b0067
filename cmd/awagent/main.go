// Command awagent runs beside one backend server, protects it and holds its weights.
package main

import (
	"os"

	"arbutuswind/io/awcommand"
)

func main() {
	os.Exit(awcommand.Agent(os.Args[1:], os.Stdout, os.Stderr))
}
