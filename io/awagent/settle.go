package awagent

import (
	"context"

	"arbutuswind/core/awledger"
	"arbutuswind/io/awproto"
)

// SettleAttempt tells what became of an attempt and refuses it for good when
// asked to.
func (s *innerServer) SettleAttempt(_ context.Context, req *awproto.SettleRequest) (*awproto.SettleReply, error) {
	a := s.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	reply := &awproto.SettleReply{Incarnation: a.cfg.Incarnation, State: awproto.AttemptState_ATTEMPT_NEVER_SEEN}
	if !req.Refuse {
		return reply, nil
	}
	switch a.attempts.Refuse(attemptID(req.Attempt)) {
	case awledger.Running:
		reply.State = awproto.AttemptState_ATTEMPT_RUNNING
	case awledger.Done:
		reply.State = awproto.AttemptState_ATTEMPT_FINISHED
	default:
		reply.State = awproto.AttemptState_ATTEMPT_REFUSED_FOR_GOOD
	}
	return reply, nil
}

func attemptID(id *awproto.AttemptId) awledger.AttemptID {
	return awledger.AttemptID{
		Entry: id.GetEntryInstance(), Incarnation: id.GetEntryIncarnation(), Sequence: id.GetSequence(),
	}
}
