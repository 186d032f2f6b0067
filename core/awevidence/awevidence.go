// Package awevidence bounds the age of the evidence for an act.
//
// What an observation shows holds for the time at which it began. The observed
// state may change before the observation ends, and a process may be paused
// between the observation and the act that relies on it. The age of the evidence
// is therefore counted from the beginning, and checked immediately before the act.
package awevidence

import "time"

// Observation is evidence for an act.
type Observation struct {
	// Began is the time before the first part of the state was read, by a clock that
	// also counts the time for which the machine is suspended.
	Began time.Time
}

// Supports reports whether an act at the given time may rely on the observation.
// maxAge is the time for which the observed state may have been different since.
func (o Observation) Supports(now time.Time, maxAge time.Duration) bool {
	return !o.Began.IsZero() && now.Sub(o.Began) <= maxAge
}
