// Package awagent implements the daemon that runs beside one backend server.
//
// All requests to the backend server pass through the agent, so it enforces
// every limit that protects the backend server. It also holds the weights of
// the placed version, uploads them to other agents and sends load commands to
// the engine.
package awagent

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"arbutuswind/core/awadmit"
	"arbutuswind/core/awclock"
	"arbutuswind/core/awconfig"
	"arbutuswind/core/awledger"
	"arbutuswind/core/awthrottle"
	"arbutuswind/io/awengine"
	"arbutuswind/io/awhttp"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
	"arbutuswind/io/awsettings"
	"arbutuswind/io/awstore"
	"arbutuswind/io/awtransfer"
)

const (
	// maxPausedBytes limits the prompts kept for paused streams. It is half of
	// the memory that the agent may use besides weights.
	maxPausedBytes  = 64 << 20
	maxReportedWait = time.Hour
)

// Config configures an [Agent].
type Config struct {
	Settings    awsettings.Agent
	Clock       awclock.Clock
	Logger      log.Logger
	Tracer      trace.Tracer
	Incarnation uint64          // increases with every start of the process
	Forced      <-chan struct{} // closed to cut running requests while draining; nil for never
}

// Agent is the daemon that runs beside one backend server. Create it with
// [New] and start it with [Agent.Run].
type Agent struct {
	cfg      Config
	identity *awproto.ProcessIdentity
	engine   *awengine.Client
	store    *awstore.Client
	dialer   *awrpc.Dialer
	weights  *weightStore
	uploads  *awtransfer.Uploads
	tls      *awrpc.TLS
	metrics  *agentMetrics
	watchers atomic.Int64    // open Watch streams
	cutCtx   context.Context // cancelled to cut running requests
	cut      context.CancelCauseFunc
	running  sync.WaitGroup // requests queued, running or paused

	addresses addressBook
	loadRetry loadRetry

	firstTokenSilence, tokenSilence time.Duration // until the engine counts as failed

	mu                 sync.Mutex
	admission          *awadmit.Controller
	account            awthrottle.Account // what the backend server has said since it started
	rateChanged        chan struct{}      // signals a new rate limit
	attempts           *awledger.AttemptTable
	view               awconfig.AgentView
	requestedRevision  uint64              // highest revision for which a newer view was requested
	ready              *awproto.ReadyModel // nil unless the engine is confirmed to serve this version
	servedDigest       string              // digest of the weights, as reported by the engine
	state              awproto.AgentState
	bootID             string
	trial              trial
	draining           bool
	paused             int       // number of streams paused because their client does not read
	awaitingHeartbeat  bool      // set after a process pause until a heartbeat arrives
	pauseEndedAt       time.Time // end of the last process pause
	lastPauseCheck     time.Time
	lastFreshHeartbeat time.Time     // last heartbeat of an entry with a fresh configuration
	changed            chan struct{} // closed and replaced when the report or the view changes
}

// New returns an agent that is idle until [Agent.Run] is called.
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
		admission: awadmit.NewController(awadmit.Config{
			MaxInFlight: s.Limits.MaxInFlight, ColdInFlight: s.Limits.ColdInFlight,
			MemoryBytes: s.Limits.MemoryBytes, BytesPerToken: s.Limits.BytesPerToken,
			MaxQueue: s.Limits.MaxQueue, QueueBytes: s.Limits.QueueBytes, PausedBytes: maxPausedBytes, Clock: cfg.Clock,
		}),
		tls:            awrpc.NewTLS(s.TLS, cfg.Clock),
		attempts:       awledger.NewAttemptTable(),
		metrics:        newMetrics(),
		lastPauseCheck: cfg.Clock.Now(), lastFreshHeartbeat: cfg.Clock.Now(),
		changed: make(chan struct{}), rateChanged: make(chan struct{}, 1),
		firstTokenSilence: firstTokenSilence, tokenSilence: tokenSilence,
	}
	a.engine.OnSignals(cfg.Clock, a.observeSignals)
	a.cutCtx, a.cut = context.WithCancelCause(context.Background())
	a.metrics.registerGauges(a)
	a.dialer = awrpc.NewDialer(awrpc.DialerConfig{Identity: a.identity, Revision: a.revision, TLS: a.tls.Client})
	a.weights = newWeightStore()
	a.uploads = awtransfer.NewUploads(awtransfer.UploadConfig{
		Clock: cfg.Clock, Holder: a.weights, Region: s.Process.Region, Slots: s.Weights.UploadSlots,
		Rate: bytesPerSecond(s.Weights.LinkMbit), LinkShare: a.linkShare,
	})
	if s.Backend.Service != "" {
		a.ready = &awproto.ReadyModel{Model: awproto.ServicePrefix + s.Backend.Service}
		// A plain service does not report cold starts, so its limit rises only with completed requests.
		a.state = awproto.AgentState_READY
	}
	return a
}

// Run serves until ctx ends, then drains and stops. It returns an error if a
// listener or server fails. It binds the internal address before anything else,
// so that a second agent on the same instance fails there and never sends a
// command to the engine.
func (a *Agent) Run(ctx context.Context) error {
	s := a.cfg.Settings
	guard := awhttp.NewGuard(awhttp.GuardConfig{MemoryBytes: int64(s.Limits.MemoryMiB) << 20, Files: s.Limits.MaxFiles, Logger: a.cfg.Logger})
	inner, err := a.tls.Listen(s.Listen.Inner)
	if err != nil {
		return err
	}
	inner = awrpc.Guard(inner, guard)
	local, err := guard.Listen(s.Listen.Local)
	if err != nil {
		_ = inner.Close()
		return err
	}
	mux := drpcmux.New()
	if err := awproto.DRPCRegisterAgent(mux, &innerServer{agent: a}); err != nil {
		return eris.Wrap(err, "register agent service")
	}
	a.log("Message", "agent started", "Address", s.Listen.Inner, "Incarnation", a.cfg.Incarnation)
	metrics.RegisterSet(a.metrics.set)
	defer metrics.UnregisterSet(a.metrics.set, true)

	serveCtx, stop := context.WithCancel(context.Background())
	defer stop()
	group, serveCtx := errgroup.WithContext(serveCtx)
	server := awrpc.NewServer(mux, awrpc.LogPanics(a.cfg.Logger))
	group.Go(func() error { return server.Serve(serveCtx, inner) })
	group.Go(func() error { guard.Run(serveCtx); return nil })
	group.Go(func() error { return a.serveLocal(serveCtx, local, guard) })
	if s.Backend.Service == "" {
		group.Go(func() error { a.maintainPlacement(serveCtx); return nil })
	}
	group.Go(func() error { a.announceLoop(serveCtx); return nil })
	group.Go(func() error { a.monitorLoop(serveCtx); return nil })
	group.Go(func() error { a.rateLoop(serveCtx); return nil })
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

// notify wakes the goroutines that wait for a changed report or view. The
// caller holds mu.
func (a *Agent) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *Agent) revision() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view.Revision
}

// report returns the report for entries, and a channel that is closed when the
// report changes.
func (a *Agent) report() (*awproto.AgentReport, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &awproto.AgentReport{
		Incarnation: a.cfg.Incarnation, State: a.reportedState(a.cfg.Clock.Now()), ViewRevision: a.view.Revision,
		InFlight: uint32(a.admission.InFlight()), Limit: uint32(a.admission.Startable()), FreeMemoryBytes: a.admission.FreeMemory(),
		Queued: uint32(a.admission.Queued()), WaitMs: uint32(min(a.admission.ExpectedWait(), maxReportedWait).Milliseconds()),
		Transfer: a.weights.report(), Fencing: a.reportedFencing(),
	}
	if a.ready != nil {
		r.Models = append(r.Models, a.ready)
	}
	return r, a.changed
}

func (a *Agent) serveLocal(ctx context.Context, lis net.Listener, guard *awhttp.Guard) error {
	srv := awhttp.NewServer(a.localHandler())
	guard.Protect(srv)
	go func() {
		<-ctx.Done()
		_ = srv.Close()
	}()
	if err := srv.Serve(lis); err != http.ErrServerClosed {
		return eris.Wrap(err, "local listener")
	}
	return nil
}
