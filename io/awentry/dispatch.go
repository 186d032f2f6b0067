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

// maxAttempts limits the number of agents tried for one keyed call.
const maxAttempts = 4

// dispatchState is the state of one request over all its attempts.
type dispatchState struct {
	entry *Entry
	req   *request
	start *awproto.ServeStart
	out   sink
	asm   *awstream.Assembler
	turns turns

	standbyWindow bool // the window of a standby is reserved
	prefixes      []uint64
	suspicion     suspicion
	exclude       map[string]bool // agents that refused or failed since the last wait
	possibleRuns  int             // number of attempts that may have run
	backoffs      int             // number of waits since the last attempt
	lastErr       *awoutcome.Error
}

// dispatch sends a request to one agent after another until the answer is
// complete. An interrupted stream continues on another agent with the same
// weights.
func (e *Entry) dispatch(ctx context.Context, req *request, start *awproto.ServeStart, out sink) error {
	window := e.streamWindow()
	if !req.reserve(window) {
		return overloadedError("the entry holds as many bytes as it may", defaultRetryAfterMs)
	}
	start.CreditBytes = uint32(window)
	x := &dispatchState{
		entry: e, req: req, start: start, out: out, asm: awstream.NewAssembler(window),
		exclude: map[string]bool{},
	}
	if start.Service == nil {
		x.prefixes = awroute.PrefixHashes(start.Model, start.Body)
		x.suspicion = newSuspicion(x.prefixes, start.Body)
	}
	e.depositRetry()
	err := x.run(ctx)
	if err == nil {
		completeAnswers.Inc()
		return nil
	}
	err = x.finalError(ctx, err)
	if out.reportError(err) {
		e.recordProblem(err)
		return errReported
	}
	return err
}

// errComplete is returned when the answer already has max_tokens tokens and only
// its End message was lost.
var errComplete = errors.New("answer has every permitted token")

func (x *dispatchState) run(ctx context.Context) error {
	for {
		if err := x.checkQuarantine(); err != nil {
			return err
		}
		t, err := x.chooseAgent(ctx)
		if err != nil {
			return err
		}
		if !x.suspicion.probe {
			if err := x.checkQuarantine(); err != nil { // blocked while it waited
				t.release()
				return err
			}
		}
		t, err = x.tryAgent(ctx, t)
		if err == nil {
			return nil
		}
		err = x.prepareRetry(ctx, t, err)
		if errors.Is(err, errComplete) {
			return callerError(x.out.finish(&awproto.End{Tokens: x.asm.NextToken(), FinishReason: "length"}))
		}
		if err != nil {
			return err
		}
	}
}

// tryAgent makes one attempt and reports its result to outlier ejection. It returns
// the agent that ended the answer, which is another one if a standby went on.
func (x *dispatchState) tryAgent(ctx context.Context, t target) (target, error) {
	e := x.entry
	x.start.ResumeFrom = x.asm.NextToken()
	if x.start.ResumeFrom > 0 {
		x.start.VersionDigest = x.asm.Digest()
	}
	began, from := time.Now(), x.start.ResumeFrom
	x.suspicion.begin(t.Instance, e.cfg.Clock.Now())
	a := x.newAttempt(t, x.start)
	x.turns.assign(a)
	last, err := a.run(ctx)
	x.recordEnd(err)
	if err == nil && from == 0 {
		e.observeLatency(x.start, time.Since(began))
	}
	return last.target, err
}

// prepareRetry decides what follows a failed attempt. It returns nil when another
// agent may be tried, errComplete when nothing is left to generate, and
// otherwise the error that ends the request.
func (x *dispatchState) prepareRetry(ctx context.Context, t target, err error) error {
	var oe *awoutcome.Error
	if !errors.As(err, &oe) || ctx.Err() != nil {
		return err
	}
	if oe.Outcome != awoutcome.NotRun {
		x.possibleRuns++
	}
	action, cost := awretry.Decide(awretry.Failure{
		Err: oe, Repeatable: x.start.Repeatable, PossibleRuns: x.possibleRuns, Crashes: x.suspicion.crashes, DeliveredTokens: x.asm.NextToken(),
		PromptTokens: x.start.PromptTokens, MaxTokens: x.start.MaxTokens,
	})
	if action == awretry.Stop {
		return err
	}
	if action == awretry.Resume && x.asm.NextToken() >= x.start.MaxTokens {
		return errComplete
	}
	x.exclude[t.Instance] = true
	x.lastErr, x.backoffs = oe, 0
	if oe.Outcome == awoutcome.NotRun {
		refusedAttempts.Inc()
		return nil
	}
	retries.Inc()
	return x.waitForRetryBudget(ctx, cost, err)
}

// waitForRetryBudget waits until the retry budget covers the cost of a retry. New
// requests refill the budget, so their rate limits the rate of retries. It
// returns err when the request ends first.
func (x *dispatchState) waitForRetryBudget(ctx context.Context, cost float64, err error) error {
	for n := 0; !x.entry.withdrawRetry(cost); n++ {
		if !x.sleepBackoff(ctx, n) {
			return err
		}
	}
	return nil
}

// sleepBackoff waits for the n-th backoff. It returns false when the request ended
// first.
func (x *dispatchState) sleepBackoff(ctx context.Context, n int) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(x.entry.backoff(n)):
		return true
	}
}

// finalError returns the error for the caller. Its outcome covers all attempts: it
// is NotRun only if none of them may have run.
func (x *dispatchState) finalError(ctx context.Context, err error) error {
	var oe *awoutcome.Error
	if !errors.As(err, &oe) {
		oe = &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.EngineFailed, Detail: err.Error()}
	}
	c := *oe
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errDeadline):
		c.Reason, c.Detail = awoutcome.Deadline, "deadline passed: "+oe.Error()
	case errors.Is(cause, errStopped):
		c = *leavingError(oe)
	case cause != nil:
		c.Reason = awoutcome.Cancelled
	}
	if c.Outcome == awoutcome.NotRun && (x.possibleRuns > 0 || x.asm.NextToken() > 0) {
		c.Outcome = awoutcome.Unknown
	}
	if c.RetryAfterMs == 0 && c.Outcome == awoutcome.NotRun {
		c.RetryAfterMs = defaultRetryAfterMs
	}
	return &c
}

func (e *Entry) pickForModel(model, digest string, tried map[string]bool) (target, bool) {
	t, _, ok := e.pickTarget(agentFilter{model: model, digest: digest, exclude: tried})
	return t, ok
}

func (e *Entry) pickTarget(w agentFilter) (target, []awroute.Candidate, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fleet.pick(w, e.rng)
}

func (e *Entry) depositRetry() {
	e.mu.Lock()
	e.retryBudget.Deposit()
	e.mu.Unlock()
}

func (e *Entry) withdrawRetry(cost float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retryBudget.TryWithdraw(cost)
}

func (e *Entry) observeLatency(start *awproto.ServeStart, d time.Duration) {
	e.mu.Lock()
	e.latency.Observe(start.Model, start.MaxTokens, d)
	e.mu.Unlock()
}

func (e *Entry) backoff(n int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return awretry.DefaultConfig().Backoff(n, e.rng)
}

func (e *Entry) newAttemptID() *awproto.AttemptId {
	return &awproto.AttemptId{
		EntryInstance: e.identity.Instance, EntryIncarnation: e.cfg.Incarnation, Sequence: e.attempts.next(),
	}
}
