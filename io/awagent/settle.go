package awagent

import (
	"bytes"
	"context"
	"io"
	"time"

	"arbutuswind/core/awledger"
	"arbutuswind/core/awoutcome"
	"arbutuswind/io/awengine"
	"arbutuswind/io/awproto"
)

// SettleAttempt returns the state of an attempt and its stored result, if any.
// If req.Refuse is set, an attempt that has not run yet is refused for good.
func (s *innerServer) SettleAttempt(_ context.Context, req *awproto.SettleRequest) (*awproto.SettleReply, error) {
	a, id := s.agent, attemptID(req.Attempt)
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.attempts.State(id)
	if req.Refuse {
		state = a.attempts.Refuse(id)
	}
	reply := &awproto.SettleReply{Incarnation: a.cfg.Incarnation, State: awproto.AttemptCode(state)}
	if r := a.attempts.Result(id); r != nil {
		reply.HasResult, reply.Status, reply.ContentType, reply.Result = true, int32(r.Status), r.ContentType, r.Body
	}
	return reply, nil
}

func attemptID(id *awproto.AttemptId) awledger.AttemptID {
	return awledger.AttemptID{
		Entry: id.GetEntryInstance(), Incarnation: id.GetEntryIncarnation(), Sequence: id.GetSequence(),
	}
}

// applyWatermark drops the attempts that the sender has settled.
func (a *Agent) applyWatermark(start *awproto.ServeStart) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempts.AdvanceWatermark(start.Attempt.GetEntryInstance(), start.Attempt.GetEntryIncarnation(), start.LowWatermark)
}

// maxStoredResultBytes limits the size of a response to a call with an
// idempotency key that is stored for entries that ask for it later.
const maxStoredResultBytes = 256 << 10

// callIdempotent runs a call with an idempotency key to completion even if the
// entry is lost, so that another entry can ask for its result.
func (r *request) callIdempotent(ctx context.Context) error {
	a, call, id := r.agent, r.start.Service, attemptID(r.start.Attempt)
	left := time.Duration(r.start.DeadlineMs) * time.Millisecond
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), left)
	defer cancel()
	resp, err := a.engine.Call(runCtx, awengine.ServiceRequest{
		Method: call.Method, Path: call.Path, ContentType: call.ContentType,
		IdempotencyKey: call.IdempotencyKey, Body: r.start.Body,
	})
	if err != nil {
		return r.sendFailure(ctx, r.startFailure(runCtx, err))
	}
	defer resp.Body.Close()
	r.recordServiceStatus(resp.StatusCode)
	contentType := awproto.Text(resp.Header.Get("Content-Type"))
	head, err := io.ReadAll(io.LimitReader(resp.Body, maxStoredResultBytes+1))
	if err != nil {
		return r.sendFailure(ctx, &awoutcome.Error{Outcome: awoutcome.Ran, Reason: awoutcome.EngineFailed, Detail: err.Error()})
	}
	if len(head) <= maxStoredResultBytes {
		a.mu.Lock()
		a.attempts.Finish(id, &awledger.Result{Status: resp.StatusCode, ContentType: contentType, Body: head})
		a.mu.Unlock()
	}
	return r.forwardBody(ctx, io.MultiReader(bytes.NewReader(head), resp.Body), resp.StatusCode, contentType)
}
