package awduty_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awduty"
)

var simNames = []string{"a1", "a2", "b1", "b2", "c1"}

// Guards against windows that are missed or off in a healthy fleet, its first one
// included, and against more than one write and one call for each.
func TestHealthyFleet(t *testing.T) {
	s := newSim(t, 1, simNames...)
	start := s.now
	s.runFor(2 * time.Minute)
	s.check()
	s.checkCounts(start, s.now-4*simWindow)
	windows := int((s.now - start) / simWindow)
	require.LessOrEqual(t, s.writes, windows+2)
	require.LessOrEqual(t, len(s.platform.calls), windows)
	require.LessOrEqual(t, s.reads, len(simNames)+2)
}

// Guards against a first window that is missed because instances do not know each
// other yet, wherever in the window they start.
func TestFirstWindow(t *testing.T) {
	for phase := range 10 {
		s := newSim(t, uint64(phase))
		s.now += time.Duration(phase) * 500 * time.Millisecond
		start := s.now
		for _, name := range simNames {
			s.add(name)
			s.runFor(300 * time.Millisecond)
		}
		s.runFor(4 * time.Second)
		s.registered()
		s.runFor(30 * time.Second)
		s.check()
		s.checkCounts(start, s.now-4*simWindow)
		for _, c := range s.platform.calls {
			require.Less(t, c.at, time.Duration(c.window+1)*simWindow+simLate, "window %d is late", c.window)
		}
	}
}

// Guards against windows that are lost with a killed holder, and counts of the other
// instances that are.
func TestHolderIsKilled(t *testing.T) {
	for _, at := range []time.Duration{0, 1500, 2100, 2500, 4000} {
		s := newSim(t, uint64(at)+1, simNames...)
		s.runFor(30*time.Second + at*time.Millisecond)
		killed := s.now
		s.holder().dead = true
		s.runFor(40 * time.Second)
		s.check()
		s.accepted(simStart, s.now-4*simWindow)
		s.checkCounts(simStart, killed-simWindow)
		s.checkCounts(killed+simWindow, s.now-4*simWindow)
		for _, c := range s.platform.calls {
			require.Less(t, c.at, time.Duration(c.window+1)*simWindow+simLate, "window %d is late", c.window)
		}
	}
}

// Guards against calls of a holder that was paused between deciding on a call and
// sending it, while another one has taken over.
func TestPauseBetweenCheckAndAct(t *testing.T) {
	s := newSim(t, 3, simNames...)
	s.runFor(20 * time.Second)
	for _, n := range s.nodes {
		n.mayPause = true
	}
	s.runFor(3 * time.Minute)
	s.check()
	for _, n := range s.nodes {
		n.mayPause = false
	}
	s.runFor(30 * time.Second)
	s.accepted(simStart, s.now-4*simWindow)
}

// Guards against a second set of counts for a window whose commit got no response,
// and against a holder that gives up although its commit was performed.
func TestLostStoreResponse(t *testing.T) {
	for _, perform := range []bool{true, false} {
		s := newSim(t, 4, simNames...)
		s.runFor(20 * time.Second)
		token := s.row.Token
		first := true
		s.fate = func(*simNode) writeFate {
			lost := first
			first = false
			return writeFate{lost: lost, perform: !lost || perform}
		}
		s.runFor(40 * time.Second)
		s.check()
		s.checkCounts(simStart, s.now-4*simWindow)
		require.LessOrEqual(t, s.row.Token, token+1)
	}
}

// Guards against counting into wrong windows while the wall clock of an instance is
// stepped, also of the holder and of one that starts with a wrong clock.
func TestClockIsStepped(t *testing.T) {
	for _, step := range []time.Duration{-7 * time.Second, 7 * time.Second} {
		s := newSim(t, 5, simNames...)
		s.runFor(20 * time.Second)
		s.holder().step = step
		s.nodes[4].step = -step
		s.runFor(20 * time.Second)
		s.nodes[4].step = 0
		s.addStepped("c2", step)
		s.registered()
		s.runFor(40 * time.Second)
		s.check()
		s.checkCounts(simStart, s.now-4*simWindow)
	}
}

// Guards against reports that are lost or changed while the platform refuses calls
// for longer than a window, or asks to be called less often.
func TestPlatformRefuses(t *testing.T) {
	s := newSim(t, 6, simNames...)
	s.runFor(20 * time.Second)
	from, to := s.now, s.now+3*simWindow
	s.platform.answer = func(at time.Duration) awduty.Answer {
		if at >= from && at < to {
			return awduty.Retry // 429, 503 or no answer
		}
		return awduty.Accepted
	}
	s.runFor(60 * time.Second)
	s.check()
	s.checkCounts(simStart, s.now-4*simWindow)
	during := 0
	for _, c := range s.platform.calls {
		if c.at >= from && c.at < to {
			during++
		}
	}
	require.LessOrEqual(t, during, 15, "calls must back off")
}

// Guards against windows that are lost while the store is unavailable.
func TestStoreIsDown(t *testing.T) {
	s := newSim(t, 7, simNames...)
	s.runFor(22 * time.Second)
	s.down = true
	s.runFor(25 * time.Second)
	s.down = false
	s.runFor(40 * time.Second)
	s.check()
	s.checkCounts(simStart, s.now-4*simWindow)
}

// Guards against windows that are lost while the holder does not reach the store,
// and against a holder that reports its own counts alone while it does not hear the
// others.
func TestHolderIsCutOff(t *testing.T) {
	s := newSim(t, 8, simNames...)
	s.runFor(20 * time.Second)
	s.holder().cut = true
	s.runFor(40 * time.Second)
	s.check()
	s.checkCounts(simStart, s.now-4*simWindow)

	s = newSim(t, 8, simNames...)
	s.runFor(20 * time.Second)
	alone := s.holder()
	alone.lone, alone.rate = true, 1
	cut := s.now
	s.runFor(40 * time.Second)
	s.check()
	s.checkCounts(simStart, cut-simWindow)
	s.checkCounts(cut+simWindow, s.now-4*simWindow)
	require.NotEqual(t, alone, s.holder())
}

// Guards against a planned stop of the holder that loses counts or windows, and
// against one that stays silent until its lease has run out.
func TestHolderStops(t *testing.T) {
	s := newSim(t, 10, simNames...)
	s.runFor(23 * time.Second)
	stopped := s.holder()
	stopped.usage.Close()
	stopped.send()
	stopped.dead = true
	s.runFor(40 * time.Second)
	s.check()
	s.checkCounts(simStart, s.now-4*simWindow)
	require.False(t, s.doubtful[int64((simStart+23*time.Second)/simWindow)])
}

// Guards against a fleet that reports nothing after it has lost power, and against
// two sets of counts for a window from before.
func TestPowerLoss(t *testing.T) {
	s := newSim(t, 9, simNames...)
	s.runFor(31 * time.Second)
	for _, n := range s.nodes {
		n.dead = true
	}
	s.nodes = nil
	s.runFor(2 * time.Second)
	back := s.now
	for _, name := range simNames {
		s.add(name)
	}
	s.registered()
	s.runFor(60 * time.Second)
	s.check()
	s.checkCounts(back+simWindow, s.now-4*simWindow)
}

// Guards against a falling token, and against windows that are reported again with
// other counts, after the store was set back to an older copy.
func TestStoreIsSetBack(t *testing.T) {
	s := newSim(t, 11, simNames...)
	s.runFor(18 * time.Second)
	row, version := s.row, s.version
	s.runFor(5 * time.Second)
	s.holder().dead = true
	s.runFor(20 * time.Second)
	s.holder().frozenUntil = s.now + 15*time.Second
	s.runFor(20 * time.Second)
	s.row, s.version, s.top = row, version, version
	s.runFor(40 * time.Second)
	s.check()
	s.accepted(s.now-6*simWindow, s.now-4*simWindow)
}

// Guards against two sets of counts for a window, a falling token and holders that
// change and change back, and against a fleet that does not recover, in any
// interleaving of pauses, crashes, restarts, planned stops, steps of clocks, calls
// that wait on the sender's machine, and a store and a platform in trouble.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(60) {
		s := newSim(t, 100+seed, simNames...)
		s.callLatency, s.slowCalls = 200*time.Millisecond, 0.25
		s.runFor(15 * time.Second)
		s.fate = func(*simNode) writeFate {
			switch s.rng.IntN(6) {
			case 0:
				return writeFate{lost: true, perform: true}
			case 1:
				return writeFate{lost: true, perform: true, delay: time.Duration(s.rng.Int64N(int64(8 * time.Second)))}
			case 2:
				return writeFate{lost: true}
			case 3:
				return writeFate{perform: true, slow: time.Duration(s.rng.Int64N(int64(1900 * time.Millisecond)))}
			}
			return writeFate{perform: true}
		}
		s.platform.answer = func(time.Duration) awduty.Answer {
			if s.rng.IntN(3) == 0 {
				return awduty.Retry
			}
			return awduty.Accepted
		}
		for range 40 {
			s.disturb()
			s.runFor(time.Duration(s.rng.Int64N(int64(3 * time.Second))))
		}
		s.heal()
		healed := s.now
		s.runFor(50 * time.Second)
		s.check()
		s.checkCounts(healed+4*simWindow, s.now-4*simWindow)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// Guards against a second set of counts, a falling token or A, B, A after the store
// was set back to an older copy while it and the instances are in trouble. All
// instances have heard of what is lost and stay in touch until it is replaced: one
// that starts anew and hears of nobody cannot know of it.
func TestRandomFaultsWithStoreSetBack(t *testing.T) { testStoreSetBack(t, false) }

// Guards against the same where the store gives versions again that it had given
// before and names its era.
func TestRandomFaultsWithVersionsReused(t *testing.T) { testStoreSetBack(t, true) }

func testStoreSetBack(t *testing.T, reuse bool) {
	t.Helper()
	back := 0
	for seed := range uint64(60) {
		s := newSim(t, 500+seed, simNames...)
		s.namesEra = reuse
		s.callLatency, s.slowCalls = 200*time.Millisecond, 0.25
		s.runFor(15 * time.Second)
		s.fate = func(*simNode) writeFate {
			switch s.rng.IntN(5) {
			case 0:
				return writeFate{lost: true, perform: true}
			case 1:
				return writeFate{lost: true, perform: true, delay: time.Duration(s.rng.Int64N(int64(8 * time.Second)))}
			case 2:
				return writeFate{perform: true, slow: time.Duration(s.rng.Int64N(int64(1900 * time.Millisecond)))}
			}
			return writeFate{perform: true}
		}
		s.platform.answer = func(time.Duration) awduty.Answer {
			if s.rng.IntN(3) == 0 {
				return awduty.Retry
			}
			return awduty.Accepted
		}
		for range 40 {
			if s.allHaveHeard() && s.setBack() {
				back++
				if reuse {
					s.top = s.version
				}
			}
			n := s.nodes[s.rng.IntN(len(s.nodes))]
			if h := s.holder(); h != nil && s.rng.IntN(2) == 0 {
				n = h
			}
			switch s.rng.IntN(5) {
			case 0:
				n.frozenUntil = s.now + time.Duration(s.rng.Int64N(int64(12*time.Second)))
			case 1:
				n.step = time.Duration(s.rng.Int64N(int64(20*time.Second))) - 10*time.Second
			case 2:
				n.step = 0
			case 3:
				n.cut = !n.cut
			case 4:
				n.mayPause = !n.mayPause
			}
			s.runFor(time.Duration(s.rng.Int64N(int64(3 * time.Second))))
		}
		s.heal()
		healed := s.now
		s.runFor(50 * time.Second)
		s.check()
		s.checkCounts(healed+4*simWindow, s.now-4*simWindow)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	require.Greater(t, back, 60)
}

// allHaveHeard reports whether all instances know the row as it is.
func (s *sim) allHaveHeard() bool {
	for _, n := range s.nodes {
		claim := n.usage.Candidate().Claim(n.local())
		at := claim.Position
		if !n.running() || claim.Token < s.row.Token || at.Era < s.rowEra || at.Version < s.version || claim.Through < s.row.Through {
			return false
		}
	}
	return true
}

// setBack sets the store back by up to three writes, and reports whether there were
// any.
func (s *sim) setBack() bool {
	i := len(s.copies) - 1 - s.rng.IntN(3)
	if i < 0 {
		return false
	}
	back := s.copies[i]
	s.row, s.version, s.rowEra, s.older = back.row, back.version, back.rowEra, back.older
	s.copies = s.copies[:i]
	if s.namesEra {
		s.era++
	}
	return true
}

// Guards against a margin that does not cover calls that were sent at the end of the
// lease and wait on the sender's machine while another instance takes over.
func TestSlowCallsAtEndOfLease(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(t, 300+seed, simNames...)
		s.runFor(18 * time.Second)
		s.callLatency, s.slowCalls = 200*time.Millisecond, 1
		s.platform.answer = func(time.Duration) awduty.Answer {
			if s.rng.IntN(4) > 0 {
				return awduty.Retry
			}
			return awduty.Accepted
		}
		for range 8 {
			if h := s.holder(); h != nil {
				h.cut = true
			}
			s.runFor(12 * time.Second)
			for _, n := range s.nodes {
				n.cut = false
			}
		}
		s.check()
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// heal ends all faults.
func (s *sim) heal() {
	s.fate, s.platform.answer, s.slowCalls = nil, nil, 0
	for _, n := range s.nodes {
		n.frozenUntil, n.step, n.cut, n.lone, n.mayPause = min(n.frozenUntil, s.now), 0, false, false, false
	}
	s.registered()
}

// disturb injects a fault at a random instance, more often at the holder.
func (s *sim) disturb() {
	i := s.rng.IntN(len(s.nodes))
	if h := s.holder(); h != nil && s.rng.IntN(2) == 0 {
		for j, n := range s.nodes {
			if n == h {
				i = j
			}
		}
	}
	n := s.nodes[i]
	switch s.rng.IntN(8) {
	case 0:
		n.frozenUntil = s.now + time.Duration(s.rng.Int64N(int64(12*time.Second)))
	case 1: // restarted or replaced; what it has asked of the store may still happen
		n.dead = true
		s.nodes = append(s.nodes[:i:i], s.nodes[i+1:]...)
		name := n.name
		if s.rng.IntN(3) == 0 {
			s.gone = append(s.gone, name)
			name = fmt.Sprintf("%c%d", name[0], 10+len(s.gone))
		}
		s.add(name)
		s.registered()
	case 2:
		n.step = time.Duration(s.rng.Int64N(int64(20*time.Second))) - 10*time.Second
	case 3:
		n.step = 0
	case 4:
		n.cut = !n.cut
	case 5:
		n.lone = !n.lone
	case 6:
		n.mayPause = !n.mayPause
	case 7: // planned stop, and a new start
		if !n.running() {
			return
		}
		n.usage.Close()
		n.send()
		n.dead = true
		s.nodes = append(s.nodes[:i:i], s.nodes[i+1:]...)
		s.add(n.name)
		s.registered()
	}
}
