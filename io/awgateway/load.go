package awgateway

import (
	"context"
	"net/netip"
	"time"

	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awdispatch"
	"arbutuswind/io/awload"
)

// subscribeInterval is the time between two subscriptions to the load reports of
// a loader. A loader sends reports for three times as long after each.
const subscribeInterval = time.Second

// CollectLoadReports subscribes to the load reports of the loaders of all engines
// that this entry is related to and applies them until ctx is done. Loaders listen on port. While
// connected returns true, the loaders learn the named versions with it.
func (g *Gateway) CollectLoadReports(ctx context.Context, socket *awload.Socket, port int, connected func() bool) {
	go socket.Run(ctx, awload.Handlers{Report: g.handleLoadReport})
	tick := time.NewTicker(subscribeInterval)
	defer tick.Stop()
	for {
		subscription := awload.Subscription(connected(), g.namedVersions())
		for _, addr := range g.loaderAddresses(port) {
			socket.Subscribe(addr, subscription)
		}
		select {
		case <-ctx.Done():
			return
		case <-g.resubscribe:
		case <-tick.C:
		}
	}
}

// namedVersions returns the newest named version of each model.
func (g *Gateway) namedVersions() map[string]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return newestVersions(g.floors)
}

func newestVersions(floors map[string][]awdirectory.Floor) map[string]int64 {
	versions := make(map[string]int64, len(floors))
	for model, list := range floors {
		if len(list) > 0 {
			versions[model] = list[len(list)-1].Version
		}
	}
	return versions
}

// loaderAddresses returns the addresses of the loaders of the engines that this
// entry is related to.
func (g *Gateway) loaderAddresses(port int) []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []netip.AddrPort
	for _, s := range g.related() {
		if addr, err := netip.ParseAddrPort(s.Address); err == nil { // addresses are validated when the list is read
			list = append(list, netip.AddrPortFrom(addr.Addr(), uint16(port)))
		}
	}
	return list
}

// handleLoadReport passes a loader's report on to the dispatcher. It ignores
// reports of unknown servers and of earlier incarnations.
func (g *Gateway) handleLoadReport(r awload.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.byAddress[r.Address]
	if !ok || r.StartUnixMs < s.StartUnixMs {
		return
	}
	// A report of a later incarnation than the listed one is used too: the list
	// still shows the weights of the earlier one.
	g.dispatch.Report(awdirectory.Key{ID: s.ID, StartUnixMs: s.StartUnixMs}, awdispatch.Load{
		At: g.cfg.Clock.Now(), Active: r.Active, Queued: r.Queued, Busy: r.Busy, CacheUsed: r.CacheUsed,
		CacheTotal: r.CacheTotal, Slowdown: r.Slowdown, Versions: r.Versions,
	})
}
