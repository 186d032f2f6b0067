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
	priorWait := func(timeout time.Duration) time.Duration {
		now = now.Add(returnLimitPeriod)
		return c.PriorWait("r", timeout, now)
	}
	require.Zero(t, priorWait(6*time.Second))
	c.Refused("r", 4*time.Second, now)
	require.Equal(t, 2*time.Second, priorWait(4*time.Second))
	require.Zero(t, c.PriorWait("other", time.Second, now))
	require.Zero(t, c.PriorWait("r", 0, now), "a caller that sends no timeout")

	require.Zero(t, priorWait(time.Hour))
	require.Zero(t, priorWait(6*time.Second))
	c.Refused("r", 4*time.Second, now)
	require.Equal(t, time.Hour-4*time.Second, priorWait(4*time.Second))
	for range 4 {
		now = now.Add(timeoutWindow / 2)
		c.PriorWait("r", 6*time.Second, now)
	}
	c.Refused("r", 5*time.Second, now)
	require.Equal(t, time.Second, priorWait(5*time.Second))
	require.Zero(t, c.PriorWait("r", time.Second, now.Add(time.Hour)), "an idle route")
}

// Guards against first attempts that count as late because callers set out with
// different timeouts.
func TestFirstAttemptsWithDifferentTimeouts(t *testing.T) {
	c := NewCallerTimeouts()
	now := time.Unix(1000, 0)
	for i := range 200 {
		now = now.Add(20 * time.Millisecond)
		timeout := 5100*time.Millisecond + time.Duration(i*7%900)*time.Millisecond
		require.Zero(t, c.PriorWait("r", timeout, now), "nobody has been refused")
	}
	mistaken := 0
	for i := range 400 {
		now = now.Add(20 * time.Millisecond)
		timeout := 5100*time.Millisecond + time.Duration(i*7%900)*time.Millisecond
		if c.PriorWait("r", timeout, now) > 0 {
			mistaken++
		}
		if i%2 == 0 {
			left := timeout - time.Duration(300+i*11%1200)*time.Millisecond
			c.Refused("r", left, now)
			if came := c.PriorWait("r", left, now) > 0; i >= 200 && came != (left < 5100*time.Millisecond) {
				mistaken++
			}
		}
	}
	require.Less(t, mistaken, 600/20)
}
