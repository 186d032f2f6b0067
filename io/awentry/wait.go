package awentry

import (
	"context"
	"sync/atomic"
	"time"

	"arbutuswind/core/awlimit"
	"arbutuswind/core/awoutcome"
	"arbutuswind/core/awroute"
)

const (
	// maxWaitingRequests bounds the requests that wait for a backend server.
	maxWaitingRequests = 1024
	// noAgentTimeout bounds the wait while no agent at all may take the request.
	// It covers the time in which a lost link or a restarted agent is found.
	noAgentTimeout = 5 * time.Second
	// defaultRetryAfterMs is the hint to callers where nothing better is known.
	defaultRetryAfterMs = 1000
)

func overloadedError(detail string, afterMs uint32) *awoutcome.Error {
	return &awoutcome.Error{Outcome: awoutcome.NotRun, Reason: awoutcome.Overloaded, Detail: detail, RetryAfterMs: afterMs}
}

// chooseAgent picks an agent. While none has room it waits, within the deadline and
// as long as requests of higher priority leave it a place.
func (x *dispatchState) chooseAgent(ctx context.Context) (target, error) {
	if x.asm.NextToken() > 0 || !x.entry.hasWaiterAhead(x.start.Model, x.req.priority) {
		if t, cands, ok := x.pick(); ok {
			return t, nil
		} else if err := x.checkExpectedWait(cands); err != nil {
			return target{}, err
		}
	}
	if x.lastErr != nil && x.lastErr.Reason == awoutcome.Deadline && x.asm.NextToken() == 0 {
		// Every agent was asked, and the time left only shrinks. Asking again
		// until the deadline costs the agents more than the work itself.
		return target{}, x.lastErr
	}
	var evicted atomic.Bool
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	woken := make(chan struct{}, 1)
	waiter := x.entry.enqueueWaiter(x.start.Model, x.req.priority, func() {
		evicted.Store(true)
		cancel()
	}, func() {
		select {
		case woken <- struct{}{}:
		default:
		}
	})
	if waiter == nil {
		return target{}, overloadedError("too many requests of this priority wait", defaultRetryAfterMs)
	}
	defer x.entry.removeWaiter(waiter)
	return x.waitForAgent(waitCtx, woken, &evicted)
}

// awaitWake waits until the request is woken or the backoff has passed; it returns
// false when the request has ended.
func (x *dispatchState) awaitWake(ctx context.Context, woken <-chan struct{}) bool {
	timer := time.NewTimer(x.entry.backoff(x.backoffs))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-woken:
	case <-timer.C:
	}
	return true
}

// waitForAgent picks again after each backoff. Agents that refused are asked again,
// because what they refused for may have passed.
func (x *dispatchState) waitForAgent(ctx context.Context, woken <-chan struct{}, evicted *atomic.Bool) (target, error) {
	noAgentSince := time.Time{}
	for {
		clear(x.exclude)
		if !x.awaitWake(ctx, woken) {
			if evicted.Load() {
				return target{}, overloadedError("requests of higher priority took the place", defaultRetryAfterMs)
			}
			return target{}, x.noAgentError()
		}
		x.backoffs++
		if x.willMissDeadline() {
			return target{}, overloadedError("too little time is left to answer before the deadline", defaultRetryAfterMs)
		}
		t, cands, ok := x.pick()
		if ok {
			return t, nil
		}
		if len(cands) > 0 {
			noAgentSince = time.Time{}
			if err := x.checkExpectedWait(cands); err != nil {
				return target{}, err
			}
			continue
		}
		now := time.Now()
		if noAgentSince.IsZero() {
			noAgentSince = now
		}
		if now.Sub(noAgentSince) < noAgentTimeout && x.hasKnownAgent() {
			continue
		}
		if !x.resetAnswer() {
			return target{}, x.noAgentError()
		}
		noAgentSince = time.Time{}
	}
}

func (x *dispatchState) pick() (target, []awroute.Candidate, bool) {
	digest := x.start.VersionDigest
	if x.asm.NextToken() > 0 {
		digest = x.asm.Digest()
	}
	w := agentFilter{model: x.start.Model, digest: digest, prefixes: x.prefixes, exclude: x.exclude}
	return x.entry.pickTarget(w)
}

// hasKnownAgent reports whether agents of the model exist, whatever their state.
func (x *dispatchState) hasKnownAgent() bool { return x.entry.fleet.isModelKnown(x.start.Model) }

// resetAnswer drops an answer of weights that no agent serves any more, so that
// other weights can answer from the start. It returns false when the caller
// has got a part of it.
func (x *dispatchState) resetAnswer() bool {
	if x.asm.NextToken() == 0 || !x.out.reset() {
		return false
	}
	x.asm.Reset()
	x.start.ResumeFrom, x.start.VersionDigest = 0, ""
	return true
}

// willMissDeadline reports whether an answer that begins now would be cut at the
// deadline that the caller has stated.
func (x *dispatchState) willMissDeadline() bool {
	if !x.req.explicitDeadline || x.asm.NextToken() > 0 {
		return false
	}
	e := x.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latency.WillMissDeadline(x.start.Model, x.start.MaxTokens, time.Until(x.req.deadline))
}

// noAgentError returns the last refusal, or that no agent serves the model.
func (x *dispatchState) noAgentError() error {
	if x.lastErr != nil {
		return x.lastErr
	}
	if x.hasKnownAgent() {
		return overloadedError("no backend server has room", defaultRetryAfterMs)
	}
	return awoutcome.Refuse(awoutcome.NoBackend, "no backend server serves "+x.start.Model)
}

// checkExpectedWait refuses a request whose deadline every agent's expected wait
// exceeds.
func (x *dispatchState) checkExpectedWait(cands []awroute.Candidate) error {
	if x.asm.NextToken() > 0 {
		return nil
	}
	waits := make([]uint32, 0, len(cands))
	for _, c := range cands {
		waits = append(waits, c.WaitMs)
	}
	if shortest, refuse := awlimit.WaitExceedsDeadline(waits, time.Until(x.req.deadline).Milliseconds()); refuse {
		return overloadedError("the expected wait exceeds the deadline", max(shortest, defaultRetryAfterMs))
	}
	return nil
}

func (e *Entry) enqueueWaiter(model string, priority uint32, evict, wake func()) *awlimit.Waiter {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waitQueue.ShouldShed(priority) {
		return nil
	}
	return e.waitQueue.Enqueue(model, priority, evict, wake)
}

func (e *Entry) removeWaiter(w *awlimit.Waiter) {
	e.mu.Lock()
	e.waitQueue.Remove(w)
	e.mu.Unlock()
}

func (e *Entry) hasWaiterAhead(model string, priority uint32) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.waitQueue.HasWaiterAhead(model, priority)
}

// wakeWaiters wakes requests that wait for a model of which n more may run.
func (e *Entry) wakeWaiters(model string, n int) {
	e.mu.Lock()
	e.waitQueue.Wake(model, n)
	e.mu.Unlock()
}
