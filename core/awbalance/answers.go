package awbalance

import "time"

const (
	// answerMaxAge is the age from which the last answer of a backend server says
	// nothing about it. Slow spans last 600 ms.
	answerMaxAge = 1200 * time.Millisecond
	// A backend server counts as slow from slowFrom times the usual duration, until
	// its answers are below slowUntil times.
	slowFrom  = 1.8
	slowUntil = 1.3
	// maxSlow limits the effect of a single answer.
	maxSlow = 4
	// usualSmoothing is the divisor of the moving average of the durations of answers.
	usualSmoothing = 32
)

// Usual holds the usual duration of answers by kind, over all servers of a service.
// The zero value is ready to use. It is not safe for concurrent use.
type Usual struct {
	seconds map[string]float64
}

// Ratio records the duration of an answer and returns it as a multiple of the usual
// one of its kind.
func (u *Usual) Ratio(kind string, took time.Duration) float64 {
	if u.seconds == nil {
		u.seconds = map[string]float64{}
	}
	usual, known := u.seconds[kind]
	if !known || usual <= 0 {
		u.seconds[kind] = took.Seconds()
		return 1
	}
	ratio := min(maxSlow, took.Seconds()/usual)
	// Limiting the ratio keeps a few very late answers from raising what is usual.
	u.seconds[kind] = usual * (1 + (ratio-1)/usualSmoothing)
	return ratio
}

// Answers is how one backend server has answered lately. The zero value is that of a
// server of which nothing is known. It is not safe for concurrent use.
type Answers struct {
	ratio float64   // moving average of the durations as multiples of the usual one
	at    time.Time // of the last answer
	slow  bool
}

// Add records an answer. See [Usual.Ratio].
func (a *Answers) Add(ratio float64, now time.Time) {
	if a.at.IsZero() || now.Sub(a.at) >= answerMaxAge {
		a.ratio, a.slow = ratio, false
	} else {
		a.ratio += (ratio - a.ratio) / 2
	}
	a.at = now
	switch {
	case a.ratio >= slowFrom:
		a.slow = true
	case a.ratio < slowUntil:
		a.slow = false
	}
}

// Penalty returns what is added to the load of the server: 0 unless it is slow. While
// no further answers arrive, it falls evenly to 0 over answerMaxAge, so that a server
// that recovers gets requests again gradually.
func (a *Answers) Penalty(now time.Time) float64 {
	if !a.slow {
		return 0
	}
	left := 1 - now.Sub(a.at).Seconds()/answerMaxAge.Seconds()
	return max(0, left) * (a.ratio - 1)
}
