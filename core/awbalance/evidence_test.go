package awbalance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a server that is taken for slow after one late answer among others,
// that flaps between the two bounds, or whose penalty stays or ends at once when it gets
// no more requests.
func TestAnswersHaveHysteresisAndAge(t *testing.T) {
	var a Answers
	now := start
	add := func(ratio float64) float64 {
		now = now.Add(50 * time.Millisecond)
		a.Add(ratio, now)
		return a.Penalty(now)
	}
	require.Zero(t, a.Penalty(now))
	require.Zero(t, add(1))
	require.Zero(t, add(2.5), "a single late answer")
	require.Greater(t, add(2.5), 0.8)
	for range 10 {
		require.Greater(t, add(1.5), 0.0, "between the bounds a slow server stays slow")
	}
	add(1)
	require.Zero(t, add(1))
	for range 10 {
		require.Zero(t, add(1.5), "and one that is not stays so")
	}
	full := add(4)
	previous := full
	for range 11 {
		now = now.Add(answerMaxAge / 12)
		require.Less(t, a.Penalty(now), previous)
		require.Greater(t, a.Penalty(now), previous-full/6)
		previous = a.Penalty(now)
	}
	require.Zero(t, a.Penalty(now.Add(answerMaxAge)))
	now = now.Add(answerMaxAge)
	require.Zero(t, add(1), "old answers do not count")
}

// Guards against a usual duration that a few late answers raise, or that does not
// follow a lasting change.
func TestUsualDurationFollowsSlowly(t *testing.T) {
	var u Usual
	require.Equal(t, 1.0, u.Ratio("a", 10*time.Millisecond))
	require.InDelta(t, 4, u.Ratio("a", time.Minute), 0.01)
	require.Less(t, u.Ratio("a", 10*time.Millisecond), 1.0)
	require.Equal(t, 1.0, u.Ratio("b", time.Second), "kinds differ")
	for range 400 {
		u.Ratio("a", 30*time.Millisecond)
	}
	require.InDelta(t, 1, u.Ratio("a", 30*time.Millisecond), 0.05)
}

// Guards against work that does not fall with the events, that ends at a hint which the
// response has passed, or that exceeds the maximum.
func TestRemainingWorkFollowsEvents(t *testing.T) {
	var e Estimator
	x := Expected{Prompt: 600, Output: 120, MaxOutput: 200}
	require.InDelta(t, 140, e.Remaining(&x, 0), 0.01)
	require.InDelta(t, 110, e.Remaining(&x, 10), 0.01)
	require.InDelta(t, 60, e.Remaining(&x, 120), 0.01)
	require.InDelta(t, 10, e.Remaining(&x, 190), 0.01)
	require.Zero(t, e.Remaining(&x, 300))
	require.InDelta(t, defaultOutput, e.Remaining(&Expected{}, 0), 0.01)

	for i := range 400 {
		e.Ended(&Expected{Output: 60 + 60*(i%3)}, 20) // 3, 6 and 9 tokens per event
	}
	require.InDelta(t, 6, e.tokensPerEvent(), 0.7)
	e.Sent(&x)
	require.InDelta(t, 2, e.Relative(280), 0.01)
}
