package awdispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an engine that gets more requests than others because it is silent:
// its load reports have stopped, and requests that were given up no longer count.
func TestSilentEngineIsNotPreferred(t *testing.T) {
	s := newSimulation(1, 3, 0)
	d := s.entries[0]
	versions := map[string]int64{"m": 1}
	for _, e := range s.engines {
		d.Report(e.info.Key(), Load{At: s.clock.Now(), Active: 2, Versions: versions})
	}
	s.clock.Advance(reportMaxAge + 10*time.Millisecond)
	for _, e := range s.engines[1:] {
		d.Report(e.info.Key(), Load{At: s.clock.Now(), Active: 10, Versions: versions})
	}
	submit := func() string {
		var got Decision
		d.Submit(Request{Service: "s", Model: "m", Deadline: s.clock.Now().Add(time.Second)}, func(dec Decision) { got = dec })
		require.NotNil(t, got.Grant)
		return got.Grant.Server.ID
	}
	for range 2 * (simSlots - 10) {
		require.NotEqual(t, s.engines[0].info.ID, submit())
	}
	require.Equal(t, s.engines[0].info.ID, submit(), "the others are full")
}

// Guards against an engine that gets everything at once when it goes on after a
// silence.
func TestEngineThatGoesOnKeepsItsLimit(t *testing.T) {
	s := newSimulation(1, 1, 0)
	d := s.entries[0]
	k := s.engines[0].info.Key()
	versions := map[string]int64{"m": 1}
	var running []*Grant
	submit := func(n int) {
		for range n {
			d.Submit(Request{Service: "s", Model: "m", MaxWait: 3 * time.Second, Deadline: s.clock.Now().Add(6 * time.Second)}, func(dec Decision) {
				if dec.Grant != nil {
					running = append(running, dec.Grant)
				}
			})
		}
	}
	d.Report(k, Load{At: s.clock.Now(), Versions: versions})
	for range 15 {
		submit(4)
		s.clock.Advance(100 * time.Millisecond)
		d.Tick()
		require.LessOrEqual(t, len(running), simSlots)
	}
	d.Report(k, Load{At: s.clock.Now(), Active: len(running), Versions: versions})
	require.Len(t, running, simSlots)
	for i := range 5 {
		d.Release(running[i], Succeeded)
		d.Report(k, Load{At: s.clock.Now(), Active: len(running) - i - 1, Versions: versions})
		require.LessOrEqual(t, len(running)-i-1, simSlots)
	}
}

// Guards against GONE: a stream that waits at a frozen instance must not be sent to
// another frozen one, where it can't be withdrawn either.
func TestSilentEngineGetsNoSecondSends(t *testing.T) {
	s := newSimulation(1, 2, 0)
	d := s.entries[0]
	frozen, full := s.engines[0].info.Key(), s.engines[1].info.Key()
	versions := map[string]int64{"m": 1}
	submit := func(proven bool) *Grant {
		var got Decision
		ticket := d.Submit(Request{Service: "s", Model: "m", Proven: proven, MaxWait: time.Second, Deadline: s.clock.Now().Add(time.Second)}, func(dec Decision) { got = dec })
		d.Cancel(ticket)
		return got.Grant
	}
	d.Report(frozen, Load{At: s.clock.Now(), Versions: versions})
	s.clock.Advance(reportMaxAge)
	d.Report(full, Load{At: s.clock.Now(), Active: simSlots, Versions: versions})
	require.True(t, d.Silent(frozen))
	require.Nil(t, submit(true), "a stream that is at a silent server already")
	require.NotNil(t, submit(false), "its reports alone may be lost")

	d.Heard(frozen)
	require.False(t, d.Silent(frozen))
	require.NotNil(t, submit(true), "bytes of a response show that it runs")
}
