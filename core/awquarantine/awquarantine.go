// Package awquarantine finds the parts of prompts that crash model engines, so
// that requests with such a part can be refused.
//
// A request may crash each engine that begins to answer it. Sent again, to
// another engine or by its caller, it takes down engine after engine, and all
// requests that run beside it are lost. Nothing but the crashes tells such a
// request from others.
//
// When an engine crashes, each request whose answer had hardly begun is a
// suspect. The parts that suspects of several crashes have in common are blamed,
// unless
//   - an answer to a request with the part has gone on or ended meanwhile, which
//     shows that the part is sound,
//   - another part explains the same crashes, or
//   - all suspects with the part are the same request, sent several times.
//
// Such a request is blamed itself, since its caller may send it again and again,
// each time to another entry.
//
// A part that always came together with others is only quarantined together with
// them, because sound requests share the other parts.
//
// From time to time, at growing intervals, one request with a blocked part is
// sent as a probe, so that a part that was blamed by mistake is released.
//
// Entries exchange what they have seen as [Facts]. Facts can be merged in any
// order and more than once. Every entry draws its conclusions itself.
package awquarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutuswind/core/awclock"
)

const (
	// ProvenAfter is how long an answer must go on after its first event until it
	// shows that the parts of its prompt are sound.
	ProvenAfter = 200 * time.Millisecond
	// crashesToBlame is the number of crashes after which a part is blamed. A part
	// that is known to have been sound needs more, because requests with it may by
	// chance run on several engines that crash.
	crashesToBlame      = 3
	soundCrashesToBlame = 8
	// minCrashShare is the share of all crashes from its first to its last one that
	// a part must have, else it is blamed as late as one known to be sound. Where
	// engines crash for another reason, many parts have a few crashes.
	minCrashShare = 0.4
	// requestsToBlame is the number of different requests in these crashes. It does
	// not apply to the request itself.
	requestsToBlame = 2
	// eventGap is the time within which several crashes count as one, unless the
	// request was sent after the crash before: a failure domain that loses power
	// takes all its engines down at once.
	eventGap = 30 * time.Millisecond
	// timeTolerance covers the differences in latency between facts of several
	// entries.
	timeTolerance = 5 * time.Millisecond
	// refuteWindow is the time after a supposed crash in which an answer of the
	// engine refutes it. A later answer may be that of the restarted engine, whose
	// new incarnation is not known yet.
	refuteWindow = time.Second
	// cancelWindow is the time between a cancelled send and a crash of its engine
	// within which the send is a suspect.
	cancelWindow = time.Second
	// probeInterval is the time from the last crash to the first probe of a blocked
	// part, and weakProbeInterval that of one with less than strongCrashShare of the
	// crashes. It doubles with each further crash up to maxProbeInterval.
	probeInterval     = 30 * time.Second
	weakProbeInterval = 3 * time.Second
	strongCrashShare  = 0.5
	maxProbeInterval  = 5 * time.Minute
	// requestProbeInterval is the time until a blocked request is probed. It may be
	// a session, to which later requests belong.
	requestProbeInterval = 5 * time.Minute
	// probeStagger is the time between the moments at which two entries may send
	// the probe. An entry that gets no request with the part cannot.
	probeStagger = 2 * time.Second
	// probeTimeout is how long the result of a probe is awaited.
	probeTimeout = 5 * time.Second
	// crashMemory is how long a crash is remembered, and maxCrashes how many are.
	crashMemory = time.Hour
	maxCrashes  = 512
	// soundCapacity is the number of parts of which two generations are remembered
	// as sound.
	soundCapacity = 4096
)

// Crash is a request that was sent to an engine which crashed before it had
// begun the answer or soon after.
type Crash struct {
	Engine string // incarnation of the engine
	// Request identifies the part of the prompt that only the request or its session
	// has. It is the same for all sends of a request and its repetitions by the caller.
	Request string
	Parts   []string  // the other parts of the prompt
	Sent    time.Time // to the engine
	At      time.Time // of the crash
	// Cancelled marks a send that its entry ended because the request was blocked.
	// It is a suspect only if the engine crashes then all the same.
	Cancelled bool
	// requestSound records that an answer to the request has shown it to be sound
	// since.
	requestSound bool
}

type crashKey struct{ engine, request string }

// Block is a combination of parts whose requests are refused.
type Block struct {
	Part string // or the identity of one request
	// With lists the parts that were in all suspects with Part. Only requests
	// that have all of them are refused.
	With    []string
	Crashes int
	// ProbeAt is when this entry may send the next request with the part.
	ProbeAt time.Time
}

// Quarantine holds the facts and the blocks that follow from them. It is not safe
// for concurrent use.
type Quarantine struct {
	clock   awclock.Clock
	self    string
	entries []string // names of all entries
	crashes map[crashKey]*Crash
	refuted map[string]time.Time // by engine: time at which it had not crashed yet
	// Times at which parts were last seen to be sound, in two generations: the
	// older one is dropped when the newer one is full.
	sound, soundBefore map[string]time.Time
	blocks             []Block
	probes             map[string]time.Time // by part: when this entry last sent one
	pending            Facts                // to be sent to the other entries
}

// New returns a quarantine without facts for the entry with the given name.
func New(clock awclock.Clock, self string) *Quarantine {
	return &Quarantine{
		clock: clock, self: self, probes: map[string]time.Time{}, crashes: map[crashKey]*Crash{}, refuted: map[string]time.Time{},
		sound: map[string]time.Time{}, soundBefore: map[string]time.Time{},
	}
}

// SetEntries sets the names of all entries.
func (q *Quarantine) SetEntries(names []string) { q.entries = names }

// RecordCrash records a suspect. The quarantine keeps c.Parts.
func (q *Quarantine) RecordCrash(c Crash) {
	if !q.addCrash(c) {
		return
	}
	q.pending.Crashes = append(q.pending.Crashes, c)
	for _, p := range c.Parts {
		if at, ok := q.soundAt(p); ok {
			q.pending.Sound = append(q.pending.Sound, Sound{Part: p, At: at})
		}
	}
	q.evaluate()
}

// addCrash stores a suspect without the parts that are known to be sound since.
// It reports whether the suspect is new.
func (q *Quarantine) addCrash(c Crash) bool {
	k := crashKey{c.Engine, c.Request}
	if !c.At.After(q.refuted[c.Engine]) || q.crashes[k] != nil || q.clock.Now().Sub(c.At) > crashMemory {
		return false
	}
	c.Parts = slices.DeleteFunc(slices.Clone(c.Parts), func(p string) bool {
		at, ok := q.soundAt(p)
		return ok && at.After(c.At)
	})
	at, known := q.soundAt(c.Request)
	c.requestSound = c.Request == "" || (known && at.After(c.At))
	if c.cleared() {
		return false
	}
	if len(q.crashes) >= maxCrashes {
		q.dropOldestCrash()
	}
	q.crashes[k] = &c
	return true
}

// cleared reports whether nothing of the suspect is under suspicion.
func (c *Crash) cleared() bool { return len(c.Parts) == 0 && c.requestSound }

// dropOldestCrash makes room for a suspect. Those of which only the request is under
// suspicion are dropped first.
func (q *Quarantine) dropOldestCrash() {
	oldest := slices.MinFunc(slices.Collect(maps.Values(q.crashes)), func(a, b *Crash) int {
		return cmp.Or(cmp.Compare(min(1, len(a.Parts)), min(1, len(b.Parts))), a.At.Compare(b.At))
	})
	delete(q.crashes, crashKey{oldest.Engine, oldest.Request})
}

// RecordSound records that an answer to a request with these parts has ended, or
// has gone on for ProvenAfter. It reports whether that clears any of suspicion.
func (q *Quarantine) RecordSound(request string, parts []string) bool {
	now, cleared := q.clock.Now(), false
	if q.isSuspect(request) { // others are not remembered, because there are too many
		parts = append(slices.Clone(parts), request)
	}
	for _, p := range parts {
		if q.markSound(p, now) {
			q.pending.Sound = append(q.pending.Sound, Sound{Part: p, At: now})
			cleared = true
		}
	}
	if cleared {
		q.evaluate()
	}
	return cleared
}

func (q *Quarantine) isSuspect(request string) bool {
	for k, c := range q.crashes {
		if k.request == request && !c.requestSound {
			return true
		}
	}
	return false
}

// markSound records that a part or request was sound at the given time and removes
// it from earlier crashes. It reports whether there were any.
func (q *Quarantine) markSound(part string, at time.Time) bool {
	if old, ok := q.sound[part]; !ok || old.Before(at) {
		if !ok && len(q.sound) >= soundCapacity {
			q.sound, q.soundBefore = map[string]time.Time{}, q.sound
		}
		q.sound[part] = at
	}
	cleared := false
	for k, c := range q.crashes {
		if !c.At.Before(at) {
			continue
		}
		if i := slices.Index(c.Parts, part); i >= 0 {
			cleared = true
			c.Parts = slices.Delete(c.Parts, i, i+1)
		}
		if c.Request == part && !c.requestSound {
			cleared, c.requestSound = true, true
		}
		if c.cleared() {
			delete(q.crashes, k)
		}
	}
	return cleared
}

func (q *Quarantine) soundAt(part string) (time.Time, bool) {
	if at, ok := q.sound[part]; ok {
		return at, true
	}
	at, ok := q.soundBefore[part]
	return at, ok
}

// RecordAnswer records that an engine has begun to answer a request that was sent
// at the given time. An engine that does so soon after its supposed crash has
// merely closed connections.
func (q *Quarantine) RecordAnswer(engine string, sent time.Time) {
	for _, c := range q.crashes {
		if c.Engine == engine && c.At.Before(sent) && sent.Sub(c.At) < refuteWindow {
			q.refute(Refutation{Engine: engine, At: sent})
			q.pending.Refuted = append(q.pending.Refuted, Refutation{Engine: engine, At: sent})
			q.evaluate()
			return
		}
	}
}

// refute removes the crashes that the refutation concerns.
func (q *Quarantine) refute(r Refutation) {
	if !r.At.After(q.refuted[r.Engine]) {
		return
	}
	q.refuted[r.Engine] = r.At
	maps.DeleteFunc(q.crashes, func(_ crashKey, c *Crash) bool { return c.Engine == r.Engine && c.At.Before(r.At) })
}

// Blocked reports whether requests with these parts are refused, and until when.
// parts also holds the identity of the request, as in [Crash].
func (q *Quarantine) Blocked(parts []string) (time.Time, bool) {
	b := q.blockOf(parts)
	if b == nil {
		return time.Time{}, false
	}
	return b.ProbeAt, true
}

func (q *Quarantine) blockOf(parts []string) *Block {
	for i := range q.blocks {
		b := &q.blocks[i]
		if slices.Contains(parts, b.Part) && !slices.ContainsFunc(b.With, func(p string) bool { return !slices.Contains(parts, p) }) {
			return b
		}
	}
	return nil
}

// StartProbe reports whether a blocked request is to be sent as a probe. Its
// result must be recorded.
func (q *Quarantine) StartProbe(parts []string) bool {
	b := q.blockOf(parts)
	now := q.clock.Now()
	if b == nil || now.Before(b.ProbeAt) {
		return false
	}
	if at, ok := q.probes[b.Part]; ok && now.Sub(at) < probeTimeout {
		return false
	}
	q.probes[b.Part] = now
	return true
}

// probeTime returns when this entry may send a probe. Entries come one after the
// other, in an order that differs from part to part.
func (q *Quarantine) probeTime(s *suspicion) time.Time {
	interval := probeInterval
	switch {
	case s.isRequest:
		interval = requestProbeInterval
	case s.share < strongCrashShare:
		interval = weakProbeInterval
	}
	interval = min(maxProbeInterval, interval<<min(max(0, s.events-crashesToBlame), 16))
	rank, own := 0, probeRank(s.part, q.self)
	for _, name := range q.entries {
		if probeRank(s.part, name) < own {
			rank++
		}
	}
	return s.last.Add(interval + time.Duration(rank)*probeStagger)
}

func probeRank(part, entry string) uint64 { return xxhash.Sum64String(part + "|" + entry) }

// Blocks returns the current blocks, ordered by part.
func (q *Quarantine) Blocks() []Block { return q.blocks }

// Proof determines when an answer shows that its prompt is sound.
type Proof struct {
	Done  bool
	first time.Time // of the first event; zero before it
}

// Event records an event of the answer. It returns true once, when the answer has
// gone on for ProvenAfter.
func (p *Proof) Event(now time.Time) bool {
	if p.first.IsZero() {
		p.first = now
	}
	return now.Sub(p.first) >= ProvenAfter && p.End()
}

// End records that the answer is complete. It returns true unless Event has.
func (p *Proof) End() bool {
	done := p.Done
	p.Done = true
	return !done
}
