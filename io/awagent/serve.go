package awagent

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/otel/trace"

	"arbutuswind/core/awadmit"
	"arbutuswind/core/awoutcome"
	"arbutuswind/core/awstream"
	"arbutuswind/io/awengine"
	"arbutuswind/io/awhttp"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awtelemetry"
)

// Serve runs one request from an entry on the backend server.
func (s *innerServer) Serve(stream awproto.DRPCAgent_ServeStream) error {
	a := s.agent
	up, err := stream.Recv()
	if err != nil {
		return err
	}
	start := up.GetStart()
	if refusal := checkStart(start); refusal != nil {
		a.metrics.countRefusal(refusal.Reason)
		return stream.Send(refusalMessage(refusal, a.revision()))
	}
	ctx := awtelemetry.Extract(stream.Context(), start.TraceParent)
	ctx, span := a.cfg.Tracer.Start(ctx, "agent", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	a.applyWatermark(start)
	ctx, cancel := a.requestContext(ctx)
	defer cancel(nil)
	left := time.Duration(start.DeadlineMs) * time.Millisecond
	r := &request{
		agent: a, stream: stream, start: start, window: newWindow(start.CreditBytes),
		deadline: a.cfg.Clock.Now().Add(left),
		timer:    newPausableTimer(left, func() { cancel(errDeadline) }),
		position: awstream.Position{Next: start.ResumeFrom},
	}
	defer r.timer.stop()
	go r.receive(cancel)
	if refusal := a.admit(ctx, r); refusal != nil {
		return stream.Send(refusalMessage(refusal, a.revision()))
	}
	defer a.release(r)
	if start.Service.GetIdempotencyKey() != "" {
		return r.callIdempotent(ctx)
	}
	if start.Service != nil {
		return r.callService(ctx)
	}
	return r.complete(ctx)
}

func refusalMessage(e *awoutcome.Error, revision uint64) *awproto.ServeDown {
	return &awproto.ServeDown{Body: &awproto.ServeDown_Refusal{Refusal: awproto.NewRefusal(e, revision)}}
}

// request is the state of one request. The goroutine of Serve owns all fields
// except the window and those guarded by mu.
type request struct {
	agent      *Agent
	stream     awproto.DRPCAgent_ServeStream
	start      *awproto.ServeStart
	window     *window
	deadline   time.Time // latest end of the response, used for queuing
	timer      *pausableTimer
	version    string // digest of the version that serves the request
	engine     string // incarnation of the engine that serves it
	frames     uint64
	position   awstream.Position
	stallTimer *time.Timer // runs while a token waits to be delivered

	mu           sync.Mutex
	ticket       *awadmit.Ticket
	delivering   bool // a token waits for credit or for the connection to the entry
	paused       bool
	pausedTicket *awadmit.Ticket // ticket of a paused stream, guarded by the agent's mu
	stopEngine   context.CancelCauseFunc
}

// receive handles credit and cancellation until the stream ends.
func (r *request) receive(cancel context.CancelCauseFunc) {
	defer cancel(errEntryGone)
	for {
		up, err := r.stream.Recv()
		if err != nil || up.GetCancel() != nil {
			return
		}
		r.window.add(up.GetCredit().GetBytes())
	}
}

// sendAccepted tells the entry which version answered if no frame has done so.
// It is not sent before the first token, because it would delay that token.
func (r *request) sendAccepted() error {
	if r.frames > 0 {
		return nil
	}
	accepted := &awproto.Accepted{VersionDigest: r.version, Revision: r.agent.revision()}
	return r.stream.Send(&awproto.ServeDown{Body: &awproto.ServeDown_Accepted{Accepted: accepted}})
}

func (r *request) callService(ctx context.Context) error {
	call := r.start.Service
	resp, err := r.agent.engine.Call(ctx, awengine.ServiceRequest{
		Method: call.Method, Path: call.Path, ContentType: call.ContentType,
		IdempotencyKey: call.IdempotencyKey, Body: r.start.Body,
	})
	if err != nil {
		return r.sendFailure(ctx, r.startFailure(ctx, err))
	}
	defer resp.Body.Close()
	r.recordServiceStatus(resp.StatusCode)
	return r.forwardBody(ctx, resp.Body, resp.StatusCode, awproto.Text(resp.Header.Get("Content-Type")))
}

// recordServiceStatus counts every response except a server error as evidence
// that the service can take more requests.
func (r *request) recordServiceStatus(status int) {
	if status < http.StatusInternalServerError {
		r.recordFinish()
	}
}

// forwardBody sends the response of a plain service in frames.
func (r *request) forwardBody(ctx context.Context, body io.Reader, status int, contentType string) error {
	buf := make([]byte, serviceFrameBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			// A call that has run is never repeated, so a slow client occupies
			// the service until the deadline.
			if err := r.sendFrame(ctx, 0, 0, buf[:n]); err != nil {
				return r.sendFailure(ctx, &awoutcome.Error{Outcome: awoutcome.Ran, Reason: awoutcome.Cancelled, Detail: err.Error()})
			}
		}
		if errors.Is(err, io.EOF) {
			return r.sendEnd(&awproto.End{Status: int32(status), ContentType: contentType})
		}
		if err != nil {
			return r.sendFailure(ctx, &awoutcome.Error{Outcome: awoutcome.Ran, Reason: awoutcome.EngineFailed, Detail: err.Error()})
		}
	}
}

const serviceFrameBytes = 16 << 10

// startFailure returns the error for a request that the backend server did not
// answer. Only a connection that was never opened proves that the request did
// not run.
func (r *request) startFailure(ctx context.Context, err error) *awoutcome.Error {
	var status *awengine.StatusError
	if !errors.As(err, &status) {
		r.recordEngineFailure(ctx)
	}
	e := r.engineError(err)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" && r.frames == 0 {
		a := r.agent
		a.mu.Lock()
		a.attempts.MarkNotRun(attemptID(r.start.Attempt))
		a.mu.Unlock()
		e.Outcome, e.Reason = awoutcome.NotRun, awoutcome.NotReady
	}
	return e
}

// engineError returns the error for a request whose engine failed with err.
func (r *request) engineError(err error) *awoutcome.Error {
	e := &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.EngineFailed, Detail: err.Error()}
	if awhttp.IsClosedByServer(err) {
		e.Reason, e.Engine = awoutcome.EngineCrashed, r.engine
	}
	return e
}

// sendFrame sends one numbered frame once the entry has granted enough credit.
func (r *request) sendFrame(ctx context.Context, first, tokens uint32, data []byte) error {
	if err := r.window.consume(ctx, len(data)); err != nil {
		return err
	}
	f := &awproto.Frame{Number: r.frames, FirstToken: first, Tokens: tokens, Data: data, VersionDigest: r.version}
	r.frames++
	return r.stream.Send(&awproto.ServeDown{Body: &awproto.ServeDown_Frame{Frame: f}})
}

func (r *request) sendEnd(e *awproto.End) error {
	r.agent.metrics.finished.Inc()
	e.Frames = r.frames
	return r.stream.Send(&awproto.ServeDown{Body: &awproto.ServeDown_End{End: e}})
}

// sendFailure tells the entry why the response ends. If the request passed its
// deadline or was cut, that is the reason sent, whichever error came first.
func (r *request) sendFailure(ctx context.Context, e *awoutcome.Error) error {
	r.agent.metrics.failed.Inc()
	if ctx.Err() == nil && (e.Reason == awoutcome.EngineFailed || e.Reason == awoutcome.EngineCrashed) && r.start.Service == nil {
		r.agent.mu.Lock()
		r.agent.recordTrialFailure(r.version)
		r.agent.mu.Unlock()
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errDeadline):
		e = &awoutcome.Error{Outcome: e.Outcome, Reason: awoutcome.Deadline, Detail: cause.Error()}
	case errors.Is(cause, errCut):
		e = &awoutcome.Error{Outcome: e.Outcome, Reason: awoutcome.Leaving, Detail: cause.Error()}
	}
	return r.stream.Send(&awproto.ServeDown{Body: &awproto.ServeDown_Failure{Failure: awproto.NewFailure(e)}})
}

// recordFinish reports a completed request to the admission controller and to
// the trial of the version.
func (r *request) recordFinish() {
	a := r.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admission.ObserveFinish(r.ticket)
	a.recordTrialSuccess(r.version)
}

// recordEngineFailure reports a failure of the backend server to the admission
// controller. If that lowers the limit, the engine loop is woken and queries
// the engine at once. Requests that were ended from outside do not count.
func (r *request) recordEngineFailure(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	a := r.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordLimitLowered(a.admission.ObserveFailure(r.ticket))
}

// window is the credit window of a stream, shared by the sending and receiving
// goroutines.
type window struct {
	mu    sync.Mutex
	w     *awstream.Window
	added chan struct{}
}

func newWindow(bytes uint32) *window {
	return &window{w: awstream.NewWindow(bytes), added: make(chan struct{}, 1)}
}

func (w *window) add(bytes uint32) {
	w.mu.Lock()
	w.w.Add(bytes)
	w.mu.Unlock()
	select {
	case w.added <- struct{}{}:
	default:
	}
}

// consume waits until the window has credit for n bytes of data and uses it.
func (w *window) consume(ctx context.Context, n int) error {
	return w.wait(ctx, func(w *awstream.Window) bool { return w.Consume(n) })
}

// waitUntilResumable waits until a paused stream has enough credit to resume.
func (w *window) waitUntilResumable(ctx context.Context) error {
	return w.wait(ctx, (*awstream.Window).CanResume)
}

func (w *window) wait(ctx context.Context, ok func(*awstream.Window) bool) error {
	for {
		w.mu.Lock()
		done := ok(w.w)
		w.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-w.added:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// pausableTimer is a deadline timer that can be paused. The time for which the
// client does not read the response does not count against the deadline.
type pausableTimer struct {
	timer *time.Timer
	left  time.Duration
	since time.Time
}

func newPausableTimer(left time.Duration, expire func()) *pausableTimer {
	return &pausableTimer{timer: time.AfterFunc(left, expire), left: left, since: time.Now()}
}

func (c *pausableTimer) pause() {
	c.timer.Stop()
	c.left -= time.Since(c.since)
}

func (c *pausableTimer) resume() {
	c.since = time.Now()
	c.timer.Reset(max(0, c.left))
}

func (c *pausableTimer) stop() { c.timer.Stop() }
