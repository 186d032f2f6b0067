package awdispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against callers that all count as late, and are served after others or
// refused, because one caller has once sent a huge timeout.
func TestHugeTimeoutIsForgotten(t *testing.T) {
	c := NewCallerTimeouts()
	now := time.Unix(1000, 0)
	require.Zero(t, c.PriorWait("r", 6*time.Second, now))
	require.Equal(t, 2*time.Second, c.PriorWait("r", 4*time.Second, now))
	require.Zero(t, c.PriorWait("other", time.Second, now))
	require.Zero(t, c.PriorWait("r", 0, now), "a caller that sends no timeout")

	require.Zero(t, c.PriorWait("r", time.Hour, now))
	require.Equal(t, time.Hour-6*time.Second, c.PriorWait("r", 6*time.Second, now))
	for range 4 {
		now = now.Add(timeoutWindow / 2)
		c.PriorWait("r", 6*time.Second, now)
	}
	require.Zero(t, c.PriorWait("r", 6*time.Second, now))
	require.Equal(t, time.Second, c.PriorWait("r", 5*time.Second, now.Add(timeoutWindow)))
	require.Zero(t, c.PriorWait("r", time.Second, now.Add(time.Hour)), "an idle route")
}
