package awagent

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/trace"

	"arbutuswind/core/awadmit"
	"arbutuswind/core/awoutcome"
	"arbutuswind/io/awengine"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awtelemetry"
)

// Serve runs one request of an entry on the backend server.
func (s *innerServer) Serve(stream awproto.DRPCAgent_ServeStream) error {
	up, err := stream.Recv()
	if err != nil {
		return err
	}
	start := up.GetStart()
	if start == nil {
		return eris.New("first message of Serve must be Start")
	}
	ctx := awtelemetry.Extract(stream.Context(), start.TraceParent)
	ctx, span := s.agent.cfg.Tracer.Start(ctx, "agent", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	s.agent.takeWatermark(start)
	need, refusal := s.agent.admit(start)
	if refusal != nil {
		refusal = s.agent.rememberRefusal(start, refusal)
		return stream.Send(refusalMessage(refusal, s.agent.revision()))
	}
	defer s.agent.release(start, need)
	r := &run{agent: s.agent, stream: stream, start: start, window: newWindow(start.CreditBytes)}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(start.DeadlineMs)*time.Millisecond)
	defer cancel()
	go r.receive(cancel)
	if start.Service.GetIdempotencyKey() != "" {
		return r.callOnce(ctx)
	}
	if start.Service != nil {
		return r.callService(ctx)
	}
	return r.complete(ctx)
}

// admit applies every rule that protects the backend server.
func (a *Agent) admit(start *awproto.ServeStart) (uint64, *awoutcome.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.draining:
		return 0, awoutcome.Refuse(awoutcome.Leaving, "instance is leaving")
	case a.view.Out:
		return 0, awoutcome.Refuse(awoutcome.DomainOut, "domain or instance is taken out")
	case a.ready == nil:
		return 0, awoutcome.Refuse(awoutcome.NotReady, "backend server is not ready")
	case start.Model != a.ready.Model:
		return 0, awoutcome.Refuse(awoutcome.NotReady, "another model is served here")
	case start.VersionDigest != "" && start.VersionDigest != a.ready.VersionDigest:
		return 0, awoutcome.Refuse(awoutcome.WrongVersion, "another version is served here")
	}
	need, err := a.gate.Admit(awadmit.Request{PromptTokens: start.PromptTokens, MaxTokens: start.MaxTokens})
	if err != nil {
		return 0, err
	}
	if err := a.attempts.Begin(attemptID(start.Attempt)); err != nil {
		a.gate.Release(need)
		return 0, err
	}
	a.running.Add(1)
	return need, nil
}

func (a *Agent) release(start *awproto.ServeStart, need uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.Release(need)
	a.attempts.End(attemptID(start.Attempt))
	a.running.Done()
}

var reasonCodes = map[awoutcome.Reason]awproto.Reason{
	awoutcome.QueueFull: awproto.Reason_QUEUE_FULL, awoutcome.ColdLimit: awproto.Reason_COLD_LIMIT,
	awoutcome.MemoryFull: awproto.Reason_MEMORY_FULL, awoutcome.Deadline: awproto.Reason_DEADLINE,
	awoutcome.Leaving: awproto.Reason_LEAVING, awoutcome.DomainOut: awproto.Reason_DOMAIN_OUT,
	awoutcome.WrongVersion: awproto.Reason_WRONG_VERSION, awoutcome.NotReady: awproto.Reason_NOT_READY,
	awoutcome.DuplicateID: awproto.Reason_DUPLICATE_ATTEMPT, awoutcome.AttemptRefused: awproto.Reason_ATTEMPT_REFUSED,
}

func refusalMessage(e *awoutcome.Error, revision uint64) *awproto.ServeDown {
	outcome := awproto.Outcome_UNKNOWN
	if e.Outcome == awoutcome.NotRun {
		outcome = awproto.Outcome_NOT_RUN
	}
	return &awproto.ServeDown{Body: &awproto.ServeDown_Refusal{Refusal: &awproto.Refusal{
		Reason: reasonCodes[e.Reason], Outcome: outcome, Detail: e.Detail, RetryAfterMs: e.RetryAfterMs, Revision: revision,
	}}}
}

// run is one admitted request.
type run struct {
	agent  *Agent
	stream awproto.DRPCAgent_ServeStream
	start  *awproto.ServeStart
	window *window
	frames uint64
	digest string
}

// receive takes credits and cancellation until the stream ends.
func (r *run) receive(cancel context.CancelFunc) {
	defer cancel()
	for {
		up, err := r.stream.Recv()
		if err != nil || up.GetCancel() != nil {
			return
		}
		r.window.add(up.GetCredit().GetBytes())
	}
}

func (r *run) complete(ctx context.Context) error {
	a := r.agent
	a.mu.Lock()
	ready := a.ready
	a.mu.Unlock()
	if ready == nil {
		return r.fail(awproto.Reason_NOT_READY, awproto.Outcome_NOT_RUN, "backend server turned unready")
	}
	r.digest = ready.VersionDigest
	_, span := a.cfg.Tracer.Start(ctx, "engine", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	events, err := a.engine.Complete(ctx, awengine.Completion{
		Model: r.start.Model, Prompt: string(r.start.Body), MaxTokens: r.start.MaxTokens,
		Priority: r.start.Priority, ResumeFrom: r.start.ResumeFrom,
	})
	if err != nil {
		return r.fail(awproto.Reason_ENGINE_FAILED, awproto.Outcome_UNKNOWN, err.Error())
	}
	defer events.Close()
	accepted := &awproto.Accepted{VersionDigest: r.digest, Revision: a.revision()}
	if err := r.stream.Send(&awproto.ServeDown{Body: &awproto.ServeDown_Accepted{Accepted: accepted}}); err != nil {
		return err
	}
	return r.forward(ctx, events)
}

func (r *run) forward(ctx context.Context, events *awengine.Stream) error {
	want := r.agent.weights.fileDigest()
	next := r.start.ResumeFrom
	finish := ""
	for {
		tok, err := events.Next()
		if errors.Is(err, io.EOF) {
			return r.end(&awproto.End{Tokens: next, FinishReason: finish})
		}
		if err != nil {
			return r.fail(awproto.Reason_ENGINE_FAILED, awproto.Outcome_UNKNOWN, err.Error())
		}
		if tok.Digest != want || tok.Index != next {
			return r.fail(awproto.Reason_IDENTITY_CHANGED, awproto.Outcome_UNKNOWN, "engine changed weights or skipped a token")
		}
		next++
		finish = tok.Finish
		if err := r.frame(ctx, tok.Index, 1, []byte(tok.Text)); err != nil {
			return err
		}
	}
}

func (r *run) callService(ctx context.Context) error {
	call := r.start.Service
	resp, err := r.agent.engine.Call(ctx, awengine.ServiceRequest{
		Method: call.Method, Path: call.Path, ContentType: call.ContentType,
		IdempotencyKey: call.IdempotencyKey, Body: r.start.Body,
	})
	if err != nil {
		return r.fail(awproto.Reason_ENGINE_FAILED, awproto.Outcome_UNKNOWN, err.Error())
	}
	defer resp.Body.Close()
	return r.forwardBody(ctx, resp.Body, resp.StatusCode, resp.Header.Get("Content-Type"))
}

// forwardBody sends the answer of a plain service in frames.
func (r *run) forwardBody(ctx context.Context, body io.Reader, status int, contentType string) error {
	buf := make([]byte, serviceFrameBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if err := r.frame(ctx, 0, 0, buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return r.end(&awproto.End{Status: int32(status), ContentType: contentType})
		}
		if err != nil {
			return r.fail(awproto.Reason_ENGINE_FAILED, awproto.Outcome_RAN, err.Error())
		}
	}
}

const serviceFrameBytes = 16 << 10

// frame sends one numbered frame once the entry has granted credit for it.
func (r *run) frame(ctx context.Context, first, tokens uint32, data []byte) error {
	if err := r.window.take(ctx, len(data)); err != nil {
		return err
	}
	f := &awproto.Frame{Number: r.frames, FirstToken: first, Tokens: tokens, Data: data, VersionDigest: r.digest}
	r.frames++
	return r.stream.Send(&awproto.ServeDown{Body: &awproto.ServeDown_Frame{Frame: f}})
}

func (r *run) end(e *awproto.End) error {
	e.Frames = r.frames
	return r.stream.Send(&awproto.ServeDown{Body: &awproto.ServeDown_End{End: e}})
}

func (r *run) fail(reason awproto.Reason, outcome awproto.Outcome, detail string) error {
	f := &awproto.Failure{Reason: reason, Outcome: outcome, Detail: detail}
	return r.stream.Send(&awproto.ServeDown{Body: &awproto.ServeDown_Failure{Failure: f}})
}

// window counts the bytes that the entry is willing to hold.
type window struct {
	mu    sync.Mutex
	free  int64
	added chan struct{}
}

func newWindow(bytes uint32) *window {
	return &window{free: int64(bytes), added: make(chan struct{}, 1)}
}

func (w *window) add(bytes uint32) {
	w.mu.Lock()
	w.free += int64(bytes)
	w.mu.Unlock()
	select {
	case w.added <- struct{}{}:
	default:
	}
}

// take waits until the window has room. A frame may overdraw a window that
// is not empty, so that a frame larger than the window still passes.
func (w *window) take(ctx context.Context, n int) error {
	for {
		w.mu.Lock()
		if w.free > 0 {
			w.free -= int64(n)
			w.mu.Unlock()
			return nil
		}
		w.mu.Unlock()
		select {
		case <-w.added:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
