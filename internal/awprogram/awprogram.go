// Package awprogram builds the programs for tests that run them as processes.
package awprogram

import (
	"fmt"
	"os"
	"os/exec"
)

// Run builds packages into a temporary folder, hands the folder to use, runs
// the tests and returns their exit code. It removes the folder.
func Run(tests interface{ Run() int }, use func(dir string), packages ...string) int {
	dir, err := os.MkdirTemp("", "awprogram-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }() // a leftover in the temporary folder does no harm
	build := exec.Command("go", append([]string{"build", "-o", dir}, packages...)...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	use(dir)
	return tests.Run()
}
