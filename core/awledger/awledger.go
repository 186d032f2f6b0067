// Package awledger keeps calls that may not be repeated from running twice.
//
// The entry inserts a claim row before it dispatches a call. The agent keeps
// a table of attempts for its life and runs each attempt at most once.
package awledger

import (
	"arbutuswind/core/awoutcome"
)

// ClaimState is the state of a claim row.
type ClaimState string

// The states of a claim.
const (
	Claimed  ClaimState = "Claimed"
	Finished ClaimState = "Finished"
)

// Claim is the value of a claim row.
type Claim struct {
	State       ClaimState
	AttemptNo   uint64
	Attempt     AttemptID
	BodyDigest  string
	Agent       string // instance the attempt was sent to
	Incarnation uint64 // of the agent
	Result      *Result
}

// Result is the recorded answer of a call.
type Result struct {
	Status      int
	ContentType string
	Body        []byte
}

// AttemptID identifies one dispatch.
type AttemptID struct {
	Entry       string
	Incarnation uint64
	Sequence    uint64
}

// AttemptState is what an agent knows about an attempt.
type AttemptState int

// The states of an attempt.
const (
	NeverSeen AttemptState = iota
	Running
	Done
	Refused
)

// Attempts is the agent's table. It is not safe for concurrent use.
type Attempts struct{ states map[AttemptID]AttemptState }

// NewAttempts returns an empty table.
func NewAttempts() *Attempts { return &Attempts{states: map[AttemptID]AttemptState{}} }

// Begin marks an attempt as running. It refuses an attempt seen before.
func (a *Attempts) Begin(id AttemptID) *awoutcome.Error {
	switch a.states[id] {
	case NeverSeen:
		a.states[id] = Running
		return nil
	case Refused:
		return awoutcome.Refuse(awoutcome.AttemptRefused, "attempt was refused before")
	default:
		return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.DuplicateID, Detail: "attempt was seen before"}
	}
}

// End marks an attempt as run.
func (a *Attempts) End(id AttemptID) { a.states[id] = Done }

// Refuse refuses an attempt for good unless it was seen running.
func (a *Attempts) Refuse(id AttemptID) AttemptState {
	if a.states[id] == NeverSeen {
		a.states[id] = Refused
	}
	return a.states[id]
}
