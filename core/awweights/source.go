package awweights

import "time"

// peer holds what an exchange knows about one source.
type peer struct {
	Source
	held          Bitmap
	heldCount     int
	lastProgress  time.Time // last time its chunk map grew
	polled        bool      // polled at least once, with or without a reply
	lastMap       time.Time // time of the last chunk map
	missedPolls   int       // polls in a row without a reply
	unreachable   bool      // counts as down and as holding nothing until it replies
	avoidUntil    time.Time
	backoffCount  int  // corrupt chunks and stalls in a row
	corruptInRow  int  // corrupt chunks in a row
	distrusted    bool // its chunk maps are ignored for the rest of the transfer
	failures      int  // failed calls in a row
	activeFetches int  // fetches by this agent
}

// recordResult updates the state of a source after a fetch, so that sources that
// send corrupt chunks, are busy or fail are avoided for a while. p is nil if the
// peer is no longer listed.
func (x *Exchange) recordResult(p *peer, f *activeFetch, res Result, now time.Time) {
	if res == Corrupt {
		x.stats.CorruptChunks++
	}
	if p == nil {
		return
	}
	switch res {
	case Verified:
		p.failures, p.backoffCount, p.corruptInRow = 0, 0, 0
	case Corrupt:
		if f.Kind == FromOrigin {
			// There is no other origin, so the chunk is read again without a pause.
			return
		}
		x.backOff(p, now)
		if p.corruptInRow++; p.corruptInRow >= distrustAfter {
			p.distrusted = true
			x.removeAllChunks(p)
		}
	case Busy:
		p.avoidUntil = later(p.avoidUntil, now.Add(busyBackoff/2+time.Duration(x.rng.Int64N(int64(busyBackoff)))))
	case Missing:
		x.removeChunk(p, f.Index)
	case Failed:
		if f.stalled {
			return // counted as a stall already, for which peers are backed off from
		}
		doublings := maxDoublings
		if f.Kind == FromOrigin {
			doublings = maxOriginDoublings
		}
		p.avoidUntil = later(p.avoidUntil, now.Add(failureBackoff<<min(p.failures, doublings)))
		p.failures++
	}
}

func (x *Exchange) backOff(p *peer, now time.Time) {
	p.avoidUntil = later(p.avoidUntil, now.Add(x.cfg.Backoff<<min(p.backoffCount, maxDoublings)))
	p.backoffCount++
}

// removeChunk records that a peer does not hold chunk i.
func (x *Exchange) removeChunk(p *peer, i int) {
	if !p.held.Has(i) {
		return
	}
	p.held.Clear(i)
	p.heldCount--
	if p.Region == x.cfg.Self.Region {
		x.holderCounts[i]--
	}
}

// removeAllChunks records that a peer holds no chunks, so that chunks that only
// this peer held are fetched from outside the region again.
func (x *Exchange) removeAllChunks(p *peer) {
	for i := range x.stats.Chunks {
		x.removeChunk(p, i)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
