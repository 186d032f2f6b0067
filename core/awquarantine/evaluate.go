package awquarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// suspicion is what the crashes that no other part explains say about one part, or
// about one request.
type suspicion struct {
	part       string
	isRequest  bool
	knownSound bool              // the part was sound before these crashes
	engines    map[string]*Crash // last suspect with the part that was sent to each engine
	requests   map[string]bool
	with       []string // parts that all suspects with this one have
	events     int      // crashes, counting simultaneous ones as one
	first      time.Time
	last       time.Time
	share      float64 // of all engines that crashed from first to last
}

func newSuspicion(part string, with []string) *suspicion {
	return &suspicion{part: part, requests: map[string]bool{}, engines: map[string]*Crash{}, with: slices.Clone(with)}
}

// add counts a suspect.
func (s *suspicion) add(c *Crash) {
	s.with = slices.DeleteFunc(s.with, func(other string) bool { return !slices.Contains(c.Parts, other) })
	s.requests[c.Request] = true
	if first := s.engines[c.Engine]; first == nil || c.Sent.After(first.Sent) {
		s.engines[c.Engine] = c
	}
}

// count sets the fields that follow from the times of the crashes.
func (s *suspicion) count() {
	var begin time.Time // of the current event
	byTime := func(a, b *Crash) int { return cmp.Or(a.At.Compare(b.At), a.Sent.Compare(b.Sent)) }
	for _, c := range slices.SortedFunc(maps.Values(s.engines), byTime) {
		if s.events == 0 || c.At.Sub(begin) >= eventGap || c.Sent.Add(timeTolerance).After(begin) {
			s.events++
			begin = c.At
		}
		if s.first.IsZero() {
			s.first = c.At
		}
		s.last = c.At
	}
}

// sufficient reports whether the part is to be blamed.
func (s *suspicion) sufficient() bool {
	if s.isRequest {
		return s.events >= crashesToBlame
	}
	required := crashesToBlame
	if s.knownSound || s.share < minCrashShare {
		required = soundCrashesToBlame
	}
	return s.events >= required && len(s.requests) >= requestsToBlame
}

// compare returns a positive number if s explains the crashes better than other.
func (s *suspicion) compare(other *suspicion) int {
	if s.knownSound != other.knownSound {
		if other.knownSound {
			return 1
		}
		return -1
	}
	if c := cmp.Compare(s.events, other.events); c != 0 {
		return c
	}
	if s.isRequest != other.isRequest { // the other requests with the part ran on the same engines by chance
		if s.isRequest {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(len(s.requests), len(other.requests)), strings.Compare(s.part, other.part))
}

// evaluate derives the blocks from the crashes. It begins with the part that
// explains most crashes; those then do not count against other parts.
func (q *Quarantine) evaluate() {
	q.expire()
	q.blocks = q.blocks[:0:0]
	explained := map[string]bool{}
	for {
		s := q.strongest(explained)
		if s == nil {
			break
		}
		for engine := range s.engines {
			explained[engine] = true
		}
		q.blocks = append(q.blocks, Block{Part: s.part, With: s.with, Crashes: len(s.engines), ProbeAt: q.probeTime(s)})
	}
	slices.SortFunc(q.blocks, func(a, b Block) int { return cmp.Compare(a.Part, b.Part) })
}

func (q *Quarantine) expire() {
	now := q.clock.Now()
	for k, c := range q.crashes {
		if now.Sub(c.At) > crashMemory {
			delete(q.crashes, k)
		}
	}
	for engine, at := range q.refuted {
		if now.Sub(at) > crashMemory {
			delete(q.refuted, engine)
		}
	}
}

// strongest returns the suspicion that explains the crashes best, or nil if none is
// sufficient.
func (q *Quarantine) strongest(explained map[string]bool) *suspicion {
	all := q.suspicions(explained)
	var best *suspicion
	for _, s := range all {
		if s.sufficient() && (best == nil || s.compare(best) > 0) {
			best = s
		}
	}
	for best != nil {
		narrower := best.narrowed(all)
		if narrower == nil {
			break
		}
		best = narrower
	}
	return best
}

// narrowed returns the suspicion that explains the same crashes by fewer requests, all
// of them with the part of s, or nil if there is none. Blame for the wider part would
// refuse the sound requests too that could clear it. If the wider part is the cause,
// its next crash shows it.
func (s *suspicion) narrowed(all map[string]*suspicion) *suspicion {
	var best *suspicion
	for _, other := range all {
		if other.isRequest != s.isRequest || other.knownSound != s.knownSound || other.events != s.events || !other.sufficient() {
			continue
		}
		if !slices.Contains(other.with, s.part) || len(other.requests) >= len(s.requests) {
			continue
		}
		if best == nil || other.compare(best) > 0 {
			best = other
		}
	}
	return best
}

// suspicions returns the suspicions against all parts, and against the requests that
// are close to being blamed, in the crashes of engines that are not explained.
func (q *Quarantine) suspicions(explained map[string]bool) map[string]*suspicion {
	all := map[string]*suspicion{}
	crashed := q.crashTimes(explained)
	for _, c := range q.crashes {
		if at, ok := crashed[c.Engine]; !ok || (c.Cancelled && at.Sub(c.At).Abs() > cancelWindow) {
			continue
		}
		for _, p := range c.Parts {
			s := all[p]
			if s == nil {
				s = newSuspicion(p, c.Parts)
				_, s.knownSound = q.soundAt(p)
				all[p] = s
			}
			s.add(c)
		}
	}
	for p, s := range all {
		s.count()
		s.share = crashShare(s, crashed)
		s.with = slices.DeleteFunc(s.with, func(other string) bool {
			_, otherSound := q.soundAt(other)
			return other == p || (otherSound && !s.knownSound)
		})
	}
	q.addRequestSuspicions(all, explained)
	return all
}

// addRequestSuspicions adds the suspicions against the requests under which almost as
// many engines crashed as are needed to blame them.
func (q *Quarantine) addRequestSuspicions(all map[string]*suspicion, explained map[string]bool) {
	suspects := make(map[string]int, len(q.crashes))
	for _, c := range q.crashes {
		if !c.requestSound && !c.Cancelled && !explained[c.Engine] {
			suspects[c.Request]++
		}
	}
	for _, c := range q.crashes {
		if c.requestSound || c.Cancelled || explained[c.Engine] || suspects[c.Request] < crashesToBlame-1 {
			continue
		}
		s := all[c.Request]
		if s == nil {
			s = newSuspicion(c.Request, nil)
			s.isRequest = true
			all[c.Request] = s
		}
		s.add(c)
	}
	for _, s := range all {
		if s.isRequest {
			s.count()
		}
	}
}

// crashTimes returns when engines crashed, without those that are explained.
func (q *Quarantine) crashTimes(explained map[string]bool) map[string]time.Time {
	times := map[string]time.Time{}
	for _, c := range q.crashes {
		if len(c.Parts) > 0 && !c.Cancelled && !explained[c.Engine] {
			times[c.Engine] = c.At
		}
	}
	return times
}

// crashShare returns the share of s in the crashes from its first to its last one.
func crashShare(s *suspicion, crashed map[string]time.Time) float64 {
	n := 0
	for engine, at := range crashed {
		if s.engines[engine] != nil || (!at.Before(s.first) && !at.After(s.last)) {
			n++
		}
	}
	return float64(len(s.engines)) / float64(n)
}
