// Package awgateway implements the HTTP proxy of an entry. It forwards each
// caller's request directly to a backend server over HTTP/1.1 and returns the
// response.
//
// The state of the fleet arrives through [Gateway.Apply] and
// [Gateway.CollectLoadReports]. [arbutuswind/core/awdispatch] decides which
// backend server runs a request.
//
// The gateway counts the sends of a request that may have run. A request that
// must not be repeated is sent again only after proof that it did not run, and
// a 503, which tells the caller that the request did not run, is returned only
// if that is true.
package awgateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awdispatch"
	"arbutuswind/core/awmember"
	"arbutuswind/core/awquarantine"
	"arbutuswind/core/awretry"
	"arbutuswind/core/awthrottle"
	"arbutuswind/io/awbackend"
	"arbutuswind/io/awwatch"
)

// Config configures a [Gateway].
type Config struct {
	Clock   awclock.Clock
	Logger  log.Logger
	Headers HeaderCodec
	Pool    *awbackend.Pool
	// Instance is the name under which this entry is registered.
	Instance string
	Domain   string
	Region   string
	Retry    awretry.WindowConfig
	// Incarnation identifies this start of the entry.
	Incarnation uint64
	// Settling is the time from the start of an entry until all others know it.
	Settling time.Duration
	// BalanceAll has the load of all services balanced by demand, not only that of
	// the engines of contended services.
	BalanceAll bool
	// CountRun is called when a backend server has begun to run a request of a
	// team, once for each request. Nil if nobody counts.
	CountRun func(team string)
	// OnDuties handles messages of other entries about duties. It may be nil.
	OnDuties func(from netip.AddrPort, payload []byte)
	// OnShareAsked returns the answer to an entry that asks whether it counts here. It
	// may be nil.
	OnShareAsked func(entry string) awdirectory.Answer
	// Boot counts the time for which the machine is suspended; Clock if nil.
	Boot awclock.Clock
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	cfg           Config
	config        atomic.Pointer[awdirectory.Config]
	stopping      atomic.Bool
	stopBy        atomic.Pointer[time.Time] // end of a planned stop; nil before requests are refused for it
	serversLoaded atomic.Bool               // Apply has been called
	metrics       gatewayMetrics

	mu             sync.Mutex
	dispatch       *awdispatch.Dispatcher
	budgets        map[string]*awretry.WindowBudget
	entryCount     int
	rng            *rand.Rand
	callerTimeouts *awdispatch.CallerTimeouts
	exchange       exchange
	share          share
	throttle       *awthrottle.Throttle
	balance        balance
	admission      admission
	noticeTargets  map[string]netip.AddrPort // addresses of other entries by name
	noticesWanted  bool                      // other entries are to be asked for their notices

	relations   relations
	floors      map[string][]awdirectory.Floor // by model
	byAddress   map[string]awdirectory.Server
	noticesDue  chan struct{} // signals that notices may have to be sent
	resubscribe chan struct{} // signals a new address in byAddress or a newly named version
}

// New returns a gateway without a configuration.
func New(cfg Config) *Gateway {
	if cfg.Boot == nil {
		cfg.Boot = cfg.Clock
	}
	rng := rand.New(rand.NewPCG(cfg.Incarnation, uint64(cfg.Clock.Now().UnixNano())))
	throttle := awthrottle.New(awthrottle.Config{
		Clock: cfg.Clock, Rand: rng, Self: cfg.Instance, Settling: cfg.Settling,
		OnSilence: func(entry string, silent bool) {
			_ = level.Info(cfg.Logger).Log("Message", "issuer of permits", "Entry", entry, "Silent", silent)
		},
	})
	return &Gateway{
		cfg: cfg, metrics: newMetrics(), budgets: map[string]*awretry.WindowBudget{}, entryCount: 1, rng: rng,
		exchange:       newExchange(awquarantine.New(cfg.Clock, cfg.Instance)),
		share:          newShare(cfg.Boot),
		throttle:       throttle,
		balance:        balance{all: cfg.BalanceAll},
		callerTimeouts: awdispatch.NewCallerTimeouts(), byAddress: map[string]awdirectory.Server{}, resubscribe: make(chan struct{}, 1),
		noticesDue: make(chan struct{}, 1),
		dispatch: awdispatch.New(awdispatch.Config{
			Clock: cfg.Clock, Rand: rng, Self: cfg.Instance, Domain: cfg.Domain, Region: cfg.Region, Eject: awmember.DefaultEjectConfig(),
			Throttle: throttle,
		}),
	}
}

// Configure applies a configuration unless its version is older than that of
// the current one. It reports whether the configuration is now in use.
func (g *Gateway) Configure(c *awdirectory.Config) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if old := g.config.Load(); old != nil && c.Version <= old.Version {
		return c.Version == old.Version
	}
	g.dispatch.SetServices(c.Services)
	g.admission.ranks = contendedRanks(c)
	g.dispatch.SetContended(g.admission.ranks)
	g.config.Store(c)
	return true
}

// SetRetry changes the limits on retries. The retries so far still count.
func (g *Gateway) SetRetry(cfg awretry.WindowConfig) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg.Retry = cfg
	for _, b := range g.budgets {
		b.SetConfig(cfg, g.cfg.Clock.Now())
	}
}

// Apply updates the state of the fleet and closes pooled connections to backend
// servers that are no longer in it.
func (g *Gateway) Apply(state awwatch.State) {
	g.mu.Lock()
	g.share.read = max(1, len(state.Entries))
	g.updateEntryCount()
	g.dispatch.SetDomainsOut(state.DomainsOut)
	if !maps.Equal(newestVersions(g.floors), newestVersions(state.Floors)) {
		g.signalResubscribe()
	}
	g.floors = state.Floors
	g.dispatch.SetFloors(state.Floors)
	g.dispatch.SetSharers(g.relations.update(g.cfg.Instance, state, g.isEngineService))
	g.dispatch.SetServers(state.Servers)
	g.exchange.setEntries(state.Entries, g.cfg.Instance)
	g.setNoticeTargets(state.Entries)
	g.updateAddresses(state.Servers)
	g.mu.Unlock()
	g.serversLoaded.Store(true)
	present := map[string]bool{}
	keys := map[awdirectory.Key]bool{}
	for i := range state.Servers {
		present[poolKey(&state.Servers[i])] = true
		keys[state.Servers[i].Key()] = true
	}
	g.mu.Lock()
	g.throttle.SetServers(func(k awdirectory.Key) bool { return keys[k] })
	g.retainMeters(keys)
	g.mu.Unlock()
	g.cfg.Pool.Prune(func(key string) bool { return present[key] })
}

// updateAddresses rebuilds byAddress; mu must be held.
func (g *Gateway) updateAddresses(list []awdirectory.Server) {
	old := g.byAddress
	g.byAddress = make(map[string]awdirectory.Server, len(list))
	for _, s := range list {
		// If two servers have the same address, the later one to start has it.
		if other, ok := g.byAddress[s.Address]; !ok || other.StartUnixMs < s.StartUnixMs {
			g.byAddress[s.Address] = s
		}
		if _, known := old[s.Address]; !known {
			g.signalResubscribe()
		}
	}
}

func (g *Gateway) signalResubscribe() { signal(g.resubscribe) }

// Ready reports whether the gateway should receive requests: it has a
// configuration, a list of backend servers and a share of the limits, and Stop has not
// been called.
func (g *Gateway) Ready() bool {
	return g.config.Load() != nil && g.serversLoaded.Load() && !g.stopping.Load() && g.hasShare()
}

// Stop makes the gateway unready. It still serves requests that arrive, but
// closes their connections after the response.
func (g *Gateway) Stop() {
	g.stopping.Store(true)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.throttle.Stop()
}

// RefuseAfter has the gateway refuse requests that may still run at the given
// time, at which it stops.
func (g *Gateway) RefuseAfter(end time.Time) { g.stopBy.Store(&end) }

// mayOutlastStop reports whether the request may still run when the gateway stops.
// A stream may take until its timeout, and a whole response should take no longer
// than the latency objective.
func (q *request) mayOutlastStop() bool {
	end := q.g.stopBy.Load()
	if end == nil {
		return false
	}
	needed := q.timeout()
	if q.route.Kind != awdirectory.Stream {
		needed = min(needed, q.route.LatencyObjective)
	}
	return q.start.Add(needed).After(*end)
}

// dispatchInterval is how often waiting requests are checked even if no
// capacity was released. A request may exceed its maximum wait by up to this
// time, so it is short compared with the waits that awdispatch allows.
const dispatchInterval = 20 * time.Millisecond

// minLoggedPause is the shortest pause of the process that is logged. Garbage
// collection and other work delay a tick by less.
const minLoggedPause = 100 * time.Millisecond

// Run dispatches waiting requests periodically until ctx is done.
func (g *Gateway) Run(ctx context.Context) {
	tick := time.NewTicker(dispatchInterval)
	defer tick.Stop()
	last := g.cfg.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			now := g.cfg.Clock.Now()
			if pause := now.Sub(last) - dispatchInterval; pause > minLoggedPause {
				g.recordPause(pause)
			}
			last = now
			g.contain("dispatch", g.tick)
		}
	}
}

// tick ends sends that have become outdated and dispatches waiting requests.
func (g *Gateway) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.withdrawOutdated()
	if g.dispatch.Waiting() > 0 {
		g.dispatch.Tick()
	}
	if g.throttle.Limits() > 0 {
		g.throttle.Tick()
		signal(g.noticesDue)
	}
}

// ServeReady is the readiness endpoint for load balancers. It responds with 200
// if the gateway is ready and 503 otherwise.
func (g *Gateway) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// poolKey returns the connection pool key of one incarnation of a backend
// server.
func poolKey(s *awdirectory.Server) string {
	return s.ID + "|" + strconv.FormatInt(s.StartUnixMs, 10) + "|" + s.Address
}
