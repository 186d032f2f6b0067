package awduty

import (
	"slices"
	"time"
)

const (
	// clockAge is the age up to which the clock of another instance is used.
	clockAge = 5 * time.Second
	// clockTolerance is the deviation up to which the estimate is kept. Messages
	// between regions take tens of milliseconds, and a window that is shifted by this
	// much has the same requests within 2%.
	clockTolerance = 100 * time.Millisecond
	// minClocks is the number of clocks of which the median counts. Two that
	// disagree do not tell which is right.
	minClocks = 3
	// correctionAfter is how long the other clocks must differ from the estimate
	// until it follows. A step of the own wall clock does not change the estimate, so
	// there is no hurry, and messages may be held up for some time, also while this
	// process is paused.
	correctionAfter = 5 * time.Second
	// maxRoundTrip is the longest round trip of a reply whose clock is used.
	maxRoundTrip = 250 * time.Millisecond
)

// Clock estimates true time on the clock of the machine. The wall clock of any
// instance may be stepped; the median of all is taken as true. Until others are
// known, the wall clock at the start is.
type Clock struct {
	offset    time.Duration // true time minus the machine's clock
	own       time.Duration // the wall clock minus the machine's clock
	started   time.Duration
	settling  time.Duration // after the start, in which others are waited for
	confirmed bool
	offSince  time.Duration          // since when they have differed from the estimate; 0 if they do not
	raw       map[string]clockSample // wall clocks of other instances
	medians   map[string]clockSample // medians that other instances have found
}

type clockSample struct {
	at      time.Duration
	offset  time.Duration
	sources int
}

// NewClock returns a clock that begins with the wall time, since 1970.
func NewClock(now, wall, settling time.Duration) *Clock {
	return &Clock{offset: wall - now, own: wall - now, started: now, settling: settling, raw: map[string]clockSample{}, medians: map[string]clockSample{}}
}

// Now returns the estimate of true time since 1970.
func (c *Clock) Now(now time.Duration) time.Duration { return now + c.offset }

// Confirmed reports whether the estimate does not depend on the instance's own
// wall clock, or there are no others to compare it with.
func (c *Clock) Confirmed() bool { return c.confirmed }

// ObserveWall records the wall clock of another instance.
func (c *Clock) ObserveWall(peer string, now, wall time.Duration) {
	c.raw[peer] = clockSample{at: now, offset: wall - now, sources: 1}
}

// ObserveMedian records the median that another instance has found from the wall
// clocks of a number of instances.
func (c *Clock) ObserveMedian(peer string, now, median time.Duration, sources int) {
	if sources >= minClocks {
		c.medians[peer] = clockSample{at: now, offset: median - now, sources: sources}
	}
}

// Median returns the median of the wall clocks that are known and their number.
func (c *Clock) Median(now time.Duration) (wall time.Duration, sources int) {
	offsets := c.fresh(now, c.raw)
	offsets = append(offsets, c.own)
	return now + c.median(offsets), len(offsets)
}

// Update records the instance's wall clock and corrects the estimate. It returns
// the correction, 0 if there is none.
func (c *Clock) Update(now, wall time.Duration) time.Duration {
	c.own = wall - now
	median, sources := c.Median(now)
	estimate, ok := median-now, sources >= minClocks
	best := 0
	for _, s := range c.medians {
		best = max(best, s.sources)
	}
	if others := c.fresh(now, c.medians); len(others) > 0 && best > sources {
		estimate, ok = c.median(others), true
	}
	if !ok {
		c.confirmed = c.confirmed || now-c.started >= c.settling
		c.offSince = 0
		return 0
	}
	correction := estimate - c.offset
	switch {
	case correction.Abs() <= clockTolerance:
		c.confirmed, c.offSince = true, 0
		return 0
	case c.confirmed && c.offSince == 0:
		c.offSince = now
		return 0
	case c.confirmed && now-c.offSince < correctionAfter:
		return 0
	}
	c.confirmed, c.offSince, c.offset = true, 0, estimate
	return correction
}

// fresh returns the offsets of recent samples and removes the others.
func (c *Clock) fresh(now time.Duration, samples map[string]clockSample) []time.Duration {
	offsets := make([]time.Duration, 0, len(samples)+1)
	for peer, s := range samples {
		if now-s.at > clockAge {
			delete(samples, peer)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	return offsets
}

// median returns the median of offsets. Of two in the middle, it returns the one
// that is closer to the present estimate.
func (c *Clock) median(offsets []time.Duration) time.Duration {
	slices.Sort(offsets)
	n := len(offsets)
	low, high := offsets[(n-1)/2], offsets[n/2]
	if (low - c.offset).Abs() <= (high - c.offset).Abs() {
		return low
	}
	return high
}
