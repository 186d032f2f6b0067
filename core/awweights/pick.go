package awweights

import "time"

// pickAssigned returns a fetch from outside the region, of a chunk that is
// assigned to this agent and that no peer of the region holds.
func (x *Exchange) pickAssigned(now time.Time) (Fetch, bool) {
	if !x.cfg.Self.RegionFetcher || x.countActive(false) >= x.fetchLimit(x.cfg.OutsideParallel) || !x.chunkMapsKnown(now) {
		return Fetch{}, false
	}
	inHomeRegion := x.cfg.Self.Region == x.homeRegion
	if inHomeRegion && x.origin.avoidUntil.After(now) {
		return Fetch{}, false
	}
	if !inHomeRegion {
		x.regionBucket.SetRate(now, x.cfg.RegionRate/float64(x.liveRegionFetchers(now)))
		if x.regionBucket.Wait(now) > 0 {
			return Fetch{}, false
		}
	}
	found := Fetch{Index: -1}
	x.scanMissing(func(i int) bool {
		if x.fetchesByChunk[i] > 0 || x.holderCounts[i] > 0 || !x.mayFetchOutside(i, now) {
			return true
		}
		if inHomeRegion {
			found = Fetch{Index: i, Kind: FromOrigin}
		} else if p := x.bestOutsidePeer(i, now); p != nil {
			found = Fetch{Index: i, Kind: FromOtherRegion, Peer: p.ID}
		}
		return found.Index < 0
	})
	return found, found.Index >= 0
}

// scanMissing calls f with missing chunks, starting at a random one, until f
// returns false or scanLimit chunks have been visited.
func (x *Exchange) scanMissing(f func(i int) bool) {
	from := x.rng.IntN(len(x.missing))
	for k := range min(len(x.missing), scanLimit) {
		if !f(x.missing[(from+k)%len(x.missing)]) {
			return
		}
	}
}

// unreachableTakeoverFactor divides the takeover time if a fetcher is unreachable:
// it is then more likely to be down than slow.
const unreachableTakeoverFactor = 4

// mayFetchOutside reports whether this agent may fetch chunk i from outside the
// region now: it is the designated fetcher, or none of the fetchers ranked before
// it has made progress for a time proportional to this agent's rank.
func (x *Exchange) mayFetchOutside(i int, now time.Time) bool {
	before, ok := x.assignment.Before(i, x.cfg.Self.ID)
	if !ok {
		return false
	}
	for _, id := range before {
		p := x.peers[id]
		wait := x.cfg.TakeoverAfter * time.Duration(len(before))
		if p.unreachable {
			wait /= unreachableTakeoverFactor
		}
		if !p.distrusted && now.Sub(p.lastProgress) < wait {
			return false
		}
	}
	return true
}

// chunkMapsKnown reports whether all fetchers of the region and a few other peers
// there have been polled once, or StartGrace is over. Without their chunk maps a
// restarted agent would fetch chunks from outside that the region already holds.
func (x *Exchange) chunkMapsKnown(now time.Time) bool {
	if now.Sub(x.started) >= x.cfg.StartGrace {
		return true
	}
	polled, others := 0, 0
	for _, p := range x.peers {
		switch {
		case p.Region != x.cfg.Self.Region:
		case p.RegionFetcher && !p.polled:
			return false
		case !p.RegionFetcher:
			others++
			if p.polled {
				polled++
			}
		}
	}
	return polled >= min(otherPeersPolled, others)
}

// liveRegionFetchers returns the number of fetchers that share the link to other
// regions now, at least 1. Fetchers that are unreachable or make no progress do
// not count.
func (x *Exchange) liveRegionFetchers(now time.Time) int {
	n := 0
	for _, id := range x.regionFetchers {
		p := x.peers[id]
		if id == x.cfg.Self.ID || (p != nil && !p.unreachable && now.Sub(p.lastProgress) < 2*x.cfg.TakeoverAfter) {
			n++
		}
	}
	return max(1, n)
}

// usable reports whether another fetch from the peer may start now.
func (x *Exchange) usable(p *peer, now time.Time) bool {
	return p.activeFetches < x.cfg.PerPeer && !p.unreachable && !p.avoidUntil.After(now)
}

// bestOutsidePeer returns a usable peer of another region that holds chunk i, or
// nil. It prefers peers of the home region, which get chunks directly from the
// origin, and then those with the fewest fetches by this agent.
func (x *Exchange) bestOutsidePeer(i int, now time.Time) *peer {
	var best *peer
	for _, id := range x.peerIDs {
		p := x.peers[id]
		if p.Region == x.cfg.Self.Region || !p.held.Has(i) || !x.usable(p, now) {
			continue
		}
		switch {
		case best == nil,
			p.Region == x.homeRegion && best.Region != x.homeRegion,
			(p.Region == x.homeRegion) == (best.Region == x.homeRegion) && p.activeFetches < best.activeFetches:
			best = p
		}
	}
	return best
}

// bestRegionPeer returns the usable peer of the same region that holds chunk i and
// has the fewest fetches by this agent, or nil.
func (x *Exchange) bestRegionPeer(i int, now time.Time) *peer {
	var best *peer
	ties := 0
	for _, id := range x.peerIDs {
		p := x.peers[id]
		if p.Region != x.cfg.Self.Region || !p.held.Has(i) || !x.usable(p, now) {
			continue
		}
		switch {
		case best == nil || p.activeFetches < best.activeFetches:
			best, ties = p, 1
		case p.activeFetches == best.activeFetches:
			// Reservoir sampling: each tied peer is equally likely.
			if ties++; x.rng.IntN(ties) == 0 {
				best = p
			}
		}
	}
	return best
}

// pickPeer returns a fetch from a peer of the region, of the missing chunk that
// the fewest peers there hold.
func (x *Exchange) pickPeer(now time.Time) (Fetch, bool) {
	if x.countActive(true) >= x.fetchLimit(x.cfg.Parallel) {
		return Fetch{}, false
	}
	found, rarest := Fetch{Index: -1}, 0
	x.scanMissing(func(i int) bool {
		n := x.holderCounts[i]
		if n == 0 || x.fetchesByChunk[i] > 0 || (found.Index >= 0 && n >= rarest) {
			return true
		}
		if p := x.bestRegionPeer(i, now); p != nil {
			found, rarest = Fetch{Index: i, Kind: FromPeer, Peer: p.ID}, n
		}
		return true
	})
	return found, found.Index >= 0
}

// originStallFactor is how many times longer than a fetch from a peer a read from
// the origin may take before it counts as stalled. The origin serves several
// agents at once.
const originStallFactor = 4

// markStalled marks fetches that take too long or whose peer is unreachable. Their
// chunks may then be fetched from a second source at the same time, and the
// stalled peer is avoided for a while.
func (x *Exchange) markStalled(now time.Time) {
	for _, f := range x.active {
		p := x.peers[f.Peer]
		limit := x.cfg.StallAfter
		if f.Kind == FromOrigin {
			limit *= originStallFactor
		}
		unreachable := p != nil && p.unreachable
		if f.stalled || (!unreachable && now.Sub(f.started) < limit) {
			continue
		}
		f.stalled = true
		x.releaseChunk(f.Index)
		if p != nil {
			x.backOff(p, now)
		}
	}
}

// pickFallback returns a fetch from outside the region of a chunk that is not
// assigned to this agent. It starts once this agent has made no progress for so
// long that all fetchers of the region must be down. Without progress for
// TakeoverAfter, it also picks chunks that peers of the region claim to hold.
func (x *Exchange) pickFallback(now time.Time) (Fetch, bool) {
	idle := now.Sub(x.lastProgress)
	if x.fallbackSince.IsZero() {
		wait := float64(x.cfg.TakeoverAfter) * float64(FetchersPerRegion+1) * x.fallbackJitter
		if idle < time.Duration(wait) {
			return Fetch{}, false
		}
		x.fallbackSince = now
	}
	if x.countActive(false) >= x.fetchLimit(x.cfg.OutsideParallel) {
		return Fetch{}, false
	}
	// Copies in other regions are preferred. Outside the home region, the origin
	// is therefore used only TakeoverAfter later, when the chunk maps of other
	// regions have arrived.
	useOrigin := !x.origin.avoidUntil.After(now) &&
		(x.cfg.Self.Region == x.homeRegion || now.Sub(x.fallbackSince) >= x.cfg.TakeoverAfter)
	found := Fetch{Index: -1}
	x.scanMissing(func(i int) bool {
		if x.fetchesByChunk[i] > 0 || (x.holderCounts[i] > 0 && idle < x.cfg.TakeoverAfter) {
			return true
		}
		if p := x.bestOutsidePeer(i, now); p != nil {
			found = Fetch{Index: i, Kind: FromOtherRegion, Peer: p.ID}
		} else if useOrigin {
			found = Fetch{Index: i, Kind: FromOrigin}
		}
		return found.Index < 0
	})
	return found, found.Index >= 0
}
