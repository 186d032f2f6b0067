package awledger

import (
	"time"
)

// The model runs two entries, one agent and the table service in every order
// of their steps, over the decision code of this package: lost replies of the
// store and late writes, repeated messages and a crash of the agent within
// [bounds]. A crashed entry is
// one that gives up its call at any step; a paused one takes its next step
// later than all others.
const (
	modelEntries  = 2
	modelAttempts = 2
	modelBound    = 2_000_000 // states; the exploration must end below
)

// bounds limits the events of one exploration.
type bounds struct {
	calls          [modelEntries]int
	faults, copies int
}

// The product of all events is too large for a test of a few seconds, so each
// exploration leaves out one kind.
var modelBounds = map[string]bounds{
	"store faults": {calls: [modelEntries]int{1, 1}, faults: 1},
	"copies":       {calls: [modelEntries]int{1, 1}, copies: 1},
	"more calls":   {calls: [modelEntries]int{1, 2}},
}

// mutation switches one fault into the wiring of the model.
type mutation int

const (
	none mutation = iota
	dispatchBeforeClaim
	agentForgetsRefusals
	claimAgainWithoutAsking
	writeWithoutCondition
	incarnationIgnored
	lostReplyMeansFree
	forgottenMeansNotRun
	notRunAfterLostAnswer
)

type place int

const (
	idle place = iota
	deciding
	writing
	readingBack
	dispatching
	waiting
	asking
	askingRefuse
	closing
)

// row is a Claim in comparable form; no is 0 when there is no row.
type row struct{ no, attempt, state, inc, result int }

type modelEntry struct {
	at          place
	found, mine row
	version     int
	tries       int
	next        int // attempts used
	calls       int
	settled     [modelAttempts + 1]bool
}

type message struct {
	attempt, inc, low int
	again             bool // may be delivered once more
}

type world struct {
	stored  row
	version int
	late    row // a write that reaches the store after its writer gave up
	lateVer int
	entry   [modelEntries]modelEntry
	net     [modelEntries]message
	inc     int
	table   [modelEntries * modelAttempts]AttemptState
	low     [modelEntries]int
	results [modelEntries * modelAttempts]bool
	ran     [modelEntries * modelAttempts]uint8
	notRun  [modelEntries * modelAttempts]bool // reported to the caller
	faults  int
	again   int
}

var stateNames = []ClaimState{"", Claimed, Finished, Refused, Unknown}

func stateIndex(s ClaimState) int {
	for i, name := range stateNames {
		if name == s {
			return i
		}
	}
	return 0
}

func attemptIDOf(i int) AttemptID {
	return AttemptID{Entry: string(rune('a' + i/modelAttempts)), Incarnation: 1, Sequence: uint64(i%modelAttempts) + 1}
}

func attemptIndex(id AttemptID) int {
	return int(id.Entry[0]-'a')*modelAttempts + int(id.Sequence) - 1
}

func (r row) claim() *Claim {
	if r.no == 0 {
		return nil
	}
	c := &Claim{
		State: stateNames[r.state], AttemptNo: uint64(r.no), Attempt: attemptIDOf(r.attempt),
		Incarnation: uint64(r.inc), At: time.Unix(0, 0),
	}
	if r.result != 0 {
		c.Result = &Result{Status: r.result}
	}
	return c
}

func rowOf(c Claim) row {
	r := row{no: int(c.AttemptNo), attempt: attemptIndex(c.Attempt), state: stateIndex(c.State), inc: int(c.Incarnation)}
	if c.Result != nil {
		r.result = c.Result.Status
	}
	return r
}

// attempts rebuilds the agent's table and takes it back after use.
func (w *world) attempts(use func(*AttemptTable)) {
	a := NewAttemptTable()
	for i, state := range w.table {
		if state != NeverSeen && state != Forgotten {
			a.set(attemptIDOf(i), state)
		}
	}
	for e, low := range w.low {
		if low > 0 {
			a.AdvanceWatermark(attemptIDOf(e*modelAttempts).Entry, 1, uint64(low))
		}
	}
	use(a)
	for i := range w.table {
		w.table[i] = a.State(attemptIDOf(i))
	}
}

type model struct {
	bounds
	mutation mutation
	seen     map[world]bool
	queue    []world
	broken   string
}

func (m *model) push(w world) {
	if !m.seen[w] {
		m.seen[w] = true
		m.queue = append(m.queue, w)
	}
}

// explore returns the number of states and the first broken invariant.
func explore(mut mutation, b bounds) (int, string) {
	m := &model{bounds: b, mutation: mut, seen: map[world]bool{}}
	m.push(world{inc: 1})
	for len(m.queue) > 0 && m.broken == "" && len(m.seen) < modelBound {
		w := m.queue[0]
		m.queue = m.queue[1:]
		for e := range w.entry {
			m.entryStep(w, e)
		}
		m.agentSteps(w)
		if w.late.no != 0 { // the late write reaches the store
			n := w
			m.store(&n, n.late, n.lateVer)
			n.late, n.lateVer = row{}, 0
			m.push(n)
		}
	}
	return len(m.seen), m.broken
}

// store applies a write if its condition holds.
func (m *model) store(w *world, r row, version int) bool {
	if version != w.version && m.mutation != writeWithoutCondition {
		return false
	}
	w.stored = r
	w.version++
	return true
}

func (w *world) low1(e int) int {
	mark := NewWatermark()
	for range w.entry[e].next {
		mark.Next()
	}
	for seq, ok := range w.entry[e].settled {
		if ok {
			mark.Settle(uint64(seq))
		}
	}
	return int(mark.Low())
}

// done ends the call of entry e.
func (m *model) done(w world, e int, settle bool) {
	x := &w.entry[e]
	if settle && x.mine.no != 0 {
		x.settled[x.mine.attempt%modelAttempts+1] = true
	}
	x.at, x.found, x.mine, x.version, x.tries = idle, row{}, row{}, 0, 0
	m.push(w)
}

func (m *model) reportNotRun(w *world, attempt int) {
	w.notRun[attempt] = true
	if w.ran[attempt] > 0 {
		m.broken = "NotRunIsTrue"
	}
}

func (m *model) entryStep(w world, e int) {
	x := &w.entry[e]
	if x.at != idle { // crash
		m.done(w, e, false)
	}
	switch x.at {
	case idle:
		if x.calls < m.calls[e] {
			x.calls++
			x.at = deciding
			m.push(w)
		}
	case deciding:
		m.decide(w, e)
	case writing, closing:
		m.write(w, e)
	case readingBack:
		m.readBack(w, e)
	case dispatching:
		m.dispatch(w, e)
	case waiting: // the link is lost: the row stays claimed
		if m.mutation == notRunAfterLostAnswer {
			m.reportNotRun(&w, x.mine.attempt)
			w.entry[e].mine.state = stateIndex(Refused)
			w.entry[e].at = closing
			m.push(w)
			return
		}
		m.done(w, e, true) // settled when RecordTime has passed
		m.done(w, e, false)
	case asking, askingRefuse:
		m.ask(w, e)
	}
}

func (m *model) decide(w world, e int) {
	x := &w.entry[e]
	for _, now := range []time.Time{time.Unix(0, 0), time.Unix(10, 0)} {
		n := w
		m.take(n, e, StepForRow(x.found.claim(), "", now, time.Second))
	}
}

// take carries out a step of [StepForRow] or [StepForReply].
func (m *model) take(w world, e int, step Step) {
	x := &w.entry[e]
	if m.mutation == claimAgainWithoutAsking && (step == QueryAgent || step == RequestRefusal) {
		step = ClaimNextAttempt
	}
	switch step {
	case InsertClaim, ClaimNextAttempt:
		if x.next == modelAttempts {
			m.done(w, e, false)
			return
		}
		var before Claim
		if c := x.found.claim(); c != nil {
			before = *c
		}
		x.mine = rowOf(before.NextAttempt(Claim{Attempt: attemptIDOf(e*modelAttempts + x.next), Incarnation: uint64(w.inc)}))
		x.next++
		x.at, x.tries = writing, 0
		if m.mutation == dispatchBeforeClaim {
			x.at = dispatching
		}
		m.push(w)
	case QueryAgent:
		x.at = asking
		m.push(w)
	case RequestRefusal:
		x.at = askingRefuse
		m.push(w)
	case RecordResult, RecordUnknown:
		c := x.found.claim()
		x.mine = rowOf(c.WithState(Unknown))
		if step == RecordResult {
			x.mine = rowOf(c.Finish(Result{Status: x.found.attempt + 1}, 0))
		}
		x.at = closing
		m.push(w)
	default:
		m.done(w, e, false)
	}
}
