package awdispatch

import "time"

// timeoutWindow is the time for which a timeout of a caller is remembered, and up
// to twice as long.
const timeoutWindow = 10 * time.Second

// CallerTimeouts estimates how long callers have waited in earlier attempts.
// Callers send the time that they have left; the difference from the longest
// timeout seen lately on the same route is the time they have spent. Timeouts are
// forgotten, so that one caller with a huge timeout does not make those of all
// later callers count as late. It is not safe for concurrent use.
type CallerTimeouts struct {
	routes map[string]*longestTimeout
}

// longestTimeout holds the longest timeouts of this window and the one before.
type longestTimeout struct {
	began         time.Time
	current, last time.Duration
}

// NewCallerTimeouts returns an estimator that has seen no timeouts.
func NewCallerTimeouts() *CallerTimeouts {
	return &CallerTimeouts{routes: map[string]*longestTimeout{}}
}

// PriorWait records the timeout of a request on a route and returns how long its
// caller has waited in earlier attempts. It is 0 if the caller has sent none.
func (c *CallerTimeouts) PriorWait(route string, timeout time.Duration, now time.Time) time.Duration {
	if timeout <= 0 {
		return 0
	}
	l := c.routes[route]
	if l == nil {
		l = &longestTimeout{began: now}
		c.routes[route] = l
	}
	if age := now.Sub(l.began); age >= timeoutWindow {
		l.last, l.current, l.began = l.current, 0, now
		if age >= 2*timeoutWindow {
			l.last = 0
		}
	}
	l.current = max(l.current, timeout)
	return max(l.current, l.last) - timeout
}
