package awledger

import (
	"testing"

	"github.com/stretchr/testify/require"
)

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
	switch state := ResolveWrite(read.claim(), mine); {
	case state != NotWritten && isClosing:
		m.done(w, e, x.mine.attempt/modelAttempts == e)
	case state == Written:
		x.found, x.version, x.at = x.mine, w.version, dispatching
		m.push(w)
	case state == Superseded, w.version != x.version && !isClosing:
		x.settled[x.mine.attempt%modelAttempts+1] = state == Superseded
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
	m.take(unreachable, e, StepForReply(*x.found.claim(), AgentReply{}))
	answer := AgentReply{Reached: true, Incarnation: uint64(w.inc)}
	if m.mutation == incarnationIgnored {
		answer.Incarnation = uint64(x.found.inc)
	}
	id := attemptIDOf(x.found.attempt)
	before := w.table
	w.attempts(func(a *AttemptTable) {
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
	m.take(lost, e, StepForReply(*x.found.claim(), AgentReply{})) // the reply is lost
	m.take(w, e, StepForReply(*x.found.claim(), answer))
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
			n.attempts(func(*AttemptTable) {})
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
		n.attempts(func(a *AttemptTable) { a.FinishWithoutResult(attemptIDOf(i)) })
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
	refused.attempts(func(a *AttemptTable) { state = a.Refuse(id) })
	if m.mutation == agentForgetsRefusals {
		refused.table = w.table
	}
	if state == NotRun {
		m.push(refused)
		if x := &refused.entry[e]; x.at == waiting && x.mine.attempt == i {
			m.reportNotRun(&refused, i)
			x.found = rowOf(x.mine.claim().WithState(Refused))
			x.settled[i%modelAttempts+1] = true
			x.at = deciding
			m.push(refused)
		}
	}
	started := false
	w.attempts(func(a *AttemptTable) { started = a.Begin(id) == nil })
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
