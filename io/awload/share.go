package awload

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"arbutuswind/core/awbalance"
)

// Field numbers of shares by demand. The first three are sent with a subscription,
// the last one with a report.
const (
	fieldDemand protowire.Number = iota + 30
	fieldSlots
	fieldSharers
	fieldShare
)

// demandUnit is the number of units of fieldDemand in one request a second.
const demandUnit = 100

// subscriber is an entry that gets load reports.
type subscriber struct {
	at    time.Time // of its last subscription
	claim awbalance.Claim
}

// AppendClaim appends an entry's claim on the slots of one backend server to a
// subscription, about 9 bytes.
func AppendClaim(subscription []byte, c awbalance.Claim) []byte {
	b := protowire.AppendTag(subscription, fieldDemand, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(max(0, c.Demand)*demandUnit))
	b = protowire.AppendTag(b, fieldSlots, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(max(0, c.Slots)))
	b = protowire.AppendTag(b, fieldSharers, protowire.VarintType)
	return protowire.AppendVarint(b, uint64(max(0, c.Sharers)))
}

// subscribe records the subscription of an entry.
func (s *Socket) subscribe(from netip.AddrPort, claim awbalance.Claim) {
	now := s.clock.Now()
	claim.At = now
	s.mu.Lock()
	defer s.mu.Unlock()
	if claim.Valid() && s.firstClaim.IsZero() {
		s.firstClaim = now
	}
	s.subscribers[from] = subscriber{now, claim}
}

// Send sends a report to all subscribers and returns their number. Subscribers that
// have sent a claim get their share of the free slots with it.
func (s *Socket) Send(r Report) int {
	addresses, claims, firstClaim := s.current()
	b := r.encode()
	if firstClaim.IsZero() {
		for _, addr := range addresses {
			_, _ = s.conn.WriteToUDPAddrPort(b, addr) // the next report replaces a lost one
		}
		return len(addresses)
	}
	shares := make([]int, len(claims))
	server := awbalance.Server{Active: r.Active, Queued: r.Queued, Slowdown: r.Slowdown, Busy: r.Busy, FirstClaim: firstClaim}
	awbalance.Split(server, claims, shares, s.clock.Now(), r.Draw)
	common := len(b)
	for i, addr := range addresses {
		b = b[:common]
		if claims[i].Valid() {
			b = protowire.AppendTag(b, fieldShare, protowire.VarintType)
			b = protowire.AppendVarint(b, uint64(shares[i]))
		}
		_, _ = s.conn.WriteToUDPAddrPort(b, addr) // the next report replaces a lost one
	}
	return len(addresses)
}

// current returns the subscribers, and their claims and the time of the first claim
// if any of them has sent one. The first claim is forgotten with the last one, so that
// the entries which come later are expected again.
func (s *Socket) current() (addresses []netip.AddrPort, claims []awbalance.Claim, firstClaim time.Time) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	addresses = make([]netip.AddrPort, 0, len(s.subscribers))
	claimed := false
	for addr, sub := range s.subscribers {
		if now.Sub(sub.at) > subscriptionTTL {
			delete(s.subscribers, addr)
			continue
		}
		addresses = append(addresses, addr)
		if !s.firstClaim.IsZero() {
			claims = append(claims, sub.claim)
		}
		claimed = claimed || sub.claim.Valid()
	}
	if !claimed {
		s.firstClaim, claims = time.Time{}, nil
	}
	return addresses, claims, s.firstClaim
}
