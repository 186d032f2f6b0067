package awduty

import (
	"maps"
	"math"
	"time"
)

// countedWindows is the number of windows, with the present one, of which an
// instance keeps and sends its counts.
const countedWindows = 4

// maxEarly limits the counts that wait for the clock to be confirmed.
const maxEarly = 8192

// Counts holds numbers of requests by team.
type Counts map[string]int64

// Total returns the number of requests of all teams.
func (c Counts) Total() int64 {
	var n int64
	for _, v := range c {
		n += v
	}
	return n
}

// WindowCounts is what one instance has counted in a window, or a part of that.
type WindowCounts struct {
	Window int64
	Final  bool  // the window has ended
	Total  int64 // over all teams, also those that are in other parts
	Counts Counts
}

// counter counts the requests of one instance by window.
type counter struct {
	window  time.Duration
	first   int64 // window in which counting began; valid once started
	started bool
	begun   time.Duration
	windows map[int64]Counts
	early   []earlyCount // counted before the clock was confirmed
}

type earlyCount struct {
	at   time.Duration
	team string
	n    int64
}

func newCounter(window, now time.Duration) *counter {
	return &counter{window: window, begun: now, windows: map[int64]Counts{}}
}

// add counts n requests of a team.
func (c *counter) add(clock *Clock, now time.Duration, team string, n int64) {
	if !c.started && len(c.early) < maxEarly {
		c.early = append(c.early, earlyCount{now, team, n})
		return
	}
	c.count(windowAt(clock.Now(now), c.window), team, n)
}

func (c *counter) count(window int64, team string, n int64) {
	counts := c.windows[window]
	if counts == nil {
		counts = Counts{}
		c.windows[window] = counts
	}
	counts[team] += n
}

// start assigns the requests that were counted before the clock was confirmed. It
// reports whether counting by window has begun now.
func (c *counter) start(clock *Clock) bool {
	if c.started || !clock.Confirmed() {
		return false
	}
	c.started, c.first = true, windowAt(clock.Now(c.begun), c.window)
	for _, e := range c.early {
		c.count(windowAt(clock.Now(e.at), c.window), e.team, e.n)
	}
	c.early = nil
	return true
}

// setBack moves the counts after the estimate of true time was corrected by a
// negative time at now. Those that ran in windows that now lie ahead would be
// reported together with what runs in them later.
func (c *counter) setBack(clock *Clock, now, by time.Duration) {
	if !c.started {
		return
	}
	present, began := clock.Now(now), clock.Now(c.begun)
	c.first = min(c.first, windowAt(began, c.window))
	before := c.windows
	c.windows = map[int64]Counts{}
	for id, counts := range before {
		from := max(windowEnd(id-1, c.window)+by, began)
		to := max(min(windowEnd(id, c.window)+by, present), from)
		first, last := windowAt(from, c.window), windowAt(to, c.window)
		share := 1.0 // of the requests, taken as even, that ran in the first of the two windows
		if last > first {
			share = float64(windowEnd(first, c.window)-from) / float64(to-from)
		}
		for team, n := range counts {
			early := int64(math.Round(share * float64(n)))
			c.count(first, team, early)
			if n > early {
				c.count(last, team, n-early)
			}
		}
	}
}

// recent returns the counts of the last windows after the given one, the present one
// included.
func (c *counter) recent(clock *Clock, now time.Duration, after int64) []WindowCounts {
	if !c.started {
		return nil
	}
	current := windowAt(clock.Now(now), c.window)
	for id := range c.windows {
		if id <= current-countedWindows {
			delete(c.windows, id)
		}
	}
	var out []WindowCounts
	for id := max(c.first, after+1, current-countedWindows+1); id <= current; id++ {
		counts := maps.Clone(c.windows[id])
		out = append(out, WindowCounts{Window: id, Final: id < current, Total: counts.Total(), Counts: counts})
	}
	return out
}

// windowAt returns the window of a time since 1970.
func windowAt(wall, window time.Duration) int64 { return int64(wall / window) }

// windowEnd returns the end of a window, since 1970.
func windowEnd(id int64, window time.Duration) time.Duration { return time.Duration(id+1) * window }
