package awgateway

import (
	"fmt"
	"net/netip"

	"github.com/VictoriaMetrics/metrics"

	"arbutuswind/core/awbalance"
	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awdispatch"
	"arbutuswind/io/awload"
)

// balance measures the demand of this entry for the services whose load is balanced
// by demand. It is empty for other services. The gateway's mu protects it.
type balance struct {
	all     bool // all services are balanced
	meters  map[string]*awbalance.Meter
	metrics *balanceMetrics // nil until a service is balanced
}

type balanceMetrics struct {
	shareSlots, shareUsed, refusedWithRoom *metrics.Counter
}

// recordShare counts the slots that a load report gives this entry; mu must be held.
func (b *balance) recordShare(r *awload.Report) {
	if r.Shared && b.metrics != nil {
		b.metrics.shareSlots.Add(r.Share)
	}
}

// balanced reports whether the load of a service is balanced by demand.
func (g *Gateway) balanced(service string) bool {
	c := g.config.Load()
	if c == nil {
		return false
	}
	svc := c.Service(service)
	return svc != nil && (g.balance.all || svc.Engine && c.Contended(service))
}

// meter returns the meter of a service, or nil if its load is not balanced; mu must
// be held.
func (g *Gateway) meter(service string) *awbalance.Meter {
	if !g.balanced(service) {
		return nil
	}
	m := g.balance.meters[service]
	if m == nil {
		if g.balance.meters == nil {
			g.balance.meters = map[string]*awbalance.Meter{}
			g.balance.metrics = &balanceMetrics{
				shareSlots:      metrics.GetOrCreateCounter("arbutuswind_gateway_share_slots_total"),
				shareUsed:       metrics.GetOrCreateCounter("arbutuswind_gateway_share_used_total"),
				refusedWithRoom: metrics.GetOrCreateCounter("arbutuswind_gateway_refused_with_room_total"),
			}
		}
		m = &awbalance.Meter{}
		g.balance.meters[service] = m
	}
	return m
}

// recordDecision counts the outcome of a request for a slot in this entry's demand;
// mu must be held. The dispatcher may be calling it.
func (g *Gateway) recordDecision(q *request, d awdispatch.Decision) {
	m := g.meter(q.service)
	now := g.cfg.Clock.Now()
	switch {
	case m == nil:
	case d.Grant != nil:
		m.Sent(d.Grant.Server.Key(), now)
		expected := awbalance.Expected{Prompt: q.info.PromptTokens, Output: q.info.LengthHint, MaxOutput: q.info.MaxTokens}
		g.dispatch.Began(d.Grant, expected, q.route.Name)
		if g.dispatch.HasShare(d.Grant.Server.Key()) {
			g.balance.metrics.shareUsed.Inc()
		}
	case d.Refusal == awdispatch.NoRoom:
		m.Refused(now)
		if g.dispatch.FreeSlots(q.service) > 0 {
			g.balance.metrics.refusedWithRoom.Inc()
		}
	}
}

// recordAnswered records that a whole successful response has arrived.
func (s *send) recordAnswered() {
	s.q.g.mu.Lock()
	defer s.q.g.mu.Unlock()
	s.q.g.dispatch.Answered(s.grant)
}

// loaderTarget is a loader that this entry subscribes to.
type loaderTarget struct {
	addr           netip.AddrPort
	key            awdirectory.Key // of the engine
	slots, sharers int             // of the engine
	claim          awbalance.Claim // not valid if the load of the service is not balanced
}

// setClaims sets the claims of this entry on the servers of a service; mu must be
// held.
func (g *Gateway) setClaims(service string, targets []loaderTarget) {
	m := g.meter(service)
	if m == nil {
		return
	}
	spread := g.dispatch.Spread(service)
	metrics.GetOrCreateGauge(fmt.Sprintf(`arbutuswind_gateway_server_load_peak{Service=%q}`, service), nil).Set(spread.Peak)
	metrics.GetOrCreateGauge(fmt.Sprintf(`arbutuswind_gateway_server_load_mean{Service=%q}`, service), nil).Set(spread.Mean)
	now, waiting := g.cfg.Clock.Now(), g.dispatch.WaitingFor(service)
	for i := range targets {
		t := &targets[i]
		t.claim = awbalance.Claim{Demand: m.Demand(t.key, waiting, len(targets), now), Slots: t.slots, Sharers: t.sharers}
	}
}

// retainMeters forgets the demand for backend servers that are not listed; mu must be
// held.
func (g *Gateway) retainMeters(listed map[awdirectory.Key]bool) {
	for _, m := range g.balance.meters {
		m.Retain(func(k awdirectory.Key) bool { return listed[k] })
	}
}

// subscribe sends a subscription with the claim on one server, if any.
func (t *loaderTarget) subscribe(socket *awload.Socket, subscription []byte) {
	if t.claim.Valid() {
		subscription = awload.AppendClaim(subscription[:len(subscription):len(subscription)], t.claim)
	}
	socket.Subscribe(t.addr, subscription)
}
