package awretry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against entries that together repeat more within any sliding window
// than the budget, whatever the load and its timing.
func TestEntriesStayWithinTheWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := WindowConfig{Ratio: 0.2, MinRetries: rapid.IntRange(0, 60).Draw(t, "floor"), Window: 10 * time.Second}
		const entries = 3
		var windows []*WindowBudget
		for range entries {
			windows = append(windows, NewWindowBudget(cfg))
		}
		now := time.Unix(1000, 0)
		var first, repeats []time.Time
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			w := windows[rapid.IntRange(0, entries-1).Draw(t, "entry")]
			if rapid.Bool().Draw(t, "request") {
				w.CountRequest(now)
				first = append(first, now)
			}
			if w.AllowRetry(now, entries) {
				repeats = append(repeats, now)
			}
			most := 0
			for _, before := range []time.Duration{0, cfg.Window / 2, cfg.Window} {
				most = max(most, countWithin(first, now.Add(-before), cfg.Window))
			}
			require.LessOrEqual(t, float64(countWithin(repeats, now, cfg.Window)), cfg.Ratio*float64(most)+float64(cfg.MinRetries))
		}
	})
}

// Guards against a budget that a long pause leaves in a wrong state.
func TestWindowAfterAPause(t *testing.T) {
	w := NewWindowBudget(WindowConfig{Ratio: 0, MinRetries: 4, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	for range 4 {
		require.True(t, w.AllowRetry(now, 1))
	}
	require.False(t, w.AllowRetry(now.Add(9*time.Second), 1))
	require.True(t, w.AllowRetry(now.Add(time.Hour), 1))
	require.False(t, w.AllowRetry(now.Add(time.Hour), 4), "a share of one of four is used up")
}

// countWithin counts the times in the window that ends at a time.
func countWithin(list []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, at := range list {
		if d := end.Sub(at); d >= 0 && d < window {
			n++
		}
	}
	return n
}
