package awadmit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awoutcome"
)

// Guards against work that is started although it cannot end in time, and
// against a small team that is refused for the queue of a large one.
func TestDeadlines(t *testing.T) {
	const service = 100 * time.Millisecond
	for name, c := range map[string]struct {
		team     string
		deadline time.Duration
		admitted bool
	}{
		"large team, wait fits":         {"large", 4 * time.Second, true},
		"large team, wait too long":     {"large", 900 * time.Millisecond, false},
		"small team passes":             {"small", 900 * time.Millisecond, true},
		"shorter than the service time": {"small", 50 * time.Millisecond, false},
		"passed":                        {"small", -1, false},
	} {
		t.Run(name, func(t *testing.T) {
			g, clock := newTestGate(Config{MaxInFlight: 1, ColdInFlight: 1, MemoryBytes: 100, BytesPerToken: 1, MaxQueue: 100, QueueBytes: 1000})
			for range 50 { // the deviation of the estimate fades
				tk, err := g.Offer(request(clock, "large", 4))
				require.NoError(t, err)
				clock.Advance(service)
				g.ObserveFinish(tk)
				g.Release(tk)
			}
			for range 11 {
				_, err := g.Offer(request(clock, "large", 4))
				require.NoError(t, err)
			}
			r := request(clock, c.team, 4)
			r.Deadline = clock.Now().Add(c.deadline)
			tk, err := g.Offer(r)
			if !c.admitted {
				var refusal *awoutcome.Error
				require.ErrorAs(t, err, &refusal)
				require.Equal(t, awoutcome.Deadline, refusal.Reason)
				return
			}
			require.NoError(t, err)
			clock.Advance(c.deadline - service/2)
			g.expire()
			require.Error(t, tk.Refusal(), "too little time is left to finish")
			require.False(t, tk.Granted())
		})
	}
}

// Guards against an estimate that has grown too large and refuses every
// request from then on.
func TestEstimateRecovers(t *testing.T) {
	g, clock := newTestGate(Config{MaxInFlight: 1, ColdInFlight: 1, MemoryBytes: 100, BytesPerToken: 1, MaxQueue: 100, QueueBytes: 1000})
	for _, d := range []time.Duration{time.Hour, time.Millisecond} {
		for range 200 {
			r := request(clock, "a", 4)
			r.Deadline = clock.Now().Add(time.Second)
			tk, err := g.Offer(r)
			require.NoError(t, err, "an idle backend server takes any request")
			clock.Advance(d)
			g.ObserveFinish(tk)
			g.Release(tk)
		}
	}
	require.Less(t, g.estimate.of(Request{MaxTokens: 1}), 10*time.Millisecond)
}
