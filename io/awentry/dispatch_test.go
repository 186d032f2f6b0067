package awentry

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awoutcome"
	"arbutuswind/core/awstream"
	"arbutuswind/io/awhttp"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
	"arbutuswind/io/awstore"
)

// scriptedAgent is a fake agent that answers each attempt with serve.
type scriptedAgent struct {
	awproto.DRPCAgentUnimplementedServer
	id        *awproto.ProcessIdentity
	digest    string
	serve     func(s *scriptedAgent, stream awproto.DRPCAgent_ServeStream, start *awproto.ServeStart) error
	settle    awproto.AttemptState
	hung      bool       // SettleAttempt does not answer
	mu        sync.Mutex // held while a start is added
	starts    []*awproto.ServeStart
	delivered chan struct{} // receives one element for each frame delivered to the caller
	unroute   func()        // removes the agent from routing, as a broken Watch stream does
}

func (s *scriptedAgent) Hello(context.Context, *awproto.HelloRequest) (*awproto.HelloReply, error) {
	return &awproto.HelloReply{ProtocolVersion: awrpc.ProtocolVersion, Sender: s.id}, nil
}

func (s *scriptedAgent) SettleAttempt(ctx context.Context, _ *awproto.SettleRequest) (*awproto.SettleReply, error) {
	if s.hung {
		<-ctx.Done()
	}
	return &awproto.SettleReply{State: s.settle, Incarnation: s.id.Incarnation}, nil
}

func (s *scriptedAgent) Serve(stream awproto.DRPCAgent_ServeStream) error {
	up, err := stream.Recv()
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.starts = append(s.starts, up.GetStart())
	s.mu.Unlock()
	return s.serve(s, stream, up.GetStart())
}

var errBroken = errors.New("link broke")

func breakLink(*scriptedAgent, awproto.DRPCAgent_ServeStream, *awproto.ServeStart) error {
	return errBroken
}

// sendTokens sends the tokens from the resume point up to until. The complete
// answer has three tokens; if until is lower, the link then breaks, otherwise End
// follows.
func sendTokens(until uint32) func(*scriptedAgent, awproto.DRPCAgent_ServeStream, *awproto.ServeStart) error {
	return func(s *scriptedAgent, stream awproto.DRPCAgent_ServeStream, start *awproto.ServeStart) error {
		send := func(d *awproto.ServeDown) { _ = stream.Send(d) }
		send(&awproto.ServeDown{Body: &awproto.ServeDown_Accepted{Accepted: &awproto.Accepted{VersionDigest: s.digest}}})
		frames := uint64(0)
		for i := start.ResumeFrom; i < until; i++ {
			send(&awproto.ServeDown{Body: &awproto.ServeDown_Frame{Frame: &awproto.Frame{
				Number: frames, FirstToken: i, Tokens: 1, Data: []byte{byte('a' + i)}, VersionDigest: s.digest,
			}}})
			frames++
		}
		if until < 3 {
			for range frames {
				<-s.delivered
			}
			s.unroute()
			return errBroken
		}
		send(&awproto.ServeDown{Body: &awproto.ServeDown_End{End: &awproto.End{Frames: frames, Tokens: until}}})
		return nil
	}
}

// withAgents returns an entry that routes to the agents in the given order: only
// the first one is in the entry's failure domain.
func withAgents(t *testing.T, agents ...*scriptedAgent) *Entry {
	b := newTestbed(t)
	e := b.entry("entry", "north", b.url, awclock.System{})
	for i, s := range agents {
		lis, err := awrpc.Listen("127.0.0.1:0", nil)
		require.NoError(t, err)
		mux := drpcmux.New()
		s.id = &awproto.ProcessIdentity{Process: "awagent", Instance: string(rune('A' + i)), Incarnation: 7}
		require.NoError(t, awproto.DRPCRegisterAgent(mux, s))
		ctx, stop := context.WithCancel(context.Background())
		t.Cleanup(stop)
		go func() { _ = awrpc.NewServer(mux, func(error) {}).Serve(ctx, lis) }()
		domain := "north"
		if i > 0 {
			domain = "south"
		}
		link := &agentLink{
			info: awstore.Instance{ID: s.id.Instance, Address: lis.Addr().String(), Domain: domain},
			report: &awproto.AgentReport{
				Incarnation: 7, State: awproto.AgentState_READY, Limit: 8,
				Models: []*awproto.ReadyModel{{Model: "m", VersionDigest: s.digest}, {Model: "service/s"}},
			},
		}
		link.resetLost()
		e.fleet.agents[s.id.Instance] = link
		s.unroute = func() { e.fleet.suspect(link) }
	}
	return e
}

// deliverySink signals each frame that was delivered to the caller.
type deliverySink struct {
	sink
	delivered chan struct{}
}

func (n deliverySink) writeFrame(f awstream.Frame) error {
	err := n.sink.writeFrame(f)
	n.delivered <- struct{}{}
	return err
}

// dispatch sends one request through the entry and returns its error.
func dispatch(e *Entry, start *awproto.ServeStart, out sink) error {
	return dispatchWithin(e, start, out, testTimeout)
}

func dispatchWithin(e *Entry, start *awproto.ServeStart, out sink, limit time.Duration) error {
	req := e.newRequest(httptest.NewRecorder())
	req.deadline = time.Now().Add(limit)
	ctx, end := req.withDeadline(context.Background())
	defer end()
	defer req.release()
	return e.dispatch(ctx, req, start, out)
}

// Guards NotRunIsTrue and AtMostOnce when a link breaks before an answer: only
// the agent's permanent refusal proves that the call did not run, and a call that
// may have run is not sent again.
func TestBrokenLinkIsSettled(t *testing.T) {
	for state, want := range map[awproto.AttemptState]awoutcome.Outcome{
		awproto.AttemptState_ATTEMPT_REFUSED_FOR_GOOD: awoutcome.NotRun,
		awproto.AttemptState_ATTEMPT_RUNNING:          awoutcome.Unknown,
		awproto.AttemptState_ATTEMPT_FINISHED:         awoutcome.Unknown,
		awproto.AttemptState_ATTEMPT_NEVER_SEEN:       awoutcome.Unknown,
		awproto.AttemptState_ATTEMPT_FORGOTTEN:        awoutcome.Unknown,
	} {
		t.Run(state.String(), func(t *testing.T) {
			first := &scriptedAgent{serve: breakLink, settle: state}
			second := &scriptedAgent{serve: func(_ *scriptedAgent, s awproto.DRPCAgent_ServeStream, _ *awproto.ServeStart) error {
				return s.Send(&awproto.ServeDown{Body: &awproto.ServeDown_End{End: &awproto.End{Status: 200}}})
			}}
			e := withAgents(t, first, second)
			err := dispatch(e, &awproto.ServeStart{Model: "service/s", Service: &awproto.ServiceCall{}}, &bufferSink{})
			if want == awoutcome.NotRun {
				require.NoError(t, err, "the second agent gets the call")
				require.Len(t, second.starts, 1)
				return
			}
			var oe *awoutcome.Error
			require.ErrorAs(t, err, &oe)
			require.Equal(t, want, oe.Outcome)
			require.Empty(t, second.starts)
		})
	}
}

// Guards WholeAnswer and NoMixedWeights: an interrupted stream resumes after the
// last delivered token, and only on an agent with the same weights.
func TestStreamResumes(t *testing.T) {
	start := func() *awproto.ServeStart {
		return &awproto.ServeStart{Model: "m", MaxTokens: 3, Repeatable: true}
	}
	delivered := make(chan struct{}, 10)
	first := &scriptedAgent{digest: "d", serve: sendTokens(2), delivered: delivered}
	same := &scriptedAgent{digest: "d", serve: sendTokens(3)}
	w := httptest.NewRecorder()
	require.NoError(t, dispatch(withAgents(t, first, same), start(), deliverySink{&sseSink{w: w}, delivered}))
	require.Len(t, same.starts, 1)
	require.EqualValues(t, 2, same.starts[0].ResumeFrom)
	require.Equal(t, "d", same.starts[0].VersionDigest)
	for _, text := range []string{"a", "b", "c"} {
		require.Equal(t, 1, strings.Count(w.Body.String(), `"text":"`+text+`"`))
	}
	require.Contains(t, w.Body.String(), "[DONE]")

	delivered = make(chan struct{}, 10)
	first = &scriptedAgent{digest: "d", serve: sendTokens(2), delivered: delivered}
	other := &scriptedAgent{digest: "e", serve: sendTokens(3)}
	w = httptest.NewRecorder()
	require.ErrorIs(t, dispatch(withAgents(t, first, other), start(), deliverySink{&sseSink{w: w}, delivered}), errReported)
	require.Empty(t, other.starts)
	require.Contains(t, w.Body.String(), "event: error")
	require.NotContains(t, w.Body.String(), "[DONE]")

	// No part of a collected answer has reached the caller, so other weights may
	// answer from the start.
	delivered = make(chan struct{}, 10)
	first = &scriptedAgent{digest: "d", serve: sendTokens(2), delivered: delivered}
	other = &scriptedAgent{digest: "e", serve: sendTokens(3)}
	out := &jsonSink{}
	require.NoError(t, dispatch(withAgents(t, first, other), start(), deliverySink{out, delivered}))
	require.Equal(t, "abc", out.text.String())
	require.Equal(t, "e", out.version)
}

// Guards the limits on headers, body and held bytes: a request beyond them is
// refused with the right status, reason and outcome, and holds no bytes after.
func TestRequestBounds(t *testing.T) {
	b := newTestbed(t)
	e := b.entry("entry", "north", b.url, awclock.System{})
	for name, tc := range map[string]struct {
		header map[string]string
		body   int
		held   int
		want   awoutcome.Reason
		status int
	}{
		"fine":             {nil, 10, 0, "", 0},
		"priority":         {map[string]string{awhttp.HeaderPriority: "10"}, 1, 0, awoutcome.BadRequest, 400},
		"deadline":         {map[string]string{awhttp.HeaderDeadline: "soon"}, 1, 0, awoutcome.BadRequest, 400},
		"deadline too far": {map[string]string{awhttp.HeaderDeadline: "99999999"}, 1, 0, awoutcome.BadRequest, 400},
		"long key":         {map[string]string{awhttp.HeaderKey: strings.Repeat("k", 256)}, 1, 0, awoutcome.BadRequest, 400},
		"large body":       {nil, 1<<20 + 1, 0, awoutcome.BodyTooLarge, 413},
		"too much held":    {nil, 10, 64<<20 - 5, awoutcome.Overloaded, 429},
	} {
		t.Run(name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(strings.Repeat("x", tc.body)))
			for k, v := range tc.header {
				r.Header.Set(k, v)
			}
			w := httptest.NewRecorder()
			req := e.newRequest(w)
			require.True(t, req.reserve(tc.held))
			err := e.parse(w, r, req)
			req.release()
			require.Zero(t, e.byteBudget.Held())
			if tc.want == "" {
				require.NoError(t, err)
				return
			}
			e.refuse(w, err)
			require.Equal(t, tc.status, w.Code)
			require.Equal(t, "not-run", w.Header().Get(awhttp.HeaderOutcome))
			require.Contains(t, w.Body.String(), string(tc.want))
		})
	}
	var oe *awoutcome.Error
	require.ErrorAs(t, bodyError(os.ErrDeadlineExceeded), &oe)
	require.Equal(t, http.StatusRequestTimeout, awhttp.Status(oe.Reason))
}

// Guards GracefulStop when an agent stops between the last permitted token and
// the End message: the answer is complete and is not resumed.
func TestLostEndOfCompleteAnswer(t *testing.T) {
	first := &scriptedAgent{digest: "d", serve: func(s *scriptedAgent, stream awproto.DRPCAgent_ServeStream, _ *awproto.ServeStart) error {
		_ = stream.Send(&awproto.ServeDown{Body: &awproto.ServeDown_Accepted{Accepted: &awproto.Accepted{VersionDigest: s.digest}}})
		_ = stream.Send(&awproto.ServeDown{Body: &awproto.ServeDown_Frame{Frame: &awproto.Frame{
			Tokens: 3, Data: []byte("abc"), VersionDigest: s.digest,
		}}})
		<-s.delivered
		return errBroken
	}, delivered: make(chan struct{}, 1)}
	second := &scriptedAgent{digest: "d", serve: breakLink}
	e, w := withAgents(t, first, second), httptest.NewRecorder()
	start := &awproto.ServeStart{Model: "m", MaxTokens: 3, Repeatable: true}
	require.NoError(t, dispatch(e, start, deliverySink{&sseSink{w: w}, first.delivered}))
	require.Empty(t, second.starts)
	require.Contains(t, w.Body.String(), "[DONE]")
}

// crashOn returns a fake engine that crashes under each prompt with the given text.
func crashOn(text string) func(*scriptedAgent, awproto.DRPCAgent_ServeStream, *awproto.ServeStart) error {
	return func(s *scriptedAgent, stream awproto.DRPCAgent_ServeStream, start *awproto.ServeStart) error {
		if !strings.Contains(string(start.Body), text) {
			return sendTokens(3)(s, stream, start)
		}
		return stream.Send(&awproto.ServeDown{Body: &awproto.ServeDown_Failure{Failure: awproto.NewFailure(
			&awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.EngineCrashed, Engine: strconv.Itoa(len(s.starts))})}})
	}
}

// Guards against a prompt that crashes engine after engine.
func TestDeadlyPromptIsRefused(t *testing.T) {
	var agents []*scriptedAgent
	for range 8 {
		agents = append(agents, &scriptedAgent{digest: "d", serve: crashOn("deadly")})
	}
	e := withAgents(t, agents...)
	prompt := func(middle string, n int) *awproto.ServeStart {
		body := strings.Repeat("system ", 50) + strings.Repeat(middle, 50) + strings.Repeat(strconv.Itoa(n), 300)
		return &awproto.ServeStart{Model: "m", MaxTokens: 3, Repeatable: true, Body: []byte(body)}
	}
	var err error
	for n := range 10 {
		// The deadline ends a request that waits for the retry budget.
		err = dispatchWithin(e, prompt("deadly", n), &jsonSink{}, 300*time.Millisecond)
		require.Error(t, err)
		require.NoError(t, dispatch(e, prompt("sound", n), &jsonSink{}))
	}
	crashes := 0
	for _, a := range agents {
		for _, start := range a.starts {
			if strings.Contains(string(start.Body), "deadly") {
				crashes++
			}
		}
	}
	require.LessOrEqual(t, crashes, 5)
	var oe *awoutcome.Error
	require.ErrorAs(t, err, &oe)
	require.Equal(t, awoutcome.Quarantined, oe.Reason)
	require.Equal(t, awoutcome.NotRun, oe.Outcome)
	require.Positive(t, oe.RetryAfterMs)
}
