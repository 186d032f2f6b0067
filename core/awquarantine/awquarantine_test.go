package awquarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
)

// fixture records crashes a second apart unless the clock is moved.
type fixture struct {
	*Quarantine
	clock *awclock.Fake
	n     int
}

func newFixture() *fixture {
	clock := awclock.NewFake(time.Unix(1000, 0))
	return &fixture{Quarantine: New(clock, "self"), clock: clock}
}

func (f *fixture) crash(engine, request string, parts ...string) {
	f.clock.Advance(time.Second)
	now := f.clock.Now()
	f.RecordCrash(Crash{Engine: engine, Request: request, Parts: parts, Sent: now.Add(-time.Second / 2), At: now})
}

// crashes records n crashes of different engines by different requests.
func (f *fixture) crashes(n int, parts ...string) {
	for range n {
		f.n++
		f.crash(fmt.Sprint("engine", f.n), fmt.Sprint("request", f.n), parts...)
	}
}

func (f *fixture) blocked(parts ...string) bool {
	_, ok := f.Blocked(parts)
	return ok
}

func TestPartOfSeveralCrashesIsBlocked(t *testing.T) {
	f := newFixture()
	f.crashes(2, "a", "dead")
	require.False(t, f.blocked("a", "dead"))
	f.crashes(1, "b", "dead")
	require.True(t, f.blocked("c", "dead"), "whatever else the request holds")
	require.False(t, f.blocked("a"))
	require.False(t, f.blocked())
}

// Guards against blame for parts that the requests of one crash cause share.
func TestPartsOfSoundRequestsAreNotBlocked(t *testing.T) {
	for name, play := range map[string]func(f *fixture){
		"known to be sound": func(f *fixture) {
			f.RecordSound("sound", []string{"a"})
			f.crashes(3, "a", "dead")
		},
		"sound after the crashes": func(f *fixture) {
			f.crashes(3, "a", "dead")
			f.clock.Advance(time.Second)
			f.RecordSound("sound", []string{"a"})
		},
		"not known": func(f *fixture) { f.crashes(3, "a", "dead") },
		"beside the cause on each engine": func(f *fixture) {
			for n := range 3 {
				f.crash(fmt.Sprint("e", n), fmt.Sprint("dead", n), "dead")
				f.crash(fmt.Sprint("e", n), fmt.Sprint("sound", n%2), "a")
			}
			f.crash("e3", "dead3", "dead")
		},
		"one request that is sent again and again": func(f *fixture) {
			for n := range 10 {
				f.crash(fmt.Sprint("e", n), "same", "a")
			}
		},
		"engines that go on answering": func(f *fixture) {
			for n := range 10 {
				f.crash(fmt.Sprint("e", n), fmt.Sprint("r", n), "a")
				f.clock.Advance(time.Millisecond)
				f.RecordAnswer(fmt.Sprint("e", n), f.clock.Now())
			}
		},
		"many engines at once": func(f *fixture) {
			f.clock.Advance(time.Second)
			for n := range 20 {
				at := f.clock.Now().Add(time.Duration(n) * time.Millisecond)
				f.RecordCrash(Crash{Engine: fmt.Sprint("e", n), Request: fmt.Sprint("r", n), Parts: []string{"a"}, Sent: at.Add(-time.Second), At: at})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			play(f)
			require.False(t, f.blocked("a"))
		})
	}
}

// Guards against sound requests that are all refused because nothing is known yet of
// the part that they share with deadly ones.
func TestNarrowerOfTwoPartsIsBlocked(t *testing.T) {
	f := newFixture()
	for n := range 3 {
		engine := fmt.Sprint("e", n)
		f.crash(engine, fmt.Sprint("dead", n), "shared", "dead")
		f.crash(engine, fmt.Sprint("sound", n), "shared")
	}
	require.True(t, f.blocked("shared", "dead"))
	require.False(t, f.blocked("shared"))
}

// Guards against blame for requests beside a send that was cancelled too late.
func TestCancelledSendExplainsCrash(t *testing.T) {
	f := newFixture()
	f.crashes(3, "dead")
	for n := range 6 {
		engine := fmt.Sprint("e", n)
		f.clock.Advance(time.Second)
		now := f.clock.Now()
		cancelled := Crash{Engine: engine, Request: fmt.Sprint("c", n), Parts: []string{"dead"}, Sent: now, At: now, Cancelled: true}
		f.RecordCrash(cancelled)
		require.Len(t, f.Blocks(), 1)
		require.Equal(t, 3+n, f.Blocks()[0].Crashes, "a cancelled send alone is no crash")
		f.clock.Advance(100 * time.Millisecond)
		f.RecordCrash(Crash{Engine: engine, Request: fmt.Sprint("r", n), Parts: []string{"a"}, Sent: now, At: f.clock.Now()})
	}
	require.False(t, f.blocked("a"))
}

// Guards against a part that has become deadly, for example with new weights.
func TestPartThatWasSoundCanBeBlocked(t *testing.T) {
	f := newFixture()
	f.RecordSound("sound", []string{"a", "dead"})
	f.crashes(7, "a", "dead")
	require.False(t, f.blocked("a", "dead"))
	f.RecordSound("sound", []string{"a"})
	f.crashes(1, "a", "dead")
	require.True(t, f.blocked("b", "dead"))
	require.False(t, f.blocked("a"))
}

func TestTwoDeadlyParts(t *testing.T) {
	f := newFixture()
	f.RecordSound("sound", []string{"a"})
	for range 3 {
		f.crashes(1, "a", "dead1")
		f.crashes(1, "a", "dead2")
	}
	require.True(t, f.blocked("a", "dead1"))
	require.True(t, f.blocked("a", "dead2"))
	require.False(t, f.blocked("a", "b"))
}

// Guards against blame by mistake that lasts, and against probes that crash many
// engines.
func TestProbesGrowRarer(t *testing.T) {
	f := newFixture()
	f.SetEntries([]string{"self", "other", "third"})
	f.crashes(3, "dead")
	wait := time.Duration(0)
	for range 4 {
		require.False(t, f.StartProbe([]string{"dead"}))
		at, ok := f.Blocked([]string{"dead"})
		require.True(t, ok)
		require.Greater(t, at.Sub(f.clock.Now()), wait+wait/2)
		wait = at.Sub(f.clock.Now())
		f.clock.Advance(wait)
		require.True(t, f.StartProbe([]string{"dead"}))
		require.False(t, f.StartProbe([]string{"dead"}), "one at a time")
		f.crashes(1, "dead")
	}
	at, _ := f.Blocked([]string{"dead"})
	f.clock.Advance(at.Sub(f.clock.Now()))
	require.True(t, f.StartProbe([]string{"dead"}))
	f.RecordSound("sound", []string{"dead"})
	require.False(t, f.blocked("dead"))
}

// Guards against a probe from each entry at the same time.
func TestOneEntryProbesFirst(t *testing.T) {
	f := newFixture()
	f.crashes(3, "dead")
	names := []string{"a", "b", "c", "d"}
	var times []time.Time
	for _, name := range names {
		q := New(f.clock, name)
		q.SetEntries(names)
		q.Merge(f.Digest())
		at, ok := q.Blocked([]string{"dead"})
		require.True(t, ok)
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	for i := range times[1:] {
		require.Equal(t, probeStagger, times[i+1].Sub(times[i]))
	}
}

// Guards against an entry that was started late, or that misses facts.
func TestDigestTellsAnotherEntry(t *testing.T) {
	f := newFixture()
	f.crashes(3, "a", "dead")
	f.RecordSound("sound", []string{"a"})
	other := New(f.clock, "other")
	other.Merge(f.Digest())
	other.Merge(f.Digest()) // twice does no harm
	_, ok := other.Blocked([]string{"x", "dead"})
	require.True(t, ok)
	_, ok = other.Blocked([]string{"a"})
	require.False(t, ok)
	require.True(t, newFixture().Digest().Empty())
}

// Guards against a digest that changes while it is sent.
func TestDigestIsACopy(t *testing.T) {
	f := newFixture()
	f.crashes(3, "a", "dead")
	digest := f.Digest()
	f.clock.Advance(time.Second)
	f.RecordSound("sound", []string{"a"})
	for _, c := range digest.Crashes {
		require.Equal(t, []string{"a", "dead"}, c.Parts)
	}
}

// Guards against blame by entries that have not seen the sound answers of others.
func TestSoundnessIsTold(t *testing.T) {
	f := newFixture()
	other := New(f.clock, "other")
	f.crashes(3, "a")
	f.clock.Advance(time.Second)
	other.RecordSound("sound", []string{"a"})
	require.True(t, f.blocked("a"))
	other.Merge(f.TakePending())
	f.Merge(other.TakePending())
	require.False(t, f.blocked("a"))
}

func TestMemoryIsBounded(t *testing.T) {
	f := newFixture()
	for n := range 3 * soundCapacity {
		f.RecordSound("sound", []string{fmt.Sprint(n)})
	}
	f.crashes(3*maxCrashes, "dead")
	require.LessOrEqual(t, len(f.sound)+len(f.soundBefore), 2*soundCapacity)
	require.LessOrEqual(t, len(f.Quarantine.crashes), maxCrashes)
	require.True(t, f.blocked("dead"))
}
