package awduty

import (
	"cmp"
	"slices"
	"time"
)

// maxCandidates is the number of instances that get the counts of all.
const maxCandidates = 3

// probeInterval is the time between messages to an instance that does not answer.
const probeInterval = 4 * time.Second

// Peer is a registered instance.
type Peer struct {
	Name    string
	Domain  string // failure domain; empty if it has not said
	Address string
}

// Rank sorts instances into the order in which they are candidates for holding
// duties. Those that follow each other are in different failure domains where
// there are several. All instances find the same order.
func Rank(peers []Peer) []Peer {
	sorted := slices.Clone(peers)
	slices.SortFunc(sorted, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Name, b.Name))
	})
	type ranked struct {
		peer  Peer
		place int // within its failure domain
	}
	list := make([]ranked, len(sorted))
	for i, p := range sorted {
		list[i].peer = p
		if i > 0 && sorted[i-1].Domain == p.Domain {
			list[i].place = list[i-1].place + 1
		}
	}
	slices.SortStableFunc(list, func(a, b ranked) int { return cmp.Compare(a.place, b.place) })
	for i := range list {
		sorted[i] = list[i].peer
	}
	return sorted
}

// contact is what an instance knows of another one.
type contact struct {
	peer       Peer
	listed     bool          // it is registered
	heard      time.Duration // 0 if never
	askedSince time.Duration // first message without any from it since; 0 if there is none
	probed     time.Duration
}

// answers reports whether the instance is not known to be silent.
func (c *contact) answers(now time.Duration) bool {
	if c.heard > 0 && now-c.heard <= silentAfter {
		return true
	}
	return c.askedSince == 0 || now-c.askedSince <= silentAfter
}

// peers holds the other instances in the order of candidates.
type peers struct {
	self     Peer
	contacts map[string]*contact
	order    []Peer // with self
}

func newPeers(self Peer) *peers {
	p := &peers{self: self, contacts: map[string]*contact{}}
	p.sort()
	return p
}

func (p *peers) sort() {
	list := []Peer{p.self}
	for _, c := range p.contacts {
		list = append(list, c.peer)
	}
	p.order = Rank(list)
}

// set replaces the registered instances.
func (p *peers) set(now time.Duration, list []Peer) {
	for _, c := range p.contacts {
		c.listed = false
	}
	for _, peer := range list {
		if peer.Name == p.self.Name || peer.Address == "" {
			continue
		}
		c := p.contacts[peer.Name]
		if c == nil {
			c = &contact{}
			p.contacts[peer.Name] = c
		}
		c.peer, c.listed = peer, true
	}
	for name, c := range p.contacts {
		if !c.listed && now-c.heard > rememberedFor {
			delete(p.contacts, name)
		}
	}
	p.sort()
}

// hear records a message of an instance, which may not be registered yet.
func (p *peers) hear(now time.Duration, peer Peer) {
	c := p.contacts[peer.Name]
	if c == nil {
		c = &contact{peer: peer}
		p.contacts[peer.Name] = c
		p.sort()
	}
	c.heard, c.askedSince = now, 0
}

// targets returns the instances to send counts to: the first candidates that
// answer, the holder, and now and then those that do not answer.
func (p *peers) targets(now time.Duration, holder string) []Peer {
	var out []Peer
	picked := 0
	for _, peer := range p.order {
		if peer.Name == p.self.Name {
			picked++
			continue
		}
		c := p.contacts[peer.Name]
		answers, isHolder := c.answers(now), peer.Name == holder
		due := picked < maxCandidates && (answers || now-c.probed >= probeInterval)
		if !due && !isHolder { // a holder that does not answer may be back and needs the counts
			continue
		}
		out = append(out, c.peer)
		c.probed = now
		if answers {
			picked++
		}
		if c.askedSince == 0 {
			c.askedSince = now
		}
	}
	return out
}

// others reports whether there is another instance that is not known to be silent.
func (p *peers) others(now time.Duration) bool {
	for _, c := range p.contacts {
		if c.answers(now) {
			return true
		}
	}
	return false
}

// rank returns the number of instances that are candidates before this one and are
// not known to be silent.
func (p *peers) rank(now time.Duration) int {
	n := 0
	for _, peer := range p.order {
		if peer.Name == p.self.Name {
			break
		}
		if p.contacts[peer.Name].answers(now) {
			n++
		}
	}
	return n
}
