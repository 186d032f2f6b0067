package awcommand

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awretry"
	"arbutuswind/io/awbackend"
	"arbutuswind/io/awduties"
	"arbutuswind/io/awgateway"
	"arbutuswind/io/awhttp"
	"arbutuswind/io/awload"
	"arbutuswind/io/awsettings"
	"arbutuswind/io/awtelemetry"
	"arbutuswind/io/awwatch"
	"arbutuswind/platform"
)

const (
	// serversIntervalShare is the interval between reads of the list of backend
	// servers as a fraction of Bounds.DrainNotice. Two reads and a slow reply
	// fit into the drain notice.
	serversIntervalShare = 0.37
	// entriesInterval is the time between two counts of the entries. The count is
	// only used to divide shared limits, and the shares leave headroom for an
	// entry that is not counted yet.
	entriesInterval = 5 * time.Second
	// eraCaution is the time in which operators and backend servers write again what a
	// store has lost that came back from an older copy.
	eraCaution = 10 * time.Second
	// entrySettling is the time from the start of an entry until all others have
	// read it from the store.
	entrySettling = entriesInterval + 2*time.Second
	// maxRetryDelay is the longest delay between two reads of an unavailable
	// store. The state of the fleet must be known within two seconds after the
	// store is available again.
	maxRetryDelay = 1500 * time.Millisecond
	// balancerDetectionTime is the time in which a load balancer that checks
	// readiness every second sees two failed checks.
	balancerDetectionTime = 2500 * time.Millisecond
	// stopMargin is the end of the grace period, reserved for the process to exit.
	stopMargin = 700 * time.Millisecond
	// refuseMargin is the part of stopMargin in which the last requests are
	// refused.
	refuseMargin = stopMargin / 2
	// registerRetryDelay is the delay after a failed registration.
	registerRetryDelay = time.Second
	// headerTimeout limits the time to read request headers, and idleTimeout the
	// time between two requests on a connection. idleTimeout is above any idle
	// timeout that operators configure, because closing a connection on which a
	// request arrives costs the caller a retry.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// Gateway runs awgateway and returns its exit code.
func Gateway(args []string, stdout, stderr io.Writer) int {
	ignoreHangup()
	opts, code, ok := parseDaemon("awgateway", args, stdout, stderr)
	if !ok {
		return code
	}
	cfg, err := awsettings.LoadGateway(opts.Config)
	if err != nil || opts.Check {
		return settingsExitCode(err, stderr)
	}
	limitMemory(cfg.Limits.MemoryMiB)
	return runDaemon(stdout, "awgateway", cfg.Process, awsettings.Trace{}, func(ctx context.Context, env environment) error {
		g := newGateway(cfg, env.logger)
		watchSettings(ctx, settingsWatch{
			Logger: env.logger, File: opts.Config, Load: awsettings.LoadGateway, Started: cfg, Applied: awsettings.ReloadedKeys(), Apply: g.reload,
		})
		return g.run(ctx)
	})
}

// gateway holds the components of an awgateway process.
type gateway struct {
	cfg     awsettings.Fleet
	self    awdirectory.Entry
	logger  log.Logger
	source  *platform.StoreSource
	router  *awgateway.Gateway
	guard   *awhttp.Guard
	watcher *awwatch.Watcher
	// unlisted signals that the list of entries lacks this start of the entry.
	unlisted chan struct{}
	grace    atomic.Int64     // Bounds.Grace in nanoseconds, as last reloaded
	duties   *awduties.Runner // nil if the deployment has no duties
}

func newGateway(cfg awsettings.Fleet, logger log.Logger) *gateway {
	clock := awclock.System{}
	self := awdirectory.Entry{Name: cfg.Process.Instance, Address: innerAddress(cfg), Incarnation: incarnation()}
	g := &gateway{cfg: cfg, self: self, logger: logger, unlisted: make(chan struct{}, 1), source: &platform.StoreSource{Store: platform.NewStore(cfg.Store.Address), Regions: cfg.Regions}}
	g.grace.Store(int64(cfg.Bounds.Grace))
	g.guard = newGuard(cfg.Limits, logger)
	routerConfig := awgateway.Config{
		Clock: clock, Logger: logger, Headers: platform.HeaderCodec{}, Pool: awbackend.NewPool(awbackend.Config{Clock: clock, LimitBuffer: g.guard.LimitsBuffers}),
		Instance: cfg.Process.Instance, Domain: cfg.Process.Domain, Region: cfg.Process.Region, Incarnation: self.Incarnation,
		Retry: retryWindow(cfg.Bounds), Settling: entrySettling, BalanceAll: cfg.Balance.Enabled, Boot: awclock.Boot{},
		OnShareAsked: func(entry string) awdirectory.Answer { return g.watcher.EntryAnswer(entry) },
	}
	if g.duties = newDuties(cfg, self, g.source.Store, logger); g.duties != nil {
		g.self.Domain = cfg.Process.Domain
		routerConfig.CountRun, routerConfig.OnDuties = g.duties.Count, g.duties.HandleMessage
	}
	g.router = awgateway.New(routerConfig)
	g.watcher = awwatch.New(awwatch.Config{
		Clock: clock, Logger: logger, Source: g.source, MaxStaleness: cfg.Bounds.Version.Std(), Stable: cfg.Bounds.Stable.Std(),
		OnConfig:        g.router.Configure,
		OnState:         g.router.Apply,
		OnEntries:       g.checkListed,
		OnLost:          g.removeLost,
		Self:            self.Name,
		ServersInterval: time.Duration(serversIntervalShare * float64(cfg.Bounds.DrainNotice)), EntriesInterval: entriesInterval, LongPollTimeout: awwatch.HoldTime(cfg.Bounds.Stable.Std()),
		MaxRetryDelay: maxRetryDelay, RecordFirstSeen: true, EraCaution: eraCaution,
	})
	return g
}

func retryWindow(b awsettings.FleetBounds) awretry.WindowConfig {
	return awretry.WindowConfig{Ratio: b.RetryRatio, MinRetries: b.RetryFloor, Window: b.RetryWindow.Std()}
}

// reload applies changed settings, those of [awsettings.ReloadedKeys].
func (g *gateway) reload(cfg awsettings.Fleet) {
	g.grace.Store(int64(cfg.Bounds.Grace))
	g.router.SetRetry(retryWindow(cfg.Bounds))
	g.watcher.SetMaxStaleness(cfg.Bounds.Version.Std())
}

// run serves until ctx ends, and then until all running requests are answered
// or the grace period ends.
func (g *gateway) run(ctx context.Context) error {
	guard := g.guard
	callers, err := guard.Listen(g.cfg.Listen.Callers)
	if err != nil {
		return err
	}
	ready, err := guard.Listen(g.cfg.Listen.Ready)
	if err != nil {
		return err
	}
	socket, err := awload.Listen(innerAddress(g.cfg), awclock.System{})
	if err != nil {
		return err
	}
	_ = level.Info(g.logger).Log("Message", "started", "Callers", g.cfg.Listen.Callers)
	callerServer := &http.Server{Handler: g.router, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	guard.Protect(callerServer)
	requestCtx, refuse := context.WithCancelCause(context.WithoutCancel(ctx))
	defer refuse(nil)
	callerServer.BaseContext = func(net.Listener) context.Context { return requestCtx }
	readiness := awhttp.NewServer(http.HandlerFunc(g.router.ServeReady))
	guard.Protect(readiness)
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, _ := errgroup.WithContext(serveCtx)
	group.Go(func() error { return serve(callerServer, callers) })
	group.Go(func() error { return serve(readiness, ready) })
	group.Go(func() error { return serveMetrics(serveCtx, g.cfg, g.logger, guard) })
	group.Go(func() error { guard.Run(serveCtx); return nil })
	group.Go(func() error { g.watcher.Run(serveCtx); return nil })
	group.Go(func() error { g.router.Run(serveCtx); return nil })
	group.Go(func() error {
		g.router.CollectLoadReports(serveCtx, socket, g.cfg.Listen.InnerPort, g.watcher.Connected)
		return nil
	})
	group.Go(func() error { g.router.ShareFacts(serveCtx, socket); return nil })
	group.Go(func() error { g.router.ShareLimits(serveCtx, socket); return nil })
	group.Go(func() error { g.router.KeepShare(serveCtx, socket); return nil })
	if g.duties != nil {
		group.Go(func() error { g.duties.Run(serveCtx, socket); return nil })
	}
	group.Go(func() error { g.keepRegistered(ctx); return nil })
	group.Go(func() error {
		defer cancel()
		<-ctx.Done()
		g.stop(callers, callerServer, refuse)
		return readiness.Close()
	})
	return group.Wait()
}

func serve(s *http.Server, lis net.Listener) error {
	if err := s.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "serve %s", lis.Addr())
	}
	return nil
}

// checkListed has this entry register again if a list of entries lacks it.
func (g *gateway) checkListed(entries []awdirectory.Entry) {
	g.router.RecordEntriesRead()
	if g.duties != nil {
		g.duties.SetEntries(entries)
	}
	if g.self.IsListed(entries) {
		return
	}
	select {
	case g.unlisted <- struct{}{}:
	default: // a signal is already pending
	}
}

// removeLost removes the registrations of lost entries in the background.
func (g *gateway) removeLost(lost []awdirectory.Registration) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), awdirectory.RenewInterval)
		defer cancel()
		for _, r := range lost {
			_ = level.Info(g.logger).Log("Message", "lost entry removed", "Entry", r.Name, "Incarnation", r.Incarnation)
			if err := g.source.RemoveLost(ctx, r); err != nil { // it is tried again after the next read
				_ = level.Warn(g.logger).Log("Message", "failed to remove a lost entry", "Entry", r.Name, "Error", err.Error())
			}
		}
	}()
}

// keepRegistered keeps this entry in the store's table of entries until ctx ends, and
// renews its row. Entries divide shared limits by the number of entries.
func (g *gateway) keepRegistered(ctx context.Context) {
	for ctx.Err() == nil {
		wait := registerRetryDelay
		begun := awclock.Boot{}.Now()
		err := g.source.Register(ctx, g.self)
		if err == nil {
			g.router.RecordRenewal(begun)
			select {
			case <-g.unlisted:
				wait = 0
			case <-time.After(awdirectory.RenewInterval):
				wait = 0
			case <-ctx.Done():
			}
		} else {
			_ = level.Warn(g.logger).Log("Message", "registration failed", "Error", err.Error())
		}
		awwatch.Sleep(ctx, wait)
	}
}

// stop reports the entry as not ready, gives the load balancer time to notice,
// and then waits for running requests until the grace period ends. It calls
// refuse for those that still run then.
func (g *gateway) stop(callers *awhttp.Listener, callerServer *http.Server, refuse context.CancelCauseFunc) {
	grace := time.Duration(g.grace.Load()) - stopMargin
	deadline := time.Now().Add(grace)
	_ = level.Info(g.logger).Log("Message", "stopping", "Grace", grace.String())
	g.router.Stop()
	if g.duties != nil {
		g.duties.Leave()
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	go func() {
		if err := g.source.Unregister(ctx, g.self); err != nil {
			_ = level.Warn(g.logger).Log("Message", "failed to remove the registration", "Error", err.Error())
		}
	}()
	time.Sleep(min(balancerDetectionTime, grace/2))
	g.router.RefuseAfter(deadline) // callers that keep their connections still send requests
	if err := callers.Drain(ctx, callerServer); err != nil {
		_ = level.Warn(g.logger).Log("Message", "requests refused at the end of the grace period", "Error", err.Error())
		refuse(awgateway.ErrStopping)
		last, cancelLast := context.WithTimeout(context.Background(), refuseMargin)
		defer cancelLast()
		_ = callers.Drain(last, callerServer) // the process ends in either case
	}
	if g.duties != nil {
		g.duties.Stop()
	}
	_ = level.Info(g.logger).Log("Message", "stopped")
}

// newGuard returns the guard of all listeners of a process.
func newGuard(l awsettings.FleetLimits, logger log.Logger) *awhttp.Guard {
	return awhttp.NewGuard(awhttp.GuardConfig{MemoryBytes: int64(l.MemoryMiB) << 20, Files: l.MaxFiles, Logger: logger})
}

// innerAddress returns the listen address of the internal protocol.
func innerAddress(cfg awsettings.Fleet) string {
	return net.JoinHostPort(cfg.Listen.Address, strconv.Itoa(cfg.Listen.InnerPort))
}

// serveMetrics serves the metrics of the process until ctx ends. If it cannot
// listen on the port, it logs a warning and returns nil, so that a port in use
// does not keep the process from serving requests.
func serveMetrics(ctx context.Context, cfg awsettings.Fleet, logger log.Logger, guard *awhttp.Guard) error {
	if cfg.Listen.MetricsPort == 0 {
		return nil
	}
	lis, err := guard.Listen(net.JoinHostPort(cfg.Listen.Address, strconv.Itoa(cfg.Listen.MetricsPort)))
	if err != nil {
		_ = level.Warn(logger).Log("Message", "metrics are not served", "Error", err.Error())
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", awtelemetry.MetricsHandler)
	server := awhttp.NewServer(mux)
	guard.Protect(server)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return serve(server, lis)
}
