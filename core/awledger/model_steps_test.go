package awledger

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// writeClaim writes the row of entry e. The reply may be lost, and the write may
// fail or take effect later.
func (m *model) writeClaim(s systemState, e int) {
	accepted := s
	if m.applyWrite(&accepted, accepted.entries[e].ownRow, accepted.entries[e].version) {
		entry := &accepted.entries[e]
		entry.version = accepted.storedVersion
		if s.faultsUsed < m.maxFaults { // the reply is lost
			lost := accepted
			lost.faultsUsed++
			lost.entries[e].version = s.entries[e].version
			m.writeUnconfirmed(lost, e)
		}
		switch entry.phase {
		case closing:
			m.endCall(accepted, e, entry.ownRow.attempt/modelAttempts == e)
		default:
			entry.lastRow, entry.phase = entry.ownRow, dispatching
			m.push(accepted)
		}
	} else {
		s.entries[e].retries++
		m.writeUnconfirmed(s, e)
		s.entries[e].retries--
	}
	if s.faultsUsed < m.maxFaults { // the write is lost, or takes effect later
		s.faultsUsed++
		m.writeUnconfirmed(s, e)
		if s.lateWrite.attemptNo == 0 {
			s.lateWrite, s.lateVersion = s.entries[e].ownRow, s.entries[e].version
			m.writeUnconfirmed(s, e)
		}
	}
}

// writeUnconfirmed makes entry e read the row back, since it does not know
// whether its write took effect.
func (m *model) writeUnconfirmed(s systemState, e int) {
	entry := &s.entries[e]
	if m.mutation == lostReplyMeansWritten && entry.ownRow.state == stateIndex(Claimed) {
		entry.lastRow, entry.version, entry.phase = entry.ownRow, s.storedVersion, dispatching
		m.push(s)
		return
	}
	if entry.phase == closing {
		entry.retries += 10 // the tens mark a closing write, the units count retries
	}
	entry.phase = readingBack
	m.push(s)
}

func (m *model) readBack(s systemState, e int) {
	entry := &s.entries[e]
	isClosing := entry.retries >= 10
	if s.faultsUsed < m.maxFaults { // the read fails too
		next := s
		next.faultsUsed++
		if !isClosing {
			m.reportNotRun(&next, entry.ownRow.attempt)
		}
		m.endCall(next, e, false)
	}
	own, read := *entry.ownRow.claim(), s.storedRow
	switch state := ResolveWrite(read.claim(), own); {
	case state != NotWritten && isClosing:
		m.endCall(s, e, entry.ownRow.attempt/modelAttempts == e)
	case state == Written:
		entry.lastRow, entry.version, entry.phase = entry.ownRow, s.storedVersion, dispatching
		m.push(s)
	case state == Superseded, s.storedVersion != entry.version && !isClosing:
		entry.settled[entry.ownRow.attempt%modelAttempts+1] = state == Superseded
		entry.lastRow, entry.version, entry.phase, entry.ownRow = read, s.storedVersion, deciding, row{}
		m.push(s)
	case entry.retries%10 > 0: // limits the number of retries
		if !isClosing {
			m.reportNotRun(&s, entry.ownRow.attempt)
		}
		m.endCall(s, e, false)
	default:
		entry.version, entry.retries, entry.phase = s.storedVersion, entry.retries%10+1, writing
		if isClosing {
			entry.phase = closing
		}
		m.push(s)
	}
}

func (m *model) dispatch(s systemState, e int) {
	entry := &s.entries[e]
	refused := s // the deadline has passed, so the attempt provably did not run
	refused.entries[e].ownRow.state = stateIndex(Refused)
	refused.entries[e].phase = closing
	m.reportNotRun(&refused, entry.ownRow.attempt)
	m.push(refused)
	entry.phase = waiting
	if m.mutation == dispatchBeforeClaim {
		entry.phase, entry.retries = writing, 0
	}
	s.messages[e] = message{attempt: entry.ownRow.attempt + 1, incarnation: entry.ownRow.incarnation, watermark: s.entryWatermark(e), mayRepeat: s.copiesUsed < m.maxCopies}
	m.push(s)
}

func (m *model) queryAgent(s systemState, e int) {
	entry := &s.entries[e]
	refusal := entry.phase == requestingRefusal
	unreachable := s
	m.perform(unreachable, e, StepForReply(*entry.lastRow.claim(), AgentReply{}))
	reply := AgentReply{Reached: true, Incarnation: uint64(s.agentIncarnation)}
	if m.mutation == incarnationIgnored {
		reply.Incarnation = uint64(entry.lastRow.incarnation)
	}
	id := attemptIDOf(entry.lastRow.attempt)
	before := s.attemptStates
	s.withAgentTable(func(a *AttemptTable) {
		reply.State = a.State(id)
		if refusal && s.agentIncarnation == int(reply.Incarnation) || refusal && m.mutation == incarnationIgnored {
			reply.State = a.Refuse(id)
		}
	})
	if m.mutation == agentForgetsRefusals {
		s.attemptStates = before
	}
	if m.mutation == forgottenMeansNotRun && reply.State == Forgotten {
		reply.State = NotRun
	}
	if s.hasResult[entry.lastRow.attempt] && reply.State == Done {
		reply.Result = &Result{Status: entry.lastRow.attempt + 1}
	}
	lost := s
	m.perform(lost, e, StepForReply(*entry.lastRow.claim(), AgentReply{})) // the reply is lost
	m.perform(s, e, StepForReply(*entry.lastRow.claim(), reply))
}

// agentSteps queues the states that one step of the agent can lead to.
func (m *model) agentSteps(s systemState) {
	if s.agentIncarnation == 1 { // crash
		next := s
		next.agentIncarnation = 2
		next.attemptStates = [modelEntries * modelAttempts]AttemptState{}
		next.hasResult = [modelEntries * modelAttempts]bool{}
		next.agentWatermarks = [modelEntries]int{}
		m.push(next)
	}
	for e, msg := range s.messages {
		if watermark := s.entryWatermark(e); watermark > s.agentWatermarks[e] { // a call with another key brings a newer watermark
			next := s
			next.agentWatermarks[e] = watermark
			next.withAgentTable(func(*AttemptTable) {})
			m.push(next)
		}
		if msg.attempt != 0 {
			m.deliver(s, e, msg)
		}
	}
	for i, state := range s.attemptStates { // a running call ends; its response may be lost
		if state != Running {
			continue
		}
		next := s
		next.withAgentTable(func(a *AttemptTable) { a.FinishWithoutResult(attemptIDOf(i)) })
		next.hasResult[i] = true
		m.push(next)
		e := i / modelAttempts
		if entry := &next.entries[e]; entry.phase == waiting && entry.ownRow.attempt == i {
			entry.ownRow = rowOf(entry.ownRow.claim().Finish(Result{Status: i + 1}, 0))
			entry.phase = closing
			m.push(next)
		}
	}
}

// deliver delivers a dispatched attempt to the agent, which runs or refuses it.
func (m *model) deliver(s systemState, e int, msg message) {
	i := msg.attempt - 1
	s.messages[e] = message{}
	if msg.mayRepeat {
		msg.mayRepeat = false
		s.copiesUsed++
		s.messages[e] = msg
	}
	if msg.incarnation != s.agentIncarnation {
		return // the connection is only accepted by the expected incarnation
	}
	s.agentWatermarks[e] = max(s.agentWatermarks[e], msg.watermark)
	id := attemptIDOf(i)
	refused := s
	var state AttemptState
	refused.withAgentTable(func(a *AttemptTable) { state = a.Refuse(id) })
	if m.mutation == agentForgetsRefusals {
		refused.attemptStates = s.attemptStates
	}
	if state == NotRun {
		m.push(refused)
		if entry := &refused.entries[e]; entry.phase == waiting && entry.ownRow.attempt == i {
			m.reportNotRun(&refused, i)
			entry.lastRow = rowOf(entry.ownRow.claim().WithState(Refused))
			entry.settled[i%modelAttempts+1] = true
			entry.phase = deciding
			m.push(refused)
		}
	}
	started := false
	s.withAgentTable(func(a *AttemptTable) { started = a.Begin(id) == nil })
	if !started {
		m.push(s)
		return
	}
	s.runs[i]++
	total := uint8(0)
	for _, n := range s.runs {
		total += n
	}
	if total > 1 {
		m.violation = "AtMostOnce"
	}
	if s.reportedNotRun[i] {
		m.violation = "NotRunIsTrue"
	}
	m.push(s)
}

// Guards against any order of steps in which a call with an idempotency key runs
// twice, or runs although it was reported as not run.
func TestModelKeepsInvariants(t *testing.T) {
	for name, limits := range explorations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, violation := explore(none, limits)
			t.Logf("%d states", states)
			require.Empty(t, violation)
			require.Less(t, states, maxStates, "the exploration is not complete")
		})
	}
}

// Guards against a model that does not detect faults: each mutation must violate
// an invariant in at least one exploration.
func TestModelDetectsMutations(t *testing.T) {
	for mut := dispatchBeforeClaim; mut <= notRunAfterLostReply; mut++ {
		violations := ""
		for name, limits := range explorations {
			states, violation := explore(mut, limits)
			t.Logf("mutation %d, %s: %q after %d states", mut, name, violation, states)
			violations += violation
		}
		require.NotEmpty(t, violations, "mutation %d", mut)
	}
}
