package awledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
func (w *world) attempts(use func(*Attempts)) {
	a := NewAttempts()
	for i, state := range w.table {
		if state != NeverSeen && state != Forgotten {
			a.set(attemptIDOf(i), state)
		}
	}
	for e, low := range w.low {
		if low > 0 {
			a.Settled(attemptIDOf(e*modelAttempts).Entry, 1, uint64(low))
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
		m.take(n, e, OnRow(x.found.claim(), "", now, time.Second))
	}
}

// take carries out a step of [OnRow] or [OnAgent].
func (m *model) take(w world, e int, step Step) {
	x := &w.entry[e]
	if m.mutation == claimAgainWithoutAsking && (step == Ask || step == AskRefuse) {
		step = ClaimAgain
	}
	switch step {
	case Insert, ClaimAgain:
		if x.next == modelAttempts {
			m.done(w, e, false)
			return
		}
		var before Claim
		if c := x.found.claim(); c != nil {
			before = *c
		}
		x.mine = rowOf(before.Again(Claim{Attempt: attemptIDOf(e*modelAttempts + x.next), Incarnation: uint64(w.inc)}))
		x.next++
		x.at, x.tries = writing, 0
		if m.mutation == dispatchBeforeClaim {
			x.at = dispatching
		}
		m.push(w)
	case Ask:
		x.at = asking
		m.push(w)
	case AskRefuse:
		x.at = askingRefuse
		m.push(w)
	case Record, RecordUnknown:
		c := x.found.claim()
		x.mine = rowOf(c.Close(Unknown))
		if step == Record {
			x.mine = rowOf(c.Finish(Result{Status: x.found.attempt + 1}, 0))
		}
		x.at = closing
		m.push(w)
	default:
		m.done(w, e, false)
	}
}

func (m *model) write(w world, e int) {
	ok := w
	if m.store(&ok, ok.entry[e].mine, ok.entry[e].version) {
		x := &ok.entry[e]
		x.version = ok.version
		if w.faults < m.faults { // the reply is lost
			lost := ok
			lost.faults++
			lost.entry[e].version = w.entry[e].version
			m.lostWrite(lost, e)
		}
		switch x.at {
		case closing:
			m.done(ok, e, x.mine.attempt/modelAttempts == e)
		default:
			x.found, x.at = x.mine, dispatching
			m.push(ok)
		}
	} else {
		w.entry[e].tries++
		m.lostWrite(w, e)
		w.entry[e].tries--
	}
	if w.faults < m.faults { // the write does not take effect, or later
		w.faults++
		m.lostWrite(w, e)
		if w.late.no == 0 {
			w.late, w.lateVer = w.entry[e].mine, w.entry[e].version
			m.lostWrite(w, e)
		}
	}
}

func (m *model) lostWrite(w world, e int) {
	x := &w.entry[e]
	if m.mutation == lostReplyMeansFree && x.mine.state == stateIndex(Claimed) {
		x.found, x.version, x.at = x.mine, w.version, dispatching
		m.push(w)
		return
	}
	if x.at == closing {
		x.tries += 10 // marks the re-read of a closing write
	}
	x.at = readingBack
	m.push(w)
}

func (m *model) readBack(w world, e int) {
	x := &w.entry[e]
	isClosing := x.tries >= 10
	if w.faults < m.faults { // the read fails too
		n := w
		n.faults++
		if !isClosing {
			m.reportNotRun(&n, x.mine.attempt)
		}
		m.done(n, e, false)
	}
	mine, read := *x.mine.claim(), w.stored
	switch state := Resolve(read.claim(), mine); {
	case state != NotWritten && isClosing:
		m.done(w, e, x.mine.attempt/modelAttempts == e)
	case state == Written:
		x.found, x.version, x.at = x.mine, w.version, dispatching
		m.push(w)
	case state == Overtaken, w.version != x.version && !isClosing:
		x.settled[x.mine.attempt%modelAttempts+1] = state == Overtaken
		x.found, x.version, x.at, x.mine = read, w.version, deciding, row{}
		m.push(w)
	case x.tries%10 > 0: // bounds the tries
		if !isClosing {
			m.reportNotRun(&w, x.mine.attempt)
		}
		m.done(w, e, false)
	default:
		x.version, x.tries, x.at = w.version, x.tries%10+1, writing
		if isClosing {
			x.at = closing
		}
		m.push(w)
	}
}

func (m *model) dispatch(w world, e int) {
	x := &w.entry[e]
	refused := w // the deadline has passed: proved not run
	refused.entry[e].mine.state = stateIndex(Refused)
	refused.entry[e].at = closing
	m.reportNotRun(&refused, x.mine.attempt)
	m.push(refused)
	x.at = waiting
	if m.mutation == dispatchBeforeClaim {
		x.at, x.tries = writing, 0
	}
	w.net[e] = message{attempt: x.mine.attempt + 1, inc: x.mine.inc, low: w.low1(e), again: w.again < m.copies}
	m.push(w)
}

func (m *model) ask(w world, e int) {
	x := &w.entry[e]
	refuse := x.at == askingRefuse
	unreachable := w
	m.take(unreachable, e, OnAgent(*x.found.claim(), AgentAnswer{}))
	answer := AgentAnswer{Reached: true, Incarnation: uint64(w.inc)}
	if m.mutation == incarnationIgnored {
		answer.Incarnation = uint64(x.found.inc)
	}
	id := attemptIDOf(x.found.attempt)
	before := w.table
	w.attempts(func(a *Attempts) {
		answer.State = a.State(id)
		if refuse && w.inc == int(answer.Incarnation) || refuse && m.mutation == incarnationIgnored {
			answer.State = a.Refuse(id)
		}
	})
	if m.mutation == agentForgetsRefusals {
		w.table = before
	}
	if m.mutation == forgottenMeansNotRun && answer.State == Forgotten {
		answer.State = NotRun
	}
	if w.results[x.found.attempt] && answer.State == Done {
		answer.Result = &Result{Status: x.found.attempt + 1}
	}
	lost := w
	m.take(lost, e, OnAgent(*x.found.claim(), AgentAnswer{})) // the reply is lost
	m.take(w, e, OnAgent(*x.found.claim(), answer))
}

func (m *model) agentSteps(w world) {
	if w.inc == 1 { // crash
		n := w
		n.inc = 2
		n.table = [modelEntries * modelAttempts]AttemptState{}
		n.results = [modelEntries * modelAttempts]bool{}
		n.low = [modelEntries]int{}
		m.push(n)
	}
	for e, msg := range w.net {
		if low := w.low1(e); low > w.low[e] { // a call with another key
			n := w
			n.low[e] = low
			n.attempts(func(*Attempts) {})
			m.push(n)
		}
		if msg.attempt != 0 {
			m.deliver(w, e, msg)
		}
	}
	for i, state := range w.table { // a running call ends; its answer may be lost
		if state != Running {
			continue
		}
		n := w
		n.attempts(func(a *Attempts) { a.End(attemptIDOf(i)) })
		n.results[i] = true
		m.push(n)
		e := i / modelAttempts
		if x := &n.entry[e]; x.at == waiting && x.mine.attempt == i {
			x.mine = rowOf(x.mine.claim().Finish(Result{Status: i + 1}, 0))
			x.at = closing
			m.push(n)
		}
	}
}

// deliver brings a dispatched attempt to the agent, which may also refuse it.
func (m *model) deliver(w world, e int, msg message) {
	i := msg.attempt - 1
	w.net[e] = message{}
	if msg.again {
		msg.again = false
		w.again++
		w.net[e] = msg
	}
	if msg.inc != w.inc {
		return // the connection checks the incarnation
	}
	w.low[e] = max(w.low[e], msg.low)
	id := attemptIDOf(i)
	refused := w
	var state AttemptState
	refused.attempts(func(a *Attempts) { state = a.Refuse(id) })
	if m.mutation == agentForgetsRefusals {
		refused.table = w.table
	}
	if state == NotRun {
		m.push(refused)
		if x := &refused.entry[e]; x.at == waiting && x.mine.attempt == i {
			m.reportNotRun(&refused, i)
			x.found = rowOf(x.mine.claim().Close(Refused))
			x.settled[i%modelAttempts+1] = true
			x.at = deciding
			m.push(refused)
		}
	}
	started := false
	w.attempts(func(a *Attempts) { started = a.Begin(id) == nil })
	if !started {
		m.push(w)
		return
	}
	w.ran[i]++
	total := uint8(0)
	for _, n := range w.ran {
		total += n
	}
	if total > 1 {
		m.broken = "AtMostOnce"
	}
	if w.notRun[i] {
		m.broken = "NotRunIsTrue"
	}
	m.push(w)
}

// Guards against any order of steps that runs a keyed call twice, or that
// runs one reported as not run.
func TestModelKeepsInvariants(t *testing.T) {
	for name, b := range modelBounds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, broken := explore(none, b)
			t.Logf("%d states", states)
			require.Empty(t, broken)
			require.Less(t, states, modelBound, "the exploration is complete")
		})
	}
}

// Guards against a model that could not see a broken transition.
func TestModelDetectsMutations(t *testing.T) {
	for mut := dispatchBeforeClaim; mut <= notRunAfterLostAnswer; mut++ {
		found := ""
		for name, b := range modelBounds {
			states, broken := explore(mut, b)
			t.Logf("mutation %d, %s: %q after %d states", mut, name, broken, states)
			found += broken
		}
		require.NotEmpty(t, found, "mutation %d", mut)
	}
}
