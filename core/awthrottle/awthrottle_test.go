package awthrottle

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
)

// Guards against an entry that keeps to a limit forever because its issuer, which
// has heard almost at the same time that the limit is lifted, issues nothing.
func TestEntriesThatDisagreeOnLimit(t *testing.T) {
	clock := awclock.NewFake(time.Unix(1000, 0))
	newEntry := func(name string) *Throttle {
		e := New(Config{Clock: clock, Rand: rand.New(rand.NewPCG(1, 1)), Self: name})
		e.SetEntries([]string{"a", "b"})
		return e
	}
	k := awdirectory.Key{ID: "server"}
	entries := map[string]*Throttle{"a": newEntry("a"), "b": newEntry("b")}
	s := &server{}
	issuer := entries["a"].candidates(k, s)[0]
	other := map[string]string{"a": "b", "b": "a"}[issuer]

	entries[issuer].Observe(k, Signals{Limited: true, RateLimit: 5}, clock.Now())
	clock.Advance(10 * time.Millisecond)
	sent := clock.Now()
	clock.Advance(10 * time.Millisecond)
	entries[other].Observe(k, Signals{Limited: true, RateLimit: 5}, clock.Now())
	entries[issuer].Observe(k, Signals{}, sent)
	for _, e := range entries {
		e.TakePending() // the notices of the changes are lost
	}
	_, limited := entries[other].Limit(k)
	require.True(t, limited)

	for range 100 {
		clock.Advance(20 * time.Millisecond)
		entries[other].SetWants("s", map[awdirectory.Key]Wanted{k: {First: 1}})
		for _, name := range []string{other, issuer} {
			e := entries[name]
			e.Tick()
			e.Ask()
			for to, notices := range e.TakePending() {
				entries[to].Receive(name, notices)
			}
		}
		if entries[other].MaySend(k) {
			return
		}
	}
	t.Error("the entry may never send again")
}

// Guards rule LIMIT: an entry whose registration is gone must not issue permits,
// because the others ask another one.
func TestForgottenEntryDeclines(t *testing.T) {
	clock := awclock.NewFake(time.Unix(1000, 0))
	e := New(Config{Clock: clock, Rand: rand.New(rand.NewPCG(1, 1)), Self: "a", Settling: 7 * time.Second})
	clock.Advance(8 * time.Second)
	require.True(t, e.issues(clock.Now()))
	e.Resettle()
	require.False(t, e.issues(clock.Now()))
	clock.Advance(7 * time.Second)
	require.True(t, e.issues(clock.Now()))
}
