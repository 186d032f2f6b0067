package awthrottle

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Signals is what a backend server says about itself in a response, beside the
// response to the request.
type Signals struct {
	// Limited reports that the backend server names a rate limit.
	Limited bool
	// RateLimit is the number of requests per second that the backend server takes
	// from all entries together.
	RateLimit float64
	// LimitUnreadable reports that a limit was named but could not be read. The
	// response then neither names nor lifts a limit.
	LimitUnreadable bool
	Leaving         bool          // the backend server will stop
	Pause           time.Duration // time for which it takes no requests from this entry; 0 if it does not say
}

// Texts holds the values of the headers of a response that make up [Signals]. If a
// header was sent more than once, it holds the first value.
type Texts struct {
	RateLimit  string
	Leaving    string
	RetryAfter string // of a response that turns the request away, empty for others
}

// Parse returns the signals. A limit that is not a number, negative or infinite is
// unreadable; zero is a limit. Only "1" means that the server is leaving. A pause
// is a number of seconds of at most maxPause; dates, negative numbers and other
// texts are no pause.
func (x Texts) Parse() Signals {
	s := Signals{Leaving: strings.TrimSpace(x.Leaving) == "1"}
	if limit := strings.TrimSpace(x.RateLimit); limit != "" {
		rate, err := strconv.ParseFloat(limit, 64)
		s.Limited = err == nil && !math.IsInf(rate, 0) && rate >= 0
		s.LimitUnreadable = !s.Limited
		if s.Limited {
			s.RateLimit = rate
		}
	}
	if seconds, err := strconv.ParseFloat(strings.TrimSpace(x.RetryAfter), 64); err == nil && seconds > 0 {
		s.Pause = time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
	}
	return s
}

const (
	// minRate is the lowest rate, in requests per second, that is used for a limit.
	// A backend server that named zero and got no requests at all could never lift
	// its limit.
	minRate = 0.2
	// maxRate is the rate above which a limit is not worth tracking.
	maxRate = 1e4
	// maxPause is the longest pause that is kept. It only keeps a number that is no
	// time from overflowing.
	maxPause = 24 * time.Hour
)

// Account holds what one incarnation of a backend server has said about itself.
// The zero value is the account of one that has said nothing.
type Account struct {
	Rate float64 // in the response that named a limit last, requests per second
	// NamedAt is when the last response that names a limit arrived, and LiftedAt
	// when the last request was sent whose response names none. Responses may
	// overtake each other, so a limit is lifted only by a response to a request that
	// was sent after the limit was known.
	NamedAt, LiftedAt time.Time
	// Leaving is whether the server has said that it is leaving, which an incarnation
	// does not take back. PausedUntil is until when it gets no requests because it asked
	// for a pause, which concerns this entry only.
	Leaving     bool
	PausedUntil time.Time
}

// WithRate returns the account with a rate in requests per second. Rates that are no
// usable limit are replaced by the nearest one.
func (a Account) WithRate(rate float64) Account {
	if a.Rate = minRate; rate > minRate { // false also if it is not a number
		a.Rate = min(maxRate, rate)
	}
	return a
}

// Limit returns the rate limit in requests per second, and whether there is one.
func (a *Account) Limit() (float64, bool) {
	return a.Rate, !a.NamedAt.IsZero() && !a.LiftedAt.After(a.NamedAt)
}

// Change is a set of what has changed in an account.
type Change struct{ Limit, Leaving, Pause bool }

// Observe records the signals in a response to a request.
func (a *Account) Observe(s Signals, sent, now time.Time) Change {
	c := Change{Limit: a.observeLimit(s, sent, now)}
	if s.Leaving {
		c.Leaving = !a.Leaving
		a.Leaving = true
	}
	if until := now.Add(s.Pause); s.Pause > 0 && until.After(a.PausedUntil) {
		c.Pause = !now.Before(a.PausedUntil)
		a.PausedUntil = until
	}
	return c
}

func (a *Account) observeLimit(s Signals, sent, now time.Time) bool {
	switch {
	case s.LimitUnreadable:
		return false
	case s.Limited && s.RateLimit <= maxRate:
		return a.merge(Account{NamedAt: now}.WithRate(s.RateLimit))
	}
	return a.merge(Account{LiftedAt: sent})
}

// mergeTolerance is the time by which what another entry says must be newer. Times
// are sent as ages, so each exchange makes them appear later by a network delay.
const mergeTolerance = 50 * time.Millisecond

// mergeRemote adds what another entry knows. It reports whether the limit has
// changed.
func (a *Account) mergeRemote(b Account) bool {
	if !b.NamedAt.After(a.NamedAt.Add(mergeTolerance)) {
		b.NamedAt = time.Time{}
	}
	if !b.LiftedAt.After(a.LiftedAt.Add(mergeTolerance)) {
		b.LiftedAt = time.Time{}
	}
	return a.merge(b)
}

// merge adds what another account of the same incarnation holds. It reports
// whether the limit has changed.
func (a *Account) merge(b Account) bool {
	rate, limited := a.Limit()
	if b.NamedAt.After(a.NamedAt) {
		a.Rate, a.NamedAt = b.Rate, b.NamedAt
	}
	if b.LiftedAt.After(a.LiftedAt) {
		a.LiftedAt = b.LiftedAt
	}
	newRate, nowLimited := a.Limit()
	return limited != nowLimited || (nowLimited && rate != newRate)
}
