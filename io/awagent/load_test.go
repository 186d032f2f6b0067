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

// bench is an agent that is not running, beside a stand-in engine. The test
// takes each step of its loops itself.
type bench struct {
	t      *testing.T
	agent  *Agent
	engine string // URL
	clock  *awclock.Fake
	loads  atomic.Int32
}

func newBench(t *testing.T, cfg awstandin.EngineConfig) *bench {
	b := &bench{t: t, clock: awclock.NewFake(time.Now())}
	engine := awstandin.NewEngine(cfg).Handler()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/commands/load" {
			b.loads.Add(1)
		}
		engine.ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	b.engine = srv.URL
	s := awsettings.DefaultAgent()
	s.Process = awsettings.Process{Instance: "a", Domain: "merrimack", Region: "north"}
	s.Backend.URL = srv.URL
	b.agent = New(Config{
		Settings: s, Clock: b.clock, Logger: log.NewNopLogger(), Tracer: noop.NewTracerProvider().Tracer(""), Incarnation: 1,
	})
	local := httptest.NewServer(b.agent.localHandler())
	t.Cleanup(local.Close)
	b.agent.cfg.Settings.Listen.Local = local.Listener.Addr().String()
	return b
}

// hold gives the agent a whole version and returns its digest.
func (b *bench) hold(version string) string {
	data := []byte("weights of " + version)
	m := awweights.NewManifest("rota", version, data, 8)
	raw, err := m.Encode()
	require.NoError(b.t, err)
	digest := awweights.Digest(raw)
	_, err = b.agent.weights.add(digest, raw)
	require.NoError(b.t, err)
	for i, want := range m.Chunks {
		require.True(b.t, b.agent.weights.Put(digest, i, want, data[i*8:min(len(data), (i+1)*8)]))
	}
	return digest
}

func (b *bench) place(revision uint64, version, digest string) {
	b.agent.acceptView(awconfig.AgentView{
		Revision: revision, Instance: "a", Fencing: awconfig.FencingChecked,
		Placement: awconfig.Placement{Model: "rota", Version: version, Digest: digest, Fence: revision},
	})
}

func (b *bench) fault(json string) {
	resp, err := http.Post(b.engine+"/fault", "application/json", strings.NewReader(json))
	require.NoError(b.t, err)
	require.NoError(b.t, resp.Body.Close())
}

// wait lets time pass in a process that keeps running.
func (b *bench) wait(d time.Duration) {
	b.clock.Advance(d)
	b.agent.mu.Lock()
	b.agent.lastTick = b.clock.Now()
	b.agent.mu.Unlock()
}

func (b *bench) report() *awproto.AgentReport {
	r, _ := b.agent.report()
	return r
}

// Guards against a second load command after a lost reply, and against ready
// being reported on the word of a command alone.
func TestLostLoadReply(t *testing.T) {
	b := newBench(t, awstandin.EngineConfig{Fencing: true})
	digest := b.hold("v1")
	b.place(1, "v1", digest)
	b.fault(`{"LoseLoad": true}`)
	require.NoError(t, b.agent.reconcileEngine(context.Background()))
	require.Equal(t, int32(1), b.loads.Load())
	require.Equal(t, digest, b.report().Models[0].VersionDigest)
	require.NoError(t, b.agent.reconcileEngine(context.Background()))
	require.Equal(t, int32(1), b.loads.Load())
}

// Guards against a version that cannot be loaded being tried without end and
// without the operators' knowledge.
func TestFailedLoadIsReported(t *testing.T) {
	b := newBench(t, awstandin.EngineConfig{})
	digest := b.hold("v1")
	b.place(1, "v1", digest)
	b.fault(`{"FailLoad": true}`)
	for i := range maxLoadFailures {
		require.Empty(t, b.report().Transfer.Error)
		require.Error(t, b.agent.reconcileEngine(context.Background()))
		require.Equal(t, int32(i+1), b.loads.Load())
		require.NoError(t, b.agent.reconcileEngine(context.Background()), "too early for the next try")
		require.Equal(t, int32(i+1), b.loads.Load())
		b.wait(maxLoadBackoff)
	}
	require.Contains(t, b.report().Transfer.Error, "load failed 3 times")
	require.Equal(t, digest, b.report().Transfer.VersionDigest)

	b.fault(`{"FailLoad": false}`)
	require.NoError(t, b.agent.reconcileEngine(context.Background()))
	require.Empty(t, b.report().Transfer.Error)
	require.Len(t, b.report().Models, 1)
}

// Guards against an agent with an old placement that takes an engine back
// from its successor.
func TestOldFencingTokenGivesNoCommand(t *testing.T) {
	b := newBench(t, awstandin.EngineConfig{Fencing: true})
	newer, older := b.hold("v2"), b.hold("v1")
	b.place(7, "v2", newer)
	require.NoError(t, b.agent.reconcileEngine(context.Background()))
	b.agent.mu.Lock()
	b.agent.view.Placement = awconfig.Placement{Model: "rota", Version: "v1", Digest: older, Fence: 3}
	b.agent.mu.Unlock()
	require.ErrorContains(t, b.agent.reconcileEngine(context.Background()), "fencing token")
	require.Equal(t, int32(1), b.loads.Load())
	require.Empty(t, b.report().Models)
}

// Guards against a process that was paused giving a command on an old view.
func TestNoCommandAfterPause(t *testing.T) {
	b := newBench(t, awstandin.EngineConfig{})
	b.place(1, "v1", b.hold("v1"))
	b.clock.Advance(time.Minute)
	require.NoError(t, b.agent.reconcileEngine(context.Background()))
	require.Zero(t, b.loads.Load())
	b.clock.Advance(time.Second)
	b.agent.contact(true)
	require.NoError(t, b.agent.reconcileEngine(context.Background()))
	require.Equal(t, int32(1), b.loads.Load())
}

// Guards against chunks of one version being served or loaded as part of
// another that is published under the same name.
func TestVersionsNeverMix(t *testing.T) {
	b := newBench(t, awstandin.EngineConfig{})
	w := b.agent.weights
	whole := b.hold("v1")
	m := awweights.NewManifest("rota", "v1", []byte("other weights of v1"), 8)
	raw, err := m.Encode()
	require.NoError(t, err)
	part := awweights.Digest(raw)
	_, err = w.add(whole, raw)
	require.Error(t, err, "a manifest under another digest")
	_, err = w.add(part, raw)
	require.NoError(t, err)
	require.False(t, w.Put(part, 0, m.Chunks[0], []byte("weights ")), "a chunk of the other version")
	require.True(t, w.Put(part, 0, m.Chunks[0], []byte("other we")))
	require.False(t, w.Complete(part))
	require.Error(t, w.SendTo(httptest.NewRecorder(), part))
	rec := httptest.NewRecorder()
	require.NoError(t, w.SendTo(rec, whole))
	require.Equal(t, "weights of v1", rec.Body.String())
	w.setLoaded(whole)
	w.retain(part)
	require.True(t, w.Complete(whole), "the version loaded last is kept to go back to")
	w.setLoaded(part)
	w.retain(part)
	require.False(t, w.Complete(whole), "a version that is not wanted is dropped")
	w.retain()
	require.Nil(t, w.Held(part), "nothing is held where nothing is placed")
}
