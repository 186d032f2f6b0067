package awmember

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// Guards against an old incarnation replacing a newer one through an
// announcement, a report or the lagging instance list.
func TestOlderIncarnationIsDropped(t *testing.T) {
	table := NewTable(Config{MissingAfter: 15 * time.Second})
	require.True(t, table.ApplyAnnouncement(AgentInfo{Instance: "a", Address: "new:1", Incarnation: 7}, start))
	require.False(t, table.ApplyAnnouncement(AgentInfo{Instance: "a", Address: "old:1", Incarnation: 6}, start))
	require.False(t, table.RecordReport("a", 6, start))
	table.ApplyInstanceList([]AgentInfo{{Instance: "a", Address: "old:1", Domain: "d"}}, start)
	info, _, ok := table.Get("a")
	require.True(t, ok)
	require.Equal(t, AgentInfo{Instance: "a", Address: "new:1", Domain: "d", Incarnation: 7}, info)
	require.True(t, table.RecordReport("a", 8, start))
}

// Guards against removing an announced agent that the lagging instance list does
// not include yet, and against keeping one that no longer exists.
func TestAnnouncedAgentSurvivesTheLaggingList(t *testing.T) {
	table := NewTable(Config{MissingAfter: 15 * time.Second})
	table.ApplyAnnouncement(AgentInfo{Instance: "a", Address: "x:1", Incarnation: 1}, start)
	table.ApplyInstanceList(nil, start.Add(10*time.Second))
	_, _, ok := table.Get("a")
	require.True(t, ok)
	table.ApplyInstanceList(nil, start.Add(16*time.Second))
	_, _, ok = table.Get("a")
	require.False(t, ok)
}

// Guards against sending requests to an instance that the list shows as leaving
// while its agent still announces itself.
func TestAnnouncementKeepsLeaving(t *testing.T) {
	table := NewTable(Config{MissingAfter: 15 * time.Second})
	table.ApplyAnnouncement(AgentInfo{Instance: "a", Incarnation: 1}, start)
	table.ApplyInstanceList([]AgentInfo{{Instance: "a", Leaving: true}}, start)
	table.ApplyAnnouncement(AgentInfo{Instance: "a", Incarnation: 1}, start)
	info, _, _ := table.Get("a")
	require.True(t, info.Leaving)
	table.ApplyAnnouncement(AgentInfo{Instance: "a", Incarnation: 2}, start)
	info, _, _ = table.Get("a")
	require.False(t, info.Leaving)
}

// Guards against using links that work in only one direction. Each case must be
// detected within three periods.
func TestOneWayLinkIsDetected(t *testing.T) {
	const period = time.Second
	for _, tc := range []struct {
		name    string
		receive func(l *Liveness, counter, echo uint64, now time.Time)
	}{
		{"no messages are received", func(*Liveness, uint64, uint64, time.Time) {}},
		{"sent messages are lost", func(l *Liveness, c, _ uint64, now time.Time) { l.Received(c, 2, now) }},
		{"old messages are repeated", func(l *Liveness, _, _ uint64, now time.Time) { l.Received(2, 2, now) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := start
			l := NewLiveness(period, now)
			for range 2 {
				c, _ := l.Next()
				l.Received(c, c, now)
				now = now.Add(period)
			}
			require.True(t, l.Alive(now))
			brokenAt := now.Add(-period)
			for now.Sub(brokenAt) <= SilentPeriods*period {
				c, echo := l.Next()
				tc.receive(l, c, echo, now)
				now = now.Add(period / 4)
			}
			require.False(t, l.Alive(now))
			require.True(t, l.Lost(now))
		})
	}
}

// Guards against ejecting most of the fleet because of a cause that all agents
// share.
func TestEjectionIsBounded(t *testing.T) {
	e := NewEjector(DefaultEjectConfig())
	for i := range 10 {
		for range 5 {
			e.RecordFailure(fmt.Sprint(i), 10, start)
		}
	}
	require.Equal(t, 3, e.ejectedCount(start))
	later := start.Add(6 * time.Second)
	require.Zero(t, e.ejectedCount(later), "ejections expire")
	require.True(t, e.RecordFailure("0", 10, later), "a further failure ejects again")
	require.True(t, e.IsEjected("0", later.Add(9*time.Second)), "the second ejection lasts twice as long")
	e.RecordSuccess("0")
	require.False(t, e.IsEjected("0", later))
	require.False(t, e.RecordFailure("0", 10, later))
}

// Guards against repeating work that depends on the set of agents for every sign
// of life.
func TestGenerationIgnoresSignsOfLife(t *testing.T) {
	now := time.Unix(0, 0)
	table := NewTable(Config{MissingAfter: time.Minute})
	in := AgentInfo{Instance: "a", Address: "127.0.0.1:1", Domain: "serra", Incarnation: 1}
	require.True(t, table.ApplyAnnouncement(in, now))
	before := table.Generation()
	require.True(t, table.ApplyAnnouncement(in, now))
	table.ApplyInstanceList([]AgentInfo{in}, now)
	require.True(t, table.RecordReport("a", 1, now))
	require.Equal(t, before, table.Generation())

	in.Address = "127.0.0.1:2"
	require.True(t, table.ApplyAnnouncement(in, now))
	require.Greater(t, table.Generation(), before)
	before = table.Generation()
	table.ApplyInstanceList(nil, now.Add(time.Hour))
	require.Greater(t, table.Generation(), before, "removing a member changes the generation")
}
