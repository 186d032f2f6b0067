package awgateway

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awquarantine"
	"arbutuswind/io/awload"
	"arbutuswind/io/awproto"
)

const (
	// factsDelay is how long facts are collected before they are sent. All sends to
	// an engine that crashes fail within a few milliseconds.
	factsDelay = 3 * time.Millisecond
	// digestInterval is the time between two digests, and digestPeers the number of
	// other entries that get one.
	digestInterval = time.Second
	digestPeers    = 3
	// maxFactsBytes is the size up to which facts are put into one datagram.
	maxFactsBytes = 1000
)

// reasonQuarantined is the reason of requests that are refused, and of sends that
// are ended, because they or a part of their prompt crash engines.
const reasonQuarantined = "Quarantined"

// errQuarantined ends a send whose request turns out to crash engines.
var errQuarantined = errors.New("a part of the prompt crashes engines")

// reasonOutdated is the reason of sends that are ended because the engine has not
// begun them before its version of the weights ran out.
const reasonOutdated = "Outdated"

// errOutdated ends a send that its engine must not begin any more.
var errOutdated = errors.New("version of the weights ran out before the answer began")

// exchange is the part of a [Gateway] that finds requests which crash engines,
// together with the other entries. All fields are protected by the gateway's mu.
type exchange struct {
	quarantine *awquarantine.Quarantine
	unproven   map[*send]bool // sends to engines whose answer has not begun
	peers      []netip.AddrPort
	logged     map[string]bool // blocked parts that have been logged
	changed    chan struct{}   // signals pending facts
	joined     chan struct{}   // signals that the first peers are known
}

func newExchange(q *awquarantine.Quarantine) exchange {
	return exchange{
		quarantine: q, unproven: map[*send]bool{}, logged: map[string]bool{},
		changed: make(chan struct{}, 1), joined: make(chan struct{}, 1),
	}
}

// peerAddresses returns the addresses of all entries but self.
func peerAddresses(entries []awdirectory.Entry, self string) []netip.AddrPort {
	var peers []netip.AddrPort
	for _, e := range entries {
		if addr, err := netip.ParseAddrPort(e.Address); err == nil && e.Name != self { // an older entry registers no address
			peers = append(peers, addr)
		}
	}
	return peers
}

// setEntries replaces the entries; mu must be held.
func (x *exchange) setEntries(entries []awdirectory.Entry, self string) {
	x.quarantine.SetEntries(awdirectory.EntryNames(entries))
	peers := peerAddresses(entries, self)
	if len(x.peers) == 0 && len(peers) > 0 {
		signal(x.joined)
	}
	x.peers = peers
}

// updateExchange reacts to a change of the facts: it ends the sends that are now
// refused and has pending facts sent; mu must be held.
func (g *Gateway) updateExchange() {
	x := &g.exchange
	for s := range x.unproven {
		if s.q.probe {
			continue
		}
		if _, blocked := x.quarantine.Blocked(s.q.parts()); blocked {
			s.cancel(errQuarantined)
		}
	}
	signal(x.changed)
	blocked := map[string]bool{}
	for _, b := range x.quarantine.Blocks() {
		blocked[b.Part] = true
		if !x.logged[b.Part] {
			_ = level.Warn(g.cfg.Logger).Log("Message", "prompt part quarantined", "Part", b.Part, "With", strings.Join(b.With, ","), "Crashes", b.Crashes)
		}
	}
	for part := range x.logged {
		if !blocked[part] {
			_ = level.Warn(g.cfg.Logger).Log("Message", "prompt part no longer quarantined", "Part", part)
		}
	}
	x.logged = blocked
	g.metrics.quarantined.Set(float64(len(blocked)))
}

// ownPart identifies the request together with its repetitions by the caller.
func (q *request) ownPart() string { return cmp.Or(q.info.OwnPart, q.info.ID) }

// parts returns all parts of the prompt.
func (q *request) parts() []string { return append(slices.Clip(q.info.SharedParts), q.ownPart()) }

// quarantinedUntil reports whether the request is refused because it, or a part of
// its prompt, crashes engines, and until when. It lets a probe pass, once.
func (q *request) quarantinedUntil() (time.Time, bool) {
	if q.model == "" {
		return time.Time{}, false
	}
	parts := q.parts()
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	quarantine := q.g.exchange.quarantine
	until, blocked := quarantine.Blocked(parts)
	if blocked && !q.probe && quarantine.StartProbe(parts) {
		q.probe = true
		return time.Time{}, false
	}
	return until, blocked
}

// isQuarantined reports whether the request is refused and is no probe.
func (q *request) isQuarantined() bool {
	if q.model == "" || q.probe {
		return false
	}
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	_, blocked := q.g.exchange.quarantine.Blocked(q.parts())
	return blocked
}

// trackUnproven lets the gateway end the send because its prompt is quarantined or
// the engine's version of the weights has run out. The returned function ends that;
// it must be called when the answer has begun or the send has ended.
func (s *send) trackUnproven() func() {
	if s.q.model == "" {
		return func() {}
	}
	g := s.q.g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.exchange.unproven[s] = true
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.exchange.unproven, s)
	}
}

// withdrawOutdated ends the streams that wait inside an engine whose version of the
// weights may no longer begin a request; mu must be held. Whether the engine has
// begun the response to another request is not known.
func (g *Gateway) withdrawOutdated() {
	for s := range g.exchange.unproven {
		if s.q.route.Kind == awdirectory.Stream && !g.dispatch.MayBegin(s.grant, s.q.model) {
			s.cancel(errOutdated)
		}
	}
}

// recordSound records that the parts of the prompt do not crash engines.
func (q *request) recordSound() {
	if q.model == "" {
		return
	}
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	if q.g.exchange.quarantine.RecordSound(q.ownPart(), q.info.SharedParts) {
		q.g.updateExchange()
	}
}

// recordSuspect records that the engine, to which the request was sent at the given
// time, closed the connection before its answer had shown the prompt to be sound,
// or that the send was cancelled because of the prompt.
func (q *request) recordSuspect(engine string, sent time.Time, cancelled bool) {
	if q.model == "" {
		return
	}
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	q.g.exchange.quarantine.RecordCrash(awquarantine.Crash{
		Engine: engine, Request: q.ownPart(), Parts: q.info.SharedParts, Sent: sent, At: q.g.cfg.Clock.Now(), Cancelled: cancelled,
	})
	q.g.updateExchange()
}

// ShareFacts exchanges with the other entries what is known about requests that
// crash engines, until ctx is done.
func (g *Gateway) ShareFacts(ctx context.Context, socket *awload.Socket) {
	digest := time.NewTicker(digestInterval)
	defer digest.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.exchange.joined:
			g.sendFacts(socket, nil, true, 0)
		case <-digest.C:
			g.sendFacts(socket, g.exchange.quarantine.Digest, false, digestPeers)
		case <-g.exchange.changed:
			time.Sleep(factsDelay)
			g.sendFacts(socket, g.exchange.quarantine.TakePending, false, 0)
		}
	}
}

// peers returns the addresses of n random other entries, or of all if n is 0.
func (g *Gateway) peers(n int) []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := g.exchange.peers
	if n == 0 || n >= len(all) {
		return all
	}
	chosen := make([]netip.AddrPort, 0, n)
	for _, i := range g.rng.Perm(len(all))[:n] {
		chosen = append(chosen, all[i])
	}
	return chosen
}

// HandleFacts merges the facts in a datagram of another entry and returns the
// datagrams to send back.
func (g *Gateway) HandleFacts(payload []byte) [][]byte {
	facts, wanted, err := decodeFacts(payload, g.cfg.Clock.Now())
	if err != nil {
		g.metrics.badFacts.Inc()
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !facts.Empty() {
		g.exchange.quarantine.Merge(facts)
		g.updateExchange()
	}
	if wanted {
		return encodeFacts(g.exchange.quarantine.Digest(), false, g.cfg.Clock.Now())
	}
	return nil
}

// sendFacts sends the facts that take returns to n random other entries, or to all if n
// is 0. A nil take sends none, and asks for theirs if wanted is set.
func (g *Gateway) sendFacts(socket *awload.Socket, take func() awquarantine.Facts, wanted bool, n int) {
	g.contain("facts", func() {
		facts := g.lockedFacts(take)
		if facts.Empty() && !wanted {
			return
		}
		peers := g.peers(n)
		for _, payload := range encodeFacts(facts, wanted, g.cfg.Clock.Now()) {
			for _, addr := range peers {
				socket.SendFacts(addr, payload)
			}
		}
	})
}

func (g *Gateway) lockedFacts(take func() awquarantine.Facts) awquarantine.Facts {
	if take == nil {
		return awquarantine.Facts{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return take()
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // a signal is already pending
	}
}

// encodeFacts returns the datagrams for facts.
func encodeFacts(f awquarantine.Facts, wanted bool, now time.Time) [][]byte {
	all := awproto.NewFacts(f, now)
	var out [][]byte
	m, size := &awproto.Facts{Wanted: wanted}, 0
	add := func(item proto.Message, put func()) {
		if n := proto.Size(item); size > 0 && size+n > maxFactsBytes {
			out = appendMessage(out, m)
			m, size = &awproto.Facts{}, 0
		}
		put()
		size += proto.Size(item) + itemOverhead
	}
	for _, s := range all.Sound {
		add(s, func() { m.Sound = append(m.Sound, s) })
	}
	for _, r := range all.Refuted {
		add(r, func() { m.Refuted = append(m.Refuted, r) })
	}
	for _, c := range all.Crashes {
		add(c, func() { m.Crashes = append(m.Crashes, c) })
	}
	return appendMessage(out, m)
}

// itemOverhead is the size of the tag and length of one fact in a message.
const itemOverhead = 4

// appendMessage appends an encoded message to the datagrams. One that cannot be encoded
// is left out: the texts in it come from requests, of which none may end the process.
func appendMessage(out [][]byte, m proto.Message) [][]byte {
	b, err := proto.Marshal(m)
	if err != nil {
		metrics.GetOrCreateCounter("arbutuswind_gateway_messages_unencoded_total").Inc()
		return out
	}
	return append(out, b)
}

func decodeFacts(payload []byte, now time.Time) (f awquarantine.Facts, wanted bool, err error) {
	var m awproto.Facts
	if err := proto.Unmarshal(payload, &m); err != nil {
		return f, false, err
	}
	return m.Decode(now), m.Wanted, nil
}
