package awentry

import (
	"context"
	"errors"
	"io"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"arbutuswind/core/awoutcome"
	"arbutuswind/core/awstream"
	"arbutuswind/io/awhttp"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awtelemetry"
)

// attemptOnce reserves a stream window and makes one attempt at one agent. It is
// used for keyed calls; other requests go through dispatch.
func (e *Entry) attemptOnce(
	ctx context.Context, req *request, start *awproto.ServeStart, t target, id *awproto.AttemptId, out sink,
) error {
	window := e.streamWindow()
	if !req.reserve(window) {
		return overloadedError("the entry holds as many bytes as it may", defaultRetryAfterMs)
	}
	start.CreditBytes = uint32(window)
	return e.serveAttempt(ctx, req, start, t, id, awstream.NewAssembler(window), out, nil)
}

// serveAttempt sends the request to one agent and passes the answer to the sink
// during its turn. The returned error states whether the request may have run.
func (e *Entry) serveAttempt(
	ctx context.Context, req *request, start *awproto.ServeStart, t target, id *awproto.AttemptId,
	asm *awstream.Assembler, out sink, turn *attempt,
) error {
	remaining := time.Until(req.currentDeadline())
	if remaining <= 0 {
		return awoutcome.Refuse(awoutcome.Deadline, "deadline passed before dispatch")
	}
	ctx, span := e.cfg.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("agent", t.Instance), attribute.String("domain", t.domain)))
	defer span.End()
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if start.Repeatable {
		// Without this a stalled link would block the request until its deadline.
		defer context.AfterFunc(t.lost, cancel)()
	}
	stream, err := e.dialer.Agent(runCtx, t.Target).Serve(runCtx)
	if err != nil {
		return awoutcome.Refuse(awoutcome.LinkLost, err.Error())
	}
	defer stream.Close()
	start.RequestId, start.Attempt, start.Team, start.Priority = req.id, id, req.team, req.priority
	start.LowWatermark = e.attempts.lowWatermark()
	start.DeadlineMs = uint32(max(1, (remaining - min(remaining/10, refusalMargin)).Milliseconds()))
	start.Revision = e.holder.State().Revision
	start.TraceParent = awtelemetry.Inject(ctx)
	r := &receiver{entry: e, req: req, stream: stream, asm: asm, out: out, turn: turn, window: int(start.CreditBytes)}
	if start.Service != nil {
		// Plain services have no weights, so their agents do not send Accepted.
		if err := r.begin(""); err != nil {
			return err
		}
	}
	if turn != nil && awhttp.HasLeft(ctx) { // a keyed call goes on without its caller
		return awoutcome.Refuse(awoutcome.Cancelled, "the caller has left")
	}
	err = stream.Send(&awproto.ServeUp{Body: &awproto.ServeUp_Start{Start: start}})
	if err != nil {
		err = linkLostError(err)
	} else {
		turn.awaitDelivery(e.firstTokenSilence)
		err = r.receive()
	}
	if err != nil {
		span.RecordError(err)
		if !r.responded && !start.Repeatable {
			return e.settle(ctx, t, id, err)
		}
	}
	return err
}

// refusalMargin is subtracted from the deadline that is sent to the agent, so that
// the agent's refusal of a request that waited too long still arrives in time.
// The refusal proves that the request did not run.
const refusalMargin = 50 * time.Millisecond

func linkLostError(err error) error {
	return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.LinkLost, Detail: err.Error()}
}

// settleTimeout limits a SettleAttempt call.
const settleTimeout = time.Second

// settle asks the agent to permanently refuse an attempt that it was sent but has
// not answered. Only such a refusal from the same incarnation proves that the
// request did not run and never will. In all other cases cause is returned.
func (e *Entry) settle(ctx context.Context, t target, id *awproto.AttemptId, cause error) error {
	if !e.fleet.isLinkAlive(t) {
		return cause
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	reply, err := e.dialer.Agent(ctx, t.Target).SettleAttempt(ctx, &awproto.SettleRequest{Attempt: id, Refuse: true})
	if err != nil || reply.Incarnation != t.Incarnation || reply.State != awproto.AttemptState_ATTEMPT_REFUSED_FOR_GOOD {
		return cause
	}
	return awoutcome.Refuse(awoutcome.LinkLost, "the agent has permanently refused the attempt: "+cause.Error())
}

// creditMessagesPerWindow is the number of Credit messages in which the credit
// of one window is returned.
const creditMessagesPerWindow = 8

// receiver reads the answer of one attempt from its stream.
type receiver struct {
	entry         *Entry
	req           *request
	stream        awproto.DRPCAgent_ServeClient
	asm           *awstream.Assembler
	out           sink
	turn          *attempt // nil without a standby
	responded     bool     // a message from the agent was received
	begun         bool     // the digest of the answering weights is known
	window        int      // credit granted at the start, in bytes
	pendingCredit int      // bytes passed to the caller whose credit was not returned yet
}

func (r *receiver) receive() error {
	for {
		down, err := r.stream.Recv()
		if err != nil {
			return linkLostError(err)
		}
		r.responded = true
		switch b := down.Body.(type) {
		case *awproto.ServeDown_Refusal:
			r.entry.sync.observeRevision(b.Refusal.Revision, nil)
			return b.Refusal.Err()
		case *awproto.ServeDown_Failure:
			return b.Failure.Err()
		}
		if !r.turn.beginDelivery() {
			return errSuperseded
		}
		if end, err := r.handle(down); end || err != nil {
			return err
		}
		r.turn.awaitDelivery(r.entry.tokenSilence)
	}
}

// handle handles a message that is a part of the answer and reports whether it was
// the last one.
func (r *receiver) handle(down *awproto.ServeDown) (end bool, err error) {
	switch b := down.Body.(type) {
	case *awproto.ServeDown_Accepted:
		return false, r.begin(b.Accepted.VersionDigest)
	case *awproto.ServeDown_Frame:
		// The first frame may arrive without a preceding Accepted.
		if err := r.begin(b.Frame.VersionDigest); err != nil {
			return false, err
		}
		return false, r.handleFrame(b.Frame)
	case *awproto.ServeDown_End:
		if err := r.asm.End(b.End.Frames, b.End.Tokens); err != nil {
			return true, streamError(err)
		}
		return true, callerError(r.out.finish(b.End))
	}
	return false, nil
}

// begin sets the digest of the answering weights from the first message that
// has it.
func (r *receiver) begin(digest string) error {
	if r.begun {
		return nil
	}
	r.begun = true
	if err := r.asm.Begin(digest); err != nil {
		return streamError(err)
	}
	r.out.setVersion(digest)
	return nil
}

func (r *receiver) handleFrame(f *awproto.Frame) error {
	err := r.asm.Add(awstream.Frame{
		Number: f.Number, FirstToken: f.FirstToken, Tokens: f.Tokens, Data: f.Data, Digest: f.VersionDigest,
	}, r.deliver)
	if err != nil {
		return streamError(err)
	}
	// Credit is returned only after the bytes were written to the caller, so
	// that a slow caller pauses the backend server instead of filling the memory
	// of this process. It is returned in parts of the window, because a message
	// for each token costs more than the token.
	r.pendingCredit += awstream.FrameCost(len(f.Data))
	if r.pendingCredit < r.window/creditMessagesPerWindow {
		return nil
	}
	credit := &awproto.Credit{Bytes: uint32(r.pendingCredit)}
	r.pendingCredit = 0
	err = r.stream.Send(&awproto.ServeUp{Body: &awproto.ServeUp_Credit{Credit: credit}})
	if err != nil && !errors.Is(err, io.EOF) {
		return linkLostError(err)
	}
	return nil
}

// deliver passes a frame to the sink. Frames that the sink buffers count against
// Limits.HeldBytes.
func (r *receiver) deliver(f awstream.Frame) error {
	if r.out.buffers() && !r.req.reserve(len(f.Data)) {
		return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.Overloaded, Detail: "the answer exceeds the entry's limit of held bytes"}
	}
	r.req.markDelivered()
	return callerError(r.out.writeFrame(f))
}

// callerError converts a failed write to the caller, who has disconnected, into a
// Cancelled error.
func callerError(err error) error {
	if err == nil {
		return nil
	}
	return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.Cancelled, Detail: err.Error()}
}

// streamError converts an [awstream.Error] into the error of the attempt.
func streamError(err error) error {
	var fault *awstream.Error
	if !errors.As(err, &fault) {
		return err
	}
	reason := awoutcome.Truncated
	if fault.Fault == awstream.FaultIdentity {
		reason = awoutcome.IdentityChanged
	}
	return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: reason, Detail: fault.Error()}
}
