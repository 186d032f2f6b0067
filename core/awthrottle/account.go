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
	// Unreadable reports that a limit was named but could not be read. The response
	// then neither names nor lifts a limit.
	Unreadable bool
}

// ParseSignals returns the signals for the text of a rate limit, a decimal number,
// or for a response without one. A limit that is not a number, negative or infinite
// is unreadable; zero is a limit.
func ParseSignals(limit string) Signals {
	limit = strings.TrimSpace(limit)
	if limit == "" {
		return Signals{}
	}
	rate, err := strconv.ParseFloat(limit, 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return Signals{Unreadable: true}
	}
	return Signals{Limited: true, RateLimit: rate}
}

const (
	// minRate is the lowest rate, in requests per second, that is used for a limit.
	// A backend server that named zero and got no requests at all could never lift
	// its limit.
	minRate = 0.2
	// maxRate is the rate above which a limit is not worth tracking.
	maxRate = 1e4
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

// Observe records the signals in a response to a request. It reports whether the
// limit has changed.
func (a *Account) Observe(s Signals, sent, now time.Time) bool {
	switch {
	case s.Unreadable:
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
