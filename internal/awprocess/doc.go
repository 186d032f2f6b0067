// Package awprocess holds integration tests that run the real programs as
// separate processes.
//
// The programs are built once. Each test starts them on the loopback interface
// together with a simulated platform and usually injects one failure. Tests
// wait for the expected state instead of a fixed time; the only time limit ends
// a test that hangs.
package awprocess
