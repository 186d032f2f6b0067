package awgateway

import (
	"context"
	"net/netip"
	"time"

	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awdispatch"
	"arbutuswind/io/awload"
)

// askPeriod is the time between two requests for load reports; those who are
// asked keep sending for three times as long.
const askPeriod = time.Second

// CollectLoadReports asks the loaders beside model engines for load reports until ctx
// ends. They listen on the given port.
func (g *Gateway) CollectLoadReports(ctx context.Context, socket *awload.Socket, port int) {
	go socket.Run(ctx, g.loadReport)
	tick := time.NewTicker(askPeriod)
	defer tick.Stop()
	for {
		for _, at := range g.loaders(port) {
			socket.Ask(at)
		}
		select {
		case <-ctx.Done():
			return
		case <-g.listChanged:
		case <-tick.C:
		}
	}
}

// loaders returns the addresses of the loaders beside all model engines.
func (g *Gateway) loaders(port int) []netip.AddrPort {
	c := g.config.Load()
	if c == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []netip.AddrPort
	for address, s := range g.byAddress {
		if svc := c.Service(s.Service); svc == nil || !svc.Engine {
			continue
		}
		if at, err := netip.ParseAddrPort(address); err == nil { // the list checks addresses
			list = append(list, netip.AddrPortFrom(at.Addr(), uint16(port)))
		}
	}
	return list
}

// loadReport takes a report of a loader.
func (g *Gateway) loadReport(r awload.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.byAddress[r.Address]
	if !ok || r.Born < s.StartUnixMs {
		return
	}
	// A later start than the listed one holds what it reports, although the
	// list still shows the weights of the start before.
	g.dispatch.Report(awdirectory.Key{ID: s.ID, StartUnixMs: s.StartUnixMs}, awdispatch.Load{
		At: g.cfg.Clock.Now(), Active: r.Active, Queued: r.Queued, Busy: r.Busy, CacheUsed: r.CacheUsed,
		CacheTotal: r.CacheAll, Slowdown: r.Pace, Versions: r.Versions,
	})
}
