package awweights

import "time"

// pickDuty returns a chunk that this agent is to bring into its region. Only
// chunks that no agent of the region holds are fetched from outside.
func (x *Exchange) pickDuty(now time.Time) (Fetch, bool) {
	if !x.cfg.Self.RegionFetcher || x.count(false) >= x.atOnce(x.cfg.OutsideParallel) || !x.mapsKnown(now) {
		return Fetch{}, false
	}
	home := x.cfg.Self.Region == x.home
	if home && x.origin.avoidUntil.After(now) {
		return Fetch{}, false
	}
	if !home {
		x.region.SetRate(now, x.cfg.RegionRate/float64(x.livePanel(now)))
		if x.region.Wait(now) > 0 {
			return Fetch{}, false
		}
	}
	found := Fetch{Index: -1}
	x.scan(func(i int) bool {
		if x.byChunk[i] > 0 || x.holder[i] > 0 || !x.mine(i, now) {
			return true
		}
		if home {
			found = Fetch{Index: i, Kind: FromOrigin}
		} else if p := x.outside(i, now); p != nil {
			found = Fetch{Index: i, Kind: FromOtherRegion, Peer: p.ID}
		}
		return found.Index < 0
	})
	return found, found.Index >= 0
}

// scan calls f with chunks that are not held, from a random one on, until f
// returns false or scanLimit chunks have been seen.
func (x *Exchange) scan(f func(i int) bool) {
	from := x.rng.IntN(len(x.left))
	for k := range min(len(x.left), scanLimit) {
		if !f(x.left[(from+k)%len(x.left)]) {
			return
		}
	}
}

// silentFactor divides the takeover time of a fetcher that does not answer: it
// is more likely dead than slow.
const silentFactor = 4

// mine reports whether this agent may fetch chunk i from outside the region
// now: it is the designated fetcher, or every one before it has made no
// progress for a time that grows with the rank.
func (x *Exchange) mine(i int, now time.Time) bool {
	before, ok := x.duties.Before(i, x.cfg.Self.ID)
	if !ok {
		return false
	}
	for _, id := range before {
		p := x.peers[id]
		wait := x.cfg.TakeoverAfter * time.Duration(len(before))
		if p.silent {
			wait /= silentFactor
		}
		if !p.distrusted && now.Sub(p.progressed) < wait {
			return false
		}
	}
	return true
}

// mapsKnown reports whether the panel and a few others of the region were
// asked once. Without their answers a restarted agent would fetch from outside
// what is there.
func (x *Exchange) mapsKnown(now time.Time) bool {
	if now.Sub(x.began) >= x.cfg.StartGrace {
		return true
	}
	heard, others := 0, 0
	for _, p := range x.peers {
		switch {
		case p.Region != x.cfg.Self.Region:
		case p.RegionFetcher && !p.heard:
			return false
		case !p.RegionFetcher:
			others++
			if p.heard {
				heard++
			}
		}
	}
	return heard >= min(askOthers, others)
}

// livePanel returns how many members of the panel share the region link.
func (x *Exchange) livePanel(now time.Time) int {
	n := 0
	for _, id := range x.panel {
		p := x.peers[id]
		if id == x.cfg.Self.ID || (p != nil && !p.silent && now.Sub(p.progressed) < 2*x.cfg.TakeoverAfter) {
			n++
		}
	}
	return max(1, n)
}

// usable reports whether a fetch from the peer may start now.
func (x *Exchange) usable(p *peer, now time.Time) bool {
	return p.running < x.cfg.PerPeer && !p.silent && !p.avoidUntil.After(now)
}

// outside returns an agent of another region that holds chunk i, one of the
// home region where possible: its chunks come straight from the origin.
func (x *Exchange) outside(i int, now time.Time) *peer {
	var best *peer
	for _, id := range x.order {
		p := x.peers[id]
		if p.Region == x.cfg.Self.Region || !p.held.Has(i) || !x.usable(p, now) {
			continue
		}
		switch {
		case best == nil,
			p.Region == x.home && best.Region != x.home,
			(p.Region == x.home) == (best.Region == x.home) && p.running < best.running:
			best = p
		}
	}
	return best
}

// inside returns an agent of the own region that holds chunk i, the one with
// the fewest fetches of ours.
func (x *Exchange) inside(i int, now time.Time) *peer {
	var best *peer
	ties := 0
	for _, id := range x.order {
		p := x.peers[id]
		if p.Region != x.cfg.Self.Region || !p.held.Has(i) || !x.usable(p, now) {
			continue
		}
		switch {
		case best == nil || p.running < best.running:
			best, ties = p, 1
		case p.running == best.running:
			// Each of the equal peers is chosen with the same chance.
			if ties++; x.rng.IntN(ties) == 0 {
				best = p
			}
		}
	}
	return best
}

// pickPeer returns the chunk that the fewest agents of the region hold, and
// one of those agents.
func (x *Exchange) pickPeer(now time.Time) (Fetch, bool) {
	if x.count(true) >= x.atOnce(x.cfg.Parallel) {
		return Fetch{}, false
	}
	found, rarest := Fetch{Index: -1}, 0
	x.scan(func(i int) bool {
		n := x.holder[i]
		if n == 0 || x.byChunk[i] > 0 || (found.Index >= 0 && n >= rarest) {
			return true
		}
		if p := x.inside(i, now); p != nil {
			found, rarest = Fetch{Index: i, Kind: FromPeer, Peer: p.ID}, n
		}
		return true
	})
	return found, found.Index >= 0
}

// originPatience is how much longer a read of the origin may take than one of
// a peer before it counts as stalled; the origin serves several at once.
const originPatience = 4

// markStalled frees the chunks whose source stalls, so that they are fetched
// from a second source at the same time, and avoids the first.
func (x *Exchange) markStalled(now time.Time) {
	for _, r := range x.active {
		p := x.peers[r.Peer]
		limit := x.cfg.StallAfter
		if r.Kind == FromOrigin {
			limit *= originPatience
		}
		dead := p != nil && p.silent
		if r.stalled || (!dead && now.Sub(r.began) < limit) {
			continue
		}
		r.stalled = true
		x.leave(r.Index)
		if p != nil {
			x.strike(p, now)
		}
	}
}

// pickLast fetches from outside the region without a duty, once this agent has made no progress for so long that the whole panel
// must be gone. Chunks that a peer of the region claims to hold are included
// while there is no progress.
func (x *Exchange) pickLast(now time.Time) (Fetch, bool) {
	idle := now.Sub(x.progressed)
	if x.rescue.IsZero() {
		wait := float64(x.cfg.TakeoverAfter) * float64(FetchersPerRegion+1) * x.patience
		if idle < time.Duration(wait) {
			return Fetch{}, false
		}
		x.rescue = now
	}
	if x.count(false) >= x.atOnce(x.cfg.OutsideParallel) {
		return Fetch{}, false
	}
	// Another region's copy is preferred; its chunk maps come in first.
	originToo := !x.origin.avoidUntil.After(now) &&
		(x.cfg.Self.Region == x.home || now.Sub(x.rescue) >= x.cfg.TakeoverAfter)
	found := Fetch{Index: -1}
	x.scan(func(i int) bool {
		if x.byChunk[i] > 0 || (x.holder[i] > 0 && idle < x.cfg.TakeoverAfter) {
			return true
		}
		if p := x.outside(i, now); p != nil {
			found = Fetch{Index: i, Kind: FromOtherRegion, Peer: p.ID}
		} else if originToo {
			found = Fetch{Index: i, Kind: FromOrigin}
		}
		return found.Index < 0
	})
	return found, found.Index >= 0
}
