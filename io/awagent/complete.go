package awagent

import (
	"context"
	"errors"
	"io"
	"time"

	"go.opentelemetry.io/otel/trace"

	"arbutuswind/core/awoutcome"
	"arbutuswind/io/awengine"
	"arbutuswind/io/awproto"
)

const (
	// firstTokenLimit leaves a cold engine time to read a long prompt.
	firstTokenLimit = 30 * time.Second
	// tokenLimit is the longest silence within an answer; the target between
	// tokens is 77 ms at p95.
	tokenLimit = 10 * time.Second
	// pausedLimit ends streams whose reader has taken nothing for so long;
	// it is the largest deadline that entries accept.
	pausedLimit = 10 * time.Minute
)

// errPaused reports that the engine stream was cancelled because nobody reads
// the answer.
var errPaused = errors.New("stream is paused")

// complete answers a completion. While the reader takes nothing the engine
// stream is cancelled and only the resume point is kept.
func (r *run) complete(ctx context.Context) error {
	for {
		finish, err := r.generate(ctx)
		switch {
		case err == nil:
			r.finishedWhole()
			return r.end(&awproto.End{Tokens: r.position.Next, FinishReason: finish})
		case !errors.Is(err, errPaused):
			return r.fail(ctx, asFailure(err))
		}
		if err := r.resume(ctx); err != nil {
			return r.fail(ctx, asFailure(err))
		}
	}
}

func asFailure(err error) *awoutcome.Error {
	var e *awoutcome.Error
	if errors.As(err, &e) {
		return e
	}
	return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.EngineFailed, Detail: err.Error()}
}

// generate runs one engine stream from the resume point. It returns the
// finish reason when the answer is whole, and errPaused after a pause.
func (r *run) generate(ctx context.Context) (string, error) {
	a := r.agent
	ctx, span := a.cfg.Tracer.Start(ctx, "engine", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	engineCtx, stopEngine := context.WithCancelCause(ctx)
	defer stopEngine(nil)
	r.mu.Lock()
	r.paused, r.stopEngine = false, stopEngine
	r.mu.Unlock()
	silence := time.AfterFunc(firstTokenLimit, func() { stopEngine(errSilent) })
	defer silence.Stop()
	events, err := a.engine.Complete(engineCtx, awengine.Completion{
		Model: r.start.Model, Prompt: string(r.start.Body), MaxTokens: r.start.MaxTokens,
		Priority: r.start.Priority, ResumeFrom: r.position.Next,
	})
	if err != nil {
		return "", r.startFailure(ctx, err)
	}
	defer events.Close()
	r.stall = time.AfterFunc(pausedLimit, r.stalled)
	defer r.stall.Stop()
	return r.forward(ctx, events, silence)
}

// forward passes tokens on until the engine ends the stream.
func (r *run) forward(ctx context.Context, events *awengine.Stream, silence *time.Timer) (string, error) {
	finish, first := "", true
	for {
		tok, err := events.Next()
		silence.Stop()
		if errors.Is(err, io.EOF) {
			if err := r.position.Finish(finish, r.start.MaxTokens); err != nil {
				return "", err
			}
			return finish, r.accept()
		}
		if err != nil {
			return "", r.broken(ctx, err)
		}
		if first {
			first = false
			r.firstToken()
		}
		if err := r.position.Advance(tok.Index, tok.Digest); err != nil {
			return "", err
		}
		finish = tok.Finish
		paused, err := r.deliver(ctx, tok)
		if err != nil {
			return "", err
		}
		if paused {
			return "", errPaused
		}
		silence.Reset(tokenLimit)
	}
}

// deliver sends one token. It reports whether the wait for the reader has
// paused the stream; the token is delivered all the same.
func (r *run) deliver(ctx context.Context, tok awengine.Token) (bool, error) {
	r.mu.Lock()
	r.delivering = true
	r.mu.Unlock()
	r.stall.Reset(r.agent.cfg.Settings.Limits.PauseAfter.Std())
	r.timer.hold()
	limited, cancel := context.WithTimeoutCause(ctx, pausedLimit, errGone)
	err := r.frame(limited, tok.Index, 1, []byte(tok.Text))
	cancel()
	r.timer.goOn()
	r.stall.Stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delivering = false
	return r.paused, err
}

// stalled pauses the stream when its token still waits to be delivered.
func (r *run) stalled() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.delivering || r.paused {
		return
	}
	a := r.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.gate.Pause(r.ticket) {
		r.stall.Reset(a.cfg.Settings.Limits.PauseAfter.Std())
		return
	}
	r.paused, r.held = true, r.ticket
	a.paused++
	a.metrics.paused.Inc()
	r.stopEngine(errPaused)
}

// resume waits for the reader and then for admission. The answer goes on
// only with the weights that it began with.
func (r *run) resume(ctx context.Context) error {
	a := r.agent
	r.timer.hold()
	limited, cancel := context.WithTimeoutCause(ctx, pausedLimit, errGone)
	err := r.window.resumable(limited)
	cancel()
	r.timer.goOn()
	if err != nil {
		return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.Cancelled, Detail: err.Error()}
	}
	a.mu.Lock()
	woken, refusal := a.offer(r, true)
	a.mu.Unlock()
	if refusal == nil {
		refusal = a.await(ctx, r, woken)
	}
	if refusal == nil {
		refusal = a.sameWeights(r)
	}
	a.mu.Lock()
	a.unpause(r)
	a.mu.Unlock()
	if refusal != nil {
		refusal.Outcome = awoutcome.Unknown // part of the answer was delivered
		return refusal
	}
	a.metrics.resumed.Inc()
	return nil
}

// unpause ends the accounting of a paused stream, if r is one. The caller
// holds mu.
func (a *Agent) unpause(r *run) {
	if r.held != nil {
		a.gate.Unpause(r.held)
		r.held = nil
		a.paused--
	}
}

func (a *Agent) sameWeights(r *run) *awoutcome.Error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ready == nil || a.ready.VersionDigest != r.version || a.servedDigest != r.position.Digest {
		return awoutcome.Refuse(awoutcome.WrongVersion, "backend server no longer serves the version of the answer")
	}
	return nil
}

// broken returns the failure of a stream that ended early.
func (r *run) broken(ctx context.Context, err error) *awoutcome.Error {
	r.failedEngine(ctx)
	return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.EngineFailed, Detail: err.Error()}
}

func (r *run) firstToken() {
	a := r.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	d, cause := a.gate.ObserveFirstToken(r.ticket)
	a.metrics.firstToken.Update(d.Seconds())
	a.lowered(cause)
}
