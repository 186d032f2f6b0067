// Package awledger keeps calls that may not be repeated from running twice.
//
// The claim row of a key is inserted before its call is dispatched and names
// one attempt, sent to one incarnation of one agent. [StepForRow] and [StepForReply]
// decide what an entry does with the row it read and with the answer of the
// agent named in it. A key may be claimed again, under the next attempt
// number and by compare-and-set, only when the attempt before is proved not
// to have run and never to run later. The agent keeps [AttemptTable] for its
// life: it runs each attempt at most once and remembers every refusal. What
// is not proved is unknown, and an unknown call is never run again.
package awledger

import "time"

// ClaimState is the state of a claim row.
type ClaimState string

// The states of a claim. Finished and Unknown are final.
const (
	Claimed  ClaimState = "Claimed"  // the attempt may run
	Finished ClaimState = "Finished" // the attempt ran; Result holds its answer
	Refused  ClaimState = "Refused"  // the attempt has not run and never will
	Unknown  ClaimState = "Unknown"  // the agent was lost before it told the outcome
)

// Claim is the value of a claim row.
type Claim struct {
	State       ClaimState
	AttemptNo   uint64 // from 1
	Attempt     AttemptID
	BodyDigest  string
	Agent       string // instance the attempt was sent to
	Address     string // of the agent
	Incarnation uint64 // of the agent
	At          time.Time
	Expires     time.Time
	Result      *Result `json:",omitempty"`
}

// Result is the recorded answer of a call.
type Result struct {
	Status      int
	ContentType string
	Body        []byte
	Dropped     bool // the body was larger than a row may hold
}

// AttemptID identifies one dispatch.
type AttemptID struct {
	Entry       string
	Incarnation uint64
	Sequence    uint64
}

// NextAttempt returns the claim of the next attempt at the key of c.
func (c Claim) NextAttempt(next Claim) Claim {
	next.State, next.AttemptNo, next.Result = Claimed, c.AttemptNo+1, nil
	return next
}

// Finish returns the closed claim. A body of more than maxBytes is dropped:
// the row then proves that the call ran, without its answer.
func (c Claim) Finish(r Result, maxBytes int) Claim {
	if len(r.Body) > maxBytes {
		r.Body, r.Dropped = nil, true
	}
	c.State, c.Result = Finished, &r
	return c
}

// WithState returns the claim with a final state that has no result.
func (c Claim) WithState(s ClaimState) Claim {
	c.State = s
	return c
}

// sweepMargin covers the difference between the clocks of two entries.
const sweepMargin = time.Minute

// Expired reports whether a sweep may delete the row.
func (c Claim) Expired(now time.Time) bool { return now.After(c.Expires.Add(sweepMargin)) }

// Step is what an entry does next with a keyed call.
type Step int

// The steps.
const (
	InsertClaim      Step = iota // no row: insert a claim for attempt 1
	ClaimNextAttempt             // replace the row by a claim for the next attempt
	QueryAgent                   // ask the agent in the row, which goes on as it was
	RequestRefusal               // have the agent refuse the attempt unless it has it
	ReturnResult                 // answer with the result in the row
	RecordResult                 // record the result that the agent kept, then answer
	RecordUnknown                // close the row as unknown
	InProgress                   // the attempt is running or about to be dispatched
	OutcomeUnknown               // the outcome cannot be learnt now
	KeyReused                    // the row is of another body
)

// StepForRow returns the step after reading the row of the key; nil means that
// there is none. For dispatchTime after the claim its owner is given time to
// dispatch; after that the agent is made to refuse. The time only avoids
// needless refusals, so that clocks may differ.
func StepForRow(row *Claim, bodyDigest string, now time.Time, dispatchTime time.Duration) Step {
	switch {
	case row == nil:
		return InsertClaim
	case row.BodyDigest != bodyDigest:
		return KeyReused
	case row.State == Finished:
		return ReturnResult
	case row.State == Refused:
		return ClaimNextAttempt
	case row.State != Claimed:
		return OutcomeUnknown
	case now.Sub(row.At) < dispatchTime:
		return QueryAgent
	default:
		return RequestRefusal
	}
}

// AgentReply is what the agent named in a claim told about its attempt.
type AgentReply struct {
	Reached     bool
	Incarnation uint64
	State       AttemptState
	Result      *Result // nil when the agent has dropped it
}

// StepForReply returns the step after asking the agent named in the row.
func StepForReply(row Claim, a AgentReply) Step {
	switch {
	case !a.Reached:
		return OutcomeUnknown // it may return: the row stays as it is
	case a.Incarnation != row.Incarnation:
		return RecordUnknown
	}
	switch a.State {
	case NeverSeen, Running:
		return InProgress
	case NotRun:
		return ClaimNextAttempt
	case Done:
		if a.Result != nil {
			return RecordResult
		}
	}
	return RecordUnknown
}

// WriteState is what a re-read row tells about a write without a reply.
type WriteState int

// The states of a write.
const (
	NotWritten WriteState = iota // not yet: it may be written again
	Written
	Superseded // another process has moved the row on
)

// ResolveWrite compares the row read after a lost reply with the claim written.
func ResolveWrite(row *Claim, mine Claim) WriteState {
	switch {
	case row == nil || row.AttemptNo < mine.AttemptNo:
		return NotWritten
	case row.AttemptNo != mine.AttemptNo || row.Attempt != mine.Attempt:
		return Superseded
	case row.State == mine.State:
		return Written
	case row.State == Claimed:
		return NotWritten
	default:
		return Superseded
	}
}
