package awagent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/io/awproto"
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

// Guards against requests to an engine that has said that it is leaving or has
// asked for a pause.
func TestEngineThatWantsNothingGetsNothing(t *testing.T) {
	for name, c := range map[string]struct {
		fault  string
		reason awproto.Reason
	}{
		"leaving": {`{"Leaving":true}`, awproto.Reason_LEAVING},
		"pause":   {`{"PauseMs":60000}`, awproto.Reason_QUEUE_FULL},
	} {
		t.Run(name, func(t *testing.T) {
			a := newTestAgent(t, 16, time.Hour)
			a.injectFault(c.fault)
			first, _ := a.startRequest(a.start())
			first.drainStream()
			a.injectFault(`{"Leaving":false,"PauseMs":0}`)
			second, _ := a.startRequest(a.start())
			_, last := second.drainStream()
			require.Equal(t, c.reason, last.GetRefusal().GetReason(), "%v", last)
			report, _ := a.report()
			require.Equal(t, awproto.AgentState_DRAINING, report.State)

			st, err := a.engine.Status(t.Context())
			require.NoError(t, err)
			st.BootID = "a new incarnation"
			a.setServing(st)
			third, _ := a.startRequest(a.start())
			_, last = third.drainStream()
			require.NotNil(t, last.GetEnd(), "%v", last)
		})
	}
}
