package awproto

import "arbutuswind/core/awoutcome"

// reasonCodes maps the reasons that agents send to protocol codes. A reason
// without a code is sent as ENGINE_FAILED.
var reasonCodes = map[awoutcome.Reason]Reason{
	awoutcome.QueueFull: Reason_QUEUE_FULL, awoutcome.ColdLimit: Reason_COLD_LIMIT,
	awoutcome.MemoryFull: Reason_MEMORY_FULL, awoutcome.Deadline: Reason_DEADLINE,
	awoutcome.Leaving: Reason_LEAVING, awoutcome.DomainOut: Reason_DOMAIN_OUT,
	awoutcome.WrongVersion: Reason_WRONG_VERSION, awoutcome.NotReady: Reason_NOT_READY,
	awoutcome.DuplicateID: Reason_DUPLICATE_ATTEMPT, awoutcome.AttemptRefused: Reason_ATTEMPT_REFUSED,
	awoutcome.BadRequest: Reason_BAD_REQUEST, awoutcome.EngineFailed: Reason_ENGINE_FAILED,
	awoutcome.Cancelled: Reason_CANCELLED, awoutcome.IdentityChanged: Reason_IDENTITY_CHANGED,
	awoutcome.EngineCrashed: Reason_ENGINE_CRASHED, awoutcome.Isolated: Reason_ISOLATED, awoutcome.StaleConfig: Reason_STALE_CONFIG,
}

var reasonsByCode = func() map[Reason]awoutcome.Reason {
	m := make(map[Reason]awoutcome.Reason, len(reasonCodes))
	for reason, code := range reasonCodes {
		m[code] = reason
	}
	return m
}()

var outcomeCodes = map[awoutcome.Outcome]Outcome{
	awoutcome.NotRun: Outcome_NOT_RUN, awoutcome.Ran: Outcome_RAN, awoutcome.Unknown: Outcome_UNKNOWN,
}

// NewRefusal returns the message for a refused request. revision is the
// configuration revision of the refusing process.
func NewRefusal(e *awoutcome.Error, revision uint64) *Refusal {
	return &Refusal{
		Reason: reasonCode(e.Reason), Outcome: outcomeCodes[e.Outcome], Detail: Text(e.Detail),
		RetryAfterMs: e.RetryAfterMs, Revision: revision,
	}
}

// NewFailure returns the message for a response that ended with an error.
func NewFailure(e *awoutcome.Error) *Failure {
	return &Failure{Reason: reasonCode(e.Reason), Outcome: outcomeCodes[e.Outcome], Detail: Text(e.Detail), Engine: Text(e.Engine)}
}

func reasonCode(reason awoutcome.Reason) Reason {
	if c, ok := reasonCodes[reason]; ok {
		return c
	}
	return Reason_ENGINE_FAILED
}

// Err returns the refusal as an error.
func (x *Refusal) Err() *awoutcome.Error {
	return &awoutcome.Error{
		Outcome: x.Outcome.toOutcome(), Reason: x.Reason.toReason(), Detail: x.Detail, RetryAfterMs: x.RetryAfterMs,
	}
}

// Err returns the failure as an error.
func (x *Failure) Err() *awoutcome.Error {
	return &awoutcome.Error{Outcome: x.Outcome.toOutcome(), Reason: x.Reason.toReason(), Detail: x.Detail, Engine: x.Engine}
}

// toOutcome returns the outcome. It maps an unknown code to Unknown, so that a
// code of a newer version is never taken as proof that the request did not run.
func (x Outcome) toOutcome() awoutcome.Outcome {
	switch x {
	case Outcome_NOT_RUN:
		return awoutcome.NotRun
	case Outcome_RAN:
		return awoutcome.Ran
	default:
		return awoutcome.Unknown
	}
}

func (x Reason) toReason() awoutcome.Reason {
	if known, ok := reasonsByCode[x]; ok {
		return known
	}
	return awoutcome.EngineFailed
}
