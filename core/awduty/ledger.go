package awduty

import (
	"maps"
	"time"
)

// Source is one start of an instance that counts requests.
type Source struct {
	Name        string
	Incarnation uint64
}

const (
	// silentAfter is the silence after which an instance is not waited for. It
	// sends its counts every second.
	silentAfter = 3 * time.Second
	// rememberedFor is how long an instance counts as one that was there lately.
	rememberedFor = 30 * time.Second
	// goneAfter is the number of windows after which a silent instance is taken to
	// pass on no requests any more.
	goneAfter = 2
	// ledgerWindows is the number of windows that are kept, also while the store is
	// unavailable.
	ledgerWindows = 24
)

// ledger holds the counts of all instances that send them to this one.
type ledger struct {
	window  time.Duration
	sources map[Source]*sourceState
	// collecting is when the counts of others began to come without a gap, and
	// collected when the last ones came.
	collecting, collected time.Duration

	floor int64 // windows up to this one are not kept any more
}

type sourceState struct {
	heard     time.Duration
	heardWall time.Duration // estimate of true time then
	since     int64         // window in which it began to count; valid if started
	started   bool
	left      bool // it has sent its last counts
	windows   map[int64]*sourceWindow
}

type sourceWindow struct {
	counts Counts
	total  int64
	final  bool
}

func (w *sourceWindow) complete() bool { return w != nil && w.final && w.counts.Total() >= w.total }

func newLedger(window time.Duration) *ledger {
	return &ledger{window: window, sources: map[Source]*sourceState{}}
}

// noteOthers records that counts of another instance have come.
func (l *ledger) noteOthers(now time.Duration) {
	if l.collected == 0 || now-l.collected > silentAfter {
		l.collecting = now
	}
	l.collected = now
}

// gathers reports whether the instance has had the counts of others for as long as
// all of them need to send theirs.
func (l *ledger) gathers(now time.Duration) bool {
	return l.collected > 0 && now-l.collected <= silentAfter && now-l.collecting >= silentAfter
}

// hear records a message of a source.
func (l *ledger) hear(now, wall time.Duration, m *Message) {
	key := Source{m.Sender, m.Incarnation}
	s := l.sources[key]
	if s == nil {
		s = &sourceState{windows: map[int64]*sourceWindow{}}
		l.sources[key] = s
	}
	s.heard, s.heardWall = now, wall
	s.left = s.left || m.Last
	if m.Counting {
		s.started, s.since = true, m.Since
	}
	present := windowAt(wall, l.window)
	for _, part := range m.Windows {
		if part.Window <= l.floor || part.Window > present+1 || part.Window <= present-ledgerWindows {
			continue
		}
		s.add(part)
	}
}

// add merges a part. Counts only grow, so parts may come in any order.
func (s *sourceState) add(part WindowCounts) {
	w := s.windows[part.Window]
	if w == nil {
		w = &sourceWindow{counts: Counts{}}
		s.windows[part.Window] = w
	}
	for team, n := range part.Counts {
		w.counts[team] = max(w.counts[team], n)
	}
	w.total = max(w.total, part.Total)
	w.final = w.final || part.Final
}

// drop forgets the counts of a source from a window on.
func (l *ledger) drop(key Source, from int64) {
	if s := l.sources[key]; s != nil {
		maps.DeleteFunc(s.windows, func(id int64, _ *sourceWindow) bool { return id >= from })
	}
}

// prune forgets windows up to through and sources that ended.
func (l *ledger) prune(now, wall time.Duration, through int64) {
	l.floor = max(l.floor, through, windowAt(wall, l.window)-ledgerWindows)
	for key, s := range l.sources {
		for id := range s.windows {
			if id <= l.floor {
				delete(s.windows, id)
			}
		}
		if now-s.heard > rememberedFor && len(s.windows) == 0 {
			delete(l.sources, key)
		}
	}
}

// coverage tells how complete the counts of a window are.
type coverage struct {
	waiting  bool // for an instance that was heard from lately
	starting bool // for one that has just started
	isolated bool // most instances have fallen silent, so this one may be cut off
}

func (l *ledger) coverage(now time.Duration, id int64) coverage {
	var c coverage
	var live, lately int
	for _, s := range l.sources {
		if s.left {
			continue
		}
		silence := now - s.heard
		if silence <= rememberedFor {
			lately++
		}
		if silence > silentAfter {
			continue
		}
		live++
		switch {
		case !s.started:
			c.starting = true
		case s.since <= id && !s.windows[id].complete():
			c.waiting = true
		}
	}
	c.isolated = 2*live < lately
	return c
}

// sum returns the counts of a window and the estimated fraction of requests that
// is missing from them.
func (l *ledger) sum(id int64) (Counts, float64) {
	counts := Counts{}
	var missing float64
	covered := false
	end := windowEnd(id, l.window)
	for _, s := range l.sources {
		w := s.windows[id]
		if w != nil {
			covered = true
			for team, n := range w.counts {
				counts[team] += n
			}
		}
		if w.complete() || s.left || (s.started && s.since > id) || end-s.heardWall > goneAfter*l.window {
			continue
		}
		missing += s.missing(id, end, l.window)
	}
	if !covered {
		return counts, 1
	}
	return counts, missing / max(1, missing+float64(counts.Total()))
}

// missing estimates how many requests of a window the source has counted but not
// sent, from those of the window before or its share of this one.
func (s *sourceState) missing(id int64, end, window time.Duration) float64 {
	unsent := min(1, max(0, float64(end-s.heardWall)/float64(window)))
	if before := s.windows[id-1]; before != nil {
		return unsent * float64(before.counts.Total())
	}
	w := s.windows[id]
	if w == nil || unsent >= 1 {
		return 0
	}
	return float64(w.counts.Total()) * unsent / (1 - unsent)
}

// firstWindow returns the earliest window in which an instance began to count.
func (l *ledger) firstWindow(present int64) int64 {
	first := present
	for _, s := range l.sources {
		if s.started {
			first = min(first, s.since)
		}
	}
	return max(first, present-countedWindows+1)
}
