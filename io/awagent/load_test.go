package awagent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awconfig"
	"arbutuswind/core/awweights"
	"arbutuswind/internal/awstandin"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awsettings"
)

// harness holds an agent whose loops do not run, and a stand-in engine. The
// test runs each step of the loops itself.
type harness struct {
	t         *testing.T
	agent     *Agent
	engineURL string
	clock     *awclock.Fake
	loads     atomic.Int32
}

func newHarness(t *testing.T, cfg awstandin.EngineConfig) *harness {
	h := &harness{t: t, clock: awclock.NewFake(time.Now())}
	engine := awstandin.NewEngine(cfg).Handler()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/commands/load" {
			h.loads.Add(1)
		}
		engine.ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	h.engineURL = srv.URL
	s := awsettings.DefaultAgent()
	s.Process = awsettings.Process{Instance: "a", Domain: "merrimack", Region: "north"}
	s.Backend.URL = srv.URL
	h.agent = New(Config{
		Settings: s, Clock: h.clock, Logger: log.NewNopLogger(), Tracer: noop.NewTracerProvider().Tracer(""), Incarnation: 1,
	})
	local := httptest.NewServer(h.agent.localHandler())
	t.Cleanup(local.Close)
	h.agent.cfg.Settings.Listen.Local = local.Listener.Addr().String()
	return h
}

// addVersion gives the agent a complete version and returns its digest.
func (h *harness) addVersion(version string) string {
	data := []byte("weights of " + version)
	m := awweights.NewManifest("rota", version, data, 8)
	raw, err := m.Encode()
	require.NoError(h.t, err)
	digest := awweights.Digest(raw)
	_, err = h.agent.weights.addVersion(digest, raw)
	require.NoError(h.t, err)
	for i, want := range m.Chunks {
		require.True(h.t, h.agent.weights.Put(digest, i, want, data[i*8:min(len(data), (i+1)*8)]))
	}
	return digest
}

func (h *harness) setPlacement(revision uint64, version, digest string) {
	h.agent.acceptView(awconfig.AgentView{
		Revision: revision, Instance: "a", Fencing: awconfig.FencingChecked,
		Placement: awconfig.Placement{Model: "rota", Version: version, Digest: digest, Fence: revision},
	})
}

func (h *harness) injectFault(json string) {
	resp, err := http.Post(h.engineURL+"/fault", "application/json", strings.NewReader(json))
	require.NoError(h.t, err)
	require.NoError(h.t, resp.Body.Close())
}

// advance moves the clock without the agent taking it for a process pause.
func (h *harness) advance(d time.Duration) {
	h.clock.Advance(d)
	h.agent.mu.Lock()
	h.agent.lastPauseCheck = h.clock.Now()
	h.agent.mu.Unlock()
}

func (h *harness) report() *awproto.AgentReport {
	r, _ := h.agent.report()
	return r
}

// Guards against a second load command after a lost reply, and against a
// version reported as ready only because its load command succeeded.
func TestLostLoadReply(t *testing.T) {
	h := newHarness(t, awstandin.EngineConfig{Fencing: true})
	digest := h.addVersion("v1")
	h.setPlacement(1, "v1", digest)
	h.injectFault(`{"LoseLoad": true}`)
	require.NoError(t, h.agent.reconcileEngine(context.Background()))
	require.Equal(t, int32(1), h.loads.Load())
	require.Equal(t, digest, h.report().Models[0].VersionDigest)
	require.NoError(t, h.agent.reconcileEngine(context.Background()))
	require.Equal(t, int32(1), h.loads.Load())
}

// Guards against a version that cannot be loaded being retried forever without
// backoff and without being reported.
func TestFailedLoadIsReported(t *testing.T) {
	h := newHarness(t, awstandin.EngineConfig{})
	digest := h.addVersion("v1")
	h.setPlacement(1, "v1", digest)
	h.injectFault(`{"FailLoad": true}`)
	for i := range maxLoadFailures {
		require.Empty(t, h.report().Transfer.Error)
		require.Error(t, h.agent.reconcileEngine(context.Background()))
		require.Equal(t, int32(i+1), h.loads.Load())
		require.NoError(t, h.agent.reconcileEngine(context.Background()), "retried before the backoff has passed")
		require.Equal(t, int32(i+1), h.loads.Load())
		h.advance(maxLoadBackoff)
	}
	require.Contains(t, h.report().Transfer.Error, "load failed 3 times")
	require.Equal(t, digest, h.report().Transfer.VersionDigest)

	h.injectFault(`{"FailLoad": false}`)
	require.NoError(t, h.agent.reconcileEngine(context.Background()))
	require.Empty(t, h.report().Transfer.Error)
	require.Len(t, h.report().Models, 1)
}

// Guards against an agent with an outdated placement loading its version on an
// engine that already follows a newer placement.
func TestOldFencingTokenGivesNoCommand(t *testing.T) {
	h := newHarness(t, awstandin.EngineConfig{Fencing: true})
	newer, older := h.addVersion("v2"), h.addVersion("v1")
	h.setPlacement(7, "v2", newer)
	require.NoError(t, h.agent.reconcileEngine(context.Background()))
	h.agent.mu.Lock()
	h.agent.view.Placement = awconfig.Placement{Model: "rota", Version: "v1", Digest: older, Fence: 3}
	h.agent.mu.Unlock()
	require.ErrorContains(t, h.agent.reconcileEngine(context.Background()), "fencing token")
	require.Equal(t, int32(1), h.loads.Load())
	require.Empty(t, h.report().Models)
}

// Guards against a process sending a load command based on the view from before
// a process pause.
func TestNoCommandAfterPause(t *testing.T) {
	h := newHarness(t, awstandin.EngineConfig{})
	h.setPlacement(1, "v1", h.addVersion("v1"))
	h.clock.Advance(time.Minute)
	require.NoError(t, h.agent.reconcileEngine(context.Background()))
	require.Zero(t, h.loads.Load())
	h.clock.Advance(time.Second)
	h.agent.recordHeartbeat(true)
	require.NoError(t, h.agent.reconcileEngine(context.Background()))
	require.Equal(t, int32(1), h.loads.Load())
}

// Guards against chunks of one version being served or loaded as part of
// another version published under the same name.
func TestVersionsNeverMix(t *testing.T) {
	h := newHarness(t, awstandin.EngineConfig{})
	w := h.agent.weights
	complete := h.addVersion("v1")
	m := awweights.NewManifest("rota", "v1", []byte("other weights of v1"), 8)
	raw, err := m.Encode()
	require.NoError(t, err)
	partial := awweights.Digest(raw)
	_, err = w.addVersion(complete, raw)
	require.Error(t, err, "manifest with another digest")
	_, err = w.addVersion(partial, raw)
	require.NoError(t, err)
	require.False(t, w.Put(partial, 0, m.Chunks[0], []byte("weights ")), "chunk of another version")
	require.True(t, w.Put(partial, 0, m.Chunks[0], []byte("other we")))
	require.False(t, w.Complete(partial))
	require.Error(t, w.SendTo(httptest.NewRecorder(), partial))
	rec := httptest.NewRecorder()
	require.NoError(t, w.SendTo(rec, complete))
	require.Equal(t, "weights of v1", rec.Body.String())
	w.setLoaded(complete)
	w.retain(partial)
	require.True(t, w.Complete(complete), "the version loaded last must be kept for a rollback")
	w.setLoaded(partial)
	w.retain(partial)
	require.False(t, w.Complete(complete), "a version that is no longer required must be dropped")
	w.retain()
	require.Nil(t, w.Held(partial), "all versions must be dropped if nothing is placed")
}
