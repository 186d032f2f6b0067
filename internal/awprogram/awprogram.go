// Package awprogram builds programs for tests that run them as processes.
package awprogram

import (
	"fmt"
	"os"
	"os/exec"
)

// Run builds packages into a temporary directory, passes its path to setDir,
// runs the tests and returns their exit code, or 1 if the build fails. It
// removes the directory.
func Run(tests interface{ Run() int }, setDir func(dir string), packages ...string) int {
	dir, err := os.MkdirTemp("", "awprogram-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }() // a leftover temporary directory does no harm
	build := exec.Command("go", append([]string{"build", "-o", dir}, packages...)...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	setDir(dir)
	return tests.Run()
}
