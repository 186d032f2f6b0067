// Package awoutcome defines the error that callers get for a request without a
// complete response: whether the request ran, and why it failed.
//
// Callers rely on [NotRun] to repeat a request safely. It means that the request
// was never passed to a backend server and never will be. Where this cannot be
// proved, the outcome is [Unknown].
package awoutcome

import "fmt"

// Outcome states whether a request ran.
type Outcome int

// The outcomes. The zero value makes no claim.
const (
	Unknown Outcome = iota
	NotRun
	Ran
)

// String returns the outcome as it stands in the response header.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Reason states why a request was refused or failed. It is sent to callers.
type Reason string

// The reasons.
const (
	QueueFull       Reason = "queue-full"
	ColdLimit       Reason = "cold-limit"  // queue full while the concurrency limit is still ramping up
	MemoryFull      Reason = "memory-full" // queue full for lack of engine memory
	Deadline        Reason = "deadline"
	Leaving         Reason = "leaving"    // the process is stopping
	DomainOut       Reason = "domain-out" // operators took the failure domain out or drained the instance
	WrongVersion    Reason = "wrong-version"
	NotReady        Reason = "not-ready"
	DuplicateID     Reason = "duplicate-attempt" // the agent has already received this attempt
	BadRequest      Reason = "bad-request"
	EngineFailed    Reason = "engine-failed"
	EngineCrashed   Reason = "engine-crashed" // the engine closed the connection before the answer was complete
	Quarantined     Reason = "quarantined"    // requests with a part of this prompt crash engines
	Cancelled       Reason = "cancelled"
	IdentityChanged Reason = "identity-changed" // a token came from other weights or out of order
	Isolated        Reason = "isolated"         // the agent has not heard from an entry with a fresh configuration for too long
	StaleConfig     Reason = "stale-config"
	AttemptRefused  Reason = "attempt-refused" // the agent refused the attempt before, or no longer keeps its record
	RateLimited     Reason = "rate-limited"
	Overloaded      Reason = "overloaded"
	NoBackend       Reason = "no-backend"
	StoreDown       Reason = "store-down"
	KeyReused       Reason = "idempotency-key-reused" // with another body
	InProgress      Reason = "in-progress"            // another call with the same idempotency key
	Truncated       Reason = "truncated"              // the completion ended early and without a finish reason
	LinkLost        Reason = "link-lost"              // the connection to the agent failed, or the agent lost the outcome
	BodyTooLarge    Reason = "body-too-large"
	BodyTimeout     Reason = "body-timeout"
	ResultNotKept   Reason = "result-not-kept" // the call with this idempotency key ran, but its result was too large to store
)

// Error is a refusal or failure of one request.
type Error struct {
	Outcome      Outcome
	Reason       Reason
	Detail       string
	RetryAfterMs uint32 // 0 if the caller gets no hint
	Engine       string // incarnation of the engine for [EngineCrashed]; empty if not known
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Outcome)
	}
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Outcome, e.Detail)
}

// Refuse returns an error with the outcome [NotRun]. It must only be used for a
// request that provably did not run.
func Refuse(reason Reason, detail string) *Error {
	return &Error{Outcome: NotRun, Reason: reason, Detail: detail}
}
