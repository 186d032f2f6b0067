package awledger

import (
	"time"
)

// The model checker runs two entries, one agent and the store that holds the
// claim rows through every order of their steps, using the decision code of this
// package. Within [eventLimits] it includes lost replies of the store, late
// writes, duplicated messages and a crash of the agent. A crash of an entry is
// modelled by ending its call at any step, a paused entry by taking its next step
// after all others.
const (
	modelEntries  = 2
	modelAttempts = 2
	maxStates     = 2_000_000 // the exploration must visit fewer states
)

// eventLimits limits the events of one exploration.
type eventLimits struct {
	maxCalls             [modelEntries]int
	maxFaults, maxCopies int
}

// explorations holds the limits of each exploration. All kinds of events together
// give too many states for a test of a few seconds, so each exploration leaves
// some out.
var explorations = map[string]eventLimits{
	"store faults": {maxCalls: [modelEntries]int{1, 1}, maxFaults: 1},
	"copies":       {maxCalls: [modelEntries]int{1, 1}, maxCopies: 1},
	"more calls":   {maxCalls: [modelEntries]int{1, 2}},
}

// mutation is a fault that is deliberately added to the model.
type mutation int

const (
	none mutation = iota
	dispatchBeforeClaim
	agentForgetsRefusals
	nextAttemptWithoutQuery
	writeWithoutCondition
	incarnationIgnored
	lostReplyMeansWritten
	forgottenMeansNotRun
	notRunAfterLostReply
)

// phase is the step that an entry takes next, or what it waits for.
type phase int

const (
	idle phase = iota
	deciding
	writing
	readingBack
	dispatching
	waiting
	querying
	requestingRefusal
	closing // writes the outcome to the row
)

// row is a [Claim] in comparable form; attemptNo is 0 when there is no row.
type row struct{ attemptNo, attempt, state, incarnation, result int }

type modelEntry struct {
	phase           phase
	lastRow, ownRow row // as last read, and as this entry writes it
	version         int // of the row that the entry last read or wrote
	retries         int
	attemptsUsed    int
	calls           int
	settled         [modelAttempts + 1]bool
}

// message is a dispatched attempt on its way to the agent.
type message struct {
	attempt, incarnation, watermark int
	mayRepeat                       bool // may be delivered a second time
}

// systemState is one state of the model: the store, the entries, the messages,
// the agent and what the invariants need to know about the past.
type systemState struct {
	storedRow        row
	storedVersion    int
	lateWrite        row // a write that takes effect after its writer gave up
	lateVersion      int
	entries          [modelEntries]modelEntry
	messages         [modelEntries]message
	agentIncarnation int
	attemptStates    [modelEntries * modelAttempts]AttemptState
	agentWatermarks  [modelEntries]int
	hasResult        [modelEntries * modelAttempts]bool
	runs             [modelEntries * modelAttempts]uint8 // how often each attempt ran
	reportedNotRun   [modelEntries * modelAttempts]bool  // reported to the caller
	faultsUsed       int
	copiesUsed       int
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
	if r.attemptNo == 0 {
		return nil
	}
	c := &Claim{
		State: stateNames[r.state], AttemptNo: uint64(r.attemptNo), Attempt: attemptIDOf(r.attempt),
		Incarnation: uint64(r.incarnation), At: time.Unix(0, 0),
	}
	if r.result != 0 {
		c.Result = &Result{Status: r.result}
	}
	return c
}

func rowOf(c Claim) row {
	r := row{attemptNo: int(c.AttemptNo), attempt: attemptIndex(c.Attempt), state: stateIndex(c.State), incarnation: int(c.Incarnation)}
	if c.Result != nil {
		r.result = c.Result.Status
	}
	return r
}

// withAgentTable rebuilds the agent's table from the state, calls use, and stores
// the changed table in the state.
func (s *systemState) withAgentTable(use func(*AttemptTable)) {
	table := NewAttemptTable()
	for i, state := range s.attemptStates {
		if state != NeverSeen && state != Forgotten {
			table.add(attemptIDOf(i), state)
		}
	}
	for e, watermark := range s.agentWatermarks {
		if watermark > 0 {
			table.AdvanceWatermark(attemptIDOf(e*modelAttempts).Entry, 1, uint64(watermark))
		}
	}
	use(table)
	for i := range s.attemptStates {
		s.attemptStates[i] = table.State(attemptIDOf(i))
	}
}

type model struct {
	eventLimits
	mutation  mutation
	seen      map[systemState]bool
	queue     []systemState
	violation string
}

// push queues a state that was not visited before.
func (m *model) push(s systemState) {
	if !m.seen[s] {
		m.seen[s] = true
		m.queue = append(m.queue, s)
	}
}

// explore visits all reachable states breadth first. It returns their number and
// the first violated invariant, "" for none.
func explore(mut mutation, limits eventLimits) (int, string) {
	m := &model{eventLimits: limits, mutation: mut, seen: map[systemState]bool{}}
	m.push(systemState{agentIncarnation: 1})
	for len(m.queue) > 0 && m.violation == "" && len(m.seen) < maxStates {
		s := m.queue[0]
		m.queue = m.queue[1:]
		for e := range s.entries {
			m.entryStep(s, e)
		}
		m.agentSteps(s)
		if s.lateWrite.attemptNo != 0 { // the late write reaches the store
			next := s
			m.applyWrite(&next, next.lateWrite, next.lateVersion)
			next.lateWrite, next.lateVersion = row{}, 0
			m.push(next)
		}
	}
	return len(m.seen), m.violation
}

// applyWrite writes the row if the stored one still has the version.
func (m *model) applyWrite(s *systemState, r row, version int) bool {
	if version != s.storedVersion && m.mutation != writeWithoutCondition {
		return false
	}
	s.storedRow = r
	s.storedVersion++
	return true
}

// entryWatermark returns the watermark of entry e.
func (s *systemState) entryWatermark(e int) int {
	watermark := NewWatermark()
	for range s.entries[e].attemptsUsed {
		watermark.Next()
	}
	for seq, ok := range s.entries[e].settled {
		if ok {
			watermark.Settle(uint64(seq))
		}
	}
	return int(watermark.Low())
}

// endCall ends the call of entry e and, with settle, settles its attempt.
func (m *model) endCall(s systemState, e int, settle bool) {
	entry := &s.entries[e]
	if settle && entry.ownRow.attemptNo != 0 {
		entry.settled[entry.ownRow.attempt%modelAttempts+1] = true
	}
	entry.phase, entry.lastRow, entry.ownRow, entry.version, entry.retries = idle, row{}, row{}, 0, 0
	m.push(s)
}

// reportNotRun records that the caller was told that the attempt did not run.
func (m *model) reportNotRun(s *systemState, attempt int) {
	s.reportedNotRun[attempt] = true
	if s.runs[attempt] > 0 {
		m.violation = "NotRunIsTrue"
	}
}

// entryStep queues the states that one step of entry e can lead to.
func (m *model) entryStep(s systemState, e int) {
	entry := &s.entries[e]
	if entry.phase != idle { // crash
		m.endCall(s, e, false)
	}
	switch entry.phase {
	case idle:
		if entry.calls < m.maxCalls[e] {
			entry.calls++
			entry.phase = deciding
			m.push(s)
		}
	case deciding:
		m.decide(s, e)
	case writing, closing:
		m.writeClaim(s, e)
	case readingBack:
		m.readBack(s, e)
	case dispatching:
		m.dispatch(s, e)
	case waiting: // the connection is lost; the row stays claimed
		if m.mutation == notRunAfterLostReply {
			m.reportNotRun(&s, entry.ownRow.attempt)
			s.entries[e].ownRow.state = stateIndex(Refused)
			s.entries[e].phase = closing
			m.push(s)
			return
		}
		m.endCall(s, e, true) // settled when RecordTime has passed
		m.endCall(s, e, false)
	case querying, requestingRefusal:
		m.queryAgent(s, e)
	}
}

func (m *model) decide(s systemState, e int) {
	entry := &s.entries[e]
	for _, now := range []time.Time{time.Unix(0, 0), time.Unix(10, 0)} { // before and after dispatchTime
		next := s
		m.perform(next, e, StepForRow(entry.lastRow.claim(), "", now, time.Second))
	}
}

// perform carries out a step of [StepForRow] or [StepForReply].
func (m *model) perform(s systemState, e int, step Step) {
	entry := &s.entries[e]
	if m.mutation == nextAttemptWithoutQuery && (step == QueryAgent || step == RequestRefusal) {
		step = ClaimNextAttempt
	}
	switch step {
	case InsertClaim, ClaimNextAttempt:
		if entry.attemptsUsed == modelAttempts {
			m.endCall(s, e, false)
			return
		}
		var previous Claim
		if c := entry.lastRow.claim(); c != nil {
			previous = *c
		}
		entry.ownRow = rowOf(previous.NextAttempt(Claim{Attempt: attemptIDOf(e*modelAttempts + entry.attemptsUsed), Incarnation: uint64(s.agentIncarnation)}))
		entry.attemptsUsed++
		entry.phase, entry.retries = writing, 0
		if m.mutation == dispatchBeforeClaim {
			entry.phase = dispatching
		}
		m.push(s)
	case QueryAgent:
		entry.phase = querying
		m.push(s)
	case RequestRefusal:
		entry.phase = requestingRefusal
		m.push(s)
	case RecordResult, RecordUnknown:
		c := entry.lastRow.claim()
		entry.ownRow = rowOf(c.WithState(Unknown))
		if step == RecordResult {
			entry.ownRow = rowOf(c.Finish(Result{Status: entry.lastRow.attempt + 1}, 0))
		}
		entry.phase = closing
		m.push(s)
	default:
		m.endCall(s, e, false)
	}
}
