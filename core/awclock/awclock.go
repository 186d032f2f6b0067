// Package awclock gives decision code its notion of time.
//
// Packages below core never call time.Now; they take a Clock, so that tests
// and the state machine of the fuzzer control time.
package awclock

import (
	"sync"
	"time"
)

// Clock tells the time.
type Clock interface {
	// Now returns the current time. Differences of two results are monotonic.
	Now() time.Time
}

// System is the machine's clock.
type System struct{}

// Now implements [Clock].
func (System) Now() time.Time { return time.Now() }

// Fake is a clock that moves only when told to. It is safe for concurrent use.
type Fake struct {
	mu  sync.Mutex
	now time.Time
}

// NewFake returns a clock that stands at start.
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
