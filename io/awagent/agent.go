// Package awagent is the daemon beside one backend server.
//
// It is the only way to its backend server, so every limit that protects the
// backend server is enforced here. It holds the weights of the version it is
// placed for, serves them to other agents and gives the engine its commands.
package awagent

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"arbutuswind/core/awadmit"
	"arbutuswind/core/awclock"
	"arbutuswind/core/awconfig"
	"arbutuswind/core/awledger"
	"arbutuswind/io/awengine"
	"arbutuswind/io/awhttp"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
	"arbutuswind/io/awsettings"
	"arbutuswind/io/awstore"
)

// ServicePrefix marks the routing name of a plain service.
const ServicePrefix = "service/"

// Config is what an agent is built from.
type Config struct {
	Settings    awsettings.Agent
	Clock       awclock.Clock
	Logger      log.Logger
	Tracer      trace.Tracer
	Incarnation uint64 // larger for every later start
}

// Agent is the daemon. Create it with [New].
type Agent struct {
	cfg      Config
	identity *awproto.ProcessIdentity
	engine   *awengine.Client
	store    *awstore.Client
	dialer   *awrpc.Dialer
	weights  *weightStore

	mu       sync.Mutex
	gate     *awadmit.Gate
	attempts *awledger.Attempts
	view     awconfig.AgentView
	ready    *awproto.ReadyModel // nil until version and digest are confirmed
	state    awproto.AgentState
	bootID   string
	draining bool
	changed  chan struct{} // closed and replaced when the report changes
	running  sync.WaitGroup
}

// New returns an agent that does nothing until [Agent.Run].
func New(cfg Config) *Agent {
	s := cfg.Settings
	a := &Agent{
		cfg: cfg,
		identity: &awproto.ProcessIdentity{
			Process: "awagent", Instance: s.Process.Instance, Domain: s.Process.Domain,
			Region: s.Process.Region, Incarnation: cfg.Incarnation, Address: cmp.Or(s.Listen.Advertised, s.Listen.Inner),
		},
		engine: awengine.New(s.Backend.URL),
		store: awstore.New(awstore.Config{
			OriginURL: s.Platform.OriginURL, InstanceListURL: s.Platform.InstanceListURL, Timeout: s.Platform.Timeout.Std(),
		}),
		gate: awadmit.NewGate(awadmit.Config{
			MaxInFlight: s.Limits.MaxInFlight, ColdInFlight: s.Limits.ColdInFlight,
			MemoryBytes: s.Limits.MemoryBytes, BytesPerToken: s.Limits.BytesPerToken,
		}),
		attempts: awledger.NewAttempts(),
		changed:  make(chan struct{}),
	}
	a.dialer = awrpc.NewDialer(awrpc.DialerConfig{Identity: a.identity, Revision: a.revision})
	a.weights = newWeightStore(a.store)
	if s.Backend.Service != "" {
		a.ready = &awproto.ReadyModel{Model: ServicePrefix + s.Backend.Service}
		a.state = awproto.AgentState_READY
		a.gate.SetCold(false)
	}
	return a
}

// Run serves until ctx ends, then stops gracefully. Binding the internal
// address comes first: a second agent on the same instance fails here and
// never gives a command.
func (a *Agent) Run(ctx context.Context) error {
	s := a.cfg.Settings
	inner, err := awrpc.Listen(s.Listen.Inner, nil)
	if err != nil {
		return err
	}
	local, err := net.Listen("tcp", s.Listen.Local)
	if err != nil {
		_ = inner.Close()
		return eris.Wrapf(err, "listen on %s", s.Listen.Local)
	}
	mux := drpcmux.New()
	if err := awproto.DRPCRegisterAgent(mux, &innerServer{agent: a}); err != nil {
		return eris.Wrap(err, "register agent service")
	}
	_ = a.cfg.Logger.Log("Message", "agent started", "Address", s.Listen.Inner, "Incarnation", a.cfg.Incarnation)

	serveCtx, stop := context.WithCancel(context.Background())
	defer stop()
	group, serveCtx := errgroup.WithContext(serveCtx)
	server := awrpc.NewServer(mux, func(error) {})
	group.Go(func() error { return server.Serve(serveCtx, inner) })
	group.Go(func() error { return a.serveLocal(serveCtx, local) })
	if s.Backend.Service == "" {
		group.Go(func() error { a.watchEngine(serveCtx); return nil })
	}
	group.Go(func() error { a.announceLoop(serveCtx); return nil })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			a.drain()
		case <-serveCtx.Done():
		}
		stop()
		return nil
	})
	err = group.Wait()
	_ = a.dialer.Close()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// drain refuses new work and waits for running requests.
func (a *Agent) drain() {
	a.mu.Lock()
	a.draining = true
	a.state = awproto.AgentState_DRAINING
	a.notify()
	a.mu.Unlock()
	done := make(chan struct{})
	go func() {
		a.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		_ = a.cfg.Logger.Log("Message", "agent stopped", "CutRequests", 0)
	case <-time.After(a.cfg.Settings.Timing.Drain.Std()):
		a.mu.Lock()
		n := a.gate.InFlight()
		a.mu.Unlock()
		_ = a.cfg.Logger.Log("Message", "drain deadline reached", "CutRequests", n)
	}
}

// notify wakes the watchers. The caller holds mu.
func (a *Agent) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *Agent) revision() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view.Revision
}

// acceptView takes over a newer view and ignores any other.
func (a *Agent) acceptView(v awconfig.AgentView) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if v.Revision <= a.view.Revision {
		return
	}
	a.view = v
	a.notify()
}

// report returns what entries are told about this agent.
func (a *Agent) report() (*awproto.AgentReport, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &awproto.AgentReport{
		Incarnation: a.cfg.Incarnation, State: a.state, ViewRevision: a.view.Revision,
		InFlight: uint32(a.gate.InFlight()), Limit: uint32(a.gate.Limit()), FreeMemoryBytes: a.gate.FreeMemory(),
		Transfer: a.weights.report(),
	}
	if a.ready != nil {
		r.Models = append(r.Models, a.ready)
	}
	return r, a.changed
}

func (a *Agent) serveLocal(ctx context.Context, lis net.Listener) error {
	srv := awhttp.NewServer(a.localHandler())
	go func() {
		<-ctx.Done()
		_ = srv.Close()
	}()
	if err := srv.Serve(lis); err != http.ErrServerClosed {
		return eris.Wrap(err, "local listener")
	}
	return nil
}
