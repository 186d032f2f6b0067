package awretry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHedgeDelay(t *testing.T) {
	require.Equal(t, minHedgeDelay, HedgeDelay(100*time.Millisecond))
	require.Equal(t, 2*time.Second, HedgeDelay(400*time.Millisecond))
}

// Guards against requests that run more often than allowed because a running
// send is not counted.
func TestRunningSendsCountAsRuns(t *testing.T) {
	for _, tc := range []struct {
		name  string
		sends Sends
		want  bool
	}{
		{"first send", Sends{MaxAttempts: 1}, true},
		{"rejected by one server", Sends{MaxAttempts: 1, Total: 1}, true},
		{"must run once and may be running", Sends{MaxAttempts: 2, Total: 1, Running: 1}, false},
		{"second attempt beside a silent one", Sends{Repeatable: true, MaxAttempts: 2, Total: 1, Running: 1}, true},
		{"third of two attempts", Sends{Repeatable: true, MaxAttempts: 2, Total: 2, Running: 1, PossibleRuns: 1}, false},
		{"rejected too often", Sends{Repeatable: true, MaxAttempts: 9, Total: maxSends}, false},
		{"crashes engines", Sends{Repeatable: true, MaxAttempts: 9, Total: 2, PossibleRuns: 2, Crashes: MaxCrashes}, false},
	} {
		require.Equal(t, tc.want, tc.sends.AllowAnother(), tc.name)
	}
}
