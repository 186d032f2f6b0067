// Package awoutcome defines what a caller is told about a request that did
// not end in a whole answer.
//
// NotRun is a promise: the request was never handed to a backend server and
// never will be. Everything that is not proved is Unknown.
package awoutcome

import "fmt"

// Outcome states whether a request ran.
type Outcome int

// The outcomes. The zero value is the one that promises nothing.
const (
	Unknown Outcome = iota
	NotRun
	Ran
)

// String returns the header value of the outcome.
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

// Reason states why a request was refused or failed.
type Reason string

// The reasons.
const (
	QueueFull       Reason = "queue-full"
	ColdLimit       Reason = "cold-limit"
	MemoryFull      Reason = "memory-full"
	Deadline        Reason = "deadline"
	Leaving         Reason = "leaving"
	DomainOut       Reason = "domain-out"
	WrongVersion    Reason = "wrong-version"
	NotReady        Reason = "not-ready"
	DuplicateID     Reason = "duplicate-attempt"
	BadRequest      Reason = "bad-request"
	EngineFailed    Reason = "engine-failed"
	Cancelled       Reason = "cancelled"
	IdentityChanged Reason = "identity-changed"
	Isolated        Reason = "isolated"
	StaleConfig     Reason = "stale-config"
	AttemptRefused  Reason = "attempt-refused"
	RateLimited     Reason = "rate-limited"
	Overloaded      Reason = "overloaded"
	NoBackend       Reason = "no-backend"
	StoreDown       Reason = "store-down"
	KeyReused       Reason = "idempotency-key-reused"
	InProgress      Reason = "in-progress"
	Truncated       Reason = "truncated"
	LinkLost        Reason = "link-lost"
	BodyTooLarge    Reason = "body-too-large"
	BodyTimeout     Reason = "body-timeout"
	ResultNotKept   Reason = "result-not-kept"
)

// Error is a refusal or failure of one request.
type Error struct {
	Outcome      Outcome
	Reason       Reason
	Detail       string
	RetryAfterMs uint32 // 0 when the caller gets no hint
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Outcome)
	}
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Outcome, e.Detail)
}

// Refuse returns an error for a request that provably did not run.
func Refuse(reason Reason, detail string) *Error {
	return &Error{Outcome: NotRun, Reason: reason, Detail: detail}
}
