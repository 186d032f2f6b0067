package awretry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Checks that the retries of all entries together stay within the budget in every
// sliding window, for any load and timing.
func TestWindowBudgetHoldsAcrossEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := WindowConfig{Ratio: 0.2, MinRetries: rapid.IntRange(0, 60).Draw(t, "floor"), Window: 10 * time.Second}
		const entries = 3
		var budgets []*WindowBudget
		for range entries {
			budgets = append(budgets, NewWindowBudget(cfg))
		}
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			w := budgets[rapid.IntRange(0, entries-1).Draw(t, "entry")]
			if rapid.Bool().Draw(t, "request") {
				w.CountRequest(now)
				requests = append(requests, now)
			}
			if w.AllowRetry(now, entries) {
				retries = append(retries, now)
			}
			maxRequests := 0
			for _, before := range []time.Duration{0, cfg.Window / 2, cfg.Window} {
				maxRequests = max(maxRequests, countWithin(requests, now.Add(-before), cfg.Window))
			}
			require.LessOrEqual(t, float64(countWithin(retries, now, cfg.Window)), cfg.Ratio*float64(maxRequests)+float64(cfg.MinRetries))
		}
	})
}

// Guards against wrong counts after a long period without requests.
func TestWindowBudgetAfterPause(t *testing.T) {
	w := NewWindowBudget(WindowConfig{Ratio: 0, MinRetries: 4, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	for range 4 {
		require.True(t, w.AllowRetry(now, 1))
	}
	require.False(t, w.AllowRetry(now.Add(9*time.Second), 1))
	require.True(t, w.AllowRetry(now.Add(time.Hour), 1))
	require.False(t, w.AllowRetry(now.Add(time.Hour), 4), "the share of one of four entries is used up")
}

// countWithin returns the number of times in the window that ends at end.
func countWithin(list []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, at := range list {
		if d := end.Sub(at); d >= 0 && d < window {
			n++
		}
	}
	return n
}
