// Package awclock provides a clock that tests can replace.
//
// The other packages under core do not call time.Now. They take a [Clock] or
// the current time as an argument, so that unit tests and the model-based tests
// control time.
package awclock

import (
	"sync"
	"time"
)

// Clock provides the current time.
type Clock interface {
	// Now returns the current time with a monotonic reading, so that differences
	// between two results do not depend on changes of the wall clock.
	Now() time.Time
}

// System is the clock of the operating system.
type System struct{}

// Now implements [Clock].
func (System) Now() time.Time { return time.Now() }

// Fake is a clock that only [Fake.Advance] moves. It is safe for concurrent use.
type Fake struct {
	mu  sync.Mutex
	now time.Time
}

// NewFake returns a clock set to start.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

// Now implements [Clock].
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the clock forward by d.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}
