// Package awledger ensures that a call with an idempotency key runs at most
// once.
//
// Before an entry dispatches such a call, it inserts a claim row for the key.
// The row names one attempt, which is sent to one incarnation of one agent. An
// entry that finds a row uses [StepForRow], and [StepForReply] after asking the
// agent named in the row, to decide how to continue. It claims the key for
// another attempt, by compare-and-set and under the next attempt number, only
// when the previous attempt provably has not run and never will. An outcome
// that cannot be proved is unknown, and a call with an unknown outcome is never
// run again.
//
// The agent keeps an [AttemptTable] for as long as its process lives, so that
// it runs each attempt at most once and never runs one that it refused.
package awledger

import "time"

// ClaimState is the state of a claim row.
type ClaimState string

// The states of a claim. Finished and Unknown are final.
const (
	Claimed  ClaimState = "Claimed"  // the attempt may run
	Finished ClaimState = "Finished" // the attempt ran; Result holds its response
	Refused  ClaimState = "Refused"  // the attempt has not run and never will
	Unknown  ClaimState = "Unknown"  // the agent, or its record of the attempt, was lost before the outcome was written
)

// Claim is the value of a claim row.
type Claim struct {
	State       ClaimState
	AttemptNo   uint64 // counts the attempts at the key, starting at 1
	Attempt     AttemptID
	BodyDigest  string
	Agent       string    // instance the attempt was sent to
	Address     string    // of the agent
	Incarnation uint64    // of the agent
	At          time.Time // when the key was claimed
	Expires     time.Time // when the row may be deleted, see Expired
	Result      *Result   `json:",omitempty"`
}

// Result is the recorded response of a call.
type Result struct {
	Status      int
	ContentType string
	Body        []byte
	Dropped     bool // the body was too large for the row and is not kept
}

// AttemptID identifies one dispatch of a call by an entry.
type AttemptID struct {
	Entry       string
	Incarnation uint64 // of the entry
	Sequence    uint64 // unique within the incarnation
}

// NextAttempt returns next as the claim of the attempt that follows c. It sets
// the state and the attempt number and clears the result.
func (c Claim) NextAttempt(next Claim) Claim {
	next.State, next.AttemptNo, next.Result = Claimed, c.AttemptNo+1, nil
	return next
}

// Finish returns the claim as finished with result r. A body of more than
// maxBytes is dropped; the row then only proves that the call ran.
func (c Claim) Finish(r Result, maxBytes int) Claim {
	if len(r.Body) > maxBytes {
		r.Body, r.Dropped = nil, true
	}
	c.State, c.Result = Finished, &r
	return c
}

// WithState returns the claim in state s, which must be one without a result.
func (c Claim) WithState(s ClaimState) Claim {
	c.State = s
	return c
}

// maxClockSkew is the largest expected difference between the clocks of two
// entries.
const maxClockSkew = time.Minute

// Expired reports whether the row may be deleted.
func (c Claim) Expired(now time.Time) bool { return now.After(c.Expires.Add(maxClockSkew)) }

// Step is what an entry does next for a call with an idempotency key.
type Step int

// The steps.
const (
	InsertClaim      Step = iota // no row exists: insert a claim for attempt 1
	ClaimNextAttempt             // replace the row with a claim for the next attempt
	QueryAgent                   // ask the agent named in the row about the attempt, without changing its state
	RequestRefusal               // have the agent refuse the attempt unless it has seen it
	ReturnResult                 // respond with the result in the row
	RecordResult                 // write the agent's result to the row, then respond with it
	RecordUnknown                // write the state Unknown to the row
	InProgress                   // the attempt is running or about to be dispatched
	OutcomeUnknown               // the outcome cannot be determined now
	KeyReused                    // the key was claimed for a different body
)

// StepForRow returns the step to take after reading the row of a key; row is
// nil if there is none. The entry that made the claim has dispatchTime to
// dispatch the attempt; after that the agent is asked to refuse it. Correctness
// does not depend on dispatchTime, which only avoids needless refusals, so the
// entries' clocks may differ.
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

// AgentReply is the reply of the agent named in a claim about its attempt.
type AgentReply struct {
	Reached     bool   // false when the agent did not reply
	Incarnation uint64 // of the agent that replied
	State       AttemptState
	Result      *Result // nil when the agent no longer holds it
}

// StepForReply returns the step to take after asking the agent named in the row.
func StepForReply(row Claim, reply AgentReply) Step {
	switch {
	case !reply.Reached:
		return OutcomeUnknown // the agent may become reachable again, so the row is not changed
	case reply.Incarnation != row.Incarnation:
		return RecordUnknown
	}
	switch reply.State {
	case NeverSeen, Running:
		return InProgress
	case NotRun:
		return ClaimNextAttempt
	case Done:
		if reply.Result != nil {
			return RecordResult
		}
	}
	return RecordUnknown
}

// WriteState is the outcome of a row write whose reply was lost, as determined
// by reading the row again.
type WriteState int

// The states of a write.
const (
	NotWritten WriteState = iota // the write has not taken effect and may be retried
	Written
	Superseded // another process has changed the row since
)

// ResolveWrite determines the outcome of writing a claim whose reply was lost
// from the row as read afterwards; row is nil if there is none.
func ResolveWrite(row *Claim, written Claim) WriteState {
	switch {
	case row == nil || row.AttemptNo < written.AttemptNo:
		return NotWritten
	case row.AttemptNo != written.AttemptNo || row.Attempt != written.Attempt:
		return Superseded
	case row.State == written.State:
		return Written
	case row.State == Claimed:
		return NotWritten
	default:
		return Superseded
	}
}
