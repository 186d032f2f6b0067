package awretry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against retries beyond the budget, and against retries that are refused for
// lack of counted requests, after the limits were changed.
func TestNewLimitsKeepCounts(t *testing.T) {
	cfg := WindowConfig{Ratio: 0.3, MinRetries: 4, Window: 10 * time.Second}
	now := time.Unix(1000, 0)
	w := NewWindowBudget(cfg)
	for range 4 {
		require.True(t, w.AllowRetry(now, 1))
	}
	cfg.MinRetries = 5
	w.SetConfig(cfg, now)
	require.True(t, w.AllowRetry(now, 1))
	require.False(t, w.AllowRetry(now, 1), "retries before the change count")
	for range 10 {
		w.CountRequest(now)
	}
	cfg.MinRetries = 4
	w.SetConfig(cfg, now)
	require.False(t, w.AllowRetry(now, 1))
	cfg.MinRetries = 5
	w.SetConfig(cfg, now)
	require.True(t, w.AllowRetry(now, 1), "requests before the change count")
	require.False(t, w.AllowRetry(now, 1))
}

// Checks that the retries in any window of the longest length that was in force stay
// within the minimum when the length of the window changes.
func TestNewWindowKeepsCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := func() time.Duration { return time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second }
		cfg := WindowConfig{MinRetries: rapid.IntRange(1, 10).Draw(t, "min"), Window: window()}
		w := NewWindowBudget(cfg)
		now := time.Unix(1000, 0)
		shortest := cfg.Window
		var retries []time.Time
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				cfg.Window = window()
				w.SetConfig(cfg, now)
				shortest = min(shortest, cfg.Window)
			}
			if w.AllowRetry(now, 1) {
				retries = append(retries, now)
			}
			require.LessOrEqual(t, countWithin(retries, now, shortest), cfg.MinRetries)
		}
	})
}
