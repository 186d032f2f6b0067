package awgateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awdispatch"
	"arbutuswind/core/awquarantine"
	"arbutuswind/core/awretry"
	"arbutuswind/io/awbackend"
)

// Guards against a request that waits for a place while its prompt is found to
// crash engines, and is then sent.
func TestRequestIsBlockedWhileItWaits(t *testing.T) {
	clock := awclock.System{}
	dial := func(context.Context, string) (net.Conn, error) {
		t.Error("the request was sent")
		return nil, errors.New("refused")
	}
	g := New(Config{
		Clock: clock, Logger: log.NewNopLogger(), Headers: noHeaders{}, Pool: awbackend.NewPool(awbackend.Config{Clock: clock, Dial: dial}),
		Retry: awretry.WindowConfig{MinRetries: 10, Window: time.Minute},
	})
	server := awdirectory.Server{ID: "i", Service: "s", Address: "10.0.0.1:1", Slots: 1, Versions: map[string]int64{"m": 1}}
	g.dispatch.SetServices([]awdirectory.Service{{Name: "s", Engine: true}})
	g.dispatch.SetServers([]awdirectory.Server{server})
	deadline := clock.Now().Add(time.Hour)
	var other awdispatch.Decision
	g.dispatch.Submit(awdispatch.Request{Service: "s", Model: "m", Deadline: deadline}, func(d awdispatch.Decision) { other = d })

	w := httptest.NewRecorder()
	q := &request{
		g: g, w: w, start: clock.Now(), deadline: deadline, service: "s", model: "m", avoid: map[awdirectory.Key]bool{},
		info: RequestInfo{ID: "id", SharedParts: []string{"dead"}}, route: &awdirectory.Route{LatencyObjective: 4 * time.Hour},
	}
	done := make(chan struct{})
	go func() { q.run(context.Background()); close(done) }()
	require.Eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.dispatch.Waiting() == 1
	}, time.Minute, time.Millisecond)
	var facts awquarantine.Facts
	for n := range 3 {
		at := clock.Now().Add(-time.Duration(n+1) * time.Second)
		facts.Crashes = append(facts.Crashes, awquarantine.Crash{Engine: fmt.Sprint(n), Request: fmt.Sprint(n), Parts: []string{"dead"}, Sent: at, At: at})
	}
	for _, payload := range encodeFacts(facts, false, clock.Now()) {
		g.HandleFacts(payload)
	}
	q.release(other.Grant, awdispatch.Succeeded)
	<-done
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.NotEmpty(t, w.Header().Get("Retry-After"))
}

// Guards against facts that do not fit into a datagram or do not arrive as sent.
func TestFactsFitIntoDatagrams(t *testing.T) {
	now := time.Unix(1000, 0)
	var facts awquarantine.Facts
	for n := range 40 {
		at := now.Add(-time.Duration(n) * time.Millisecond)
		facts.Crashes = append(facts.Crashes, awquarantine.Crash{
			Engine: fmt.Sprint("engine", n), Request: "r", Parts: []string{strings.Repeat("p", n), "q"}, Sent: at.Add(-time.Second), At: at,
		})
		facts.Sound = append(facts.Sound, awquarantine.Sound{Part: fmt.Sprint("part", n), At: at})
		facts.Refuted = append(facts.Refuted, awquarantine.Refutation{Engine: fmt.Sprint("engine", n), At: at})
	}
	var got awquarantine.Facts
	for i, payload := range encodeFacts(facts, true, now) {
		require.LessOrEqual(t, len(payload), maxFactsBytes+maxFactsBytes/10)
		f, wanted, err := decodeFacts(payload, now)
		require.NoError(t, err)
		require.Equal(t, i == 0, wanted)
		got.Crashes, got.Sound, got.Refuted = append(got.Crashes, f.Crashes...), append(got.Sound, f.Sound...), append(got.Refuted, f.Refuted...)
	}
	require.Equal(t, facts, got)
	_, _, err := decodeFacts([]byte{0xff}, now)
	require.Error(t, err)
}

// noHeaders is a codec for requests whose headers do not matter.
type noHeaders struct{}

func (noHeaders) DecodeRequest(http.Header) RequestInfo                   { return RequestInfo{} }
func (noHeaders) ForwardHeaders(h http.Header, _ ForwardInfo) http.Header { return h }
func (noHeaders) DecodeResponse(int, http.Header) ResponseInfo            { return ResponseInfo{} }
func (noHeaders) IDHeader() string                                        { return "X-Id" }

// Guards against a panic of a task that serves many requests: it must end neither the
// process nor the task.
func TestPanicOfTaskIsContained(t *testing.T) {
	g := New(Config{Clock: awclock.System{}, Logger: log.NewNopLogger()})
	before := g.metrics.panics.Get()
	g.contain("test", func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		panic("bad request")
	})
	require.Equal(t, before+1, g.metrics.panics.Get())
	require.True(t, g.mu.TryLock(), "the lock is released")
}
