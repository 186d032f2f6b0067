package awretry

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awoutcome"
)

// Guards AtMostOnce and NotRunIsTrue: nothing that may have run is repeated
// unless it is repeatable.
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

// Guards the bound of 10% extra work when every attempt fails, as after the
// loss of a domain.
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
	require.LessOrEqual(t, extra, requests/10+initialBudget)
	require.GreaterOrEqual(t, extra, requests/10-1)
}

// Guards against requests that failed together and return together.
func TestBackoffHasFullJitter(t *testing.T) {
	cfg, rng := DefaultConfig(), rand.New(rand.NewPCG(1, 1))
	for n := range 40 {
		low, high := cfg.MaxBackoff, cfg.Backoff(n, rng)
		for range 200 {
			d := cfg.Backoff(n, rng)
			low, high = min(low, d), max(high, d)
		}
		most := cfg.MaxBackoff
		if n < 6 {
			most = min(most, cfg.BaseBackoff<<n)
		}
		require.LessOrEqual(t, high, most)
		require.Less(t, low, most/4)
		require.Greater(t, high, most/2)
	}
}
