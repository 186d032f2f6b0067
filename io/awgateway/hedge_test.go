package awgateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awdispatch"
	"arbutuswind/core/awretry"
	"arbutuswind/io/awbackend"
	"arbutuswind/io/awwatch"
)

// plainHeaders is a codec without any headers of callers and backend servers.
type plainHeaders struct{}

func (plainHeaders) DecodeRequest(http.Header) RequestInfo { return RequestInfo{} }

func (plainHeaders) ForwardHeaders(h http.Header, _ ForwardInfo) http.Header { return h }

func (plainHeaders) DecodeResponse(int, http.Header) ResponseInfo { return ResponseInfo{Signed: true} }

func (plainHeaders) IDHeader() string { return "X-Id" }

// startSilentStream starts a stream at server "a", which never sends anything and
// breaks off when release is closed. The service has the given other servers.
func startSilentStream(t *testing.T, retry awretry.WindowConfig, others ...awdirectory.Server) (g *Gateway, release chan struct{}) {
	release = make(chan struct{})
	arrived := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		close(arrived)
		select {
		case <-release:
		case <-req.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}))
	g = New(Config{
		Clock: awclock.System{}, Logger: log.NewNopLogger(), Headers: plainHeaders{}, Domain: "d", Region: "r",
		Pool: awbackend.NewPool(awbackend.Config{Clock: awclock.System{}}), Retry: retry,
	})
	c := &awdirectory.Config{
		Version: 1, Services: []awdirectory.Service{{Name: "s", ColdRate: 2}},
		Routes: []awdirectory.Route{{
			Name: "events", Host: "h", Prefix: "/", Kind: awdirectory.Stream, Resumable: true, Public: true, MaxAttempts: 3,
			Timeout: 20 * time.Second, LatencyObjective: 40 * time.Second, Targets: []awdirectory.Target{{Service: "s", Weight: 1}},
		}},
	}
	require.True(t, g.Configure(c.Index()))
	near := awdirectory.Server{ID: "a", Service: "s", Address: silent.Listener.Addr().String(), Slots: 1, Domain: "d", Region: "r"}
	g.Apply(awwatch.State{Servers: append(others, near), Entries: []awdirectory.Entry{{Name: "e"}}})
	ctx, cancel := context.WithCancel(context.Background())
	go g.Run(ctx)
	server := httptest.NewServer(g)
	go func() {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+"/x", nil)
		if err != nil {
			return
		}
		req.Host = "h"
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
	t.Cleanup(func() {
		cancel()
		server.Close()
		silent.CloseClientConnections()
		silent.Close()
	})
	<-arrived
	return g, release
}

// submitOthers asks for a slot at any server but "a".
func (g *Gateway) submitOthers() (dec awdispatch.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.dispatch.Submit(awdispatch.Request{
		Service: "s", Deadline: g.cfg.Clock.Now().Add(time.Minute), Avoid: map[awdirectory.Key]bool{{ID: "a"}: true},
	}, func(d awdispatch.Decision) { dec = d })
	g.dispatch.Cancel(t)
	return dec
}

// Guards against a crash of the process: the dispatcher reads which servers a
// queued request avoids while the request adds one. Fails with the race detector.
func TestQueuedHedgeRacesWithDispatcher(t *testing.T) {
	g, release := startSilentStream(t, awretry.WindowConfig{MinRetries: 100, Window: 10 * time.Second},
		awdirectory.Server{ID: "b", Service: "s", Address: "127.0.0.1:1", Slots: 1, Domain: "x", Region: "x"})
	for g.submitOthers().Grant != nil {
	}
	require.Eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.dispatch.Waiting() > 0
	}, 5*time.Second, time.Millisecond)
	time.Sleep(awretry.HedgeDelay(0) + 4*dispatchInterval)
	close(release)
	time.Sleep(4 * dispatchInterval)
}

// Guards against a silent stream that uses up what other servers may be sent,
// though the retry budget forbids to send it to them.
func TestSilentStreamWithoutBudgetTakesNoPlace(t *testing.T) {
	g, _ := startSilentStream(t, awretry.WindowConfig{Window: 10 * time.Second},
		awdirectory.Server{ID: "b", Service: "s", Address: "127.0.0.1:1", Slots: 9, Domain: "x", Region: "x", ColdRemaining: time.Minute})
	time.Sleep(awretry.HedgeDelay(0) + 4*awretry.HedgeRetry)
	require.NotNil(t, g.submitOthers().Grant)
}

// Guards against a pause of the process being taken for silence: timers expire
// before the events are read that have arrived meanwhile.
func TestPauseOfProcessIsNoSilence(t *testing.T) {
	clock := awclock.NewFake(time.Unix(0, 0))
	q := &request{
		g: New(Config{Clock: clock, Logger: log.NewNopLogger()}), route: &awdirectory.Route{MaxAttempts: 1}, avoid: map[awdirectory.Key]bool{},
	}
	s, _ := q.newSend(context.Background(), &awdispatch.Grant{})
	h := hedge{q: q, delay: awretry.HedgeDelay(0)}
	for range 2 {
		clock.Advance(h.delay)
		require.Equal(t, awretry.SilenceRecheck, h.seek())
		require.False(t, s.silent)
		s.recordActivity()
		clock.Advance(awretry.SilenceRecheck)
		require.Equal(t, h.delay-awretry.SilenceRecheck, h.seek())
	}
	clock.Advance(h.delay)
	h.seek()
	h.seek()
	require.True(t, s.silent)
}

// Guards against an overtaken send that keeps its place at a server for as long as
// the caller reads nothing.
func TestOvertakenSendReturnsGrantWhileCallerIsSlow(t *testing.T) {
	g := New(Config{
		Clock: awclock.System{}, Logger: log.NewNopLogger(), Pool: awbackend.NewPool(awbackend.Config{Clock: awclock.System{}}),
	})
	server := awdirectory.Server{ID: "b", Service: "s", Slots: 1}
	g.Apply(awwatch.State{Servers: []awdirectory.Server{server}, Entries: []awdirectory.Entry{{Name: "e"}}})
	grant := g.submitOthers().Grant
	require.NotNil(t, grant)
	q := &request{g: g, route: &awdirectory.Route{}, avoid: map[awdirectory.Key]bool{}}
	s, _ := q.newSend(context.Background(), grant)
	for g.submitOthers().Grant != nil {
	}
	q.forward.Lock() // as while an event is being written
	settled := make(chan struct{})
	go func() {
		q.settle(s, sendResult{outcome: awdispatch.Abandoned, reason: reasonOvertaken})
		close(settled)
	}()
	require.Eventually(t, func() bool { return g.submitOthers().Grant != nil }, time.Second, time.Millisecond)
	q.forward.Unlock()
	<-settled
}

// Guards against GONE: callers leave while their streams wait at a frozen instance,
// which works on them later.
func TestStreamAtLostInstanceIsHedgedEarly(t *testing.T) {
	clock := awclock.NewFake(time.Unix(1000, 0))
	g := New(Config{Clock: clock, Logger: log.NewNopLogger(), Pool: awbackend.NewPool(awbackend.Config{Clock: clock})})
	server := awdirectory.Server{ID: "b", Service: "s", Slots: 1}
	g.Apply(awwatch.State{Servers: []awdirectory.Server{server}, Entries: []awdirectory.Entry{{Name: "e"}}})
	g.dispatch.Report(server.Key(), awdispatch.Load{At: clock.Now()})
	q := &request{g: g, route: &awdirectory.Route{MaxAttempts: 2}, avoid: map[awdirectory.Key]bool{}}
	s, _ := q.newSend(context.Background(), &awdispatch.Grant{Server: server})
	h := hedge{q: q, delay: awretry.HedgeDelay(0)}
	clock.Advance(awretry.LostInstanceDelay)
	require.Zero(t, h.untilSilent(), "neither reports nor events")
	s.recordHeard()
	require.Equal(t, h.delay, h.untilSilent(), "events without reports")
}
