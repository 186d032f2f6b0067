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
	"arbutuswind/core/awretry"
	"arbutuswind/io/awbackend"
	"arbutuswind/io/awwatch"
)

// startEngine starts a backend server of the service "s" with a version of the model
// "m". It calls serve after it has read a request.
func startEngine(t *testing.T, id string, version int64, serve http.HandlerFunc) awdirectory.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		serve(w, req)
	}))
	t.Cleanup(server.Close)
	return awdirectory.Server{
		ID: id, Service: "s", Address: server.Listener.Addr().String(), Slots: 1, Domain: "d", Region: "r", Versions: map[string]int64{"m": version},
	}
}

// Guards rule VERSION: a request that waits inside its engine until the version
// there runs out must be withdrawn and sent to an engine with the newer one. The
// engine may begin it seconds later.
func TestRequestIsWithdrawnWhenVersionRunsOut(t *testing.T) {
	arrived, withdrawn := make(chan struct{}), make(chan struct{})
	outdated := startEngine(t, "a", 1, func(_ http.ResponseWriter, req *http.Request) {
		close(arrived)
		<-req.Context().Done() // the request waits without limit
		close(withdrawn)
		panic(http.ErrAbortHandler)
	})
	newer := startEngine(t, "b", 2, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "id: 1\ndata: x\n\n") })
	clock := awclock.NewFake(time.Now())
	g := New(Config{
		Clock: clock, Logger: log.NewNopLogger(), Headers: plainHeaders{}, Domain: "d", Region: "r", Instance: "e",
		Pool: awbackend.NewPool(awbackend.Config{Clock: awclock.System{}}), Retry: awretry.WindowConfig{MinRetries: 100, Window: 10 * time.Second},
	})
	require.True(t, g.Configure((&awdirectory.Config{
		Version: 1, Services: []awdirectory.Service{{Name: "s", Engine: true, Model: awdirectory.Model{Name: "m"}}},
		Routes: []awdirectory.Route{{
			Name: "events", Host: "h", Prefix: "/", Kind: awdirectory.Stream, Resumable: true, Public: true, MaxAttempts: 3,
			Timeout: time.Minute, LatencyObjective: time.Minute, MaxEventGap: time.Minute, Targets: []awdirectory.Target{{Service: "s", Weight: 1}},
		}},
	}).Index()))
	state := awwatch.State{Servers: []awdirectory.Server{outdated}, Entries: []awdirectory.Entry{{Name: "e"}}}
	g.Apply(state)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go g.Run(ctx)
	entry := httptest.NewServer(g)
	defer entry.Close()
	body := make(chan string, 1)
	go func() {
		defer close(body)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, entry.URL+"/x", nil)
		if err != nil {
			return
		}
		req.Host = "h"
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		data, _ := io.ReadAll(resp.Body)
		body <- string(data)
	}()
	<-arrived

	var versions awdirectory.VersionTracker
	versions.MaxStaleness = 8 * time.Second
	versions.SetDesired("m", 2, clock.Now())
	state.Servers, state.Floors = append(state.Servers, newer), versions.Floors()
	g.Apply(state)
	clock.Advance(versions.MaxStaleness - 500*time.Millisecond)
	select {
	case <-withdrawn:
		require.Fail(t, "withdrawn while the engine may still begin the request")
	case <-time.After(4 * dispatchInterval):
	}
	clock.Advance(400 * time.Millisecond)
	<-withdrawn
	require.Equal(t, "id: 1\ndata: x\n\n", <-body)
}
