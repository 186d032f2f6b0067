package awproof

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"arbutuswind/core/awadmit"
	"arbutuswind/core/awclock"
	"arbutuswind/core/awconfig"
	"arbutuswind/core/awledger"
	"arbutuswind/core/awoutcome"
	"arbutuswind/core/awplace"
	"arbutuswind/core/awroute"
	"arbutuswind/core/awstream"
	"arbutuswind/core/awweights"
	"arbutuswind/io/awcontrol"
	"arbutuswind/io/awstore"
)

const (
	callTokens   = 3
	engineCold   = 1
	engineLimit  = 4
	dispatchTime = time.Second
	pauseLimit   = 2 * time.Second
	windowBytes  = 1 << 10
	chunkBytes   = 4
)

var (
	domains = []string{"merrimack", "champlain"}
	bg      = context.Background()
	// manifests and published hold the versions by manifest digest.
	versions, manifests, published = publish("v1", "v2", "v3")
)

func publish(names ...string) (versions []string, encoded map[string][]byte, data map[string]string) {
	encoded, data = map[string][]byte{}, map[string]string{}
	for _, name := range names {
		weights := "weights of " + name
		m, err := awweights.NewManifest("rota", name, []byte(weights), chunkBytes).Encode()
		if err != nil {
			panic(err)
		}
		digest := awweights.Digest(m)
		versions, encoded[digest], data[digest] = append(versions, digest), m, weights
	}
	return versions, encoded, data
}

// machine is the system. Its actions are drawn by rapid.
type machine struct {
	mutation string // the invariant that the wiring breaks; empty for none
	setBack  string // prefix of the rows that a set-back store loses
	clock    *awclock.Fake
	rng      *rand.Rand
	store    *store
	entries  []*entry
	agents   []*agent
	net      []message
	calls    int
	faults   int // that may delay the configuration
	oracle   *oracle
	trace    []string // what a failure is explained by
}

func (m *machine) note(format string, args ...any) {
	m.trace = append(m.trace, m.clock.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

type entry struct {
	id          string
	incarnation uint64
	paused      bool
	holder      *awconfig.Holder
	log         *awcontrol.Log
	mark        *awledger.Watermark
	reports     map[string]report
	calls       []*call
}

// report is what an entry knows about an agent; it may be old.
type report struct {
	incarnation uint64
	ready       string
	inFlight    int
	limit       int
	leaving     bool
}

type agent struct {
	id, domain  string
	incarnation uint64
	paused      bool
	pausedAt    time.Time
	awaiting    bool // was paused for long and has not heard from an entry since
	leaving     bool
	view        awconfig.AgentView
	gate        *awadmit.Gate
	attempts    *awledger.Attempts
	running     []*run
	boot        int // of its engine
	weights     string
	ready       string // manifest digest of the weights that are confirmed
	knowsCold   bool
	served      int
	fetching    string // manifest digest in transfer
	chunks      [][]byte
}

type token struct {
	Call, Index int
	Weights     string
}

type run struct {
	call     int
	id       awledger.AttemptID
	entry    string
	ticket   *awadmit.Ticket
	position awstream.Position
	kept     []token
}

type call struct {
	id          int
	key         string
	found, mine *awledger.Claim
	version     uint64
	id1         awledger.AttemptID
	text        []token
	asm         *awstream.Assembler
	sent        bool
}

// message travels in any order and may come twice.
type message struct {
	to    string // agent or entry
	inc   uint64
	start *startMessage
	token *token
	view  []byte
	call  int
	id    awledger.AttemptID
	end   bool
	err   *awoutcome.Error
}

type startMessage struct {
	key, version, entry string
	low                 uint64
}

func newMachine(mutation, setBack string) *machine {
	m := &machine{
		mutation: mutation, setBack: setBack, clock: awclock.NewFake(time.Unix(1e9, 0)), rng: rand.New(rand.NewPCG(1, 2)),
		store: newStore(), oracle: newOracle(),
	}
	for i := range 2 {
		e := &entry{id: fmt.Sprintf("entry-%d", i)}
		m.startEntry(e)
		m.entries = append(m.entries, e)
	}
	for i := range 3 {
		a := &agent{id: fmt.Sprintf("agent-%d", i), domain: domains[i%2]}
		m.startAgent(a)
		m.agents = append(m.agents, a)
	}
	_, _ = m.entries[0].log.Commit(bg, 0, sheet(versions[0]))
	m.tick(time.Second)
	m.tick(time.Second) // the placement of the first reaches the agents
	for _, a := range m.agents {
		for a.ready == "" {
			m.fetch(a, false)
		}
	}
	m.tick(time.Second)
	return m
}

func sheet(digest string) awconfig.Change {
	return awconfig.Change{Kind: awconfig.KindApplySheet, Actor: "planner", Models: []awconfig.Model{{
		Name: "rota", Version: digest[:4], Digest: digest, SizeBytes: 1, Replicas: 3, Domains: domains, Fencing: awconfig.FencingChecked,
	}}}
}

func (m *machine) broken(invariant string) bool { return m.mutation == invariant }

func (m *machine) startEntry(e *entry) {
	e.incarnation++
	e.holder = awconfig.NewHolder()
	e.log = awcontrol.NewLog(m.store, m.store, e.holder)
	m.note("start %s", e.id)
	e.mark, e.reports, e.calls, e.paused = awledger.NewWatermark(), map[string]report{}, nil, false
	m.pull(e) // before the store, which may have been set back
	_ = e.log.Poll(bg)
}

// pull takes over what another entry holds, as every message between
// processes causes when its sender is ahead.
func (m *machine) pull(e *entry) {
	for _, other := range m.entries {
		if other != e && !other.paused && !m.broken(configMonotonic) {
			_ = e.holder.Replace(other.holder.State()) // an older one is refused
		}
	}
}

func (m *machine) startAgent(a *agent) {
	a.incarnation++
	m.note("start %s", a.id)
	a.gate = awadmit.NewGate(awadmit.Config{
		MaxInFlight: engineLimit, ColdInFlight: engineCold, MemoryBytes: 1 << 20, BytesPerToken: 1, Clock: m.clock,
	})
	a.attempts = awledger.NewBoundedAttempts(awledger.AttemptsConfig{MaxRecords: 16})
	a.view, a.running, a.ready, a.fetching, a.chunks = awconfig.AgentView{}, nil, "", "", nil
	a.paused, a.awaiting, a.leaving = false, false, false
	delete(m.oracle.outAt, a.id)
	m.observe(a, true)
}

// observe is the agent's look at its engine.
func (m *machine) observe(a *agent, cold bool) {
	if m.broken(coldLimit) {
		a.knowsCold = cold
		return
	}
	a.gate.ObserveEngine(fmt.Sprint(a.boot), cold)
	a.knowsCold = cold
}

// tick moves time on and runs the periodic work of the processes that are not
// paused: polls, reports, views and placement.
func (m *machine) tick(d time.Duration) {
	m.clock.Advance(d)
	for _, e := range m.entries {
		if e.paused {
			continue
		}
		m.note("%s polls at %d", e.id, e.holder.State().Revision)
		if m.broken(configMonotonic) {
			m.pollUnchecked(e)
		} else {
			m.pull(e)
			_ = e.log.Poll(bg) // a store that is down leaves the state as it is
		}
		m.oracle.config(fmt.Sprint(e.id, e.incarnation), e.holder.State())
		for _, a := range m.agents {
			if !a.paused {
				e.reports[a.id] = report{a.incarnation, a.ready, a.gate.InFlight(), a.gate.Limit(), a.leaving}
				a.awaiting = false
				m.takeView(a, m.view(e, a))
			}
		}
	}
	m.place()
}

// pollUnchecked takes over whatever the store holds.
func (m *machine) pollUnchecked(e *entry) {
	fresh := awconfig.NewHolder()
	if err := awcontrol.NewLog(m.store, m.store, fresh).Poll(bg); err == nil {
		e.holder = fresh
		e.log = awcontrol.NewLog(m.store, m.store, fresh)
		_ = e.log.Poll(bg)
	}
}

func (m *machine) view(e *entry, a *agent) []byte {
	v, err := e.holder.State().View(a.id, a.domain).Encode()
	if err != nil {
		panic(err)
	}
	return v
}

func (m *machine) takeView(a *agent, data []byte) {
	v, err := awconfig.DecodeView(data)
	if err != nil || v.Revision <= a.view.Revision {
		return
	}
	a.view = v
	m.note("%s takes view %d out=%t", a.id, v.Revision, v.Out)
}

// place is the reconciler.
func (m *machine) place() {
	e := m.entries[0]
	if e.paused {
		return
	}
	var seen []awplace.Instance
	for _, a := range m.agents {
		seen = append(seen, awplace.Instance{ID: a.id, Domain: a.domain, Leaving: a.leaving, LastSeen: m.clock.Now(), Digest: a.ready})
	}
	if p := awplace.Next(e.holder.State(), seen, awplace.Config{MissingAfter: time.Hour}, m.clock.Now()); p != nil {
		_, _ = e.log.Commit(bg, e.holder.State().Revision, awconfig.Change{Kind: awconfig.KindPlace, Actor: e.id, Placements: p})
	}
}

// operate commits a change at an entry; a base that is old by then conflicts.
func (m *machine) operate(e *entry, c awconfig.Change, base uint64) {
	got, err := e.log.Commit(bg, base, c)
	m.note("%s commits %s %s at %d: %v", e.id, c.Kind, c.Target, base, err)
	if err != nil {
		return
	}
	m.oracle.config(fmt.Sprint(e.id, e.incarnation), e.holder.State())
	switch c.Kind {
	case awconfig.KindDomainOut:
		if _, ok := m.oracle.outAt[got.Target]; !ok {
			m.oracle.outAt[got.Target] = quiet{m.clock.Now(), m.faults}
		}
	case awconfig.KindDomainIn:
		delete(m.oracle.outAt, got.Target)
	}
}

// pick chooses an agent by the entry's reports.
func (m *machine) pick(e *entry, digest string) *agent {
	var cands []awroute.Candidate
	for _, a := range m.agents {
		r, ok := e.reports[a.id]
		out := e.holder.State().InstanceOut(a.id, a.domain) && !m.broken(domainOut)
		if ok && r.ready != "" && (!r.leaving || m.broken(leaving)) && !out && (digest == "" || r.ready == digest) {
			cands = append(cands, awroute.Candidate{Instance: a.id, Domain: a.domain, InFlight: r.inFlight, Limit: r.limit})
		}
	}
	c, ok := awroute.Pick(cands, awroute.DefaultPick(), m.rng)
	if !ok {
		return nil
	}
	return m.agent(c.Instance)
}

func (m *machine) agent(id string) *agent {
	i := slices.IndexFunc(m.agents, func(a *agent) bool { return a.id == id })
	return m.agents[i]
}

func (m *machine) send(msg message) { m.net = append(m.net, msg) }

// dispatch sends the call to the agent under a new attempt id.
func (m *machine) dispatch(e *entry, c *call, a *agent, id awledger.AttemptID, inc uint64) {
	c.sent, c.id1, c.text, c.asm = true, id, nil, awstream.NewAssembler(windowBytes)
	m.send(message{to: a.id, inc: inc, call: c.id, id: id, start: &startMessage{
		key: c.key, version: e.reports[a.id].ready, entry: e.id, low: e.mark.Low(),
	}})
}

func (e *entry) nextAttempt() awledger.AttemptID {
	return awledger.AttemptID{Entry: e.id, Incarnation: e.incarnation, Sequence: e.mark.Next()}
}

// finish ends a call at its entry.
func (m *machine) finish(e *entry, c *call) {
	e.calls = slices.DeleteFunc(e.calls, func(o *call) bool { return o == c })
}

// callKeyed takes the steps of a keyed call until it waits or ends.
func (m *machine) callKeyed(e *entry, c *call, lost bool) {
	for range 6 {
		step := awledger.OnRow(c.found, "", m.clock.Now(), dispatchTime)
		if m.broken(atMostOnce) && step == awledger.AskRefuse {
			step = awledger.ClaimAgain
		}
		if step == awledger.Ask || step == awledger.AskRefuse {
			answer := m.ask(*c.found, step == awledger.AskRefuse, lost)
			step = awledger.OnAgent(*c.found, answer)
			if step == awledger.ClaimAgain {
				m.oracle.seen["claimed again"]++
			}
			if step == awledger.Record {
				m.oracle.seen["fetched result"]++
				m.write(c, c.found.Finish(*answer.Result, 1<<10))
			}
		}
		switch step {
		case awledger.Insert, awledger.ClaimAgain:
			if m.claim(e, c) {
				return
			}
			continue
		case awledger.RecordUnknown:
			m.write(c, c.found.Close(awledger.Unknown))
		case awledger.Answer:
			_ = json.Unmarshal(c.found.Result.Body, &c.text)
			c.id = c.text[0].Call
			m.oracle.seen["recorded answer"]++
			m.oracle.answered(c)
		}
		m.finish(e, c)
		return
	}
	m.finish(e, c)
}

// claim writes a claim and dispatches; it reports false to look again.
func (m *machine) claim(e *entry, c *call) bool {
	a := m.pick(e, "")
	if a == nil || e.log.Reset() != nil {
		m.finish(e, c)
		return true
	}
	var before awledger.Claim
	if c.found != nil {
		before = *c.found
	}
	mine := before.Again(awledger.Claim{
		Attempt: e.nextAttempt(), Agent: a.id, Incarnation: e.reports[a.id].incarnation, At: m.clock.Now(),
	})
	switch m.write(c, mine) {
	case awledger.Written:
		c.found, c.mine = &mine, &mine
		m.dispatch(e, c, a, mine.Attempt, mine.Incarnation)
	case awledger.Overtaken:
		e.mark.Settle(mine.Attempt.Sequence)
		return false
	default:
		m.oracle.refused(fmt.Sprint(mine.Attempt))
		m.finish(e, c)
	}
	return true
}

func (m *machine) write(c *call, mine awledger.Claim) awledger.WriteState {
	key := awledger.RowKey("team", c.key)
	value, _ := json.Marshal(mine)
	err := m.store.Commit(bg, awstore.Txn{
		Conditions: []awstore.Condition{{Key: key, Version: c.version}}, Puts: []awstore.Put{{Key: key, Value: value}},
	})
	if err == nil {
		c.version++
		return awledger.Written
	}
	row, err := m.store.Get(bg, key, 0)
	if m.store.down {
		return awledger.NotWritten
	}
	c.found, c.version = nil, row.Version
	if err == nil {
		c.found = &awledger.Claim{}
		_ = json.Unmarshal(row.Value, c.found)
	}
	state := awledger.Resolve(c.found, mine)
	if state == awledger.NotWritten && c.found != nil {
		return awledger.Overtaken
	}
	return state
}

func (m *machine) ask(row awledger.Claim, refuse, lost bool) awledger.AgentAnswer {
	a := m.agent(row.Agent)
	if a.paused {
		return awledger.AgentAnswer{}
	}
	answer := awledger.AgentAnswer{Reached: true, Incarnation: a.incarnation}
	if a.incarnation == row.Incarnation {
		answer.State = a.attempts.State(row.Attempt)
		if refuse {
			answer.State = a.attempts.Refuse(row.Attempt)
		}
		answer.Result = a.attempts.Result(row.Attempt)
	}
	if lost {
		return awledger.AgentAnswer{}
	}
	return answer
}

// deliver hands a message to its process. It reports false when the process
// is paused.
func (m *machine) deliver(msg message) bool {
	for _, a := range m.agents {
		if a.id != msg.to {
			continue
		}
		switch {
		case a.paused:
			return false
		case a.incarnation != msg.inc: // the connection is refused
		case msg.start != nil:
			m.take(a, msg)
		case msg.view != nil:
			m.takeView(a, msg.view)
		}
	}
	for _, e := range m.entries {
		if e.id != msg.to {
			continue
		}
		if e.paused {
			return false
		}
		for _, c := range e.calls {
			if c.id == msg.call && (c.id1 == msg.id || m.broken(wholeAnswer)) && c.sent {
				m.receive(e, c, msg)
				break
			}
		}
	}
	return true
}

// take admits an attempt at an agent, or refuses it for good.
func (m *machine) take(a *agent, msg message) {
	a.attempts.Settled(msg.id.Entry, msg.id.Incarnation, msg.start.low)
	ticket, refusal := m.admit(a, msg)
	if refusal != nil {
		if refusal.Outcome == awoutcome.NotRun && !m.broken(notRunIsTrue) && a.attempts.Refuse(msg.id) != awledger.NotRun {
			refusal = &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.DuplicateID}
		}
		m.send(message{to: msg.start.entry, call: msg.call, id: msg.id, err: refusal})
		return
	}
	m.note("%s runs %v of key %q", a.id, msg.id, msg.start.key)
	m.oracle.handed(m, a, msg.start.key, fmt.Sprint(msg.id))
	a.running = append(a.running, &run{
		call: msg.call, id: msg.id, entry: msg.start.entry, ticket: ticket, position: awstream.Position{Digest: a.weights},
	})
}

func (m *machine) admit(a *agent, msg message) (*awadmit.Ticket, *awoutcome.Error) {
	switch {
	case a.leaving && !m.broken(leaving):
		return nil, awoutcome.Refuse(awoutcome.Leaving, "")
	case a.view.Out && !m.broken(domainOut):
		return nil, awoutcome.Refuse(awoutcome.DomainOut, "")
	case a.awaiting:
		return nil, awoutcome.Refuse(awoutcome.NotReady, "")
	case a.ready == "" || a.ready != msg.start.version:
		return nil, awoutcome.Refuse(awoutcome.NotReady, "")
	}
	ticket, err := a.gate.Offer(awadmit.Request{PromptTokens: 1, MaxTokens: callTokens, Deadline: m.clock.Now().Add(time.Hour)})
	if err != nil {
		return nil, awoutcome.Refuse(awoutcome.QueueFull, err.Error())
	}
	if err := a.attempts.Begin(msg.id); err != nil {
		a.gate.Release(ticket)
		return nil, err
	}
	return ticket, nil
}

// produce lets the engine give one token of a run, or its end.
func (m *machine) produce(a *agent, r *run) {
	tok := token{Call: r.call, Index: len(r.kept), Weights: a.weights}
	if err := r.position.Advance(uint32(tok.Index), tok.Weights); err != nil && !m.broken(noMixedWeights) {
		m.leave(a, r)
		m.send(message{to: r.entry, call: r.call, id: r.id, err: err})
		return
	}
	r.kept = append(r.kept, tok)
	m.send(message{to: r.entry, call: r.call, id: r.id, token: &tok})
	if len(r.kept) < callTokens {
		return
	}
	body, _ := json.Marshal(r.kept)
	a.attempts.Finish(r.id, &awledger.Result{Status: 200, Body: body})
	m.send(message{to: r.entry, call: r.call, id: r.id, end: true})
	a.gate.Finished(r.ticket)
	m.leave(a, r)
	if a.served++; a.served > 2 && a.knowsCold {
		m.observe(a, false)
	}
}

func (m *machine) leave(a *agent, r *run) {
	a.gate.Release(r.ticket)
	a.attempts.End(r.id)
	a.running = slices.DeleteFunc(a.running, func(o *run) bool { return o == r })
}

// receive takes a message of an attempt at its entry.
func (m *machine) receive(e *entry, c *call, msg message) {
	switch {
	case msg.err != nil:
		m.finish(e, c)
		if msg.err.Outcome == awoutcome.NotRun {
			m.oracle.refused(fmt.Sprint(msg.id))
			if c.mine != nil {
				m.write(c, c.mine.Close(awledger.Refused))
			}
			e.mark.Settle(msg.id.Sequence)
		}
	case msg.token != nil:
		if err := m.assemble(c, *msg.token); err != nil {
			m.finish(e, c) // broken off visibly; a keyed call is settled by asking the agent
		}
	case msg.end:
		m.finish(e, c)
		if c.asm.End(callTokens, callTokens) != nil && !m.broken(wholeAnswer) {
			return
		}
		m.oracle.answered(c)
		if c.mine != nil {
			body, _ := json.Marshal(c.text)
			m.write(c, c.mine.Finish(awledger.Result{Status: 200, Body: body}, 1<<10))
		}
		e.mark.Settle(msg.id.Sequence)
	}
}

// assemble puts a token into its place in the answer.
func (m *machine) assemble(c *call, tok token) error {
	if m.broken(wholeAnswer) {
		c.text = append(c.text, tok)
		return nil
	}
	weights := tok.Weights
	if m.broken(noMixedWeights) {
		weights = "any"
	}
	if c.asm.Digest() == "" {
		if err := c.asm.Begin(weights); err != nil {
			return err
		}
	}
	data, _ := json.Marshal(tok)
	return c.asm.Add(awstream.Frame{
		Number: uint64(tok.Index), FirstToken: uint32(tok.Index), Tokens: 1, Data: data, Digest: weights,
	}, func(f awstream.Frame) error {
		var got token
		defer func() { c.text = append(c.text, got) }()
		return json.Unmarshal(f.Data, &got)
	})
}

// fetch moves the transfer of weights at an agent by one chunk, which may be
// corrupt.
func (m *machine) fetch(a *agent, corrupt bool) {
	want := a.view.Placement.Digest
	if want == "" || want == a.ready {
		return
	}
	if a.fetching != want { // the version changed under way
		a.fetching = want
		if !m.broken(noMixedWeights) {
			a.chunks = nil
		}
	}
	man, err := awweights.DecodeManifest(manifests[want], want)
	if err != nil {
		panic(err)
	}
	i := len(a.chunks)
	data := []byte(published[want])[i*chunkBytes:][:man.ChunkSize(i)]
	if corrupt {
		data = append([]byte("x"), data[1:]...)
	}
	if awweights.Digest(data) != man.Chunks[i] && !m.broken(noMixedWeights) {
		return
	}
	a.chunks = append(a.chunks, data)
	if len(a.chunks) < len(man.Chunks) {
		return
	}
	loaded := ""
	for _, c := range a.chunks {
		loaded += string(c)
	}
	a.weights, a.ready, a.chunks = loaded, want, nil
	m.oracle.loaded(a, loaded)
}

// restartEngine turns a warm engine cold; its requests are lost.
func (m *machine) restartEngine(a *agent) {
	a.boot++
	a.served = 0
	for len(a.running) > 0 {
		r := a.running[0]
		a.gate.Failed(r.ticket)
		m.leave(a, r)
		m.send(message{to: r.entry, call: r.call, id: r.id, err: &awoutcome.Error{Outcome: awoutcome.Unknown}})
	}
	m.observe(a, true)
}

func draw[T any](t *rapid.T, from []T) T { return from[rapid.IntRange(0, len(from)-1).Draw(t, "i")] }
