// Package awprocess holds integration tests between real processes.
//
// The tests build the programs once, start them on loopback with the
// platform's stand-in and bring about one failure each. A verdict is a state
// that was reached; the only time limit is the one that ends a hanging test.
package awprocess
