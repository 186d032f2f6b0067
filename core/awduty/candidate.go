package awduty

import (
	"slices"
	"time"

	"arbutuswind/core/awdirectory"
)

// Config configures a [Candidate].
type Config struct {
	Self        string // name of the instance
	Incarnation uint64 // of its process
	// Lease is how long a holder acts after it has begun a write, and Margin how
	// much longer a challenger waits after it has first seen that write.
	Lease, Margin time.Duration
	MaxPending    int           // orders that are kept for sending; older ones are dropped
	CallGap       time.Duration // shortest time between two calls
}

const (
	minStoreDelay = 250 * time.Millisecond // after a failed call of the store, doubling
	maxStoreDelay = 4 * time.Second
	// maxPatientDelay is the longest such delay of an instance that is not among the
	// candidates.
	maxPatientDelay = 30 * time.Second
	minCallDelay    = 250 * time.Millisecond // after a call without success, doubling
	maxCallDelay    = 2 * time.Second
	// maxUnresolved limits the writes whose send times are kept.
	maxUnresolved = 8
)

// Candidate is the part of one instance in the duty for one subject. It is not
// safe for concurrent use.
type Candidate struct {
	cfg     Config
	stopped bool

	known      Claim         // newest state that was heard of or read
	knownSince time.Duration // when its write may have begun at the latest
	// sharedToken is the highest token that two holders had, because the store was
	// set back and a late write took effect after that. Neither may act with it.
	sharedToken uint64

	row      Row // at position, as read or written by this instance
	position awdirectory.Position
	rowKnown bool
	rowSince time.Duration // when the write at position may have begun at the latest
	era      uint64        // newest one of the store that is known
	rowEra   uint64        // of the store when the row was read or written
	// outdated is the newest state that was heard of before a read showed an older
	// one, because the store was set back.
	outdated  Claim
	readSince time.Duration // when the last read began

	holding   bool
	heldSince time.Duration
	leaseEnd  time.Duration

	storeBusy  bool
	unresolved bool      // the row must be read before anything is written
	inFlight   StoreCall // last write
	writes     uint64
	sent       map[uint64]sentWrite // writes that may be performed, by number, and lastWrite
	lastWrite  uint64               // highest write that is known to be performed
	storeAt    time.Duration        // earliest time of the next call of the store
	storeDelay time.Duration
	maxDelay   time.Duration

	calling   bool
	done      map[int64]bool // orders in row.Pending that need no further call
	called    map[int64]bool // orders that were sent at least once
	lastCall  time.Duration  // when a call may have arrived last; 0 if there was none
	callAt    time.Duration
	callDelay time.Duration

	dropped []int64 // orders that performed writes dropped for lack of room
	unsure  []int64 // orders that they dropped because the store was set back
}

// sentWrite is what a write needs once it is known to be performed.
type sentWrite struct {
	at      time.Duration
	dropped []int64 // orders that it drops for lack of room
	unsure  []int64 // orders that it drops because the store was set back
}

// NewCandidate returns a candidate that knows nothing of the row.
func NewCandidate(cfg Config) *Candidate {
	return &Candidate{cfg: cfg, sent: map[uint64]sentWrite{}, done: map[int64]bool{}, called: map[int64]bool{}}
}

// Need is what a duty asks of its candidate at present.
type Need struct {
	// Orders returns the orders to be committed after the highest committed one.
	// committed is false if no order has ever been.
	Orders func(through int64, committed bool) []Order
	// Suspect is set if the row should be read because no progress was heard of.
	Suspect bool
	// SuspectSince is when the progress was due. An earlier read does not count.
	SuspectSince time.Duration
	// Overdue is set if the holder should have committed an order by now and this
	// instance is the one to challenge it.
	Overdue bool
	// Stagger is added to the time for which a challenger waits, so that the first
	// candidate comes before the others.
	Stagger time.Duration
	// Patient is set if others are more likely to act, so that an unavailable store
	// is asked less often.
	Patient bool
	// Learn has the row read if nothing is known of it.
	Learn bool
}

// Hear records what another instance knows of the row.
func (c *Candidate) Hear(now time.Duration, claim Claim) {
	since := now - claim.Age
	claim.Age = 0
	if claim.Token == 0 {
		return
	}
	c.era = max(c.era, claim.Position.Era)
	if claim.Token == c.known.Token && claim.Position == c.known.Position && claim.sameHolder(c.known) {
		c.knownSince = min(c.knownSince, since)
		if c.rowKnown && c.position == claim.Position && c.position.Era == c.rowEra {
			c.rowSince = min(c.rowSince, since)
		}
	}
	if claim.Token == c.known.Token && !claim.sameHolder(c.known) {
		c.sharedToken = max(c.sharedToken, claim.Token)
		c.holding = c.holding && c.row.Token > c.sharedToken
	}
	if !claim.newerThan(c.known) {
		return
	}
	own := claim.Holder == c.cfg.Self && claim.Incarnation == c.cfg.Incarnation
	if claim.Token != c.known.Token || claim.Position != c.known.Position {
		c.knownSince = since
	}
	claim.Through = max(claim.Through, c.known.Through)
	c.known = claim
	if c.holding && !own {
		c.holding = false // superseded
	}
}

// Claim returns what the candidate knows of the row.
func (c *Candidate) Claim(now time.Duration) Claim {
	claim := c.known
	if claim.Token > 0 {
		claim.Age = max(0, now-c.knownSince)
	}
	return claim
}

// Holding reports whether the instance holds the duty, since when, and its token.
// The lease may have run out nevertheless.
func (c *Candidate) Holding() (bool, time.Duration, uint64) {
	return c.holding, c.heldSince, c.row.Token
}

// LeaseValid reports whether the instance holds the duty and nobody else can.
func (c *Candidate) LeaseValid(now time.Duration) bool { return c.holding && now < c.leaseEnd }

// Release ends the part of the instance in the duty. It makes no call after that,
// so that another instance need not wait for the end of the lease.
func (c *Candidate) Release() {
	c.stopped = true
	// A write that may still be performed would make the holder's last version
	// unknown to the others.
	if c.holding && !c.storeBusy && !c.unresolved && !c.calling {
		c.known.Released = true
	}
	c.holding = false
}

// TakeUnsure returns the orders that performed writes have dropped since the last
// call because the store was set back.
func (c *Candidate) TakeUnsure() []int64 {
	unsure := c.unsure
	c.unsure = nil
	return unsure
}

// TakeDropped returns the orders that performed writes have dropped since the last
// call for lack of room.
func (c *Candidate) TakeDropped() []int64 {
	dropped := c.dropped
	c.dropped = nil
	return dropped
}

// through returns the highest committed order that the instance knows of.
func (c *Candidate) through() (int64, bool) {
	return max(c.row.Through, c.known.Through), c.row.Token > 0 || c.known.Token > 0
}

// NextStoreCall returns the call of the store to make now, if any. Its result must
// be passed to ReadDone or WriteDone.
func (c *Candidate) NextStoreCall(now time.Duration, need Need) (StoreCall, bool) {
	if c.storeBusy || c.stopped || now < c.storeAt {
		return StoreCall{}, false
	}
	c.maxDelay = maxStoreDelay
	if need.Patient {
		c.maxDelay = maxPatientDelay
	}
	if c.unresolved || (c.holding && c.rowEra < c.era && !c.LeaseValid(now)) {
		return c.read(now)
	}
	if c.holding {
		orders := need.Orders(c.through())
		if len(orders) == 0 && (len(c.open()) == 0 || now < c.leaseEnd) {
			return StoreCall{}, false
		}
		return c.write(now, c.row.Token, orders)
	}
	return c.challenge(now, need)
}

// challenge returns the next call of an instance that does not hold the duty.
func (c *Candidate) challenge(now time.Duration, need Need) (StoreCall, bool) {
	learn := need.Learn && !c.rowKnown && c.known.Token == 0
	if !need.Suspect && !need.Overdue && !learn {
		return StoreCall{}, false
	}
	if !c.isCurrent(need) {
		return c.read(now)
	}
	if !need.Overdue || now < c.challengeAt()+need.Stagger {
		return StoreCall{}, false
	}
	orders := need.Orders(c.through())
	if len(orders) == 0 {
		return StoreCall{}, false
	}
	token := max(c.row.Token, c.known.Token)
	if token == 0 {
		// A row without a token was spoilt by another writer. Versions of the store
		// rise at least as fast as tokens.
		token = c.position.Version
	}
	return c.write(now, token+1, orders)
}

func (c *Candidate) read(now time.Duration) (StoreCall, bool) {
	c.storeBusy, c.readSince = true, now
	return StoreCall{}, true
}

// open returns the pending orders that still have to be sent.
func (c *Candidate) open() []Order {
	return slices.DeleteFunc(slices.Clone(c.row.Pending), func(o Order) bool { return c.done[o.ID] })
}

func (c *Candidate) write(now time.Duration, token uint64, orders []Order) (StoreCall, bool) {
	sent := sentWrite{at: now}
	open := c.open()
	superseded := c.isSuperseded() && (c.row.Token < c.known.Token || c.row.Token <= c.sharedToken || c.row.Through < c.known.Through)
	if !c.holding && (superseded || c.position.Era < c.era) {
		// The store was set back. A late write may have taken effect since, so these
		// bodies may differ from those that were sent for the same orders. A lower
		// version alone does not tell: that of a response may be above the row's own.
		for _, o := range open {
			if o.ID <= c.known.Through {
				sent.unsure = append(sent.unsure, o.ID)
			}
		}
		open = slices.DeleteFunc(open, func(o Order) bool { return o.ID <= c.known.Through })
	}
	pending := append(open, orders...)
	if n := len(pending) - c.cfg.MaxPending; n > 0 {
		for _, o := range pending[:n] {
			sent.dropped = append(sent.dropped, o.ID)
		}
		pending = pending[n:]
	}
	c.writes++
	through, _ := c.through()
	if len(orders) > 0 {
		through = max(through, orders[len(orders)-1].ID)
	}
	row := Row{
		Holder: c.cfg.Self, Incarnation: c.cfg.Incarnation, Token: token, Write: c.writes, Through: through, Pending: pending,
	}
	c.sent[c.writes] = sent
	if old := c.writes - maxUnresolved; c.writes > maxUnresolved && old != c.lastWrite {
		delete(c.sent, old)
	}
	c.storeBusy = true
	call := StoreCall{Write: true, Row: row, Precondition: c.position, TakeOver: !c.holding}
	if c.position.Era < c.era {
		call.Precondition = awdirectory.Position{Era: c.era}
		if c.rowEra == c.era {
			call.Replaces = c.position
		}
	}
	c.inFlight = call
	return call, true
}

// ReadDone records the row and where it was found.
func (c *Candidate) ReadDone(now time.Duration, row Row, at Stored, err error) {
	c.storeBusy = false
	if err != nil {
		c.delayStore(now)
		return
	}
	c.storeDelay, c.unresolved = 0, false
	c.storeAt = now + minStoreDelay // bounds reads of a store that lags behind
	c.replaceRow(now, row, at)
	if c.isNewestOwn(row) {
		// The response to the write may have named a later version than the row's own.
		c.known.Position = at.Position
	}
	if c.isSuperseded() {
		if c.knownSince <= c.readSince {
			c.outdated = c.known
		}
		c.holding = false // its token may have been exceeded
		return
	}
	if row.Token == 0 || row.Holder != c.cfg.Self || row.Incarnation != c.cfg.Incarnation || at.Position.Era < c.era {
		c.holding = false
		return
	}
	begin := now - c.cfg.Lease // if the time is unknown, the next write renews the lease
	if sent, ok := c.sent[row.Write]; ok {
		begin = sent.at
		c.noteWritten(row.Write)
		found := c.rowClaim()
		found.Age = now - begin
		c.Hear(now, found)
	}
	c.hold(now, begin)
}

// noteWritten records that a write was performed. Those before it fail by their
// precondition or are replaced.
func (c *Candidate) noteWritten(number uint64) {
	for n := range c.sent {
		if n < number {
			delete(c.sent, n)
		}
	}
	w := c.sent[number]
	c.dropped, c.unsure = append(c.dropped, w.dropped...), append(c.unsure, w.unsure...)
	c.lastWrite, c.sent[number] = number, sentWrite{at: w.at}
}

// hold records that the known row is that of this instance and was written by a
// write sent at the given time.
func (c *Candidate) hold(now, sent time.Duration) {
	if c.stopped {
		return
	}
	if !c.holding {
		c.heldSince = now
	}
	c.holding, c.leaseEnd = true, sent+c.cfg.Lease
	present := func(id int64) bool {
		return slices.ContainsFunc(c.row.Pending, func(o Order) bool { return o.ID == id })
	}
	for id := range c.done {
		if !present(id) {
			delete(c.done, id)
		}
	}
	for id := range c.called {
		if !present(id) {
			delete(c.called, id)
		}
	}
}

// WriteDone records the result of the last write, and where it was performed. It
// reports whether the write is in force.
func (c *Candidate) WriteDone(now time.Duration, result WriteResult, at Stored) bool {
	c.storeBusy = false
	c.era = max(c.era, at.Era)
	if result != WriteUnknown && at.Era > c.inFlight.Precondition.Era {
		result = WriteOutdated
	}
	switch result {
	case WriteDone:
		sent := c.sent[c.inFlight.Row.Write].at
		c.noteWritten(c.inFlight.Row.Write)
		c.storeDelay = 0
		c.row, c.position, c.rowKnown, c.rowSince, c.rowEra = c.inFlight.Row, at.Position, true, sent, at.Era
		written := c.rowClaim()
		written.Age = now - sent
		c.Hear(now, written)
		if c.isSuperseded() {
			c.holding = false // meanwhile
			return true
		}
		c.hold(now, sent)
	case WriteConflict:
		c.holding, c.unresolved = false, true // another write was performed; it may be a lost one of this instance
	case WriteOutdated:
		// A holder that is sure of its lease writes the row again as it knows it.
		c.unresolved = !c.LeaseValid(now)
	case WriteUnknown:
		c.unresolved = true
		c.delayStore(now)
	}
	return result == WriteDone
}

func (c *Candidate) delayStore(now time.Duration) {
	c.storeDelay = min(max(2*c.storeDelay, minStoreDelay), c.maxDelay)
	c.storeAt = now + c.storeDelay
}

// NextCall returns the call of the platform to make now, if any. Its answer must be
// passed to Answered.
func (c *Candidate) NextCall(now time.Duration) (Call, bool) {
	if c.calling || c.stopped || now < c.callAt || !c.LeaseValid(now) {
		return Call{}, false
	}
	open := c.open()
	if len(open) == 0 {
		return Call{}, false
	}
	c.calling, c.lastCall = true, now
	call := Call{Token: c.row.Token, Order: open[0], Until: c.leaseEnd, Repeated: c.called[open[0].ID]}
	c.called[open[0].ID] = true
	return call, true
}

// MayCall reports whether a call may still be sent. The sender asks right before it
// writes the bytes, since it may have been paused after the call was decided.
func (c *Candidate) MayCall(now time.Duration, call Call) bool {
	return c.LeaseValid(now) && now < call.Until && call.Token == c.row.Token
}

// Answered records the answer to the last call. wait is how long the platform asks
// to wait.
func (c *Candidate) Answered(now time.Duration, id int64, answer Answer, wait time.Duration) {
	c.calling, c.lastCall = false, now
	if answer == Retry {
		c.callDelay = min(max(2*c.callDelay, minCallDelay), maxCallDelay)
		c.callAt = now + max(c.callDelay, wait, c.cfg.CallGap)
		return
	}
	c.done[id] = true
	c.callDelay = 0
	c.callAt = now + c.cfg.CallGap
}
