package awquarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
)

const (
	loadStep     = 10 * time.Millisecond
	loadLength   = 20 * time.Second
	downTime     = 3 * time.Second
	deadlyStart  = 4 * time.Second
	subjectCount = 60
	maxAttempts  = 2
	lossRate     = 0.05 // of messages between entries
)

// load plays the requests of a fleet before its entries: engines that crash under
// requests with a deadly part or for other reasons, facts that are lost, and
// entries that start anew.
type load struct {
	rng     *rand.Rand
	losses  *rand.Rand // apart, so that what entries exchange does not change the requests
	clock   *awclock.Fake
	names   []string
	entries []*Quarantine
	engines []*loadEngine
	deadly  []string // parts that crash engines
	share   float64  // of the requests that hold one of them
	// deadlyRequest is a request that crashes engines itself and that its callers send
	// again and again, in place of the requests with a deadly part.
	deadlyRequest string
	perStep       float64 // requests
	deadlyStart   time.Duration

	running      []*loadRequest
	sent         int
	crashes      map[string][]time.Time // by deadly part
	late         map[string]int         // arrivals of requests with a deadly part; see play
	soundRefused int
}

type loadEngine struct {
	incarnation int
	upAt        time.Time
}

type loadRequest struct {
	entry, engine, incarnation, attempts int
	id                                   string
	parts                                []string
	sent, begin, end                     time.Time
	dead, begun, proven                  bool
}

func newLoad(seed uint64, entries, engines int, perSecond, share float64, deadly ...string) *load {
	l := &load{
		rng: rand.New(rand.NewPCG(seed, 0)), losses: rand.New(rand.NewPCG(seed, 1)), clock: awclock.NewFake(time.Unix(1000, 0)), deadly: deadly, share: share,
		deadlyStart: deadlyStart, perStep: perSecond * loadStep.Seconds(), crashes: map[string][]time.Time{}, late: map[string]int{},
	}
	for n := range entries {
		l.names = append(l.names, fmt.Sprint("entry", n))
	}
	for n := range entries {
		l.entries = append(l.entries, l.newEntry(n))
	}
	for range engines {
		l.engines = append(l.engines, &loadEngine{})
	}
	return l
}

func (l *load) newEntry(n int) *Quarantine {
	q := New(l.clock, l.names[n])
	q.SetEntries(l.names)
	return q
}

// restart starts an entry anew, which asks all others for what they know.
func (l *load) restart(n int) {
	q := l.newEntry(n)
	for i, other := range l.entries {
		if i != n && l.losses.Float64() > lossRate {
			q.Merge(other.Digest())
		}
	}
	l.entries[n] = q
}

// play runs the load. It counts the requests with a deadly part that reach
// an engine later than settle after its fifth crash.
func (l *load) play(settle time.Duration, disturb func(l *load, since time.Duration)) {
	for since := time.Duration(0); since < loadLength; since += loadStep {
		for n := l.perStep; n > 0 && l.rng.Float64() < n; n-- {
			l.arrive(since >= l.deadlyStart)
		}
		l.advanceRequests(settle)
		if disturb != nil {
			disturb(l, since)
		}
		l.exchange(since)
		l.clock.Advance(loadStep)
	}
}

func (l *load) arrive(deadlyToo bool) {
	l.sent++
	r := &loadRequest{entry: l.rng.IntN(len(l.entries)), id: fmt.Sprint(l.sent)}
	r.parts = []string{fmt.Sprint("subject", l.rng.IntN(subjectCount))}
	if deadlyToo && len(l.deadly) > 0 && l.rng.Float64() < l.share {
		r.dead, r.parts = true, []string{"subject0", l.deadly[l.rng.IntN(len(l.deadly))]}
	}
	if deadlyToo && l.deadlyRequest != "" && l.rng.Float64() < l.share {
		r.dead, r.id, r.parts = true, l.deadlyRequest, []string{"subject0"}
	}
	l.send(r)
}

func (l *load) send(r *loadRequest) {
	now := l.clock.Now()
	q := l.entries[r.entry]
	parts := append(slices.Clip(r.parts), r.id)
	if _, blocked := q.Blocked(parts); blocked && !q.StartProbe(parts) {
		if !r.dead {
			l.soundRefused++
		}
		return
	}
	for range 5 {
		n := l.rng.IntN(len(l.engines))
		if e := l.engines[n]; !now.Before(e.upAt) {
			r.engine, r.incarnation, r.sent, r.begun, r.proven = n, e.incarnation, now, false, false
			r.begin = now.Add(time.Duration(50+l.rng.IntN(150)) * time.Millisecond)
			r.end = r.begin.Add(time.Duration(200+l.rng.IntN(2000)) * time.Millisecond)
			r.attempts++
			l.running = append(l.running, r)
			return
		}
	}
}

func (l *load) name(r *loadRequest) string { return fmt.Sprintf("%d|%d", r.engine, r.incarnation) }

func (l *load) advanceRequests(settle time.Duration) {
	now := l.clock.Now()
	for _, r := range slices.Clone(l.running) {
		if r.incarnation != l.engines[r.engine].incarnation || now.Before(r.begin) {
			continue
		}
		if r.dead {
			part := r.parts[len(r.parts)-1]
			if l.deadlyRequest != "" {
				part = l.deadlyRequest
			}
			if list := l.crashes[part]; len(list) >= 5 && r.sent.Sub(list[4]) > settle {
				l.late[part]++
			}
			l.crashes[part] = append(l.crashes[part], now)
			l.crash(r.engine)
			continue
		}
		if !r.begun {
			r.begun = true
			l.entries[r.entry].RecordAnswer(l.name(r), r.sent)
		}
		if !r.proven && (now.Sub(r.begin) >= ProvenAfter || !now.Before(r.end)) {
			r.proven = true
			l.entries[r.entry].RecordSound(r.id, r.parts)
		}
	}
	l.running = slices.DeleteFunc(l.running, func(r *loadRequest) bool {
		return !r.dead && r.incarnation == l.engines[r.engine].incarnation && !now.Before(r.end)
	})
}

// crash ends an engine's requests. Entries send them again.
func (l *load) crash(n int) {
	now := l.clock.Now()
	l.engines[n].incarnation++
	l.engines[n].upAt = now.Add(downTime)
	l.breakOff(func(r *loadRequest) bool { return r.engine == n && r.incarnation != l.engines[n].incarnation })
}

// breakOff closes the connections of requests.
func (l *load) breakOff(broken func(*loadRequest) bool) {
	now := l.clock.Now()
	var ended []*loadRequest
	l.running = slices.DeleteFunc(l.running, func(r *loadRequest) bool {
		if broken(r) {
			ended = append(ended, r)
			return true
		}
		return false
	})
	for _, r := range ended {
		if !r.proven {
			l.entries[r.entry].RecordCrash(Crash{Engine: l.name(r), Request: r.id, Parts: r.parts, Sent: r.sent, At: now})
		}
		if r.attempts < maxAttempts {
			l.send(r)
		}
	}
}

// exchange passes on pending facts, of which some are lost, and digests.
func (l *load) exchange(since time.Duration) {
	for i, q := range l.entries {
		facts := q.TakePending()
		for j, other := range l.entries {
			if i != j && !facts.Empty() && l.losses.Float64() > lossRate {
				other.Merge(facts)
			}
		}
		if since%time.Second == 0 {
			l.entries[l.losses.IntN(len(l.entries))].Merge(q.Digest())
		}
	}
}

// disturbances are troubles beside the deadly part.
var disturbances = map[string]func(l *load, since time.Duration){
	"none": nil,
	"a third of the engines at once": func(l *load, since time.Duration) {
		if since == 4500*time.Millisecond || since == 10*time.Second {
			for n := range len(l.engines) / 3 {
				l.crash(n)
			}
		}
	},
	"engines that flap": func(l *load, since time.Duration) {
		if since%(500*time.Millisecond) == 0 {
			l.crash(l.rng.IntN(len(l.engines)))
		}
	},
	"engines that close connections": func(l *load, since time.Duration) {
		if since%(20*time.Millisecond) == 0 {
			n := l.rng.IntN(len(l.engines) / 3)
			l.breakOff(func(r *loadRequest) bool { return r.engine == n && l.rng.IntN(4) == 0 })
		}
	},
	"entries that start anew": func(l *load, since time.Duration) {
		if since%(700*time.Millisecond) == 0 {
			l.restart(l.rng.IntN(len(l.entries)))
		}
	},
}

// Guards against deadly requests that go on crashing engines, and against sound
// ones that are refused, on small and large fleets.
func TestLoadWithDeadlyParts(t *testing.T) {
	const settle = 3 * time.Second
	for name, disturb := range disturbances {
		for _, fleet := range []struct {
			entries, engines int
			perSecond, share float64
			deadly           []string
			seeds            uint64
		}{
			{5, 9, 60, 0.05, []string{"dead"}, 10},
			{5, 9, 60, 0.3, []string{"dead"}, 10},
			{5, 9, 60, 0.01, []string{"dead"}, 10},
			{5, 9, 60, 0.08, []string{"dead1", "dead2"}, 10},
			{14, 30, 200, 0.05, []string{"dead"}, 3},
			{53, 90, 700, 0.03, []string{"dead"}, 1},
			{53, 90, 700, 0.002, []string{"dead"}, 1},
			{14, 30, 200, 0, nil, 3},
		} {
			t.Run(fmt.Sprintf("%s/%d/%g/%d", name, fleet.engines, fleet.share, len(fleet.deadly)), func(t *testing.T) {
				t.Parallel()
				for seed := range fleet.seeds {
					l := newLoad(seed, fleet.entries, fleet.engines, fleet.perSecond, fleet.share, fleet.deadly...)
					l.play(settle, disturb)
					t.Logf("seed %d: %d requests, %d sound ones refused", seed, l.sent, l.soundRefused)
					for _, part := range fleet.deadly {
						t.Logf("%s: %d crashes, %d late", part, len(l.crashes[part]), l.late[part])
						require.LessOrEqual(t, l.late[part], 3, "seed %d", seed)
					}
					require.LessOrEqual(t, l.soundRefused, 5+l.sent/500, "seed %d", seed)
				}
			})
		}
	}
}

// Guards against sound requests that are refused because entries which have just been
// started know no part to be sound yet.
func TestLoadWithDeadlyPartFromTheStart(t *testing.T) {
	for _, share := range []float64{0.05, 0.3} {
		for seed := range uint64(60) {
			l := newLoad(seed, 5, 9, 60, share, "dead")
			l.deadlyStart = 0
			l.play(3*time.Second, nil)
			require.Zero(t, l.late["dead"], "share %g, seed %d", share, seed)
			require.LessOrEqual(t, l.soundRefused, 5+l.sent/500, "share %g, seed %d", share, seed)
		}
	}
}
