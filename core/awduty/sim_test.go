package awduty_test

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awduty"
)

const (
	simStep   = 50 * time.Millisecond
	simWindow = 5 * time.Second
	simLate   = 10 * time.Second
	simLease  = 3 * time.Second // within which A, B, A is not allowed
	simStart  = 1_800_000_000 * time.Second
)

// sim runs instances against a store and a platform in simulated true time.
type sim struct {
	t      *testing.T
	rng    *rand.Rand
	now    time.Duration // true time since 1970
	events []simEvent
	nodes  []*simNode
	gone   []string // names of instances that were removed for good and stay registered

	row     awduty.Row
	version uint64
	top     uint64 // highest version that the store has given
	// namesEra makes the store name its era, which rises when it is set back.
	namesEra bool
	era      uint64
	rowEra   uint64             // of row, the newest one with a row
	older    map[uint64]simCopy // rows of older eras
	writes   int
	reads    int
	// fate decides what happens to a write. Nil performs it.
	fate     func(n *simNode) writeFate
	down     bool // the store is unavailable
	platform simPlatform
	// callLatency is how long a call of the platform is on its way.
	callLatency time.Duration
	// slowCalls is the share of calls that wait for seconds on the sender's machine,
	// as bytes do that the kernel retransmits.
	slowCalls float64
	copies    []simCopy       // of the store, to set it back to
	truth     map[int64]int64 // requests by window
	skipped   map[int64]string
	doubtful  map[int64]bool
}

type simEvent struct {
	at  time.Duration
	run func()
}

type writeFate struct {
	lost    bool          // no response
	slow    time.Duration // before the response
	perform bool          // it is performed at all
	delay   time.Duration // before it is performed
}

// Limits after which the sender resets a call, from its start and from the end of
// the lease.
const (
	callTimeout = 2500 * time.Millisecond
	callOverrun = 250 * time.Millisecond
)

// simCopy is a state of the store.
type simCopy struct {
	row     awduty.Row
	version uint64
	rowEra  uint64
	older   map[uint64]simCopy
}

type simNode struct {
	sim         *sim
	name        string
	incarnation uint64
	boot        time.Duration // of its machine, true time
	step        time.Duration // by which its wall clock is wrong
	usage       *awduty.Usage
	dead        bool
	frozenUntil time.Duration
	cut         bool // from the store
	rate        float64
	nextSend    time.Duration
	lone        bool // cut off from the other instances
	mayPause    bool // it is paused at times between deciding on a call and sending it
}

type received struct {
	at      time.Duration
	holder  string
	token   uint64
	window  int64
	body    string
	outcome awduty.Answer
}

type simPlatform struct {
	calls  []received
	answer func(at time.Duration) awduty.Answer // nil accepts
}

func newSim(t *testing.T, seed uint64, names ...string) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: simStart, older: map[uint64]simCopy{}, truth: map[int64]int64{}, skipped: map[int64]string{}, doubtful: map[int64]bool{},
	}
	for _, name := range names {
		s.add(name)
	}
	s.registered()
	return s
}

// add starts an instance.
func (s *sim) add(name string) *simNode { return s.addStepped(name, 0) }

// addStepped starts an instance whose wall clock is wrong.
func (s *sim) addStepped(name string, step time.Duration) *simNode {
	n := &simNode{
		sim: s, name: name, incarnation: uint64(s.now), boot: s.now - time.Duration(s.rng.Int64N(int64(time.Hour))) - time.Second, rate: 40, step: step,
	}
	n.usage = awduty.NewUsage(awduty.UsageConfig{
		Candidate: awduty.Config{
			Self: name, Incarnation: n.incarnation, Lease: simWindow + 500*time.Millisecond, Margin: 500 * time.Millisecond, MaxPending: 30,
			CallGap: 100 * time.Millisecond,
		},
		Domain: name[:1], Window: simWindow, Late: simLate, Settling: 6500 * time.Millisecond,
		Encode: func(_ int64, counts awduty.Counts) []byte {
			b, err := json.Marshal(counts)
			if err != nil {
				panic(err)
			}
			return b
		},
		OnEvent: func(e awduty.Event) {
			switch {
			case e.Kind == awduty.WindowSkipped:
				for i := range e.Windows {
					s.skipped[e.Window+i] = e.Reason
				}
			case e.Kind == awduty.WindowCommitted && e.Missing > 0.05:
				s.doubtful[e.Window] = true
			}
		},
	}, n.local(), n.wall())
	s.nodes = append(s.nodes, n)
	return n
}

// local returns the time of the instance's machine.
func (n *simNode) local() time.Duration { return n.sim.now - n.boot }

func (n *simNode) wall() time.Duration { return n.sim.now + n.step }

func (n *simNode) running() bool { return !n.dead && n.sim.now >= n.frozenUntil }

// registered tells all instances who is registered.
func (s *sim) registered() {
	var list []awduty.Peer
	for _, n := range s.nodes {
		list = append(list, awduty.Peer{Name: n.name, Domain: n.name[:1], Address: n.name})
	}
	for _, name := range s.gone {
		list = append(list, awduty.Peer{Name: name, Domain: name[:1], Address: name})
	}
	for _, n := range s.nodes {
		if n.running() {
			n.usage.SetPeers(n.local(), list)
		}
	}
}

func (s *sim) after(d time.Duration, run func()) {
	s.events = append(s.events, simEvent{s.now + d, run})
}

// onNode runs something on an instance, once it is not frozen.
func (s *sim) onNode(d time.Duration, n *simNode, run func()) {
	s.after(d, func() {
		switch {
		case n.dead:
		case !n.running():
			s.onNode(n.frozenUntil-s.now, n, run)
		default:
			run()
		}
	})
}

// runFor advances time.
func (s *sim) runFor(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += simStep {
		for {
			slices.SortStableFunc(s.events, func(a, b simEvent) int { return cmp.Compare(a.at, b.at) })
			if len(s.events) == 0 || s.events[0].at > s.now {
				break
			}
			e, step := s.events[0], s.now
			s.events = s.events[1:]
			s.now = e.at
			e.run()
			s.now = step
		}
		for _, n := range s.nodes {
			if n.running() {
				n.tick()
			}
		}
	}
}

func (n *simNode) tick() {
	s, u := n.sim, n.usage
	if s.rng.Float64() < n.rate*simStep.Seconds() {
		u.Count(n.local(), "team", 1)
		s.truth[int64(s.now/simWindow)]++
	}
	if urgent := u.Tick(n.local(), n.wall()); urgent || s.now >= n.nextSend {
		n.send()
	}
	if call, ok := u.NextStoreCall(n.local()); ok {
		n.store(call)
	}
	if call, ok := u.NextCall(n.local()); ok {
		n.call(call)
	}
}

func (n *simNode) send() {
	s := n.sim
	n.nextSend = s.now + time.Second
	m, targets := n.usage.Messages(n.local(), n.wall())
	for _, p := range targets {
		for _, to := range s.nodes {
			if to.name != p.Address || s.rng.IntN(50) == 0 || n.lone || to.lone {
				continue
			}
			s.onNode(s.latency(), to, func() {
				if reply := to.usage.Receive(to.local(), to.wall(), m, n.name); reply != nil {
					s.onNode(s.latency(), n, func() { n.usage.Receive(n.local(), n.wall(), reply, to.name) })
				}
			})
		}
	}
}

func (s *sim) latency() time.Duration {
	return time.Duration(s.rng.Int64N(int64(20 * time.Millisecond)))
}

var errStore = errors.New("store unavailable")

func (n *simNode) store(call awduty.StoreCall) {
	s := n.sim
	unavailable := s.down || n.cut
	if !call.Write {
		s.reads++
		row, at := s.row, s.stored()
		s.onNode(s.latency(), n, func() {
			if unavailable {
				n.usage.ReadDone(n.local(), awduty.Row{}, awduty.Stored{}, errStore)
				return
			}
			n.usage.ReadDone(n.local(), row, at, nil)
		})
		return
	}
	s.writes++
	fate := writeFate{perform: true}
	if s.fate != nil {
		fate = s.fate(n)
	}
	if unavailable {
		fate = writeFate{lost: true}
	}
	result, at := awduty.WriteUnknown, awduty.Stored{}
	s.after(s.latency()+fate.delay, func() {
		if !fate.perform {
			return
		}
		result, at = s.write(call)
	})
	wait := 40*time.Millisecond + fate.slow
	if fate.lost {
		wait = 2 * time.Second
	}
	s.onNode(wait, n, func() {
		if fate.lost {
			result, at = awduty.WriteUnknown, awduty.Stored{}
		}
		if n.usage.WriteDone(n.local(), result, at) {
			n.send()
		}
	})
}

// stored returns where the row of the store is.
func (s *sim) stored() awduty.Stored {
	return awduty.Stored{Position: awdirectory.Position{Era: s.rowEra, Version: s.version}, Era: s.era}
}

// write performs a write. One for a row of an older era has no effect on reads.
func (s *sim) write(call awduty.StoreCall) (awduty.WriteResult, awduty.Stored) {
	era := call.Precondition.Era
	current := simCopy{s.row, s.version, s.rowEra, maps.Clone(s.older)}
	version := current.version
	if era != s.rowEra {
		version = s.older[era].version
	}
	if version != call.Precondition.Version {
		return awduty.WriteConflict, awduty.Stored{Era: s.era}
	}
	s.copies = append(s.copies, current)
	s.top++
	if era < s.rowEra {
		s.older[era] = simCopy{row: call.Row, version: s.top}
	} else {
		if era > s.rowEra {
			s.older[s.rowEra] = current
		}
		s.row, s.version, s.rowEra = call.Row, s.top, era
	}
	return awduty.WriteDone, awduty.Stored{Position: awdirectory.Position{Era: era, Version: s.top}, Era: s.era}
}

// call sends a report. The instance may be paused between the decision and the
// bytes being written.
func (n *simNode) call(call awduty.Call) {
	s := n.sim
	if n.mayPause && s.rng.IntN(4) == 0 {
		n.frozenUntil = s.now + 8*time.Second + s.latency()
	}
	s.onNode(0, n, func() {
		if !n.usage.Candidate().MayCall(n.local(), call) {
			n.usage.Answered(n.local(), call.Order.ID, awduty.Retry, 0)
			return
		}
		var queued time.Duration
		if s.rng.Float64() < s.slowCalls {
			queued = time.Duration(s.rng.Int64N(int64(4 * time.Second)))
		}
		if left := min(callTimeout, call.Until+callOverrun-n.local()); queued > left {
			s.onNode(left, n, func() { n.usage.Answered(n.local(), call.Order.ID, awduty.Retry, 0) })
			return
		}
		s.after(queued+s.latency()+s.callLatency, func() {
			answer := awduty.Accepted
			if s.platform.answer != nil {
				answer = s.platform.answer(s.now)
			}
			s.platform.calls = append(s.platform.calls, received{s.now, fmt.Sprint(n.name, n.incarnation), call.Token, call.Order.ID, string(call.Order.Body), answer})
			s.onNode(s.latency(), n, func() { n.usage.Answered(n.local(), call.Order.ID, answer, 0) })
		})
	})
}

// check verifies the rules of the platform over all calls.
func (s *sim) check() {
	s.t.Helper()
	bodies, holders := map[int64]string{}, map[uint64]string{}
	last := map[string]time.Duration{} // last call by holder
	var token uint64
	var previous received
	changed := map[string]time.Duration{} // time of the holder's last call before another one's
	for _, c := range s.platform.calls {
		if body, ok := bodies[c.window]; ok && body != c.body {
			s.t.Errorf("window %d: reported as %s and %s", c.window, body, c.body)
		}
		bodies[c.window] = c.body
		if holder, ok := holders[c.token]; ok && holder != c.holder {
			s.t.Errorf("token %d: sent by %s and %s", c.token, holder, c.holder)
		}
		holders[c.token] = c.holder
		if c.token < token {
			s.t.Errorf("token %d after %d", c.token, token)
		}
		token = max(token, c.token)
		if previous.holder != "" && previous.holder != c.holder {
			changed[previous.holder] = last[previous.holder]
			if at, ok := changed[c.holder]; ok && c.at-at <= simLease {
				s.t.Errorf("%s, %s, %s within %s", c.holder, previous.holder, c.holder, c.at-at)
			}
		}
		previous, last[c.holder] = c, c.at
	}
}

// accepted returns the counts that were accepted by window, and fails if a window
// between two times is missing.
func (s *sim) accepted(from, to time.Duration) map[int64]int64 {
	s.t.Helper()
	counts := map[int64]int64{}
	for _, c := range s.platform.calls {
		if c.outcome != awduty.Accepted {
			continue
		}
		var body awduty.Counts
		if err := json.Unmarshal([]byte(c.body), &body); err != nil {
			s.t.Fatal(err)
		}
		counts[c.window] = body.Total()
	}
	for id := int64(from / simWindow); id <= int64(to/simWindow); id++ {
		if _, ok := counts[id]; !ok {
			s.t.Errorf("window %d was not reported; skipped: %q", id, s.skipped[id])
		}
	}
	return counts
}

// checkCounts verifies that the windows between two times were counted within the
// tolerance.
func (s *sim) checkCounts(from, to time.Duration) {
	s.t.Helper()
	counts := s.accepted(from, to)
	for id := int64(from / simWindow); id <= int64(to/simWindow); id++ {
		if off := float64(counts[id]-s.truth[id]) / float64(s.truth[id]); off > 0.05 || off < -0.05 {
			s.t.Errorf("window %d: %d reported, %d counted", id, counts[id], s.truth[id])
		}
	}
}

// holder returns the running instance that is sure of its lease.
func (s *sim) holder() *simNode {
	for _, n := range s.nodes {
		if n.running() && n.usage.Candidate().LeaseValid(n.local()) {
			return n
		}
	}
	return nil
}
