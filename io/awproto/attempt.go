package awproto

import "arbutuswind/core/awledger"

var attemptCodes = map[awledger.AttemptState]AttemptState{
	awledger.NeverSeen: AttemptState_ATTEMPT_NEVER_SEEN,
	awledger.Running:   AttemptState_ATTEMPT_RUNNING,
	awledger.Done:      AttemptState_ATTEMPT_FINISHED,
	awledger.NotRun:    AttemptState_ATTEMPT_REFUSED_FOR_GOOD,
	awledger.Forgotten: AttemptState_ATTEMPT_FORGOTTEN,
}

// AttemptCode returns the code of the state of an attempt.
func AttemptCode(s awledger.AttemptState) AttemptState { return attemptCodes[s] }

// LedgerState returns the state of an attempt; a code that is not known proves
// nothing.
func (x AttemptState) LedgerState() awledger.AttemptState {
	for state, code := range attemptCodes {
		if code == x {
			return state
		}
	}
	return awledger.Forgotten
}
