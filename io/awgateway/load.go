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
// that this entry is related to and applies them until ctx is done. Loaders listen
// on port. While connected returns true, they learn what they need to know of the
// store with the subscription.
func (g *Gateway) CollectLoadReports(ctx context.Context, socket *awload.Socket, port int, connected func() bool) {
	go socket.Run(ctx, g.datagramHandlers())
	tick := time.NewTicker(subscribeInterval)
	defer tick.Stop()
	for {
		for service, targets := range g.loaderTargets(port) {
			var fleet *awload.Fleet
			if connected() {
				fleet = g.fleet(service)
			}
			subscription := awload.Subscription(fleet)
			for i := range targets {
				targets[i].subscribe(socket, subscription)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-g.resubscribe:
		case <-tick.C:
		}
	}
}

// datagramHandlers returns the handlers of datagrams from loaders and other entries.
func (g *Gateway) datagramHandlers() awload.Handlers {
	return awload.Handlers{
		Report: func(r awload.Report) { g.contain("reports", func() { g.handleLoadReport(r) }) },
		Facts: func(payload []byte) (answers [][]byte) {
			g.contain("facts", func() { answers = g.HandleFacts(payload) })
			return answers
		},
		Notices: func(from netip.AddrPort, payload []byte) {
			g.contain("limits", func() { g.handleNotices(from, payload) })
		},
		Duties: g.cfg.OnDuties, ShareAsked: g.cfg.OnShareAsked,
		ShareAnswer: func(a awdirectory.Answer) { g.contain("share", func() { g.handleShareAnswer(a) }) },
	}
}

// fleet returns what the loaders of a service need to know, or nil if it is not
// known.
func (g *Gateway) fleet(service string) *awload.Fleet {
	c := g.config.Load()
	svc := c.Service(service)
	if svc == nil {
		return nil
	}
	f := &awload.Fleet{Model: svc.Model.Name, Chunks: svc.Model.Chunks, ChunkBytes: svc.Model.ChunkBytes}
	for _, s := range c.Services {
		if s.Origin.Address != "" {
			f.Origin, f.OriginDomain = s.Origin.Address, s.Origin.Domain
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	f.Versions = newestVersions(g.floors)
	return f
}

// newestVersions returns the newest named version of each model.
func newestVersions(floors map[string][]awdirectory.Floor) map[string]int64 {
	versions := make(map[string]int64, len(floors))
	for model, list := range floors {
		if len(list) > 0 {
			versions[model] = list[len(list)-1].Version
		}
	}
	return versions
}

// loaderTargets returns the loaders of the engines that this entry is related to, by
// service.
func (g *Gateway) loaderTargets(port int) map[string][]loaderTarget {
	g.mu.Lock()
	defer g.mu.Unlock()
	byService := map[string][]loaderTarget{}
	for _, s := range g.related() {
		if addr, err := netip.ParseAddrPort(s.Address); err == nil { // addresses are validated when the list is read
			byService[s.Service] = append(byService[s.Service], loaderTarget{
				addr: netip.AddrPortFrom(addr.Addr(), uint16(port)), key: s.Key(), slots: s.Slots, sharers: g.relations.sharers[s.Address],
			})
		}
	}
	for service, targets := range byService {
		g.setClaims(service, targets)
	}
	return byService
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
	g.balance.recordShare(&r)
	g.dispatch.Report(awdirectory.Key{ID: s.ID, StartUnixMs: s.StartUnixMs}, awdispatch.Load{
		At: g.cfg.Clock.Now(), Active: r.Active, Queued: r.Queued, Busy: r.Busy, CacheUsed: r.CacheUsed,
		CacheTotal: r.CacheTotal, Slowdown: r.Slowdown, Versions: r.Versions, Shared: r.Shared, Share: r.Share,
	})
}
