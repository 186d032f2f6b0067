package awmember

import "time"

// SilentPeriods is the number of heartbeat periods without proof of both
// directions after which a link is suspect.
const SilentPeriods = 3

// Liveness judges one Watch stream. It is not safe for concurrent use.
type Liveness struct {
	period  time.Duration
	opened  time.Time
	sent    uint64    // last counter sent
	got     uint64    // highest counter received
	echoed  uint64    // highest own counter that came back
	heardAt time.Time // last time got advanced
	echoAt  time.Time // last time echoed advanced
}

// NewLiveness returns the state of a stream opened now.
func NewLiveness(period time.Duration, now time.Time) *Liveness {
	return &Liveness{period: period, opened: now}
}

// Next returns the counter and the echo of the next message to send.
func (l *Liveness) Next() (counter, echo uint64) {
	l.sent++
	return l.sent, l.got
}

// Received takes a message. Messages that do not advance a counter prove
// nothing, because a link may repeat old ones.
func (l *Liveness) Received(counter, echo uint64, now time.Time) {
	if counter > l.got {
		l.got, l.heardAt = counter, now
	}
	if echo > l.echoed && echo <= l.sent {
		l.echoed, l.echoAt = echo, now
	}
}

// Alive reports whether both directions have advanced within SilentPeriods. A
// stream is not alive before its first echo.
func (l *Liveness) Alive(now time.Time) bool {
	limit := SilentPeriods * l.period
	return l.echoed > 0 && now.Sub(l.heardAt) <= limit && now.Sub(l.echoAt) <= limit
}

// Lost reports whether the stream has shown no life for SilentPeriods and
// should be opened again.
func (l *Liveness) Lost(now time.Time) bool {
	return now.Sub(l.opened) > SilentPeriods*l.period && !l.Alive(now)
}
