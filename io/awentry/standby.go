package awentry

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"arbutuswind/core/awoutcome"
	"arbutuswind/core/awretry"
	"arbutuswind/io/awproto"
)

const (
	// firstTokenSilence is the time without a first token after which a standby is
	// sought. It allows a cold engine to process a long prompt.
	firstTokenSilence = 30 * time.Second
	// tokenSilence is the time between two tokens after which a standby is sought.
	tokenSilence = 10 * time.Second
)

var (
	// errSilent is recorded for an agent whose backend server was silent until a
	// standby went on.
	errSilent     = &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.EngineFailed, Detail: "backend server is silent"}
	errSuperseded = &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.Cancelled, Detail: "another attempt goes on"}
)

// attempt is one attempt of a repeatable request at one agent. If its backend server
// falls silent, the attempt goes on beside a standby until one of them delivers.
type attempt struct {
	x        *dispatchState
	target   target
	start    *awproto.ServeStart
	id       *awproto.AttemptId
	replaces *attempt // silent attempt for which this is a standby; nil for none
	cancel   context.CancelFunc
	silence  *time.Timer // calls fallSilent

	// Guarded by dispatchState.turns.
	superseded bool     // a standby went on
	busy       bool     // sending the request or delivering a part of the answer
	standby    *standby // nil unless the backend server is silent
}

// standby is the search for an agent that goes on in place of a silent one.
type standby struct {
	silent     *attempt
	resumeFrom uint32
	digest     string // of the weights to resume with; empty for any
	sound      bool   // the prompt is known to crash no engine
	cancel     context.CancelFunc
	next       *attempt // attempt that runs, guarded by dispatchState.turns; nil between attempts
	done       chan struct{}
	last       *attempt // set with err before done is closed
	err        error
}

// turns lets one attempt of a request at a time use its assembler and sink.
type turns struct {
	sync.Mutex
	owner *attempt // nil while the backend server of the last owner is silent
}

func (x *dispatchState) newAttempt(t target, start *awproto.ServeStart) *attempt {
	return &attempt{x: x, target: t, start: start, id: x.entry.newAttemptID(), busy: true}
}

// assign gives the turn to a new attempt.
func (s *turns) assign(a *attempt) {
	s.Lock()
	s.owner = a
	s.Unlock()
}

// run makes the attempt. It returns the attempt that ended the answer, which is
// another one if a standby went on, and its error.
func (a *attempt) run(ctx context.Context) (*attempt, error) {
	x := a.x
	var attemptCtx context.Context
	attemptCtx, a.cancel = context.WithCancel(ctx)
	defer a.cancel()
	if a.start.ResumeFrom > 0 {
		resumes.Inc()
	}
	a.silence = time.AfterFunc(x.entry.firstTokenSilence, func() { a.fallSilent(ctx) })
	err := x.entry.serveAttempt(attemptCtx, x.req, a.start, a.target, a.id, x.asm, frameObserver{x.out, x.recordFrame}, a)
	a.silence.Stop()
	x.entry.attempts.settle(a.id.Sequence)
	a.target.release()
	if s, failure := a.end(err); s != nil {
		if failure.Outcome != awoutcome.NotRun {
			x.possibleRuns++
		}
		x.exclude[a.target.Instance] = true
		x.entry.fleet.recordAttempt(a.target, failure)
		return s.last, s.err
	}
	if ctx.Err() == nil {
		x.entry.fleet.recordAttempt(a.target, err)
	}
	return a, err
}

// beginDelivery takes the turn if it is free and reports whether the attempt has it.
// The first of a silent attempt and its standby to do so ends the other. A nil
// attempt has no standby.
func (a *attempt) beginDelivery() bool {
	if a == nil {
		return true
	}
	a.silence.Stop()
	x := a.x
	x.turns.Lock()
	if a.superseded || (x.turns.owner != nil && x.turns.owner != a) {
		x.turns.Unlock()
		return false
	}
	if a.replaces != nil && !a.replaces.superseded {
		a.replaces.superseded = true
		a.replaces.cancel()
		x.suspicion.begin(a.target.Instance, x.entry.cfg.Clock.Now())
	}
	x.turns.owner, a.busy = a, true
	s := a.standby
	a.standby = nil
	x.turns.Unlock()
	s.stop()
	return true
}

// awaitDelivery has a standby sought if nothing more arrives in time.
func (a *attempt) awaitDelivery(limit time.Duration) {
	if a == nil {
		return
	}
	a.x.turns.Lock()
	a.busy = false
	a.x.turns.Unlock()
	a.silence.Reset(limit)
}

// end ends the attempt's part in the answer, with its error. It returns the standby
// that went on, once that has ended, and why this attempt did not; or nil.
func (a *attempt) end(err error) (*standby, *awoutcome.Error) {
	x, failure := a.x, errSilent
	x.turns.Lock()
	a.busy = true // the timer may have fired already
	s := a.standby
	var oe *awoutcome.Error
	switch {
	case a.superseded || s == nil:
	case s.next != nil && errors.As(err, &oe):
		failure = oe
		a.handOver(s, oe)
	default:
		x.turns.owner = a // no standby may go on any more
	}
	superseded := a.superseded
	x.turns.Unlock()
	if superseded {
		<-s.done
		return s, failure
	}
	s.stop()
	return nil, nil
}

// handOver lets the attempt of the standby go on in place of this one, which has
// failed; turns must be held.
func (a *attempt) handOver(s *standby, failure *awoutcome.Error) {
	x := a.x
	if failure.Reason == awoutcome.EngineCrashed && !s.sound {
		x.recordCrash(a.target.Instance, failure.Engine, x.suspicion.sent)
	}
	a.superseded, x.turns.owner = true, s.next
	x.suspicion.begin(s.next.target.Instance, x.entry.cfg.Clock.Now())
}

// stop ends the search and its attempt. s may be nil.
func (s *standby) stop() {
	if s != nil {
		s.cancel()
		<-s.done
	}
}

// fallSilent seeks a standby for the attempt. A standby that is silent itself fails,
// so that another agent is tried.
func (a *attempt) fallSilent(ctx context.Context) {
	x := a.x
	x.turns.Lock()
	defer x.turns.Unlock()
	switch {
	case a.busy || !a.start.Repeatable || ctx.Err() != nil:
	case x.turns.owner == a:
		x.turns.owner = nil
		s := &standby{silent: a, resumeFrom: x.asm.NextToken(), sound: x.suspicion.proof.Done, done: make(chan struct{})}
		if s.resumeFrom > 0 {
			s.digest = x.asm.Digest()
		}
		ctx, s.cancel = context.WithCancel(ctx)
		a.standby = s
		go s.seek(ctx)
	case x.turns.owner == nil && a.standby == nil:
		a.cancel()
	}
}

// seek tries agents one after another until one has gone on and ended.
func (s *standby) seek(ctx context.Context) {
	defer close(s.done)
	defer s.cancel()
	x := s.silent.x
	if !x.standbyWindow && !x.req.reserve(int(x.start.CreditBytes)) {
		return
	}
	x.standbyWindow = true
	exclude := map[string]bool{s.silent.target.Instance: true}
	for n := 0; ctx.Err() == nil; n++ {
		t, ok := s.reserve(exclude)
		if !ok {
			exclude = map[string]bool{s.silent.target.Instance: true}
			if !x.sleepBackoff(ctx, n) {
				return
			}
			continue
		}
		exclude[t.Instance] = true
		if s.try(ctx, t) {
			return
		}
	}
}

// try makes one attempt. It returns true if the attempt has gone on in place of the
// silent one.
func (s *standby) try(ctx context.Context, t target) bool {
	x, sent := s.silent.x, s.silent.x.entry.cfg.Clock.Now()
	start := proto.CloneOf(x.start)
	start.ResumeFrom, start.VersionDigest = s.resumeFrom, s.digest
	next := x.newAttempt(t, start)
	next.replaces = s.silent
	x.turns.Lock()
	s.next = next
	x.turns.Unlock()
	s.last, s.err = next.run(ctx)
	x.turns.Lock()
	s.next = nil
	superseded := s.silent.superseded
	x.turns.Unlock()
	var oe *awoutcome.Error
	if superseded || !errors.As(s.err, &oe) {
		return superseded
	}
	if oe.Outcome != awoutcome.NotRun {
		x.possibleRuns++
	}
	if oe.Reason == awoutcome.EngineCrashed && !s.sound {
		x.recordCrash(t.Instance, oe.Engine, sent)
	}
	return false
}

// reserve picks an agent and charges the retry budget. It returns false if there is
// none or the request may not run once more.
func (s *standby) reserve(exclude map[string]bool) (target, bool) {
	x, e := s.silent.x, s.silent.x.entry
	e.mu.Lock()
	_, blocked := e.quarantine.Blocked(x.suspicion.parts)
	e.mu.Unlock()
	action, cost := awretry.Decide(awretry.Failure{
		Err: errSilent, Repeatable: true, PossibleRuns: x.possibleRuns + 1, Crashes: x.suspicion.crashes,
		DeliveredTokens: s.resumeFrom, PromptTokens: x.start.PromptTokens, MaxTokens: x.start.MaxTokens,
	})
	if blocked || action == awretry.Stop {
		return target{}, false
	}
	t, _, ok := e.pickTarget(agentFilter{model: x.start.Model, digest: s.digest, prefixes: x.prefixes, exclude: exclude})
	if !ok {
		return target{}, false
	}
	if !e.withdrawRetry(cost) {
		t.release()
		return target{}, false
	}
	retries.Inc()
	return t, true
}
