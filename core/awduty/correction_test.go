package awduty_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awduty"
)

// newUsage returns an instance whose wall clock is that of the simulated time plus
// step, and the corrections of its estimate.
func newUsage(name string, now, step time.Duration) (*awduty.Usage, *[]time.Duration) {
	var corrections []time.Duration
	u := awduty.NewUsage(awduty.UsageConfig{
		Candidate: awduty.Config{Self: name, Incarnation: 1, Lease: testLease, Margin: testMargin, MaxPending: 10},
		Window:    simWindow, Late: simLate, Settling: 6500 * time.Millisecond,
		Encode: func(int64, awduty.Counts) []byte { return nil },
		OnEvent: func(e awduty.Event) {
			if e.Kind == awduty.ClockCorrected {
				corrections = append(corrections, e.By)
			}
		},
	}, now, now+step)
	return u, &corrections
}

// Guards against an estimate that is confirmed by datagrams that waited in the
// socket while the process was frozen right after its start.
func TestQueuedClocksDoNotConfirm(t *testing.T) {
	now := simStart
	u, corrections := newUsage("a", now, 0)
	now += 5 * time.Second
	for _, peer := range []string{"b", "c", "d"} {
		u.Receive(now, now, &awduty.Message{Sender: peer, Incarnation: 1, Wall: now - 4*time.Second, Ask: true}, peer)
		// A reply to a message from before the pause says as little.
		u.Receive(now, now, &awduty.Message{Sender: peer, Incarnation: 1, Wall: now - 4*time.Second, Reply: true, Echo: now - 5*time.Second}, peer)
	}
	u.Tick(now, now)
	require.Empty(t, *corrections)

	// Replies that come at once correct an estimate that is wrong.
	u, corrections = newUsage("a", now, 7*time.Second)
	for _, peer := range []string{"b", "c", "d"} {
		u.Receive(now, now+7*time.Second, &awduty.Message{Sender: peer, Incarnation: 1, Wall: now, Reply: true, Echo: now}, peer)
	}
	u.Tick(now, now+7*time.Second)
	require.Equal(t, []time.Duration{-7 * time.Second}, *corrections)
}

// Guards against requests that are reported in windows that begin after they ran,
// together with those that run then, once the estimate was set back.
func TestCorrectionMovesCounts(t *testing.T) {
	now := simStart
	const step = 7 * time.Second
	u, corrections := newUsage("a", now, step)
	for passed := time.Duration(0); passed < 20*time.Second; passed += 100 * time.Millisecond {
		u.Count(now, "team", 1)
		if passed > 7*time.Second { // nobody else is known before the estimate is confirmed
			for _, peer := range []string{"b", "c", "d"} {
				u.Receive(now, now+step, &awduty.Message{Sender: peer, Incarnation: 1, Wall: now, Reply: true, Echo: now}, peer)
			}
		}
		u.Tick(now, now+step)
		now += 100 * time.Millisecond
	}
	require.Equal(t, []time.Duration{-step}, *corrections)
	m, _ := u.Messages(now, now+step)
	require.NotEmpty(t, m.Windows)
	present := int64(now / simWindow)
	for _, w := range m.Windows {
		require.LessOrEqual(t, w.Window, present)
		if w.Final {
			require.InDelta(t, 50, w.Total, 2.5, "window %d", w.Window-int64(simStart/simWindow))
		}
	}
	require.GreaterOrEqual(t, m.Since, int64(simStart/simWindow))
}
