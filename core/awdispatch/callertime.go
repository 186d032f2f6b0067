package awdispatch

import (
	"slices"
	"time"
)

const (
	// timeoutWindow is the time for which a timeout of a caller is remembered. The
	// longest one is remembered for up to twice as long.
	timeoutWindow = 10 * time.Second
	// maxTimeoutSamples limits the timeouts that are remembered for a route.
	maxTimeoutSamples = 512
	// returnLimitPeriod is the time between two estimates of a route's return limit.
	returnLimitPeriod = 100 * time.Millisecond
)

// CallerTimeouts tells callers that come back after a refusal from those that come
// for the first time, and estimates how long the former have waited.
//
// Callers send the time that they have left. Those of first attempts differ, so a
// time below the longest one does not show that a caller has come before. A caller
// that was refused here has less time left when it comes back, at this entry or
// another, by the time that it has spent; those refused elsewhere come here in turn.
// The times expected of the refused thus show which of the times seen are of callers
// that come back: up to the return limit, where they are more than half.
//
// Timeouts are forgotten, so that one caller with a huge timeout does not make those
// of all later callers count as late. It is not safe for concurrent use.
type CallerTimeouts struct {
	routes map[string]*routeTimeouts
}

// routeTimeouts holds the timeouts of callers on one route.
type routeTimeouts struct {
	began         time.Time
	current, last time.Duration   // longest ones of this window and the one before
	seen          []timeoutSample // of requests
	expected      []timeoutSample // of refused callers when they come back
	returnLimit   time.Duration   // callers with no more time than this have come before
	estimatedAt   time.Time       // time of the estimate of returnLimit
}

type timeoutSample struct {
	at      time.Time
	timeout time.Duration
}

// NewCallerTimeouts returns an estimator that has seen no timeouts.
func NewCallerTimeouts() *CallerTimeouts {
	return &CallerTimeouts{routes: map[string]*routeTimeouts{}}
}

// PriorWait records the timeout of a request on a route and returns how long its
// caller has waited in earlier attempts. It is 0 if the caller has sent none or has
// not come before.
func (c *CallerTimeouts) PriorWait(route string, timeout time.Duration, now time.Time) time.Duration {
	if timeout <= 0 {
		return 0
	}
	r := c.route(route, now)
	if age := now.Sub(r.began); age >= timeoutWindow {
		r.last, r.current, r.began = r.current, 0, now
		if age >= 2*timeoutWindow {
			r.last = 0
		}
	}
	r.current = max(r.current, timeout)
	r.seen = appendSample(r.seen, timeoutSample{now, timeout})
	if now.Sub(r.estimatedAt) >= returnLimitPeriod {
		r.seen, r.expected = dropOldSamples(r.seen, now), dropOldSamples(r.expected, now)
		r.returnLimit, r.estimatedAt = returnLimit(r.seen, r.expected), now
	}
	if timeout > r.returnLimit {
		return 0
	}
	return max(r.current, r.last) - timeout
}

// Refused records that a caller on a route was refused, and the time that it will
// have left when it comes back.
func (c *CallerTimeouts) Refused(route string, left time.Duration, now time.Time) {
	if left > 0 {
		r := c.route(route, now)
		r.expected = appendSample(r.expected, timeoutSample{now, left})
	}
}

func (c *CallerTimeouts) route(name string, now time.Time) *routeTimeouts {
	r := c.routes[name]
	if r == nil {
		r = &routeTimeouts{began: now}
		c.routes[name] = r
	}
	return r
}

func appendSample(list []timeoutSample, s timeoutSample) []timeoutSample {
	if len(list) == maxTimeoutSamples {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, s)
}

func dropOldSamples(list []timeoutSample, now time.Time) []timeoutSample {
	return slices.DeleteFunc(list, func(s timeoutSample) bool { return now.Sub(s.at) >= timeoutWindow })
}

// returnLimit returns the timeout up to which callers have come before, so that the
// fewest callers are mistaken: among those with less time, the expected ones must
// outnumber the others by the most. It is 0 if they never do.
func returnLimit(seen, expected []timeoutSample) time.Duration {
	s, e := sortedTimeouts(seen), sortedTimeouts(expected)
	limit, best, n := time.Duration(0), 0, 0
	for i, timeout := range e {
		for n < len(s) && s[n] <= timeout {
			n++
		}
		if margin := 2*(i+1) - n; margin > best {
			limit, best = timeout, margin
		}
	}
	return limit
}

func sortedTimeouts(list []timeoutSample) []time.Duration {
	out := make([]time.Duration, len(list))
	for i, s := range list {
		out[i] = s.timeout
	}
	slices.Sort(out)
	return out
}
