package awagent

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awconfig"
	"arbutuswind/core/awstream"
	"arbutuswind/internal/awstandin"
	"arbutuswind/io/awengine"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awsettings"
)

const testDigest = "version-1"

// fakeStream is the entry's side of a Serve stream.
type fakeStream struct {
	awproto.DRPCAgent_ServeStream
	ctx  context.Context
	up   chan *awproto.ServeUp
	down chan *awproto.ServeDown
}

func (s *fakeStream) Context() context.Context { return s.ctx }

func (s *fakeStream) Recv() (*awproto.ServeUp, error) {
	select {
	case up := <-s.up:
		return up, nil
	case <-s.ctx.Done():
		return nil, io.EOF
	}
}

func (s *fakeStream) Send(d *awproto.ServeDown) error {
	s.down <- d
	return nil
}

// testAgent is an agent beside a stand-in engine that is loaded and warm.
type testAgent struct {
	*Agent
	t         *testing.T
	clock     *awclock.Fake
	engineURL string
	seq       uint64
}

func newTestAgent(t *testing.T, limit int, pause time.Duration) *testAgent {
	t.Helper()
	weights := httptest.NewServer(awstandin.NewService().Handler()) // the stand-in engine accepts any body as weights
	t.Cleanup(weights.Close)
	eng := awstandin.NewEngine(awstandin.EngineConfig{MaxRunning: 64, MemoryBytes: 1 << 30, BytesPerToken: 1, Fencing: true})
	srv := httptest.NewServer(eng.Handler())
	t.Cleanup(srv.CloseClientConnections)
	client := awengine.New(srv.URL)
	ctx := t.Context()
	require.NoError(t, client.Load(ctx, awengine.LoadCommand{Model: "rota", Version: "v1", URL: weights.URL + "/w", Fence: 1}))
	st, err := client.Status(ctx)
	require.NoError(t, err)

	s := awsettings.DefaultAgent()
	s.Process.Instance, s.Backend.URL = "agent-1", srv.URL
	s.Limits.MaxInFlight, s.Limits.ColdInFlight, s.Limits.PauseAfter = limit, limit, awsettings.Duration(pause)
	clock := awclock.NewFake(time.Unix(1_700_000_000, 0))
	a := New(Config{
		Settings: s, Clock: clock, Logger: log.NewNopLogger(), Tracer: noop.NewTracerProvider().Tracer(""), Incarnation: 7,
	})
	ta := &testAgent{Agent: a, t: t, clock: clock, engineURL: srv.URL}
	ta.setServing(st)
	return ta
}

// setServing makes the agent ready with the state reported by the engine.
func (a *testAgent) setServing(st awengine.Status) {
	a.setEngine(&awproto.ReadyModel{Model: "rota", VersionDigest: testDigest}, awproto.AgentState_READY, st)
}

func (a *testAgent) start() *awproto.ServeStart {
	a.seq++
	return &awproto.ServeStart{
		Attempt: &awproto.AttemptId{EntryInstance: "entry-1", EntryIncarnation: 1, Sequence: a.seq},
		Model:   "rota", Team: "kitchen", Priority: 4, DeadlineMs: 600_000, PromptTokens: 1, MaxTokens: 5,
		CreditBytes: 32 << 10, Body: []byte("prompt"), VersionDigest: testDigest,
	}
}

// startRequest starts a request in the background.
func (a *testAgent) startRequest(start *awproto.ServeStart) (*fakeStream, context.CancelFunc) {
	ctx, cancel := context.WithCancel(a.t.Context())
	s := &fakeStream{ctx: ctx, up: make(chan *awproto.ServeUp, 1<<12), down: make(chan *awproto.ServeDown, 1<<12)}
	s.up <- &awproto.ServeUp{Body: &awproto.ServeUp_Start{Start: start}}
	go func() {
		_ = (&innerServer{agent: a.Agent}).Serve(s)
		close(s.down)
	}()
	return s, cancel
}

// drainStream reads until the stream ends and returns the concatenated text and
// the last message.
func (s *fakeStream) drainStream() (string, *awproto.ServeDown) {
	text := ""
	var last *awproto.ServeDown
	for d := range s.down {
		last = d
		text += string(d.GetFrame().GetData())
		if d.GetFrame() != nil {
			s.credit(awstream.FrameCost(len(d.GetFrame().Data)))
		}
	}
	return text, last
}

func (s *fakeStream) credit(n int) {
	s.up <- &awproto.ServeUp{Body: &awproto.ServeUp_Credit{Credit: &awproto.Credit{Bytes: uint32(n)}}}
}

// eventually waits until ok returns true. It calls ok with mu held.
func (a *testAgent) eventually(what string, ok func() bool) {
	a.t.Helper()
	require.Eventually(a.t, func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return ok()
	}, time.Minute, time.Millisecond, what)
}

func (a *testAgent) injectFault(body string) {
	a.t.Helper()
	resp, err := http.Post(a.engineURL+"/fault", "application/json", strings.NewReader(body))
	require.NoError(a.t, err)
	require.NoError(a.t, resp.Body.Close())
}

// Guards against malformed requests reaching the backend server, and checks
// each reason for refusing a request.
func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		change func(a *testAgent, s *awproto.ServeStart)
		reason awproto.Reason
	}{
		"no attempt":          {func(_ *testAgent, s *awproto.ServeStart) { s.Attempt = nil }, awproto.Reason_BAD_REQUEST},
		"no time left":        {func(_ *testAgent, s *awproto.ServeStart) { s.DeadlineMs = 0 }, awproto.Reason_BAD_REQUEST},
		"priority":            {func(_ *testAgent, s *awproto.ServeStart) { s.Priority = 10 }, awproto.Reason_BAD_REQUEST},
		"window":              {func(_ *testAgent, s *awproto.ServeStart) { s.CreditBytes = 1 << 20 }, awproto.Reason_BAD_REQUEST},
		"resume at the end":   {func(_ *testAgent, s *awproto.ServeStart) { s.ResumeFrom = 5 }, awproto.Reason_BAD_REQUEST},
		"resume, any version": {func(_ *testAgent, s *awproto.ServeStart) { s.ResumeFrom, s.VersionDigest = 1, "" }, awproto.Reason_BAD_REQUEST},
		"oversize": {func(_ *testAgent, s *awproto.ServeStart) {
			s.PromptTokens, s.MaxTokens = 1<<32-1, 1<<32-1
		}, awproto.Reason_BAD_REQUEST},
		"service resumed": {func(_ *testAgent, s *awproto.ServeStart) {
			s.Service, s.Model, s.ResumeFrom = &awproto.ServiceCall{Service: "x", Method: "POST"}, "service/x", 1
		}, awproto.Reason_BAD_REQUEST},
		"other model":   {func(_ *testAgent, s *awproto.ServeStart) { s.Model = "x" }, awproto.Reason_NOT_READY},
		"other version": {func(_ *testAgent, s *awproto.ServeStart) { s.VersionDigest = "x" }, awproto.Reason_WRONG_VERSION},
		"out": {func(a *testAgent, _ *awproto.ServeStart) {
			a.acceptView(awconfig.AgentView{Revision: 1, Out: true})
		}, awproto.Reason_DOMAIN_OUT},
		"isolated": {func(a *testAgent, _ *awproto.ServeStart) {
			for range 40 { // in steps, so that it does not count as a pause
				a.clock.Advance(time.Second)
				a.recordHeartbeat(false)
			}
		}, awproto.Reason_ISOLATED},
		"after a process pause": {func(a *testAgent, _ *awproto.ServeStart) { a.clock.Advance(5 * time.Second) }, awproto.Reason_NOT_READY},
	} {
		t.Run(name, func(t *testing.T) {
			a := newTestAgent(t, 4, time.Hour)
			start := a.start()
			c.change(a, start)
			s, _ := a.startRequest(start)
			_, last := s.drainStream()
			require.NotNil(t, last.GetRefusal(), "%v", last)
			require.Equal(t, c.reason, last.GetRefusal().Reason)
			require.Equal(t, awproto.Outcome_NOT_RUN, last.GetRefusal().Outcome)
		})
	}
}

// Guards against a process accepting work after a pause because of a heartbeat
// that was sent before the pause.
func TestContactAfterPause(t *testing.T) {
	a := newTestAgent(t, 4, time.Hour)
	a.clock.Advance(5 * time.Second)
	a.recordHeartbeat(true) // buffered while the process was paused
	report, _ := a.report()
	require.Equal(t, awproto.AgentState_STARTING, report.State)
	a.clock.Advance(staleHeartbeatWindow)
	a.recordHeartbeat(true)
	st, err := awengine.New(a.engineURL).Status(t.Context())
	require.NoError(t, err)
	a.setServing(st)
	report, _ = a.report()
	require.Equal(t, awproto.AgentState_READY, report.State)
}

// Guards NotRunIsTrue for requests that leave the queue: by cancellation, by a
// view that takes the domain out of service, and by draining. A delayed copy of
// the attempt must not run either.
func TestQueuedRequestsLeave(t *testing.T) {
	for name, c := range map[string]struct {
		leave  func(a *testAgent, cancel context.CancelFunc, s *fakeStream)
		reason awproto.Reason
	}{
		"cancelled": {func(_ *testAgent, _ context.CancelFunc, s *fakeStream) {
			s.up <- &awproto.ServeUp{Body: &awproto.ServeUp_Cancel{Cancel: &awproto.Cancel{}}}
		}, awproto.Reason_CANCELLED},
		"out": {func(a *testAgent, _ context.CancelFunc, _ *fakeStream) {
			a.acceptView(awconfig.AgentView{Revision: 1, Out: true})
		}, awproto.Reason_DOMAIN_OUT},
		"draining": {func(a *testAgent, _ context.CancelFunc, _ *fakeStream) { go a.drain() }, awproto.Reason_LEAVING},
	} {
		t.Run(name, func(t *testing.T) {
			a := newTestAgent(t, 1, time.Hour)
			long := a.start()
			long.MaxTokens, long.CreditBytes = 1000, 1 // occupies the only slot
			running, stop := a.startRequest(long)
			defer stop()
			a.eventually("the first request runs", func() bool { return a.admission.InFlight() == 1 })
			queued := a.start()
			s, cancel := a.startRequest(queued)
			a.eventually("the second request waits", func() bool { return a.admission.Queued() == 1 })
			c.leave(a, cancel, s)
			_, last := s.drainStream()
			require.Equal(t, c.reason, last.GetRefusal().GetReason(), "%v", last)
			require.Equal(t, awproto.Outcome_NOT_RUN, last.GetRefusal().Outcome)

			copied, _ := a.startRequest(queued)
			_, last = copied.drainStream()
			require.NotNil(t, last.GetRefusal(), "a delayed copy ran")
			running.credit(1 << 20) // the running request must still complete
			_, last = running.drainStream()
			require.NotNil(t, last.GetEnd(), "%v", last)
		})
	}
}

// Guards WholeAnswer for a client that stops reading and continues later.
// Guards against the engine holding memory for a paused stream, and against a
// response that continues with other weights.
func TestPausedStream(t *testing.T) {
	for name, otherWeights := range map[string]bool{"same weights": false, "other weights": true} {
		t.Run(name, func(t *testing.T) {
			a := newTestAgent(t, 1, time.Millisecond)
			start := a.start()
			start.MaxTokens, start.CreditBytes = 50, 1000
			s, _ := a.startRequest(start)
			a.eventually("the stream is paused", func() bool { return a.paused == 1 })
			a.mu.Lock()
			require.Zero(t, a.admission.InFlight())
			require.Equal(t, a.cfg.Settings.Limits.MemoryBytes, a.admission.FreeMemory())
			digest := a.servedDigest
			a.mu.Unlock()
			if otherWeights {
				a.setServing(awengine.Status{BootID: "b", Digest: "other"})
			}
			text, last := s.drainStream()
			if otherWeights {
				require.Equal(t, awproto.Reason_WRONG_VERSION, last.GetFailure().GetReason(), "%v", last)
				require.Equal(t, awproto.Outcome_UNKNOWN, last.GetFailure().Outcome)
			} else {
				require.NotNil(t, last.GetEnd(), "%v", last)
				want := ""
				for i := range start.MaxTokens {
					want += awstandin.TokenText(digest, "prompt", i)
				}
				require.Equal(t, want, text)
			}
			a.mu.Lock()
			defer a.mu.Unlock()
			require.Zero(t, a.paused)
			require.Zero(t, a.admission.InFlight())
		})
	}
}

// Guards against a response that counts as complete although the engine
// restarted or changed its weights while streaming. Also checks the outcome if
// the engine cannot be reached.
func TestEngineFails(t *testing.T) {
	for name, c := range map[string]struct {
		fail    func(a *testAgent)
		outcome awproto.Outcome
		reason  awproto.Reason
	}{
		"cut":                {func(a *testAgent) { a.injectFault(`{"CutAfter":3}`) }, awproto.Outcome_UNKNOWN, awproto.Reason_ENGINE_CRASHED},
		"error status":       {func(a *testAgent) { a.injectFault(`{"FailStarts":1}`) }, awproto.Outcome_UNKNOWN, awproto.Reason_ENGINE_FAILED},
		"other weights":      {func(a *testAgent) { a.servedDigest = "other" }, awproto.Outcome_UNKNOWN, awproto.Reason_IDENTITY_CHANGED},
		"engine unreachable": {func(a *testAgent) { a.engine = awengine.New("http://127.0.0.1:1") }, awproto.Outcome_NOT_RUN, awproto.Reason_NOT_READY},
	} {
		t.Run(name, func(t *testing.T) {
			a := newTestAgent(t, 4, time.Hour)
			c.fail(a)
			start := a.start()
			s, _ := a.startRequest(start)
			_, last := s.drainStream()
			require.Equal(t, c.reason, last.GetFailure().GetReason(), "%v", last)
			require.Equal(t, c.outcome, last.GetFailure().Outcome)
			require.Zero(t, a.admission.InFlight())
		})
	}
}

// Guards against cutting the response of a silent engine that goes on.
func TestSilentEngineIsNotCut(t *testing.T) {
	a := newTestAgent(t, 4, time.Hour)
	a.firstTokenSilence, a.tokenSilence = 20*time.Millisecond, 20*time.Millisecond
	a.injectFault(`{"StallMs":200}`)
	s, _ := a.startRequest(a.start())
	_, last := s.drainStream()
	require.NotNil(t, last.GetEnd(), "%v", last)
	require.EqualValues(t, 5, last.GetEnd().Tokens)
	require.NotZero(t, a.metrics.set.GetOrCreateCounter(`arbutuswind_agent_limit_lowered_total{cause="failed"}`).Get())
}

// Guards GracefulStop: requests cut by the second signal are counted, and their
// entries are told that the outcome is unknown.
func TestSecondSignalCuts(t *testing.T) {
	a := newTestAgent(t, 4, time.Hour)
	forced := make(chan struct{})
	a.cfg.Forced = forced
	start := a.start()
	start.CreditBytes = 1
	s, _ := a.startRequest(start)
	a.eventually("the request runs", func() bool { return a.admission.InFlight() == 1 })
	close(forced)
	a.drain()
	_, last := s.drainStream()
	require.Equal(t, awproto.Reason_LEAVING, last.GetFailure().GetReason(), "%v", last)
	require.Equal(t, awproto.Outcome_UNKNOWN, last.GetFailure().Outcome)
	require.EqualValues(t, 1, a.metrics.cut.Get())
}
