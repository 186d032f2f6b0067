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
	callTokens      = 3
	maxColdInFlight = 1
	maxInFlight     = 4
	dispatchTime    = time.Second
	pauseLimit      = 2 * time.Second
	windowBytes     = 1 << 10
	chunkBytes      = 4
)

var (
	domains = []string{"merrimack", "champlain"}
	bg      = context.Background()
	// versions holds the manifest digests in order of publication. manifests and
	// publishedWeights map them to the encoded manifest and the weights.
	versions, manifests, publishedWeights = publish("v1", "v2", "v3")
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

// machine simulates a whole fleet: entries, agents, store and network. rapid
// draws the sequence of its actions.
type machine struct {
	mutation       string // invariant whose protection is disabled; empty for none
	rollbackPrefix string // key prefix of the rows that a store rollback reverts
	clock          *awclock.Fake
	rng            *rand.Rand
	store          *store
	entries        []*entry
	agents         []*agent
	network        []message
	calls          int
	faults         int // number of faults so far that can delay configuration changes
	oracle         *oracle
	trace          []string // event log printed when an invariant is violated
}

func (m *machine) tracef(format string, args ...any) {
	m.trace = append(m.trace, m.clock.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

type entry struct {
	id          string
	incarnation uint64
	paused      bool
	holder      *awconfig.Holder
	log         *awcontrol.Log
	watermark   *awledger.Watermark
	reports     map[string]report
	calls       []*call
}

// report is the latest agent state that an entry received; it may be stale.
type report struct {
	incarnation uint64
	ready       string
	inFlight    int
	limit       int
	leaving     bool
}

type agent struct {
	id, domain      string
	incarnation     uint64
	paused          bool
	pausedAt        time.Time
	awaitingContact bool // paused longer than pauseLimit and not yet contacted by an entry since
	leaving         bool
	view            awconfig.AgentView
	admission       *awadmit.Controller
	attempts        *awledger.AttemptTable
	running         []*run
	engineBoot      int // number of engine restarts
	loadedWeights   string
	ready           string // manifest digest of the verified weights being served; empty for none
	believesCold    bool
	served          int
	fetching        string // manifest digest of the version in transfer
	chunks          [][]byte
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
	produced []token
}

type call struct {
	id                    int
	key                   string
	storedClaim, ownClaim *awledger.Claim
	rowVersion            uint64
	attempt               awledger.AttemptID
	tokens                []token
	assembler             *awstream.Assembler
	sent                  bool
}

// message is a message on the simulated network, which may reorder and
// duplicate it.
type message struct {
	to          string // ID of an agent or entry
	incarnation uint64
	start       *startMessage
	token       *token
	view        []byte
	call        int
	attempt     awledger.AttemptID
	end         bool
	failure     *awoutcome.Error
}

type startMessage struct {
	key, version, entry string
	settledThrough      uint64
}

func newMachine(mutation, setBack string) *machine {
	m := &machine{
		mutation: mutation, rollbackPrefix: setBack, clock: awclock.NewFake(time.Unix(1e9, 0)), rng: rand.New(rand.NewPCG(1, 2)),
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
	m.tick(time.Second) // deliver the placements computed in the first tick
	for _, a := range m.agents {
		for a.ready == "" {
			m.fetchChunk(a, false)
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

func (m *machine) breaks(invariant string) bool { return m.mutation == invariant }

func (m *machine) startEntry(e *entry) {
	e.incarnation++
	e.holder = awconfig.NewHolder()
	e.log = awcontrol.NewLog(m.store, m.store, e.holder)
	m.tracef("start %s", e.id)
	e.watermark, e.reports, e.calls, e.paused = awledger.NewWatermark(), map[string]report{}, nil, false
	m.pullFromPeers(e) // must precede the poll, because the store may have been rolled back
	_ = e.log.Poll(bg)
}

// pullFromPeers adopts newer configuration from the other running entries. In
// the real system any message from a process with a newer revision does this.
func (m *machine) pullFromPeers(e *entry) {
	for _, other := range m.entries {
		if other != e && !other.paused && !m.breaks(configMonotonic) {
			_ = e.holder.Replace(other.holder.State()) // the holder rejects older states
		}
	}
}

func (m *machine) startAgent(a *agent) {
	a.incarnation++
	m.tracef("start %s", a.id)
	a.admission = awadmit.NewController(awadmit.Config{
		MaxInFlight: maxInFlight, ColdInFlight: maxColdInFlight, MemoryBytes: 1 << 20, BytesPerToken: 1, Clock: m.clock,
	})
	a.attempts = awledger.NewBoundedAttemptTable(awledger.AttemptTableConfig{MaxRecords: 16})
	a.view, a.running, a.ready, a.fetching, a.chunks = awconfig.AgentView{}, nil, "", "", nil
	a.paused, a.awaitingContact, a.leaving = false, false, false
	delete(m.oracle.excluded, a.id)
	m.observeEngine(a, true)
}

// observeEngine reports whether the engine is cold to the agent's admission
// controller.
func (m *machine) observeEngine(a *agent, cold bool) {
	if m.breaks(coldLimit) {
		a.believesCold = cold
		return
	}
	a.admission.ObserveEngine(fmt.Sprint(a.engineBoot), cold)
	a.believesCold = cold
}

// tick advances the clock and runs the periodic work of all processes that are
// not paused: configuration polls, agent reports, views and placement.
func (m *machine) tick(d time.Duration) {
	m.clock.Advance(d)
	for _, e := range m.entries {
		if e.paused {
			continue
		}
		m.tracef("%s polls at %d", e.id, e.holder.State().Revision)
		if m.breaks(configMonotonic) {
			m.pollUnchecked(e)
		} else {
			m.pullFromPeers(e)
			_ = e.log.Poll(bg) // if the store is down, the state stays unchanged
		}
		m.oracle.recordConfig(fmt.Sprint(e.id, e.incarnation), e.holder.State())
		for _, a := range m.agents {
			if !a.paused {
				e.log.ObserveRevision(a.view.Revision)
				e.reports[a.id] = report{a.incarnation, a.ready, a.admission.InFlight(), a.admission.Limit(), a.leaving}
				a.awaitingContact = false
				m.applyView(a, m.view(e, a))
			}
		}
	}
	m.reconcile()
}

// pollUnchecked replaces the entry's state with the store's, even if it is
// older. It implements the ConfigMonotonic mutation.
func (m *machine) pollUnchecked(e *entry) {
	holder := awconfig.NewHolder()
	if err := awcontrol.NewLog(m.store, m.store, holder).Poll(bg); err == nil {
		e.holder = holder
		e.log = awcontrol.NewLog(m.store, m.store, holder)
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

func (m *machine) applyView(a *agent, data []byte) {
	v, err := awconfig.DecodeView(data)
	if err != nil || v.Revision <= a.view.Revision {
		return
	}
	a.view = v
	m.tracef("%s applies view %d out=%t", a.id, v.Revision, v.Out)
}

// reconcile plans placements at the first entry and commits them, like the
// reconciler of the real system.
func (m *machine) reconcile() {
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

// commitChange commits a configuration change at an entry. An outdated base
// revision causes a conflict, which leaves the state unchanged.
func (m *machine) commitChange(e *entry, c awconfig.Change, base uint64) {
	got, err := e.log.Commit(bg, base, c)
	m.tracef("%s commits %s %s at %d: %v", e.id, c.Kind, c.Target, base, err)
	if err != nil {
		return
	}
	m.oracle.recordConfig(fmt.Sprint(e.id, e.incarnation), e.holder.State())
	switch c.Kind {
	case awconfig.KindDomainOut:
		if _, ok := m.oracle.excluded[got.Target]; !ok {
			m.oracle.excluded[got.Target] = exclusion{m.clock.Now(), m.faults}
		}
	case awconfig.KindDomainIn:
		delete(m.oracle.excluded, got.Target)
	}
}

// pickAgent routes a request to an agent based on the entry's reports. An empty
// digest allows any version. It returns nil if no agent is eligible.
func (m *machine) pickAgent(e *entry, digest string) *agent {
	var candidates []awroute.Candidate
	for _, a := range m.agents {
		r, ok := e.reports[a.id]
		out := e.holder.State().InstanceOut(a.id, a.domain) && !m.breaks(domainOut)
		if ok && r.ready != "" && (!r.leaving || m.breaks(leaving)) && !out && (digest == "" || r.ready == digest) {
			candidates = append(candidates, awroute.Candidate{Instance: a.id, Domain: a.domain, InFlight: r.inFlight, Limit: r.limit})
		}
	}
	c, ok := awroute.Pick(candidates, awroute.DefaultPick(), m.rng)
	if !ok {
		return nil
	}
	return m.agentByID(c.Instance)
}

func (m *machine) agentByID(id string) *agent {
	i := slices.IndexFunc(m.agents, func(a *agent) bool { return a.id == id })
	return m.agents[i]
}

func (m *machine) send(msg message) { m.network = append(m.network, msg) }

// dispatch sends the call to the agent as the given attempt.
func (m *machine) dispatch(e *entry, c *call, a *agent, id awledger.AttemptID, incarnation uint64) {
	c.sent, c.attempt, c.tokens, c.assembler = true, id, nil, awstream.NewAssembler(windowBytes)
	m.send(message{to: a.id, incarnation: incarnation, call: c.id, attempt: id, start: &startMessage{
		key: c.key, version: e.reports[a.id].ready, entry: e.id, settledThrough: e.watermark.Low(),
	}})
}

func (e *entry) nextAttempt() awledger.AttemptID {
	return awledger.AttemptID{Entry: e.id, Incarnation: e.incarnation, Sequence: e.watermark.Next()}
}

// finishCall removes a call from its entry.
func (m *machine) finishCall(e *entry, c *call) {
	e.calls = slices.DeleteFunc(e.calls, func(o *call) bool { return o == c })
}

// advanceKeyedCall runs the ledger steps of a keyed call until the call has
// been dispatched or has ended. If lost is set, replies from agents are lost.
func (m *machine) advanceKeyedCall(e *entry, c *call, lost bool) {
	for range 6 {
		step := awledger.StepForRow(c.storedClaim, "", m.clock.Now(), dispatchTime)
		if m.breaks(atMostOnce) && step == awledger.RequestRefusal {
			step = awledger.ClaimNextAttempt
		}
		if step == awledger.QueryAgent || step == awledger.RequestRefusal {
			reply := m.queryAgent(*c.storedClaim, step == awledger.RequestRefusal, lost)
			step = awledger.StepForReply(*c.storedClaim, reply)
			if step == awledger.ClaimNextAttempt {
				m.oracle.eventCounts["claimed again"]++
			}
			if step == awledger.RecordResult {
				m.oracle.eventCounts["fetched result"]++
				m.writeClaim(c, c.storedClaim.Finish(*reply.Result, 1<<10))
			}
		}
		switch step {
		case awledger.InsertClaim, awledger.ClaimNextAttempt:
			if m.claim(e, c) {
				return
			}
			continue
		case awledger.RecordUnknown:
			m.writeClaim(c, c.storedClaim.WithState(awledger.Unknown))
		case awledger.ReturnResult:
			_ = json.Unmarshal(c.storedClaim.Result.Body, &c.tokens)
			c.id = c.tokens[0].Call
			m.oracle.eventCounts["recorded answer"]++
			m.oracle.recordAnswer(c)
		}
		m.finishCall(e, c)
		return
	}
	m.finishCall(e, c)
}

// claim writes a claim and dispatches the call. It returns false if another
// claim was written first and the caller must re-evaluate the stored claim.
func (m *machine) claim(e *entry, c *call) bool {
	a := m.pickAgent(e, "")
	if a == nil || e.log.Reset() != nil {
		m.finishCall(e, c)
		return true
	}
	var previous awledger.Claim
	if c.storedClaim != nil {
		previous = *c.storedClaim
	}
	claim := previous.NextAttempt(awledger.Claim{
		Attempt: e.nextAttempt(), Agent: a.id, Incarnation: e.reports[a.id].incarnation, At: m.clock.Now(),
	})
	switch m.writeClaim(c, claim) {
	case awledger.Written:
		c.storedClaim, c.ownClaim = &claim, &claim
		m.dispatch(e, c, a, claim.Attempt, claim.Incarnation)
	case awledger.Superseded:
		e.watermark.Settle(claim.Attempt.Sequence)
		return false
	default:
		m.oracle.recordNotRun(fmt.Sprint(claim.Attempt))
		m.finishCall(e, c)
	}
	return true
}

func (m *machine) writeClaim(c *call, claim awledger.Claim) awledger.WriteState {
	key := awledger.RowKey("team", c.key)
	value, _ := json.Marshal(claim)
	err := m.store.Commit(bg, awstore.Txn{
		Conditions: []awstore.Condition{{Key: key, Version: c.rowVersion}}, Puts: []awstore.Put{{Key: key, Value: value}},
	})
	if err == nil {
		c.rowVersion++
		return awledger.Written
	}
	row, err := m.store.Get(bg, key, 0)
	if m.store.down {
		return awledger.NotWritten
	}
	c.storedClaim, c.rowVersion = nil, row.Version
	if err == nil {
		c.storedClaim = &awledger.Claim{}
		_ = json.Unmarshal(row.Value, c.storedClaim)
	}
	state := awledger.ResolveWrite(c.storedClaim, claim)
	if state == awledger.NotWritten && c.storedClaim != nil {
		return awledger.Superseded
	}
	return state
}

func (m *machine) queryAgent(claim awledger.Claim, refuse, lost bool) awledger.AgentReply {
	a := m.agentByID(claim.Agent)
	if a.paused {
		return awledger.AgentReply{}
	}
	reply := awledger.AgentReply{Reached: true, Incarnation: a.incarnation}
	if a.incarnation == claim.Incarnation {
		reply.State = a.attempts.State(claim.Attempt)
		if refuse {
			reply.State = a.attempts.Refuse(claim.Attempt)
		}
		reply.Result = a.attempts.Result(claim.Attempt)
	}
	if lost {
		return awledger.AgentReply{}
	}
	return reply
}
