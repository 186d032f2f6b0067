package awproto

import "arbutuswind/core/awledger"

var attemptCodes = map[awledger.AttemptState]AttemptState{
	awledger.NeverSeen: AttemptState_ATTEMPT_NEVER_SEEN,
	awledger.Running:   AttemptState_ATTEMPT_RUNNING,
	awledger.Done:      AttemptState_ATTEMPT_FINISHED,
	awledger.NotRun:    AttemptState_ATTEMPT_REFUSED_FOR_GOOD,
	awledger.Forgotten: AttemptState_ATTEMPT_FORGOTTEN,
}

// AttemptCode returns the protocol code for the state of an attempt.
func AttemptCode(s awledger.AttemptState) AttemptState { return attemptCodes[s] }

// LedgerState returns the state of an attempt. It maps an unknown code to
// [awledger.Forgotten], because such a code proves nothing about the outcome.
func (x AttemptState) LedgerState() awledger.AttemptState {
	for state, code := range attemptCodes {
		if code == x {
			return state
		}
	}
	return awledger.Forgotten
}
