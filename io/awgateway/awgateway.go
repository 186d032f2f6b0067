// Package awgateway serves callers at one entry: it sends each request
// straight to a backend server over HTTP/1.1 and returns the answer.
//
// What is true of the fleet comes from outside through [Gateway.Apply] and
// [Gateway.CollectLoadReports]; where a request runs is decided by
// [arbutuswind/core/awdispatch]. This package carries the decision out. It
// keeps count of what may have run, so that a request that may not be repeated
// is sent again only after proof that it did not run, and so that a refusal
// that promises this is true.
package awgateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awdispatch"
	"arbutuswind/core/awmember"
	"arbutuswind/core/awretry"
	"arbutuswind/io/awbackend"
	"arbutuswind/io/awwatch"
)

// Config configures a [Gateway].
type Config struct {
	Clock   awclock.Clock
	Logger  log.Logger
	Headers HeaderCodec
	Pool    *awbackend.Pool
	Domain  string
	Region  string
	Retry   awretry.WindowConfig
	Seed    uint64
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	cfg      Config
	config   atomic.Pointer[awdirectory.Config]
	stopping atomic.Bool
	listed   atomic.Bool // a list of backend servers has been read
	metrics  gatewayMetrics

	mu       sync.Mutex
	dispatch *awdispatch.Dispatcher
	budgets  map[string]*awretry.WindowBudget
	entries  int
	rng      *rand.Rand
	ages     map[string]time.Duration // longest deadline that callers of a route state

	floors      map[string][]awdirectory.Floor
	byAddress   map[string]awdirectory.Server
	listChanged chan struct{} // a backend server has come
}

// New returns a gateway that knows no configuration.
func New(cfg Config) *Gateway {
	rng := rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Clock.Now().UnixNano())))
	return &Gateway{
		cfg: cfg, metrics: newMetrics(), budgets: map[string]*awretry.WindowBudget{}, entries: 1, rng: rng,
		ages: map[string]time.Duration{}, byAddress: map[string]awdirectory.Server{}, listChanged: make(chan struct{}, 1),
		dispatch: awdispatch.New(awdispatch.Config{
			Clock: cfg.Clock, Rand: rng, Domain: cfg.Domain, Region: cfg.Region, Eject: awmember.DefaultEjectConfig(),
		}),
	}
}

// Configure puts a configuration in force. An older one than that in force is
// ignored; it reports whether the configuration is in force now.
func (g *Gateway) Configure(c *awdirectory.Config) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if old := g.config.Load(); old != nil && c.Version <= old.Version {
		return c.Version == old.Version
	}
	g.dispatch.SetServices(c.Services)
	g.config.Store(c)
	return true
}

// SetRetry changes the bounds on repetitions; what is counted starts anew.
func (g *Gateway) SetRetry(cfg awretry.WindowConfig) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if cfg != g.cfg.Retry {
		g.cfg.Retry = cfg
		clear(g.budgets)
	}
}

// Apply takes the state of the fleet.
func (g *Gateway) Apply(f awwatch.State) {
	g.mu.Lock()
	g.entries = max(1, f.Entries)
	g.dispatch.SetEntryCount(g.entries)
	g.dispatch.SetDomainsOut(f.DomainsOut)
	g.floors = f.Floors
	g.dispatch.SetFloors(f.Floors)
	g.dispatch.SetServers(f.Servers)
	g.takeAddresses(f.Servers)
	g.mu.Unlock()
	g.listed.Store(true)
	present := map[string]bool{}
	for i := range f.Servers {
		present[poolKey(&f.Servers[i])] = true
	}
	g.cfg.Pool.Prune(func(key string) bool { return present[key] })
}

// takeAddresses notes who is where; mu must be held.
func (g *Gateway) takeAddresses(list []awdirectory.Server) {
	old := g.byAddress
	g.byAddress = make(map[string]awdirectory.Server, len(list))
	for _, s := range list {
		// An address that is used again belongs to the latest start.
		if other, ok := g.byAddress[s.Address]; !ok || other.StartUnixMs < s.StartUnixMs {
			g.byAddress[s.Address] = s
		}
		if _, known := old[s.Address]; !known {
			select {
			case g.listChanged <- struct{}{}:
			default: // a look at the list is due already
			}
		}
	}
}

// Ready reports whether callers may be sent here: the configuration and the
// list of backend servers are known and the process is not about to stop.
func (g *Gateway) Ready() bool {
	return g.config.Load() != nil && g.listed.Load() && !g.stopping.Load()
}

// Stop makes the gateway unready; requests that come all the same are served,
// and their connections are closed after the answer.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// dispatchTick is how often waiting requests are looked at without an event
// that makes room; finer than the patience of any request.
const dispatchTick = 20 * time.Millisecond

// Run moves waiting requests on until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	tick := time.NewTicker(dispatchTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.mu.Lock()
			if g.dispatch.Waiting() > 0 {
				g.dispatch.Tick()
			}
			g.mu.Unlock()
		}
	}
}

// ServeReady answers the balancer's question whether callers may be sent here.
func (g *Gateway) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// poolKey names the connections to one incarnation of a backend server.
func poolKey(s *awdirectory.Server) string {
	return s.ID + "|" + strconv.FormatInt(s.StartUnixMs, 10) + "|" + s.Address
}
