package awproof

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutuswind/core/awconfig"
)

const defaultChecks = "1000"

// TestMain sets a fixed seed and the default limits of rapid. Flags on the
// command line override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": defaultChecks, "rapid.steps": "120", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// actions returns the actions from which rapid draws the next step.
func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"call": func(t *rapid.T) { m.startCall(t) }, "call again": func(t *rapid.T) { m.startCall(t) },
		"deliver": func(t *rapid.T) { m.deliverOne(t) }, "deliver more": func(t *rapid.T) {
			for range 5 {
				m.deliverOne(t)
			}
		},
		"produce": func(t *rapid.T) { m.produceOne(t) }, "produce more": func(t *rapid.T) {
			for range 4 {
				m.produceOne(t)
			}
		},
		"tick": func(t *rapid.T) { m.tick(time.Duration(rapid.IntRange(100, 1500).Draw(t, "ms")) * time.Millisecond) },
		"fetch": func(t *rapid.T) {
			a := drawOne(t, m.agents)
			for range rapid.IntRange(1, 6).Draw(t, "n") {
				m.fetchChunk(a, rapid.IntRange(0, 9).Draw(t, "corrupt") == 0)
			}
		},
		"operators": halfTheTime(m.operatorEvent), "processes": halfTheTime(m.processEvent), "platform": halfTheTime(m.platformEvent),
		"late view": func(t *rapid.T) {
			a, e := drawOne(t, m.agents), drawOne(t, m.entries)
			m.send(message{to: a.id, incarnation: a.incarnation, view: m.view(e, a)})
		},
		"restart engine": halfTheTime(func(t *rapid.T) { m.restartEngine(drawOne(t, m.agents)) }),
	}
}

// halfTheTime wraps an action so that it runs with probability one half. This
// leaves enough time between disruptive events for calls to complete.
func halfTheTime(act func(*rapid.T)) func(*rapid.T) {
	return func(t *rapid.T) {
		if rapid.Bool().Draw(t, "now") {
			act(t)
		}
	}
}

func (m *machine) startCall(t *rapid.T) {
	e := drawOne(t, m.entries)
	if e.paused {
		return
	}
	m.calls++
	c := &call{id: m.calls}
	if rapid.Bool().Draw(t, "keyed") {
		c.key = fmt.Sprint("key-", rapid.IntRange(0, 3).Draw(t, "key"))
		e.calls = append(e.calls, c)
		m.advanceKeyedCall(e, c, rapid.IntRange(0, 9).Draw(t, "lost") == 0)
		return
	}
	if a := m.pickAgent(e, ""); a != nil {
		e.calls = append(e.calls, c)
		m.dispatch(e, c, a, e.nextAttempt(), e.reports[a.id].incarnation)
	}
}

// deliverOne delivers one message, usually the oldest, and sometimes keeps a
// copy for a second delivery.
func (m *machine) deliverOne(t *rapid.T) {
	if len(m.network) == 0 {
		return
	}
	i := 0
	if rapid.IntRange(0, 4).Draw(t, "late") == 0 {
		i = rapid.IntRange(0, len(m.network)-1).Draw(t, "message")
	}
	msg := m.network[i]
	if m.deliver(msg) && rapid.IntRange(0, 7).Draw(t, "copy") != 0 {
		m.network = append(m.network[:i:i], m.network[i+1:]...)
	} else { // move the message to the back, so that it does not block the others
		m.network = append(append(m.network[:i:i], m.network[i+1:]...), msg)
	}
}

func (m *machine) produceOne(t *rapid.T) {
	var busy []*agent
	for _, a := range m.agents {
		if len(a.running) > 0 && !a.paused {
			busy = append(busy, a)
		}
	}
	if len(busy) > 0 {
		a := drawOne(t, busy)
		m.produceToken(a, drawOne(t, a.running))
	}
}

// operatorEvent commits a change as an operator, sometimes against an outdated
// revision. If the entry has detected a store reset, it accepts the reset
// instead.
func (m *machine) operatorEvent(t *rapid.T) {
	e := drawOne(t, m.entries)
	if e.paused {
		return
	}
	base := e.holder.State().Revision
	if rapid.IntRange(0, 4).Draw(t, "race") == 0 {
		m.commitChange(drawOne(t, m.entries), sheet(drawOne(t, versions)), base)
	}
	if e.log.Reset() != nil {
		_, _ = e.log.AcceptReset(bg, "operator", "")
		return
	}
	domain := drawOne(t, domains)
	m.commitChange(e, drawOne(t, []awconfig.Change{
		{Kind: awconfig.KindDomainOut, Target: domain},
		{Kind: awconfig.KindDomainIn, Target: domain},
		{Kind: awconfig.KindDomainIn, Target: domain},
		sheet(drawOne(t, versions)),
	}), base)
}

// processEvent crashes, pauses, resumes or gracefully stops processes.
func (m *machine) processEvent(t *rapid.T) {
	e, a := drawOne(t, m.entries), drawOne(t, m.agents)
	event := rapid.IntRange(0, 8).Draw(t, "event")
	m.tracef("process event %d at %s and %s", event, e.id, a.id)
	switch event {
	case 0:
		m.faults++
		m.startEntry(e)
	case 1:
		m.faults++
		m.startAgent(a)
	case 2:
		m.faults++
		e.paused = true
	case 3:
		m.faults++
		if !a.paused {
			a.paused, a.pausedAt = true, m.clock.Now()
		}
	case 4, 5:
		e.paused = false
		for _, a := range m.agents {
			a.awaitingContact = a.awaitingContact || a.paused && m.clock.Now().Sub(a.pausedAt) > pauseLimit
			a.paused = false
		}
	case 6, 7:
		a.leaving = true
		m.oracle.excluded[a.id] = exclusion{m.clock.Now(), m.faults}
	case 8: // a planned stop completes once no requests are running
		for _, a := range m.agents {
			if a.leaving && !a.paused && (len(a.running) == 0 || m.breaks(gracefulStop)) {
				m.oracle.recordStop(a.id, len(a.running))
				m.startAgent(a)
			}
		}
	}
}

// platformEvent takes the store down, makes it lose replies, or rolls it back.
func (m *machine) platformEvent(t *rapid.T) {
	event := rapid.IntRange(0, 6).Draw(t, "event")
	m.tracef("platform event %d", event)
	switch event {
	case 0:
		m.faults++
		m.store.down = true
	case 1, 2:
		m.store.down = false
	case 3:
		m.store.repliesToLose = rapid.IntRange(1, 3).Draw(t, "replies")
	case 4:
		m.store.save()
	case 5:
		if rapid.IntRange(0, 2).Draw(t, "set back") == 0 {
			m.faults++
			m.oracle.rolledBack = true
			m.store.rollBack(m.rollbackPrefix)
		}
	}
}

// simulate runs a random sequence of actions, up to the first violation, and
// returns the machine.
func simulate(t *rapid.T, mutation, setBack string) *machine {
	m := newMachine(mutation, setBack)
	actions := m.actions()
	for name, act := range actions {
		actions[name] = func(t *rapid.T) {
			if m.oracle.violated == "" {
				act(t)
			}
		}
	}
	t.Repeat(actions)
	return m
}

// Guards against sequences of events that violate an invariant, and against
// sequences with too few relevant events to be a meaningful test.
func TestInvariants(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := simulate(t, "", "config/")
		if m.oracle.violated != "" {
			t.Fatalf("%s: %s\n%s", m.oracle.violated, m.oracle.detail, strings.Join(m.trace, "\n"))
		}
		for event, n := range m.oracle.eventCounts {
			seen[event] += n
		}
	})
	t.Log(seen)
	if flag.Lookup("rapid.checks").Value.String() != defaultChecks {
		return // the minimum counts below hold only for the default number of sequences
	}
	for _, event := range []string{"run", "refused", "answered", "recorded answer", "claimed again", "fetched result", "loaded", "stopped"} {
		require.Greater(t, seen[event], 10, event)
	}
}

// Guards against running a key twice after a store rollback removed its claim.
// The test is listed in KNOWN-RED.txt because the claim is stored nowhere else.
func TestStoreSetBackWithClaims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if m := simulate(t, "", ""); m.oracle.violated != "" {
			t.Fatalf("%s: %s\n%s", m.oracle.violated, m.oracle.detail, strings.Join(m.trace, "\n"))
		}
	})
}

// Guards against a domain that stays in service after operators took it out.
// If the store is rolled back and all entries restart, a new entry can commit
// revisions lower than those the agents hold, and the agents ignore them. The
// entry must detect the rollback from the revisions that agents report.
func TestStoreRollbackDetectedFromAgents(t *testing.T) {
	m := newMachine("", "config/")
	e, a := m.entries[0], m.agents[0]
	m.store.rollBack(m.rollbackPrefix)
	m.oracle.rolledBack = true
	for _, e := range m.entries {
		e.paused = true
	}
	for _, e := range m.entries {
		m.startEntry(e)
	}
	m.tick(time.Second)
	m.dispatch(e, &call{id: 1}, a, e.nextAttempt(), a.incarnation)
	m.commitChange(e, awconfig.Change{Kind: awconfig.KindDomainOut, Target: a.domain}, e.holder.State().Revision)
	m.tick(time.Second)
	m.tick(2 * time.Second)
	require.True(t, m.deliver(m.network[0]))
	require.Empty(t, m.oracle.violated, m.oracle.detail)
}

// Guards against an oracle that fails to detect a violated invariant.
func TestOracleDetectsMutations(t *testing.T) {
	const seeds = 3000
	for _, invariant := range invariants {
		t.Run(invariant, func(t *testing.T) {
			t.Parallel()
			gen := rapid.Custom(func(t *rapid.T) string { return simulate(t, invariant, "config/").oracle.violated })
			for seed := range seeds {
				if gen.Example(seed) == invariant {
					t.Logf("detected with seed %d", seed)
					return
				}
			}
			require.Fail(t, "not detected", "%d seeds", seeds)
		})
	}
}
