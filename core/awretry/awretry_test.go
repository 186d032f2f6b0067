package awretry

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awoutcome"
)

// Checks the AtMostOnce and NotRunIsTrue properties: a request that may have run
// is retried only if it is repeatable.
func TestDecide(t *testing.T) {
	lost := &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.LinkLost}
	full := awoutcome.Refuse(awoutcome.QueueFull, "")
	for _, tc := range []struct {
		name string
		f    Failure
		want Action
	}{
		{"refused, not repeatable", Failure{Err: full}, Retry},
		{"lost, not repeatable", Failure{Err: lost}, Stop},
		{"ran, not repeatable", Failure{Err: &awoutcome.Error{Outcome: awoutcome.Ran, Reason: awoutcome.EngineFailed}}, Stop},
		{"lost, repeatable", Failure{Err: lost, Repeatable: true, PossibleRuns: 1}, Retry},
		{"lost after tokens", Failure{Err: lost, Repeatable: true, PossibleRuns: 1, DeliveredTokens: 3}, Resume},
		{"refused on resume", Failure{Err: full, Repeatable: true, PossibleRuns: 2, DeliveredTokens: 3}, Resume},
		{"lost too often", Failure{Err: lost, Repeatable: true, PossibleRuns: MaxPossibleRuns}, Stop},
		{"bad request", Failure{Err: awoutcome.Refuse(awoutcome.BadRequest, ""), Repeatable: true}, Stop},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, _ := Decide(tc.f)
			require.Equal(t, tc.want, got)
		})
	}
}

// Checks that retries add at most 10% work even if every attempt fails, as after
// the loss of a domain.
func TestBudgetBoundsExtraWork(t *testing.T) {
	b := NewBudget(DefaultConfig())
	const requests = 10000
	extra := 0
	for range requests {
		b.Deposit()
		for b.TryWithdraw(1) {
			extra++
		}
	}
	require.LessOrEqual(t, extra, requests/10+initialBalance)
	require.GreaterOrEqual(t, extra, requests/10-1)
}

// Guards against retrying requests that failed together at the same time.
func TestBackoffHasFullJitter(t *testing.T) {
	cfg, rng := DefaultConfig(), rand.New(rand.NewPCG(1, 1))
	for n := range 40 {
		low, high := cfg.MaxBackoff, cfg.Backoff(n, rng)
		for range 200 {
			d := cfg.Backoff(n, rng)
			low, high = min(low, d), max(high, d)
		}
		maxBackoff := cfg.MaxBackoff
		if n < 6 {
			maxBackoff = min(maxBackoff, cfg.BaseBackoff<<n)
		}
		require.LessOrEqual(t, high, maxBackoff)
		require.Less(t, low, maxBackoff/4)
		require.Greater(t, high, maxBackoff/2)
	}
}
