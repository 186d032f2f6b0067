package awduty

import (
	"maps"
	"slices"
	"time"
)

// Message is what instances tell each other about a duty. Addresses and encoding
// are the sender's.
type Message struct {
	Sender      string
	Incarnation uint64
	Domain      string
	Wall        time.Duration // the sender's wall clock, since 1970
	Claim       Claim

	// Median is the median of the wall clocks that the sender knows, and Sources
	// their number. They are set in replies.
	Median  time.Duration
	Sources int
	Reply   bool

	// Counting is set once the sender counts by window, from the window Since on.
	Counting bool
	Since    int64
	Windows  []WindowCounts
	Last     bool // the sender counts no more
	Ask      bool // a reply is wanted

	// Sent is when the sender sent the message, by the clock of its machine. Echo is
	// that of the message to which this is the reply.
	Sent, Echo time.Duration
}

// EventKind is the kind of an [Event].
type EventKind int

// The kinds of events.
const (
	WindowCommitted EventKind = iota
	WindowAccepted
	WindowSkipped // without a report; Reason says why
	ClockCorrected
	DutyTaken
	DutyLost
)

// Event is something that logs and metrics show.
type Event struct {
	Kind    EventKind
	Window  int64
	Windows int64         // number of skipped windows, from Window on
	Total   int64         // requests in the window
	Missing float64       // estimated fraction of requests that was not counted
	Late    bool          // the window was accepted after its report was due
	Reason  string        // of a skipped window
	By      time.Duration // of a correction
	Token   uint64        // of a duty
}

// Reasons of skipped windows.
const (
	ReasonTooOld   = "TooOld"   // its counts are not kept any more
	ReasonNoRoom   = "NoRoom"   // too many reports were waiting
	ReasonRejected = "Rejected" // by the platform
	ReasonSetBack  = "SetBack"  // the store was set back, and other counts may have been sent
)

// Shares of UsageConfig.Late after the end of a window.
const (
	// settleShare is when a window is committed if all counts are there. It leaves
	// two repetitions of lost counts.
	settleShare = 0.2
	// challengeShare is when the first candidate challenges a holder that has not
	// committed, and staggerShare is how much later each next one does.
	challengeShare = 0.35
	staggerShare   = 0.05
	// suspectShare is when a candidate reads the row if it has not heard of a commit.
	// The lease of a holder that has committed and said nothing counts from then.
	suspectShare = 0.28
	// waitingShare is until when an instance that was heard from lately is waited
	// for, and startingShare one that has just started.
	waitingShare  = 0.4
	startingShare = 0.75
	// isolatedShare is when an instance that most others have fallen silent to
	// commits what it has. One that hears them has taken over until then.
	isolatedShare = 0.6
	// outsiderShare is when an instance that does not get the counts of the others
	// challenges.
	outsiderShare = 0.75
)

// learnAfter is the time after its start in which an instance waits for others to
// tell it of the row before it reads it.
const learnAfter = 2 * time.Second

// UsageConfig configures a [Usage].
type UsageConfig struct {
	Candidate Config
	Domain    string
	Window    time.Duration
	Late      time.Duration // time after the end of a window at which its report is due
	// Settling is the time after the start of an instance in which it learns of all
	// others.
	Settling time.Duration
	// Encode returns the body of a report. It must be the same for equal counts.
	Encode  func(window int64, counts Counts) []byte
	OnEvent func(Event)
}

// Usage is the part of one instance in reporting usage: it counts, exchanges
// counts with the other instances, and has them committed and sent by the holder.
// It is not safe for concurrent use.
type Usage struct {
	cfg       UsageConfig
	started   time.Duration
	clock     *Clock
	counter   *counter
	ledger    *ledger
	peers     *peers
	candidate *Candidate
	planned   map[int64]Event // windows in the last write, until its result is known
	// The write skips the windows from skippedFrom up to skippedTo.
	skippedFrom, skippedTo int64
	leaving                bool
	closed                 bool
}

// NewUsage returns the part of an instance that starts at the given time of the
// machine's clock and of the wall clock.
func NewUsage(cfg UsageConfig, now, wall time.Duration) *Usage {
	return &Usage{
		cfg: cfg, started: now, clock: NewClock(now, wall, cfg.Settling), counter: newCounter(cfg.Window, now), ledger: newLedger(cfg.Window),
		peers:     newPeers(Peer{Name: cfg.Candidate.Self, Domain: cfg.Domain}),
		candidate: NewCandidate(cfg.Candidate), planned: map[int64]Event{},
	}
}

// Count counts n requests of a team that backend servers began to run at the given
// time, which may be a moment ago.
func (u *Usage) Count(at time.Duration, team string, n int64) { u.counter.add(u.clock, at, team, n) }

// SetPeers replaces the registered instances.
func (u *Usage) SetPeers(now time.Duration, list []Peer) { u.peers.set(now, list) }

// Candidate returns the instance's part in the duty.
func (u *Usage) Candidate() *Candidate { return u.candidate }

// Window returns the window of the present time.
func (u *Usage) Window(now time.Duration) int64 { return windowAt(u.clock.Now(now), u.cfg.Window) }

// Tick takes the wall clock into account. It must be called several times a
// second. It reports whether messages should be sent at once.
func (u *Usage) Tick(now, wall time.Duration) bool {
	if by := u.clock.Update(now, wall); by != 0 {
		u.cfg.OnEvent(Event{Kind: ClockCorrected, By: by})
		if by < 0 {
			u.counter.setBack(u.clock, now, by)
			u.ledger.drop(Source{u.cfg.Candidate.Self, u.cfg.Candidate.Incarnation}, u.Window(now)-countedWindows+1)
		}
	}
	urgent := u.counter.start(u.clock)
	own := u.message(now, wall)
	u.ledger.hear(now, u.clock.Now(now), own)
	if through, ok := u.candidate.through(); ok {
		u.ledger.prune(now, u.clock.Now(now), through-1)
	}
	return urgent
}

func (u *Usage) message(now, wall time.Duration) *Message {
	through, _ := u.candidate.through()
	m := &Message{
		Sender: u.cfg.Candidate.Self, Incarnation: u.cfg.Candidate.Incarnation, Domain: u.cfg.Domain, Wall: wall, Claim: u.candidate.Claim(now),
		Counting: u.counter.started, Since: u.counter.first, Windows: u.counter.recent(u.clock, now, through), Last: u.closed,
	}
	for i := range m.Windows {
		m.Windows[i].Final = m.Windows[i].Final || u.closed
	}
	return m
}

// Messages returns what to tell other instances, and whom. It must be called about
// every second.
func (u *Usage) Messages(now, wall time.Duration) (*Message, []Peer) {
	m := u.message(now, wall)
	m.Ask, m.Sent = !u.closed, now
	return m, u.peers.targets(now, m.Claim.Holder)
}

// Receive handles a message of another instance and returns the reply, or nil.
// address is where the message came from.
func (u *Usage) Receive(now, wall time.Duration, m *Message, address string) *Message {
	if m.Sender == u.cfg.Candidate.Self {
		return nil
	}
	u.peers.hear(now, Peer{Name: m.Sender, Domain: m.Domain, Address: address})
	u.hearClaim(now, m.Claim)
	if m.Reply {
		if trip := now - m.Echo; trip >= 0 && trip <= maxRoundTrip {
			u.clock.ObserveWall(m.Sender, now, m.Wall+trip/2)
			u.clock.ObserveMedian(m.Sender, now, m.Median+trip/2, m.Sources)
		}
		return nil
	}
	// Nothing tells how long this message waited while the process was frozen. A
	// confirmed estimate follows only a lasting difference.
	if u.clock.Confirmed() {
		u.clock.ObserveWall(m.Sender, now, m.Wall)
	}
	u.ledger.noteOthers(now)
	u.ledger.hear(now, u.clock.Now(now), m)
	if !m.Ask {
		return nil
	}
	median, sources := u.clock.Median(now)
	return &Message{
		Sender: u.cfg.Candidate.Self, Incarnation: u.cfg.Candidate.Incarnation, Domain: u.cfg.Domain, Wall: wall, Claim: u.candidate.Claim(now),
		Median: median, Sources: sources, Reply: true, Echo: m.Sent,
	}
}

func (u *Usage) hearClaim(now time.Duration, claim Claim) {
	held, _, token := u.candidate.Holding()
	u.candidate.Hear(now, claim)
	u.noteHolding(held, token)
}

// noteHolding reports a change of whether this instance holds the duty.
func (u *Usage) noteHolding(held bool, token uint64) {
	holds, _, newToken := u.candidate.Holding()
	switch {
	case held && !holds:
		u.cfg.OnEvent(Event{Kind: DutyLost, Token: token})
	case holds && (!held || newToken != token):
		u.cfg.OnEvent(Event{Kind: DutyTaken, Token: newToken})
	}
}

// next returns the first window that is not committed.
func (u *Usage) next(now time.Duration, through int64, committed bool) int64 {
	present := u.Window(now)
	if !committed {
		return u.ledger.firstWindow(present)
	}
	return max(through+1, present-ledgerWindows+1)
}

// share returns a fraction of the time until a report is due.
func (u *Usage) share(f float64) time.Duration { return time.Duration(f * float64(u.cfg.Late)) }

// ready reports whether a window may be committed.
func (u *Usage) ready(now time.Duration, id int64) bool {
	passed := u.clock.Now(now) - windowEnd(id, u.cfg.Window)
	if !u.clock.Confirmed() || passed < u.share(settleShare) {
		return false
	}
	c := u.ledger.coverage(now, id)
	if !u.ledger.gathers(now) && u.peers.others(now) {
		c.isolated = true
	}
	return !(c.waiting && passed < u.share(waitingShare)) && !(c.starting && passed < u.share(startingShare)) &&
		!(c.isolated && passed < u.share(isolatedShare))
}

// orders returns the reports of the windows that may be committed.
func (u *Usage) orders(now time.Duration, through int64, committed bool) []Order {
	clear(u.planned)
	var out []Order
	u.skippedTo = u.next(now, through, committed)
	u.skippedFrom = u.skippedTo
	if committed {
		u.skippedFrom = through + 1
	}
	for id := u.skippedTo; u.ready(now, id); id++ {
		counts, missing := u.ledger.sum(id)
		out = append(out, Order{ID: id, Body: u.cfg.Encode(id, counts)})
		u.planned[id] = Event{Kind: WindowCommitted, Window: id, Total: counts.Total(), Missing: missing}
	}
	return out
}

// NextStoreCall returns the call of the store to make now, if any.
func (u *Usage) NextStoreCall(now time.Duration) (StoreCall, bool) {
	through, committed := u.candidate.through()
	next := u.next(now, through, committed)
	rank := u.peers.rank(now)
	suspect, challenge, stagger := u.share(suspectShare), u.share(challengeShare), u.share(staggerShare*float64(rank))
	if rank >= maxCandidates {
		suspect, challenge, stagger = u.share(outsiderShare), u.share(outsiderShare), 0
	}
	settled := now-u.started >= u.cfg.Settling && !u.leaving
	passed := u.clock.Now(now) - windowEnd(next, u.cfg.Window)
	return u.candidate.NextStoreCall(now, Need{
		Orders:       func(through int64, committed bool) []Order { return u.orders(now, through, committed) },
		Suspect:      settled && passed >= suspect+stagger,
		SuspectSince: now - passed,
		Overdue:      settled && passed >= challenge+stagger && u.ready(now, next),
		Patient:      rank >= maxCandidates,
		Stagger:      stagger,
		Learn:        rank < maxCandidates && now-u.started >= learnAfter,
	})
}

// ReadDone records the result of a read.
func (u *Usage) ReadDone(now time.Duration, row Row, at Stored, err error) {
	held, _, token := u.candidate.Holding()
	u.candidate.ReadDone(now, row, at, err)
	u.noteHolding(held, token)
	if holds, _, _ := u.candidate.Holding(); err == nil && holds {
		u.noteCommitted(row.Through) // the row may be that of a write without a response
	}
}

// WriteDone records the result of a write and reports whether messages should be
// sent at once.
func (u *Usage) WriteDone(now time.Duration, result WriteResult, at Stored) bool {
	held, _, token := u.candidate.Holding()
	done := u.candidate.WriteDone(now, result, at)
	u.noteHolding(held, token)
	if !done {
		return false
	}
	through, _ := u.candidate.through()
	u.noteCommitted(through)
	return true
}

// noteCommitted reports the windows of the last write if it has been performed, and
// those that performed writes have dropped.
// through is the highest window that is committed.
func (u *Usage) noteCommitted(through int64) {
	for _, id := range u.candidate.TakeDropped() {
		u.skip(id, 1, ReasonNoRoom)
	}
	for _, id := range u.candidate.TakeUnsure() {
		u.skip(id, 1, ReasonSetBack)
	}
	if len(u.planned) == 0 || through < u.skippedTo {
		return
	}
	if u.skippedTo > u.skippedFrom {
		u.skip(u.skippedFrom, u.skippedTo-u.skippedFrom, ReasonTooOld)
	}
	for _, id := range slices.Sorted(maps.Keys(u.planned)) {
		u.cfg.OnEvent(u.planned[id])
	}
	clear(u.planned)
}

func (u *Usage) skip(window, windows int64, reason string) {
	u.cfg.OnEvent(Event{Kind: WindowSkipped, Window: window, Windows: windows, Reason: reason})
}

// NextCall returns the report to send now, if any.
func (u *Usage) NextCall(now time.Duration) (Call, bool) { return u.candidate.NextCall(now) }

// Answered records the answer to the last report.
func (u *Usage) Answered(now time.Duration, id int64, answer Answer, wait time.Duration) {
	u.candidate.Answered(now, id, answer, wait)
	switch answer {
	case Accepted:
		late := u.clock.Now(now) > windowEnd(id, u.cfg.Window)+u.cfg.Late
		u.cfg.OnEvent(Event{Kind: WindowAccepted, Window: id, Late: late})
	case Rejected:
		u.skip(id, 1, ReasonRejected)
	}
}

// Leave has the instance challenge no holder any more, because it will end soon.
func (u *Usage) Leave() { u.leaving = true }

// Close ends the instance's part. After it, Messages returns the last counts.
func (u *Usage) Close() {
	u.closed = true
	held, _, token := u.candidate.Holding()
	u.candidate.Release()
	u.noteHolding(held, token)
}
