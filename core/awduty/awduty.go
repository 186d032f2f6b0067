// Package awduty decides which instance of a fleet performs a duty towards the
// platform, such as reporting usage, and what it sends.
//
// A duty is performed for a [Subject] by one holder at a time. A [Candidate] is
// the part of one instance in that: it holds or challenges the lease in the
// store's row, commits orders to the row before they are sent, and sends only
// what is committed while it is sure of its lease. [Usage] counts requests in
// windows of true time over all instances and has the counts committed.
//
// Nothing here reads a clock or the network. Times are durations on a clock of
// the machine that also counts suspends, unless they are named wall times.
package awduty

import (
	"time"

	"arbutuswind/core/awdirectory"
)

// Subject is what one lease covers: a duty, or a part of it. Usage reports are a
// single subject, and each service in a zone is one for orders of replicas.
type Subject struct {
	Duty string
	Name string // empty if the duty has a single subject
}

// Key returns the key of the subject's row in the store.
func (s Subject) Key() string {
	if s.Name == "" {
		return s.Duty
	}
	return s.Duty + "/" + s.Name
}

// Order is one call that the holder makes. Its body never changes once it is
// committed.
type Order struct {
	ID   int64 // rises from order to order; the window of a usage report
	Body []byte
}

// Row is the value of a subject's row in the store.
type Row struct {
	Holder      string
	Incarnation uint64 // start of the holder
	Token       uint64 // rises whenever the holder or its start changes
	Write       uint64 // number of the write among those of this start
	Through     int64  // highest order that was committed
	Pending     []Order
}

// Claim is what an instance knows of a subject's row. Instances tell each other,
// so that they need not read the row.
type Claim struct {
	Holder      string
	Incarnation uint64
	Token       uint64               // 0 if no row is known
	Position    awdirectory.Position // of the row
	Through     int64
	Released    bool // the holder has ended and does not act on this version any more
	// Age is the time since the write of this version began, as far as the instance
	// knows. It is never longer than it really is.
	Age time.Duration
}

// newerThan reports whether c describes a later state than other. Tokens are
// compared first, so that a store that was set back does not hide a take-over.
func (c Claim) newerThan(other Claim) bool {
	if c.Token != other.Token {
		return c.Token > other.Token
	}
	if c.Position != other.Position {
		return c.Position.After(other.Position)
	}
	return c.Released && !other.Released
}

func (c Claim) sameHolder(other Claim) bool {
	return c.Holder == other.Holder && c.Incarnation == other.Incarnation
}

// Stored is where a row was found or written.
type Stored struct {
	Position awdirectory.Position // of the row; zero if there is none
	Era      uint64               // of the store
}

// StoreCall is a call of the store that a candidate asks for: a read of the row,
// or a write of Row if the row still has the version of Precondition.
//
// Each era of the store has a row of its own, so that a write of an older era which is
// performed late cannot replace the row of a newer one. A read returns the row of the
// newest era that has one.
type StoreCall struct {
	Write        bool
	Row          Row
	Precondition awdirectory.Position // era of the row that is written; version 0: it has none
	Replaces     awdirectory.Position // row of an older era that was found in the present one, to be removed; zero for none
	TakeOver     bool                 // the write changes the holder
}

// Call is a call of the platform.
type Call struct {
	Token uint64
	Order Order
	// Until is the time from which the call must not be sent any more. The sender
	// checks it right before it writes the bytes.
	Until time.Duration
	// Repeated is set if the order was sent before, by this start.
	Repeated bool
}

// WriteResult is the result of a write.
type WriteResult int

// The results of a write.
const (
	WriteDone WriteResult = iota
	WriteConflict
	WriteUnknown  // it may have been performed or may be later
	WriteOutdated // the store is in a newer era, in which the write has no effect
)

// Answer is the platform's answer to a call.
type Answer int

// The answers to a call.
const (
	Accepted Answer = iota
	Rejected        // it will not be accepted later either
	Retry           // no answer, or one that asks for a repetition
)
