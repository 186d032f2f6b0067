package awentry

import (
	"context"
	"errors"
	"io"
	"time"

	"arbutuswind/core/awoutcome"
	"arbutuswind/core/awstream"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awtelemetry"
)

// maxAttempts bounds the agents tried for one request.
const maxAttempts = 4

// dispatch sends a request to agents until one has answered whole. It tries
// again only what is proved not to have run.
func (e *Entry) dispatch(ctx context.Context, req *request, start *awproto.ServeStart, out sink) error {
	tried := map[string]bool{}
	var last error = awoutcome.Refuse(awoutcome.NoBackend, "no backend server serves "+start.Model)
	for range maxAttempts {
		t, ok := e.pick(start.Model, start.VersionDigest, tried)
		if !ok {
			break
		}
		tried[t.Instance] = true
		id := e.nextAttempt()
		err := e.attempt(ctx, req, start, t, id, out)
		e.attempts.settle(id.Sequence)
		t.done()
		if err == nil {
			return nil
		}
		last = err
		var oe *awoutcome.Error
		if !errors.As(err, &oe) || oe.Outcome != awoutcome.NotRun {
			break
		}
	}
	if out.fail(last) {
		return errAnswered
	}
	return last
}

func (e *Entry) pick(model, digest string, tried map[string]bool) (target, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fleet.pick(model, digest, tried, e.rng)
}

func (e *Entry) nextAttempt() *awproto.AttemptId {
	return &awproto.AttemptId{
		EntryInstance: e.identity.Instance, EntryIncarnation: e.cfg.Incarnation, Sequence: e.attempts.next(),
	}
}

// attempt sends a request to one agent and passes its answer on.
func (e *Entry) attempt(
	ctx context.Context, req *request, start *awproto.ServeStart, t target, id *awproto.AttemptId, out sink,
) error {
	left := time.Until(req.deadline)
	if left <= 0 {
		return awoutcome.Refuse(awoutcome.Deadline, "deadline passed before dispatch")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := e.dialer.Agent(ctx, t.Target).Serve(ctx)
	if err != nil {
		return awoutcome.Refuse(awoutcome.LinkLost, err.Error())
	}
	defer stream.Close()
	start.RequestId, start.Attempt, start.Team, start.Priority = req.id, id, req.team, req.priority
	start.LowWatermark = e.attempts.low()
	start.DeadlineMs = uint32(left.Milliseconds())
	start.Revision = e.holder.State().Revision
	start.TraceParent = awtelemetry.Inject(ctx)
	start.CreditBytes = uint32(e.cfg.Settings.Limits.StreamBytes) / 2
	if err := stream.Send(&awproto.ServeUp{Body: &awproto.ServeUp_Start{Start: start}}); err != nil {
		return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.LinkLost, Detail: err.Error()}
	}
	return e.receiveAnswer(stream, out)
}

func (e *Entry) receiveAnswer(stream awproto.DRPCAgent_ServeClient, out sink) error {
	var frames uint64
	var digest string
	for {
		down, err := stream.Recv()
		if err != nil {
			return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.LinkLost, Detail: err.Error()}
		}
		switch b := down.Body.(type) {
		case *awproto.ServeDown_Refusal:
			e.sync.meet(b.Refusal.Revision, nil)
			return refusalError(b.Refusal)
		case *awproto.ServeDown_Accepted:
			digest = b.Accepted.VersionDigest
			out.accept(digest)
		case *awproto.ServeDown_Frame:
			if b.Frame.Number != frames || b.Frame.VersionDigest != digest {
				return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.IdentityChanged, Detail: "frame out of order or of other weights"}
			}
			frames++
			if err := out.frame(b.Frame); err != nil {
				return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.Cancelled, Detail: err.Error()}
			}
			// Credit is returned only after the caller took the bytes, so a
			// slow caller stops the backend server and not this process.
			credit := &awproto.Credit{Bytes: uint32(awstream.FrameCost(len(b.Frame.Data)))}
			if err := stream.Send(&awproto.ServeUp{Body: &awproto.ServeUp_Credit{Credit: credit}}); err != nil && !errors.Is(err, io.EOF) {
				return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.LinkLost, Detail: err.Error()}
			}
		case *awproto.ServeDown_End:
			if b.End.Frames != frames {
				return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.Truncated, Detail: "frames are missing"}
			}
			return out.end(b.End)
		case *awproto.ServeDown_Failure:
			return failureError(b.Failure)
		}
	}
}

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
