package awquarantine

import (
	"slices"
	"time"
)

// Sound is a part that was seen to be sound.
type Sound struct {
	Part string
	At   time.Time
}

// Refutation states that an engine had not crashed before the given time.
type Refutation struct {
	Engine string
	At     time.Time
}

// Facts is what entries tell each other.
type Facts struct {
	Crashes []Crash
	Sound   []Sound
	Refuted []Refutation
}

// Empty reports whether there are no facts.
func (f Facts) Empty() bool { return len(f.Crashes)+len(f.Sound)+len(f.Refuted) == 0 }

// TakePending returns the facts that this entry has found since the last call.
// They are sent to all other entries.
func (q *Quarantine) TakePending() Facts {
	f := q.pending
	q.pending = Facts{}
	return f
}

// maxDigestCrashes limits the crashes in a digest for each part.
const maxDigestCrashes = 2 * soundCrashesToBlame

// Digest returns the facts about the parts and requests that are blocked or close to
// it. It is sent to some entries from time to time, so that those which were started
// or could not be reached learn them too.
func (q *Quarantine) Digest() Facts {
	var f Facts
	included := map[crashKey]bool{}
	for part, s := range q.suspicions(nil) {
		if s.events < crashesToBlame-1 {
			continue
		}
		if at, ok := q.soundAt(part); ok {
			f.Sound = append(f.Sound, Sound{Part: part, At: at})
		}
		for _, c := range q.newestCrashes(part) {
			if k := (crashKey{c.Engine, c.Request}); !included[k] {
				included[k] = true
				crash := *c
				crash.Parts = slices.Clone(c.Parts) // RecordSound removes parts in place
				f.Crashes = append(f.Crashes, crash)
			}
		}
	}
	if len(f.Crashes) == 0 {
		return Facts{}
	}
	for engine, at := range q.refuted {
		f.Refuted = append(f.Refuted, Refutation{Engine: engine, At: at})
	}
	return f
}

func (q *Quarantine) newestCrashes(part string) []*Crash {
	var list []*Crash
	for _, c := range q.crashes {
		if slices.Contains(c.Parts, part) || (c.Request == part && !c.requestSound) {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *Crash) int { return b.At.Compare(a.At) })
	return list[:min(len(list), maxDigestCrashes)]
}

// Merge adds the facts of another entry.
func (q *Quarantine) Merge(f Facts) {
	for _, r := range f.Refuted {
		q.refute(r)
	}
	told := map[string]time.Time{}
	for _, s := range f.Sound {
		told[s.Part] = s.At
	}
	for _, c := range f.Crashes {
		q.addCrash(c)
	}
	q.answerSuspicions(f.Crashes, told)
	for _, s := range f.Sound {
		q.markSound(s.Part, s.At)
	}
	q.evaluate()
}

// answerSuspicions adds to the pending facts what this entry knows of parts that
// come under suspicion with the given crashes, unless their sender has told as
// much.
func (q *Quarantine) answerSuspicions(crashes []Crash, told map[string]time.Time) {
	if len(crashes) == 0 {
		return
	}
	suspicions := q.suspicions(nil)
	for _, c := range crashes {
		for _, p := range append(slices.Clip(c.Parts), c.Request) {
			at, ok := q.soundAt(p)
			before, known := told[p]
			clears := at.After(c.At) && !before.After(c.At)
			s := suspicions[p]
			suspected := s != nil && s.events >= crashesToBlame-1
			if ok && (clears || (suspected && !known)) {
				told[p] = at
				q.pending.Sound = append(q.pending.Sound, Sound{Part: p, At: at})
			}
		}
	}
}
