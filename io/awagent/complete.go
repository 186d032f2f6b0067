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
	// firstTokenTimeout leaves a cold engine time to read a long prompt.
	firstTokenTimeout = 30 * time.Second
	// tokenTimeout is the longest silence within an answer; the target between
	// tokens is 77 ms at p95.
	tokenTimeout = 10 * time.Second
	// pausedTimeout ends streams whose reader has taken nothing for so long;
	// it is the largest deadline that entries accept.
	pausedTimeout = 10 * time.Minute
)

// errPaused reports that the engine stream was cancelled because nobody reads
// the answer.
var errPaused = errors.New("stream is paused")

// complete answers a completion. While the reader takes nothing the engine
// stream is cancelled and only the resume point is kept.
func (r *request) complete(ctx context.Context) error {
	for {
		finish, err := r.generate(ctx)
		switch {
		case err == nil:
			r.recordFinish()
			return r.sendEnd(&awproto.End{Tokens: r.position.Next, FinishReason: finish})
		case !errors.Is(err, errPaused):
			return r.sendFailure(ctx, asFailure(err))
		}
		if err := r.resume(ctx); err != nil {
			return r.sendFailure(ctx, asFailure(err))
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
func (r *request) generate(ctx context.Context) (string, error) {
	a := r.agent
	ctx, span := a.cfg.Tracer.Start(ctx, "engine", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	engineCtx, stopEngine := context.WithCancelCause(ctx)
	defer stopEngine(nil)
	r.mu.Lock()
	r.paused, r.stopEngine = false, stopEngine
	r.mu.Unlock()
	silenceTimer := time.AfterFunc(firstTokenTimeout, func() { stopEngine(errEngineSilent) })
	defer silenceTimer.Stop()
	events, err := a.engine.Complete(engineCtx, awengine.Completion{
		Model: r.start.Model, Prompt: string(r.start.Body), MaxTokens: r.start.MaxTokens,
		Priority: r.start.Priority, ResumeFrom: r.position.Next,
	})
	if err != nil {
		return "", r.startFailure(ctx, err)
	}
	defer events.Close()
	r.stallTimer = time.AfterFunc(pausedTimeout, r.pauseIfStalled)
	defer r.stallTimer.Stop()
	return r.forwardTokens(ctx, events, silenceTimer)
}

// forwardTokens passes tokens on until the engine ends the stream.
func (r *request) forwardTokens(ctx context.Context, events *awengine.Stream, silenceTimer *time.Timer) (string, error) {
	finish, first := "", true
	for {
		tok, err := events.Next()
		silenceTimer.Stop()
		if errors.Is(err, io.EOF) {
			if err := r.position.Finish(finish, r.start.MaxTokens); err != nil {
				return "", err
			}
			return finish, r.sendAccepted()
		}
		if err != nil {
			return "", r.streamFailure(ctx, err)
		}
		if first {
			first = false
			r.recordFirstToken()
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
		silenceTimer.Reset(tokenTimeout)
	}
}

// deliver sends one token. It reports whether the wait for the reader has
// paused the stream; the token is delivered all the same.
func (r *request) deliver(ctx context.Context, tok awengine.Token) (bool, error) {
	r.mu.Lock()
	r.delivering = true
	r.mu.Unlock()
	r.stallTimer.Reset(r.agent.cfg.Settings.Limits.PauseAfter.Std())
	r.timer.pause()
	limited, cancel := context.WithTimeoutCause(ctx, pausedTimeout, errEntryGone)
	err := r.sendFrame(limited, tok.Index, 1, []byte(tok.Text))
	cancel()
	r.timer.resume()
	r.stallTimer.Stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delivering = false
	return r.paused, err
}

// pauseIfStalled pauses the stream when its token still waits to be delivered.
func (r *request) pauseIfStalled() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.delivering || r.paused {
		return
	}
	a := r.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.admission.Pause(r.ticket) {
		r.stallTimer.Reset(a.cfg.Settings.Limits.PauseAfter.Std())
		return
	}
	r.paused, r.pausedTicket = true, r.ticket
	a.paused++
	a.metrics.paused.Inc()
	r.stopEngine(errPaused)
}

// resume waits for the reader and then for admission. The answer goes on
// only with the weights that it began with.
func (r *request) resume(ctx context.Context) error {
	a := r.agent
	r.timer.pause()
	limited, cancel := context.WithTimeoutCause(ctx, pausedTimeout, errEntryGone)
	err := r.window.waitUntilResumable(limited)
	cancel()
	r.timer.resume()
	if err != nil {
		return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.Cancelled, Detail: err.Error()}
	}
	a.mu.Lock()
	woken, refusal := a.submit(r, true)
	a.mu.Unlock()
	if refusal == nil {
		refusal = a.awaitAdmission(ctx, r, woken)
	}
	if refusal == nil {
		refusal = a.checkSameWeights(r)
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
func (a *Agent) unpause(r *request) {
	if r.pausedTicket != nil {
		a.admission.Unpause(r.pausedTicket)
		r.pausedTicket = nil
		a.paused--
	}
}

func (a *Agent) checkSameWeights(r *request) *awoutcome.Error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ready == nil || a.ready.VersionDigest != r.version || a.servedDigest != r.position.Digest {
		return awoutcome.Refuse(awoutcome.WrongVersion, "backend server no longer serves the version of the answer")
	}
	return nil
}

// streamFailure returns the failure of a stream that ended early.
func (r *request) streamFailure(ctx context.Context, err error) *awoutcome.Error {
	r.recordEngineFailure(ctx)
	return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.EngineFailed, Detail: err.Error()}
}

func (r *request) recordFirstToken() {
	a := r.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	d, cause := a.admission.ObserveFirstToken(r.ticket)
	a.metrics.firstToken.Update(d.Seconds())
	a.recordLimitLowered(cause)
}
