// Package awentry implements the entry, the daemon that accepts callers' requests
// and routes them to agents.
//
// An entry has no persistent state of its own: configuration and claims are
// stored in the platform's table service, and the state of agents is rebuilt from
// their heartbeats. When an entry fails, callers see that its running streams
// break off.
//
// Claims that wait for the table service are committed in groups, because the
// write budget counts transactions. Grouping of requests by a proxy process in
// front of a global transaction manager is described in "Postgres-XC
// Architecture, Implementation and Evaluation Version 0.900", section 5.2.
package awentry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awconfig"
	"arbutuswind/core/awledger"
	"arbutuswind/core/awlimit"
	"arbutuswind/core/awquarantine"
	"arbutuswind/core/awretry"
	"arbutuswind/io/awcontrol"
	"arbutuswind/io/awhttp"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
	"arbutuswind/io/awsettings"
	"arbutuswind/io/awstore"
)

// Config configures an entry.
type Config struct {
	Settings    awsettings.Entry
	Clock       awclock.Clock
	Logger      log.Logger
	Tracer      trace.Tracer
	Incarnation uint64          // greater for each start of the instance
	Forced      <-chan struct{} // closed to terminate running requests while draining; may be nil
}

// Entry is one entry process. Create it with [New].
type Entry struct {
	cfg       Config
	identity  *awproto.ProcessIdentity
	store     *awstore.Client
	dialer    *awrpc.Dialer
	holder    *awconfig.Holder
	configLog *awcontrol.Log
	sync      *configSync
	lease     *lease
	tls       *awrpc.TLS
	fleet     *fleet
	claims    *claimStore

	attempts attemptIDs
	draining atomic.Bool
	running  atomic.Int64
	stopped  context.Context // ends when running requests are terminated
	cut      context.CancelCauseFunc

	mu          sync.Mutex
	rng         *rand.Rand
	retryBudget *awretry.Budget
	byteBudget  awlimit.ByteBudget
	waitQueue   awlimit.WaitQueue
	rates       *awlimit.RateLimiter
	latency     awlimit.LatencyEstimator
	ownDemand   map[string]awlimit.Demand // demand by team in the last window
	quarantine  *awquarantine.Quarantine
	quarantined string // blocked prompt parts, as last logged

	factsPending chan struct{} // signals facts to be sent to the other entries

	firstTokenSilence, tokenSilence time.Duration // until a standby is sought
}

// heldShare is the share of Limits.HeldBytes that clients may fill before those that
// hold most and move least are closed. Above it, new requests would be refused.
const heldShare = 0.75

// New returns an entry that is started with [Entry.Run].
func New(cfg Config) *Entry {
	s := cfg.Settings
	e := &Entry{
		cfg: cfg,
		identity: &awproto.ProcessIdentity{
			Process: "awentry", Instance: s.Process.Instance, Domain: s.Process.Domain,
			Region: s.Process.Region, Incarnation: cfg.Incarnation, Address: s.Listen.Inner,
		},
		store: awstore.New(awstore.Config{
			TableURL: s.Platform.TableURL, ObjectURL: s.Platform.ObjectURL, OriginURL: s.Platform.OriginURL,
			InstanceListURL: s.Platform.InstanceListURL, Timeout: s.Platform.Timeout.Std(),
		}),
		holder: awconfig.NewHolder(),
		tls:    awrpc.NewTLS(s.TLS, cfg.Clock),
		rng:    rand.New(rand.NewPCG(cfg.Incarnation, uint64(len(s.Process.Instance)))),
	}
	e.dialer = awrpc.NewDialer(awrpc.DialerConfig{
		Identity: e.identity, Revision: func() uint64 { return e.holder.State().Revision }, TLS: e.tls.Client,
		OnHello: func(_ awrpc.Target, r *awproto.HelloReply) { e.sync.observeRevision(r.Revision, r.Sender) },
	})
	e.retryBudget = awretry.NewBudget(awretry.DefaultConfig())
	e.byteBudget.Limit, e.waitQueue.Capacity = s.Limits.HeldBytes, maxWaitingRequests
	e.rates = awlimit.NewRateLimiter()
	e.quarantine, e.factsPending = awquarantine.New(cfg.Clock, s.Process.Instance), make(chan struct{}, 1)
	e.stopped, e.cut = context.WithCancelCause(context.Background())
	e.configLog = awcontrol.NewLog(e.store, e.store, e.holder)
	e.sync = newConfigSync(e)
	e.lease = newLease(e.store, cfg.Clock, leaseRow{Instance: s.Process.Instance, Incarnation: cfg.Incarnation})
	e.fleet = newFleet(e)
	e.attempts.watermark = awledger.NewWatermark()
	e.claims = newClaimStore(e.store, s.Claims)
	e.firstTokenSilence, e.tokenSilence = firstTokenSilence, tokenSilence
	return e
}

// Run serves requests until ctx ends and then drains.
func (e *Entry) Run(ctx context.Context) error {
	s := e.cfg.Settings
	guard := awhttp.NewGuard(awhttp.GuardConfig{MemoryBytes: int64(s.Limits.MemoryMiB) << 20, MaxBytes: int64(heldShare * float64(s.Limits.HeldBytes)), Files: s.Limits.MaxFiles, Logger: e.cfg.Logger})
	inner, err := e.tls.Listen(s.Listen.Inner)
	if err != nil {
		return err
	}
	inner = awrpc.Guard(inner, guard)
	callers, err := guard.Listen(s.Listen.Callers)
	if err != nil {
		return err
	}
	operators, err := guard.Listen(s.Listen.Operators)
	if err != nil {
		return err
	}
	mux := drpcmux.New()
	if err := awproto.DRPCRegisterEntry(mux, &innerServer{entry: e}); err != nil {
		return eris.Wrap(err, "register entry service")
	}
	_ = e.cfg.Logger.Log("Message", "entry started", "Callers", s.Listen.Callers, "Incarnation", e.cfg.Incarnation)

	e.registerGauges()
	base, stop := context.WithCancel(context.Background())
	defer stop()
	group, serveCtx := errgroup.WithContext(base)
	callerServer := e.newCallerServer(guard)
	operatorServer := awhttp.NewServer(e.operatorHandler())
	guard.Protect(operatorServer)
	server := awrpc.NewServer(mux, awrpc.LogPanics(e.cfg.Logger))
	group.Go(func() error { return server.Serve(serveCtx, inner) })
	group.Go(func() error { guard.Run(serveCtx); return nil })
	group.Go(func() error { return serveHTTP(callerServer, callers) })
	group.Go(func() error { return serveHTTP(operatorServer, operators) })
	group.Go(func() error { e.configLoop(serveCtx); return nil })
	group.Go(func() error { e.fleet.instanceListLoop(serveCtx); return nil })
	group.Go(func() error { e.reconcileLoop(serveCtx); return nil })
	group.Go(func() error { e.rateLoop(serveCtx); return nil })
	group.Go(func() error { e.factsLoop(serveCtx); return nil })
	group.Go(func() error { e.claims.writeLoop(serveCtx); return nil })
	group.Go(func() error { e.sweepLoop(serveCtx); return nil })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			e.drain(callers, callerServer)
		case <-serveCtx.Done():
		}
		_ = callerServer.Close()
		_ = operatorServer.Close()
		stop()
		return nil
	})
	err = group.Wait()
	_ = e.dialer.Close()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func serveHTTP(srv *http.Server, lis net.Listener) error {
	if err := srv.Serve(lis); err != http.ErrServerClosed {
		return eris.Wrapf(err, "listener %s", lis.Addr())
	}
	return nil
}

// jitter returns a random duration in [0, d).
func (e *Entry) jitter(d time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(e.rng.Int64N(int64(d)))
}

// ready returns nil if a load balancer should send new callers here, otherwise
// the reason why not.
func (e *Entry) ready() error {
	if e.draining.Load() {
		return eris.New("entry is draining")
	}
	if e.holder.State().InstanceOut(e.identity.Instance, e.identity.Domain) {
		return eris.New("the failure domain or the instance is out of service")
	}
	return e.accepting()
}

// accepting returns nil if requests that arrive are served, otherwise the reason
// why not. They are still served while ready fails because the entry drains or is
// out of service.
func (e *Entry) accepting() error { return e.sync.checkAdmission() }
