package awproto

import (
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awledger"
	"arbutuswind/core/awoutcome"
)

// Checks that the outcome and reason of a refusal or failure are unchanged after
// conversion to a message and back.
func TestRefusalRoundTrip(t *testing.T) {
	for reason := range reasonCodes {
		for _, outcome := range []awoutcome.Outcome{awoutcome.NotRun, awoutcome.Ran, awoutcome.Unknown} {
			e := &awoutcome.Error{Outcome: outcome, Reason: reason, Detail: "why", RetryAfterMs: 7}
			require.Equal(t, e, NewRefusal(e, 3).Err())
			e.RetryAfterMs = 0
			require.Equal(t, e, NewFailure(e).Err())
		}
	}
}

// Guards NotRunIsTrue: an outcome code of a newer protocol version must not be
// taken as proof that the request did or did not run.
func TestUnknownCodesMapToUnknown(t *testing.T) {
	require.Equal(t, awoutcome.Unknown, (&Refusal{Outcome: 99}).Err().Outcome)
	require.Equal(t, awoutcome.EngineFailed, (&Refusal{Reason: 99}).Err().Reason)
	require.Equal(t, awoutcome.EngineFailed, NewFailure(&awoutcome.Error{Reason: awoutcome.Truncated}).Err().Reason)
}

// Guards NotRunIsTrue: the state of an attempt must be unchanged after conversion
// to a code and back, and an unknown code must prove nothing.
func TestAttemptStateRoundTrip(t *testing.T) {
	for state := range attemptCodes {
		require.Equal(t, state, AttemptCode(state).LedgerState())
	}
	require.Equal(t, awledger.Forgotten, AttemptState(99).LedgerState())
	require.Equal(t, awledger.Forgotten, AttemptState_ATTEMPT_UNSPECIFIED.LedgerState())
}
