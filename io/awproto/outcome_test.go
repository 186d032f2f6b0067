package awproto

import (
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awledger"
	"arbutuswind/core/awoutcome"
)

// Guards the outcome and reason of a refusal against a change on their way
// from agent to entry.
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

// Guards NotRunIsTrue against a code of a later version that is taken for a
// promise.
func TestUnknownCodesMapToUnknown(t *testing.T) {
	require.Equal(t, awoutcome.Unknown, (&Refusal{Outcome: 99}).Err().Outcome)
	require.Equal(t, awoutcome.EngineFailed, (&Refusal{Reason: 99}).Err().Reason)
	require.Equal(t, awoutcome.EngineFailed, NewFailure(&awoutcome.Error{Reason: awoutcome.Truncated}).Err().Reason)
}

// Guards NotRunIsTrue against the state of an attempt that changes on its way
// from agent to entry.
func TestAttemptStateRoundTrip(t *testing.T) {
	for state := range attemptCodes {
		require.Equal(t, state, AttemptCode(state).LedgerState())
	}
	require.Equal(t, awledger.Forgotten, AttemptState(99).LedgerState())
	require.Equal(t, awledger.Forgotten, AttemptState_ATTEMPT_UNSPECIFIED.LedgerState())
}
