package awweights

import "time"

// peer is what an exchange knows about one source.
type peer struct {
	Source
	held       Bitmap
	count      int
	progressed time.Time // last growth of its map
	heard      bool      // asked once, with or without an answer
	heardAt    time.Time // last chunk map
	misses     int       // questions in a row without an answer
	silent     bool      // taken for dead; holds nothing until it answers
	avoidUntil time.Time
	strikes    int // bad chunks and stalls in a row
	badRun     int // bad chunks in a row
	distrusted bool
	failures   int // failed calls in a row
	running    int
}

// judge keeps away from sources that send bad chunks, stall or fail.
func (x *Exchange) judge(p *peer, r *running, res Result, now time.Time) {
	if res == Corrupt {
		x.stats.CorruptChunks++
	}
	if p == nil {
		return
	}
	switch res {
	case Verified:
		p.failures, p.strikes, p.badRun = 0, 0, 0
	case Corrupt:
		if r.Kind == FromOrigin {
			// There is no second origin; the chunk is simply read again.
			return
		}
		x.strike(p, now)
		if p.badRun++; p.badRun >= distrustAfter {
			p.distrusted = true
			x.forgetAll(p)
		}
	case Busy:
		p.avoidUntil = later(p.avoidUntil, now.Add(busyFor/2+time.Duration(x.rng.Int64N(int64(busyFor)))))
	case Missing:
		x.forget(p, r.Index)
	case Failed:
		if r.stalled {
			return // already counted as a stall
		}
		most := maxDoublings
		if r.Kind == FromOrigin {
			most = originDoublings
		}
		p.avoidUntil = later(p.avoidUntil, now.Add(failedFor<<min(p.failures, most)))
		p.failures++
	}
}

func (x *Exchange) strike(p *peer, now time.Time) {
	p.avoidUntil = later(p.avoidUntil, now.Add(x.cfg.Backoff<<min(p.strikes, maxDoublings)))
	p.strikes++
}

// forget notes that a peer does not hold chunk i.
func (x *Exchange) forget(p *peer, i int) {
	if !p.held.Has(i) {
		return
	}
	p.held.Clear(i)
	p.count--
	if p.Region == x.cfg.Self.Region {
		x.holder[i]--
	}
}

// forgetAll takes a peer to hold nothing, so that its chunks are fetched from
// outside the region again.
func (x *Exchange) forgetAll(p *peer) {
	for i := range x.stats.Chunks {
		x.forget(p, i)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
