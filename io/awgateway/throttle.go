package awgateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awthrottle"
	"arbutuswind/io/awload"
	"arbutuswind/io/awproto"
)

// recordResponse records that a backend server responds to a request sent at the
// given time, and what it says about itself. A response of another server at its
// address says nothing about it.
func (q *request) recordResponse(s *awdirectory.Server, info ResponseInfo, sent time.Time) {
	g := q.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if q.model != "" {
		g.exchange.quarantine.RecordAnswer(poolKey(s), sent)
	}
	if !info.Replaced {
		g.observeSignals(s, info.Signals, sent)
	}
}

// observeSignals records what a backend server says about itself; mu must be held.
func (g *Gateway) observeSignals(s *awdirectory.Server, signals awthrottle.Signals, sent time.Time) {
	if signals.LimitUnreadable {
		g.metrics.badSignals.Inc()
	}
	c := g.throttle.Observe(s.Key(), signals, sent)
	if c.Limit {
		g.logLimit(s.Key(), "response")
		g.signalNotices()
	}
	if c.Leaving {
		g.metrics.serversLeaving.Inc()
		_ = level.Info(g.cfg.Logger).Log("Message", "backend server is leaving", "Server", s.ID, "Source", "response")
	}
	if c.Pause {
		g.metrics.pauses.Inc()
		_ = level.Info(g.cfg.Logger).Log("Message", "backend server asks for a pause", "Server", s.ID, "PauseMs", signals.Pause.Milliseconds())
	}
}

// logLimit logs the changed rate limit of a backend server; mu must be held.
func (g *Gateway) logLimit(k awdirectory.Key, source string) {
	g.metrics.rateLimits.Set(float64(g.throttle.Limits()))
	if rate, ok := g.throttle.Limit(k); ok {
		_ = level.Info(g.cfg.Logger).Log("Message", "rate limit named", "Server", k.ID, "PerSecond", rate, "Source", source)
		return
	}
	_ = level.Info(g.cfg.Logger).Log("Message", "rate limit lifted", "Server", k.ID, "Source", source)
}

// setNoticeTargets replaces the entries that share rate limits; mu must be held.
func (g *Gateway) setNoticeTargets(entries []awdirectory.Entry) {
	g.throttle.SetEntries(awdirectory.EntryNames(entries))
	if self := (awdirectory.Entry{Name: g.cfg.Instance, Incarnation: g.cfg.Incarnation}); !self.IsListed(entries) {
		g.throttle.Resettle()
	}
	alone := len(g.noticeTargets) == 0
	g.noticeTargets = make(map[string]netip.AddrPort, len(entries))
	for _, e := range entries {
		if addr, err := netip.ParseAddrPort(e.Address); err == nil && e.Name != g.cfg.Instance { // an older entry registers no address
			g.noticeTargets[e.Name] = addr
		}
	}
	if alone && len(g.noticeTargets) > 0 {
		g.noticesWanted = true
		signal(g.noticesDue)
	}
}

// signalNotices has the notices sent that a change of waiting requests, permits or
// limits leads to; mu must be held.
func (g *Gateway) signalNotices() {
	if g.throttle.Limits() > 0 || g.throttle.Pending() {
		signal(g.noticesDue)
	}
}

// ShareLimits exchanges with the other entries notices about the rate limits of
// backend servers, until ctx is done.
func (g *Gateway) ShareLimits(ctx context.Context, socket *awload.Socket) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.noticesDue:
			g.contain("limits", func() { g.sendNotices(socket) })
		}
	}
}

// sendNotices sends what is due to the other entries.
func (g *Gateway) sendNotices(socket *awload.Socket) {
	for _, addr := range g.askedForNotices() {
		for _, payload := range appendMessage(nil, &awproto.Notices{Sender: g.cfg.Instance, Wanted: true}) {
			socket.SendNotices(addr, payload)
		}
	}
	for addr, notices := range g.dueNotices() {
		for _, payload := range encodeNotices(g.cfg.Instance, notices, g.cfg.Clock.Now()) {
			socket.SendNotices(addr, payload)
		}
	}
}

// askedForNotices returns the addresses of some entries, once after the first
// others are known. This entry may have started while limits are in force.
func (g *Gateway) askedForNotices() []netip.AddrPort {
	g.mu.Lock()
	wanted := g.noticesWanted
	g.noticesWanted = false
	g.mu.Unlock()
	if !wanted {
		return nil
	}
	return g.peers(digestPeers)
}

// dueNotices returns the notices to send now, by address. It first assigns the
// requests for which there are permits.
func (g *Gateway) dueNotices() map[netip.AddrPort][]awthrottle.Notice {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.throttle.Ask() // may grant permits, if this entry issues them
	if g.throttle.TakeGranted() {
		g.dispatch.Tick()
		g.throttle.Ask()
	}
	due := map[netip.AddrPort][]awthrottle.Notice{}
	for name, notices := range g.throttle.TakePending() {
		if addr, ok := g.noticeTargets[name]; ok {
			due[addr] = notices
		}
	}
	return due
}

// handleNotices handles a datagram of another entry.
func (g *Gateway) handleNotices(from netip.AddrPort, payload []byte) {
	var m awproto.Notices
	if err := proto.Unmarshal(payload, &m); err != nil || m.Sender == "" {
		g.metrics.badNotices.Inc()
		return
	}
	now := g.cfg.Clock.Now()
	notices := make([]awthrottle.Notice, len(m.Notices))
	for i, n := range m.Notices {
		notices[i] = n.Decode(now)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, known := g.noticeTargets[m.Sender]; !known && g.noticeTargets != nil {
		g.noticeTargets[m.Sender] = from // it has registered since the entries were read
		g.throttle.AddEntry(m.Sender)
	}
	if m.Wanted {
		g.throttle.Greet(m.Sender)
	}
	for _, k := range g.throttle.Receive(m.Sender, notices) {
		g.logLimit(k, m.Sender)
	}
	signal(g.noticesDue)
}

// encodeNotices returns the datagrams for notices.
func encodeNotices(self string, notices []awthrottle.Notice, now time.Time) [][]byte {
	var out [][]byte
	m, size := &awproto.Notices{Sender: self}, 0
	for _, notice := range notices {
		n := awproto.NewNotice(notice, now)
		bytes := proto.Size(n) + itemOverhead
		if size > 0 && size+bytes > maxFactsBytes {
			out = appendMessage(out, m)
			m, size = &awproto.Notices{Sender: self}, 0
		}
		m.Notices, size = append(m.Notices, n), size+bytes
	}
	return appendMessage(out, m)
}
