package awproof

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

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
	gate        *awadmit.Controller
	attempts    *awledger.AttemptTable
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
	a.gate = awadmit.NewController(awadmit.Config{
		MaxInFlight: engineLimit, ColdInFlight: engineCold, MemoryBytes: 1 << 20, BytesPerToken: 1, Clock: m.clock,
	})
	a.attempts = awledger.NewBoundedAttemptTable(awledger.AttemptTableConfig{MaxRecords: 16})
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
				e.log.ObserveRevision(a.view.Revision)
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
		seen = append(seen, awplace.Instance{ID: a.id, Domain: a.domain, Leaving: a.leaving, LastSeen: m.clock.Now(), ServingDigest: a.ready})
	}
	if p := awplace.Plan(e.holder.State(), seen, awplace.Config{MissingAfter: time.Hour}, m.clock.Now()); p != nil {
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
		step := awledger.StepForRow(c.found, "", m.clock.Now(), dispatchTime)
		if m.broken(atMostOnce) && step == awledger.RequestRefusal {
			step = awledger.ClaimNextAttempt
		}
		if step == awledger.QueryAgent || step == awledger.RequestRefusal {
			answer := m.ask(*c.found, step == awledger.RequestRefusal, lost)
			step = awledger.StepForReply(*c.found, answer)
			if step == awledger.ClaimNextAttempt {
				m.oracle.seen["claimed again"]++
			}
			if step == awledger.RecordResult {
				m.oracle.seen["fetched result"]++
				m.write(c, c.found.Finish(*answer.Result, 1<<10))
			}
		}
		switch step {
		case awledger.InsertClaim, awledger.ClaimNextAttempt:
			if m.claim(e, c) {
				return
			}
			continue
		case awledger.RecordUnknown:
			m.write(c, c.found.WithState(awledger.Unknown))
		case awledger.ReturnResult:
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
	mine := before.NextAttempt(awledger.Claim{
		Attempt: e.nextAttempt(), Agent: a.id, Incarnation: e.reports[a.id].incarnation, At: m.clock.Now(),
	})
	switch m.write(c, mine) {
	case awledger.Written:
		c.found, c.mine = &mine, &mine
		m.dispatch(e, c, a, mine.Attempt, mine.Incarnation)
	case awledger.Superseded:
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
	state := awledger.ResolveWrite(c.found, mine)
	if state == awledger.NotWritten && c.found != nil {
		return awledger.Superseded
	}
	return state
}

func (m *machine) ask(row awledger.Claim, refuse, lost bool) awledger.AgentReply {
	a := m.agent(row.Agent)
	if a.paused {
		return awledger.AgentReply{}
	}
	answer := awledger.AgentReply{Reached: true, Incarnation: a.incarnation}
	if a.incarnation == row.Incarnation {
		answer.State = a.attempts.State(row.Attempt)
		if refuse {
			answer.State = a.attempts.Refuse(row.Attempt)
		}
		answer.Result = a.attempts.Result(row.Attempt)
	}
	if lost {
		return awledger.AgentReply{}
	}
	return answer
}
