// Command awloader loads the weights of the desired versions into the model
// engine on its instance.
package main

import (
	"os"

	"arbutuswind/io/awcommand"
)

func main() {
	os.Exit(awcommand.Loader(os.Args[1:], os.Stdout, os.Stderr))
}
