// Package awretry decides whether a failed attempt is followed by another.
//
// Only work that may be repeated or that is proved not to have run is tried
// again. What a repetition costs the backend servers is paid from a budget
// that grows with first attempts, so that the loss of a domain cannot turn
// into a storm of repetitions.
package awretry

import (
	"math/rand/v2"
	"time"

	"arbutuswind/core/awoutcome"
)

// Config bounds repetitions.
type Config struct {
	Ratio       float64 // repeated work allowed per first attempt
	Burst       float64 // most work saved up
	BaseBackoff time.Duration
	MaxBackoff  time.Duration
}

// DefaultConfig returns the bounds used by entries. The burst covers the requests
// that a lost domain breaks off at one entry.
func DefaultConfig() Config {
	return Config{Ratio: 0.1, Burst: 50, BaseBackoff: 10 * time.Millisecond, MaxBackoff: 500 * time.Millisecond}
}

// Budget holds the work that may be repeated, in units of one request. It is
// not safe for concurrent use.
type Budget struct {
	cfg  Config
	left float64
}

// initialBudget lets an entry that has just started repeat a few requests.
const initialBudget = 5

// NewBudget returns a budget for an entry that has just started.
func NewBudget(cfg Config) *Budget { return &Budget{cfg: cfg, left: min(initialBudget, cfg.Burst)} }

// Deposit adds the share of one first attempt.
func (b *Budget) Deposit() { b.left = min(b.cfg.Burst, b.left+b.cfg.Ratio) }

// TryWithdraw pays for a repetition. It returns false when the budget is too small.
func (b *Budget) TryWithdraw(cost float64) bool {
	if cost > b.left {
		return false
	}
	b.left -= cost
	return true
}

// Failure is what Decide needs to know about a failed attempt.
type Failure struct {
	Err             *awoutcome.Error
	Repeatable      bool
	PossibleRuns    int // attempts so far that may have run
	DeliveredTokens uint32
	PromptTokens    uint32
	MaxTokens       uint32
}

// MaxPossibleRuns bounds the attempts of one request that may have run.
const MaxPossibleRuns = 5

// Action is what follows a failure.
type Action int

// The actions.
const (
	Stop   Action = iota // the failure is the answer
	Retry                // another agent gets the request
	Resume               // another agent continues after the delivered tokens
)

// Decide returns what follows a failure and the work that it repeats.
func Decide(f Failure) (Action, float64) {
	switch {
	case f.Err.Reason == awoutcome.BadRequest, f.Err.Reason == awoutcome.Cancelled, f.Err.Reason == awoutcome.Overloaded:
		return Stop, 0
	case f.Err.Outcome == awoutcome.NotRun:
		if f.DeliveredTokens > 0 {
			return Resume, 0
		}
		return Retry, 0
	case !f.Repeatable || f.PossibleRuns >= MaxPossibleRuns:
		return Stop, 0
	case f.DeliveredTokens > 0:
		// The delivered tokens are not generated again; the prompt is read again.
		return Resume, float64(f.PromptTokens) / float64(max(1, f.PromptTokens+f.MaxTokens))
	}
	return Retry, 1
}

// Backoff returns a random time up to the bound of the n-th wait, from 0.
// Full jitter spreads requests that failed together.
func (c Config) Backoff(n int, rng *rand.Rand) time.Duration {
	d := c.MaxBackoff
	if n < 16 {
		d = min(d, c.BaseBackoff<<n)
	}
	return time.Duration(rng.Int64N(int64(d) + 1))
}
