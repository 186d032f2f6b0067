package awweights

import "time"

// peer is what an exchange knows about one source.
type peer struct {
	Source
	held          Bitmap
	heldCount     int
	lastProgress  time.Time // last growth of its map
	polled        bool      // asked once, with or without an answer
	lastMap       time.Time // last chunk map
	missedPolls   int       // questions in a row without an answer
	unreachable   bool      // taken for dead; holds nothing until it answers
	avoidUntil    time.Time
	backoffCount      int // bad chunks and stalls in a row
	corruptInRow  int // bad chunks in a row
	distrusted    bool
	failures      int // failed calls in a row
	activeFetches int
}

// recordResult keeps away from sources that send bad chunks, stall or fail.
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
			// There is no second origin; the chunk is simply read again.
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
			return // already counted as a stall
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

// removeChunk notes that a peer does not hold chunk i.
func (x *Exchange) removeChunk(p *peer, i int) {
	if !p.held.Has(i) {
		return
	}
	p.held.Clear(i)
	p.heldCount--
	if p.Region == x.cfg.Self.Region {
		x.holders[i]--
	}
}

// removeAllChunks takes a peer to hold nothing, so that its chunks are fetched from
// outside the region again.
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
