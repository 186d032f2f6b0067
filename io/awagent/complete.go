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
	// firstTokenSilence is the time without a first token after which the engine
	// counts as failed. It allows a cold engine to process a long prompt.
	firstTokenSilence = 30 * time.Second
	// tokenSilence is the same for later tokens. The target between two tokens is
	// 77 ms at p95.
	tokenSilence = 10 * time.Second
	// pausedTimeout ends a stream whose client has read nothing for this time.
	// It equals the longest deadline that entries accept.
	pausedTimeout = 10 * time.Minute
)

// errPaused is the cause with which an engine stream is cancelled when the
// client has stopped reading the response.
var errPaused = errors.New("stream is paused")

// complete serves a completion. While the client does not read, the engine
// stream is cancelled and only the resume point is kept.
func (r *request) complete(ctx context.Context) error {
	for {
		finishReason, err := r.generate(ctx)
		switch {
		case err == nil:
			r.recordFinish()
			return r.sendEnd(&awproto.End{Tokens: r.position.Next, FinishReason: finishReason})
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

// generate runs one engine stream from the resume point. It returns the finish
// reason once the response is complete, or errPaused if the stream was paused.
func (r *request) generate(ctx context.Context) (string, error) {
	a := r.agent
	ctx, span := a.cfg.Tracer.Start(ctx, "engine", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	engineCtx, stopEngine := context.WithCancelCause(ctx)
	defer stopEngine(nil)
	r.mu.Lock()
	r.paused, r.stopEngine = false, stopEngine
	r.mu.Unlock()
	a.mu.Lock()
	r.engine = a.bootID
	a.mu.Unlock()
	// The stream goes on, since its entry may find no other engine.
	silenceTimer := time.AfterFunc(a.firstTokenSilence, func() { r.recordSilence(ctx) })
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

// forwardTokens forwards tokens until the engine ends the stream.
func (r *request) forwardTokens(ctx context.Context, events *awengine.Stream, silenceTimer *time.Timer) (string, error) {
	finishReason, first := "", true
	for {
		tok, err := events.Next()
		silenceTimer.Stop()
		if errors.Is(err, io.EOF) {
			if err := r.position.Finish(finishReason, r.start.MaxTokens); err != nil {
				return "", err
			}
			return finishReason, r.sendAccepted()
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
		finishReason = tok.Finish
		paused, err := r.deliver(ctx, tok)
		if err != nil {
			return "", err
		}
		if paused {
			return "", errPaused
		}
		silenceTimer.Reset(r.agent.tokenSilence)
	}
}

// deliver sends one token. It reports whether the stream was paused while
// waiting for the client; the token has been delivered in that case too.
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

// pauseIfStalled pauses the stream if a token is still waiting to be delivered.
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

// resume waits until the client reads again and the request is admitted again.
// The response continues only with the weights it was started with.
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
	decision, refusal := a.submit(r, true)
	a.mu.Unlock()
	if refusal == nil {
		refusal = a.awaitAdmission(ctx, r, decision)
	}
	if refusal == nil {
		refusal = a.checkSameWeights(r)
	}
	a.mu.Lock()
	a.unpause(r)
	a.mu.Unlock()
	if refusal != nil {
		refusal.Outcome = awoutcome.Unknown // part of the response was delivered
		return refusal
	}
	a.metrics.resumed.Inc()
	return nil
}

// unpause ends the accounting of r as a paused stream, if it is one. The caller
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
		return awoutcome.Refuse(awoutcome.WrongVersion, "backend server no longer serves the version that the response was started with")
	}
	return nil
}

// streamFailure records and returns the failure of an engine stream that ended
// early.
func (r *request) streamFailure(ctx context.Context, err error) *awoutcome.Error {
	r.recordEngineFailure(ctx)
	return r.engineError(err)
}

// recordSilence records a silent engine as failed.
func (r *request) recordSilence(ctx context.Context) {
	r.recordEngineFailure(ctx)
	a := r.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordTrialFailure(r.version)
}

func (r *request) recordFirstToken() {
	a := r.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	d, cause := a.admission.ObserveFirstToken(r.ticket)
	a.metrics.firstToken.Update(d.Seconds())
	a.recordLimitLowered(cause)
}
