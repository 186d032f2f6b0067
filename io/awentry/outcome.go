package awentry

import (
	"arbutuswind/core/awoutcome"
	"arbutuswind/io/awproto"
)

func refusalError(r *awproto.Refusal) error {
	return &awoutcome.Error{
		Outcome: outcome(r.Outcome), Reason: reason(r.Reason), Detail: r.Detail, RetryAfterMs: r.RetryAfterMs,
	}
}

func failureError(f *awproto.Failure) error {
	return &awoutcome.Error{Outcome: outcome(f.Outcome), Reason: reason(f.Reason), Detail: f.Detail}
}

func outcome(o awproto.Outcome) awoutcome.Outcome {
	switch o {
	case awproto.Outcome_NOT_RUN:
		return awoutcome.NotRun
	case awproto.Outcome_RAN:
		return awoutcome.Ran
	default:
		return awoutcome.Unknown
	}
}

var reasons = map[awproto.Reason]awoutcome.Reason{
	awproto.Reason_QUEUE_FULL: awoutcome.QueueFull, awproto.Reason_COLD_LIMIT: awoutcome.ColdLimit,
	awproto.Reason_MEMORY_FULL: awoutcome.MemoryFull, awproto.Reason_DEADLINE: awoutcome.Deadline,
	awproto.Reason_LEAVING: awoutcome.Leaving, awproto.Reason_DOMAIN_OUT: awoutcome.DomainOut,
	awproto.Reason_WRONG_VERSION: awoutcome.WrongVersion, awproto.Reason_NOT_READY: awoutcome.NotReady,
	awproto.Reason_DUPLICATE_ATTEMPT: awoutcome.DuplicateID, awproto.Reason_BAD_REQUEST: awoutcome.BadRequest,
	awproto.Reason_CANCELLED: awoutcome.Cancelled, awproto.Reason_IDENTITY_CHANGED: awoutcome.IdentityChanged,
	awproto.Reason_ISOLATED: awoutcome.Isolated, awproto.Reason_STALE_CONFIG: awoutcome.StaleConfig,
	awproto.Reason_ATTEMPT_REFUSED: awoutcome.AttemptRefused,
}

func reason(r awproto.Reason) awoutcome.Reason {
	if known, ok := reasons[r]; ok {
		return known
	}
	return awoutcome.EngineFailed
}
