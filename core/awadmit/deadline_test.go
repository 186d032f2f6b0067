package awadmit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awoutcome"
)

// Guards against starting requests that cannot finish before their deadline, and
// against refusing requests of a team because of another team's queued requests.
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
			ctrl, clock := newTestController(Config{MaxInFlight: 1, ColdInFlight: 1, MemoryBytes: 100, BytesPerToken: 1, MaxQueue: 100, QueueBytes: 1000})
			for range 50 { // until the deviation of the estimate is small
				tk, err := ctrl.Offer(request(clock, "large", 4))
				require.NoError(t, err)
				clock.Advance(service)
				ctrl.ObserveFinish(tk)
				ctrl.Release(tk)
			}
			for range 11 {
				_, err := ctrl.Offer(request(clock, "large", 4))
				require.NoError(t, err)
			}
			r := request(clock, c.team, 4)
			r.Deadline = clock.Now().Add(c.deadline)
			tk, err := ctrl.Offer(r)
			if !c.admitted {
				var refusal *awoutcome.Error
				require.ErrorAs(t, err, &refusal)
				require.Equal(t, awoutcome.Deadline, refusal.Reason)
				return
			}
			require.NoError(t, err)
			clock.Advance(c.deadline - service/2)
			ctrl.expire()
			require.Error(t, tk.Refusal(), "too little time is left to finish")
			require.False(t, tk.Granted())
		})
	}
}

// Guards against an estimate that became too high and then causes every request to
// be refused.
func TestEstimateRecovers(t *testing.T) {
	ctrl, clock := newTestController(Config{MaxInFlight: 1, ColdInFlight: 1, MemoryBytes: 100, BytesPerToken: 1, MaxQueue: 100, QueueBytes: 1000})
	for _, d := range []time.Duration{time.Hour, time.Millisecond} {
		for range 200 {
			r := request(clock, "a", 4)
			r.Deadline = clock.Now().Add(time.Second)
			tk, err := ctrl.Offer(r)
			require.NoError(t, err, "an idle backend server accepts any request")
			clock.Advance(d)
			ctrl.ObserveFinish(tk)
			ctrl.Release(tk)
		}
	}
	require.Less(t, ctrl.estimate.upperBound(Request{MaxTokens: 1}), 10*time.Millisecond)
}
