// Package awretry decides whether a failed request is retried.
//
// A request is retried only if it may be repeated or provably did not run. The
// work that a retry repeats is charged to a budget that grows with first
// attempts, so that the loss of a domain cannot cause a retry storm.
package awretry

import (
	"math/rand/v2"
	"time"

	"arbutuswind/core/awoutcome"
)

// Config holds the limits for retries.
type Config struct {
	Ratio       float64       // repeated work allowed per first attempt, in requests
	Burst       float64       // maximum balance of the budget, in requests
	BaseBackoff time.Duration // maximum of the first backoff
	MaxBackoff  time.Duration // maximum of any backoff
}

// DefaultConfig returns the configuration used by entries. Burst covers the
// requests that one entry loses when a domain fails.
func DefaultConfig() Config {
	return Config{Ratio: 0.1, Burst: 50, BaseBackoff: 10 * time.Millisecond, MaxBackoff: 500 * time.Millisecond}
}

// Budget holds the work that may be repeated, in requests. It is not safe for
// concurrent use.
type Budget struct {
	cfg     Config
	balance float64
}

// initialBalance, in requests, allows a newly started entry to retry a few
// requests.
const initialBalance = 5

// NewBudget returns a budget for a newly started entry.
func NewBudget(cfg Config) *Budget { return &Budget{cfg: cfg, balance: min(initialBalance, cfg.Burst)} }

// Deposit adds the allowance for one first attempt.
func (b *Budget) Deposit() { b.balance = min(b.cfg.Burst, b.balance+b.cfg.Ratio) }

// TryWithdraw charges a retry of the given cost to the budget. It returns false,
// and charges nothing, if the balance is too low.
func (b *Budget) TryWithdraw(cost float64) bool {
	if cost > b.balance {
		return false
	}
	b.balance -= cost
	return true
}

// Failure describes a failed attempt for [Decide].
type Failure struct {
	Err             *awoutcome.Error
	Repeatable      bool
	PossibleRuns    int    // attempts so far that may have run, including this one
	Crashes         int    // attempts so far under which an engine crashed before it had answered for long
	DeliveredTokens uint32 // tokens delivered to the caller so far
	PromptTokens    uint32
	MaxTokens       uint32 // maximum number of tokens to generate
}

// MaxPossibleRuns is the maximum number of attempts of one request that may have
// run.
const MaxPossibleRuns = 5

// MaxCrashes is the number of engines that may crash under one request before their
// answer. Such a request may be the cause, and is not sent again.
const MaxCrashes = 2

// Action is the reaction to a failed attempt.
type Action int

// The actions.
const (
	Stop   Action = iota // return the failure to the caller
	Retry                // send the request to another agent
	Resume               // let another agent continue after the delivered tokens
)

// Decide returns the action for a failure and the cost of that action: the work
// that it repeats, as a fraction of the request.
func Decide(f Failure) (Action, float64) {
	switch {
	case f.Err.Reason == awoutcome.BadRequest, f.Err.Reason == awoutcome.Cancelled, f.Err.Reason == awoutcome.Overloaded:
		return Stop, 0
	case f.Err.Outcome == awoutcome.NotRun:
		if f.DeliveredTokens > 0 {
			return Resume, 0
		}
		return Retry, 0
	case !f.Repeatable || f.PossibleRuns >= MaxPossibleRuns || f.Crashes >= MaxCrashes:
		return Stop, 0
	case f.DeliveredTokens > 0:
		// Only the prompt is processed again; the delivered tokens are not
		// generated again.
		return Resume, float64(f.PromptTokens) / float64(max(1, f.PromptTokens+f.MaxTokens))
	}
	return Retry, 1
}

// Backoff returns a random delay before the n-th retry, counted from 0. The
// maximum delay doubles with each retry up to MaxBackoff. Full jitter spreads
// the retries of requests that failed at the same time.
func (c Config) Backoff(n int, rng *rand.Rand) time.Duration {
	d := c.MaxBackoff
	if n < 16 {
		d = min(d, c.BaseBackoff<<n)
	}
	return time.Duration(rng.Int64N(int64(d) + 1))
}
