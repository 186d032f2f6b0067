package awagent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an engine that gets more requests than the limit that it names in
// its responses, through this agent.
func TestRateLimitOfEngineIsKept(t *testing.T) {
	a := newTestAgent(t, 16, time.Hour)
	a.injectFault(`{"RateLimit":"1"}`)
	first, _ := a.startRequest(a.start())
	_, last := first.drainStream()
	require.NotNil(t, last.GetEnd(), "%v", last)
	var streams []*fakeStream
	for range 4 {
		s, _ := a.startRequest(a.start())
		streams = append(streams, s)
	}
	for queued := 4; queued > 0; queued-- {
		a.eventually("the others wait", func() bool { return a.admission.Queued() == queued })
		report, _ := a.report()
		require.Equal(t, report.InFlight, report.Limit, "no slot is offered to entries")
		a.advanceSecond()
		a.mu.Lock()
		_, limited := a.admission.GrantDue()
		a.mu.Unlock()
		require.True(t, limited)
	}
	for _, s := range streams {
		_, last := s.drainStream()
		require.NotNil(t, last.GetEnd(), "%v", last)
	}

	a.injectFault(`{"RateLimit":""}`)
	a.advanceSecond()
	_, err := a.engine.Status(t.Context()) // without a limit
	require.NoError(t, err)
	a.mu.Lock()
	defer a.mu.Unlock()
	_, limited := a.admission.GrantDue()
	require.False(t, limited, "the limit is lifted")
}

// advanceSecond advances the clock in steps that do not count as a pause.
func (a *testAgent) advanceSecond() {
	for range 4 {
		a.clock.Advance(250 * time.Millisecond)
		a.recordHeartbeat(true)
	}
}
