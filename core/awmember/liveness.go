package awmember

import "time"

// SilentPeriods is the number of heartbeat periods after which a link is suspect
// if it has not been shown to work in both directions.
const SilentPeriods = 3

// Liveness tracks whether one Watch stream works in both directions. It is not
// safe for concurrent use.
type Liveness struct {
	period     time.Duration
	opened     time.Time
	sent       uint64    // last counter sent
	received   uint64    // highest counter received
	echoed     uint64    // highest own counter echoed by the other side
	receivedAt time.Time // when received last increased
	echoedAt   time.Time // when echoed last increased
}

// NewLiveness returns the state of a stream that was opened at now. period is the
// heartbeat period.
func NewLiveness(period time.Duration, now time.Time) *Liveness {
	return &Liveness{period: period, opened: now}
}

// Next returns the counter and the echo for the next message to send.
func (l *Liveness) Next() (counter, echo uint64) {
	l.sent++
	return l.sent, l.received
}

// Received records the counter and the echo of a received message. Values that do
// not increase are ignored, because a link may repeat old messages.
func (l *Liveness) Received(counter, echo uint64, now time.Time) {
	if counter > l.received {
		l.received, l.receivedAt = counter, now
	}
	if echo > l.echoed && echo <= l.sent {
		l.echoed, l.echoedAt = echo, now
	}
}

// Alive reports whether both counters have increased within [SilentPeriods]. A
// stream is not alive before its first echo.
func (l *Liveness) Alive(now time.Time) bool {
	limit := SilentPeriods * l.period
	return l.echoed > 0 && now.Sub(l.receivedAt) <= limit && now.Sub(l.echoedAt) <= limit
}

// Lost reports whether the stream has been open for more than [SilentPeriods] and
// is not alive, so that it should be reopened.
func (l *Liveness) Lost(now time.Time) bool {
	return now.Sub(l.opened) > SilentPeriods*l.period && !l.Alive(now)
}
