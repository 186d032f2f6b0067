package awentry

import (
	"context"
	"errors"
	"time"

	"arbutuswind/core/awoutcome"
	"arbutuswind/core/awretry"
	"arbutuswind/core/awroute"
	"arbutuswind/core/awstream"
	"arbutuswind/io/awproto"
)

// maxAttempts bounds the agents tried for one keyed call.
const maxAttempts = 4

// exchange is one request on its way through the agents that are tried.
type exchange struct {
	entry *Entry
	req   *request
	start *awproto.ServeStart
	out   sink
	asm   *awstream.Assembler

	prefixes []uint64
	exclude  map[string]bool // agents that refused or failed since the last wait
	runs     int             // attempts that may have run
	waits    int             // since the last attempt
	waited   *awoutcome.Error
}

// dispatch sends a request to agents until one has answered whole. A stream
// that breaks off continues on another agent with the same weights.
func (e *Entry) dispatch(ctx context.Context, req *request, start *awproto.ServeStart, out sink) error {
	window := e.window()
	if !req.hold(window) {
		return overloaded("the entry holds as many bytes as it may", retryAfterMs)
	}
	start.CreditBytes = uint32(window)
	x := &exchange{
		entry: e, req: req, start: start, out: out, asm: awstream.NewAssembler(window),
		exclude: map[string]bool{},
	}
	if start.Service == nil {
		x.prefixes = awroute.PrefixHashes(start.Model, start.Body)
	}
	e.earn()
	err := x.run(ctx)
	if err == nil {
		wholeAnswers.Inc()
		return nil
	}
	err = x.outcome(ctx, err)
	if out.fail(err) {
		e.noteProblem(err)
		return errAnswered
	}
	return err
}

// errComplete marks an answer that has all the tokens it may have; only its
// end event was lost.
var errComplete = errors.New("answer has every permitted token")

func (x *exchange) run(ctx context.Context) error {
	for {
		t, err := x.choose(ctx)
		if err != nil {
			return err
		}
		err = x.try(ctx, t)
		if err == nil {
			return nil
		}
		err = x.next(ctx, t, err)
		if errors.Is(err, errComplete) {
			return callerError(x.out.end(&awproto.End{Tokens: x.asm.NextToken(), FinishReason: "length"}))
		}
		if err != nil {
			return err
		}
	}
}

// try makes one attempt and feeds its end to routing.
func (x *exchange) try(ctx context.Context, t target) error {
	e := x.entry
	id := e.nextAttempt()
	x.start.ResumeFrom = x.asm.NextToken()
	if x.start.ResumeFrom > 0 {
		x.start.VersionDigest = x.asm.Digest()
		resumes.Inc()
	}
	began, from := time.Now(), x.start.ResumeFrom
	err := e.serveAttempt(ctx, x.req, x.start, t, id, x.asm, x.out)
	if err == nil && from == 0 {
		e.took(x.start, time.Since(began))
	}
	e.attempts.settle(id.Sequence)
	t.release()
	if ctx.Err() == nil {
		e.fleet.recordAttempt(t, err)
	}
	return err
}

// next returns an error when no other agent may be tried.
func (x *exchange) next(ctx context.Context, t target, err error) error {
	var oe *awoutcome.Error
	if !errors.As(err, &oe) || ctx.Err() != nil {
		return err
	}
	if oe.Outcome != awoutcome.NotRun {
		x.runs++
	}
	action, cost := awretry.Decide(awretry.Failure{
		Err: oe, Repeatable: x.start.Repeatable, PossibleRuns: x.runs, DeliveredTokens: x.asm.NextToken(),
		PromptTokens: x.start.PromptTokens, MaxTokens: x.start.MaxTokens,
	})
	if action == awretry.Stop {
		return err
	}
	if action == awretry.Resume && x.asm.NextToken() >= x.start.MaxTokens {
		return errComplete
	}
	x.exclude[t.Instance] = true
	x.waited, x.waits = oe, 0
	if oe.Outcome == awoutcome.NotRun {
		refusedTries.Inc()
		return nil
	}
	retries.Inc()
	return x.afford(ctx, cost, err)
}

// afford waits until the retry budget pays for a repetition; without budget
// repetitions follow at the rate at which new requests earn it.
func (x *exchange) afford(ctx context.Context, cost float64, err error) error {
	for n := 0; !x.entry.takeRetry(cost); n++ {
		if !x.sleep(ctx, n) {
			return err
		}
	}
	return nil
}

// sleep waits the n-th backoff; it returns false when the request has ended.
func (x *exchange) sleep(ctx context.Context, n int) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(x.entry.backoff(n)):
		return true
	}
}

// outcome returns what all attempts together prove.
func (x *exchange) outcome(ctx context.Context, err error) error {
	var oe *awoutcome.Error
	if !errors.As(err, &oe) {
		oe = &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.EngineFailed, Detail: err.Error()}
	}
	c := *oe
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errDeadline):
		c.Reason, c.Detail = awoutcome.Deadline, "the deadline passed: "+oe.Error()
	case errors.Is(cause, errStopped):
		c.Reason, c.Detail = awoutcome.Leaving, "the entry stopped before the answer was complete"
	case cause != nil:
		c.Reason = awoutcome.Cancelled
	}
	if c.Outcome == awoutcome.NotRun && (x.runs > 0 || x.asm.NextToken() > 0) {
		c.Outcome = awoutcome.Unknown
	}
	if c.RetryAfterMs == 0 && c.Outcome == awoutcome.NotRun {
		c.RetryAfterMs = retryAfterMs
	}
	return &c
}

func (e *Entry) pick(model, digest string, tried map[string]bool) (target, bool) {
	t, _, ok := e.choose(agentFilter{model: model, digest: digest, exclude: tried})
	return t, ok
}

func (e *Entry) choose(w agentFilter) (target, []awroute.Candidate, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fleet.pick(w, e.rng)
}

func (e *Entry) earn() {
	e.mu.Lock()
	e.retry.Deposit()
	e.mu.Unlock()
}

func (e *Entry) takeRetry(cost float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retry.TryWithdraw(cost)
}

func (e *Entry) took(start *awproto.ServeStart, d time.Duration) {
	e.mu.Lock()
	e.pace.Observe(start.Model, start.MaxTokens, d)
	e.mu.Unlock()
}

func (e *Entry) backoff(n int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return awretry.DefaultConfig().Backoff(n, e.rng)
}

func (e *Entry) nextAttempt() *awproto.AttemptId {
	return &awproto.AttemptId{
		EntryInstance: e.identity.Instance, EntryIncarnation: e.cfg.Incarnation, Sequence: e.attempts.next(),
	}
}
