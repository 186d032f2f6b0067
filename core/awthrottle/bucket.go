package awthrottle

import (
	"math"
	"time"
)

// burstWindow is the time for which unused rate accumulates.
const burstWindow = 500 * time.Millisecond

// Bucket is a token bucket whose rate may change. The zero value is empty.
type Bucket struct {
	tokens     float64
	refilledAt time.Time
}

// bucketCapacity returns how many tokens may accumulate at a rate per second.
func bucketCapacity(rate float64) float64 { return 1 + rate*burstWindow.Seconds() }

// Refill adds the tokens that have accumulated since the last call.
func (b *Bucket) Refill(rate float64, now time.Time) {
	if !b.refilledAt.IsZero() {
		b.tokens = min(bucketCapacity(rate), b.tokens+rate*max(0, now.Sub(b.refilledAt).Seconds()))
	}
	b.refilledAt = now
}

// Return adds tokens that were taken and not used.
func (b *Bucket) Return(n int, rate float64) {
	b.tokens = min(bucketCapacity(rate), b.tokens+float64(max(0, n)))
}

// Take takes one token and reports whether there was one.
func (b *Bucket) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Available returns the number of tokens that may be taken now.
func (b *Bucket) Available() int { return int(b.tokens) }

// Wait returns the time until n tokens may have been taken, at a rate per second.
func (b *Bucket) Wait(n, rate float64) time.Duration {
	return time.Duration(math.Ceil(max(0, n-b.tokens) / rate * float64(time.Second)))
}
