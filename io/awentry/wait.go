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
	// maxWaitingRequests limits the requests that wait for a backend server.
	maxWaitingRequests = 1024
	// noAgentTimeout limits the wait while no agent is eligible for the request. It
	// covers the time to reconnect a lost link or to find a restarted agent.
	noAgentTimeout = 5 * time.Second
	// defaultRetryAfterMs is the Retry-After hint, in milliseconds, when no
	// better estimate is known.
	defaultRetryAfterMs = 1000
)

func overloadedError(detail string, afterMs uint32) *awoutcome.Error {
	return &awoutcome.Error{Outcome: awoutcome.NotRun, Reason: awoutcome.Overloaded, Detail: detail, RetryAfterMs: afterMs}
}

// chooseAgent picks an agent. While none has capacity, the request waits in the
// wait queue until its deadline, unless a request of higher priority evicts it.
func (x *dispatchState) chooseAgent(ctx context.Context) (target, error) {
	if x.asm.NextToken() > 0 || !x.entry.hasWaiterAhead(x.start.Model, x.req.priority) {
		if t, cands, ok := x.pick(); ok {
			return t, nil
		} else if err := x.checkExpectedWait(cands); err != nil {
			return target{}, err
		}
	}
	if x.lastErr != nil && x.lastErr.Reason == awoutcome.Deadline && x.asm.NextToken() == 0 {
		// No agent is left that has not refused, and the last one refused because
		// too little time is left. Asking again until the deadline would cost the
		// agents more than the work itself.
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
		return target{}, overloadedError("the wait queue is full for requests of this priority", defaultRetryAfterMs)
	}
	defer x.entry.removeWaiter(waiter)
	return x.waitForAgent(waitCtx, woken, &evicted)
}

// awaitWake waits until the request is woken or the backoff has passed. It
// returns false when the request ended first.
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

// waitForAgent picks again after each backoff or wake-up. Agents that refused
// become eligible again, because the cause of the refusal may be gone.
func (x *dispatchState) waitForAgent(ctx context.Context, woken <-chan struct{}, evicted *atomic.Bool) (target, error) {
	noAgentSince := time.Time{}
	for {
		clear(x.exclude)
		if !x.awaitWake(ctx, woken) {
			if evicted.Load() {
				return target{}, overloadedError("evicted from the wait queue by a request of higher priority", defaultRetryAfterMs)
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

// hasKnownAgent reports whether any agent of the model is known, in any state.
func (x *dispatchState) hasKnownAgent() bool { return x.entry.fleet.isModelKnown(x.start.Model) }

// resetAnswer discards a partial answer whose weights no agent serves any more, so
// that other weights can answer from the start. It returns false when there is
// no partial answer or a part of it was already sent to the caller.
func (x *dispatchState) resetAnswer() bool {
	if x.asm.NextToken() == 0 || !x.out.reset() {
		return false
	}
	x.asm.Reset()
	x.start.ResumeFrom, x.start.VersionDigest = 0, ""
	return true
}

// willMissDeadline reports whether an answer that starts now is expected to exceed
// the deadline that the caller set.
func (x *dispatchState) willMissDeadline() bool {
	if !x.req.explicitDeadline || x.asm.NextToken() > 0 {
		return false
	}
	e := x.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latency.WillMissDeadline(x.start.Model, x.start.MaxTokens, time.Until(x.req.deadline))
}

// noAgentError returns the error of the last attempt, or why no agent was available.
func (x *dispatchState) noAgentError() error {
	if x.lastErr != nil {
		return x.lastErr
	}
	if x.hasKnownAgent() {
		return overloadedError("no backend server has capacity", defaultRetryAfterMs)
	}
	return awoutcome.Refuse(awoutcome.NoBackend, "no backend server serves "+x.start.Model)
}

// checkExpectedWait returns an error if the expected wait at every agent exceeds the
// request's deadline.
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

// wakeWaiters wakes up to n requests that wait for the model.
func (e *Entry) wakeWaiters(model string, n int) {
	e.mu.Lock()
	e.waitQueue.Wake(model, n)
	e.mu.Unlock()
}
