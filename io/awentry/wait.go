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
	// roomPlaces bounds the requests that wait for a backend server.
	roomPlaces = 1024
	// absentWait bounds the wait while no agent at all may take the request.
	// It covers the time in which a lost link or a restarted agent is found.
	absentWait = 5 * time.Second
	// retryAfterMs is the hint to callers where nothing better is known.
	retryAfterMs = 1000
)

func overloaded(detail string, afterMs uint32) *awoutcome.Error {
	return &awoutcome.Error{Outcome: awoutcome.NotRun, Reason: awoutcome.Overloaded, Detail: detail, RetryAfterMs: afterMs}
}

// choose picks an agent. While none has room it waits, within the deadline and
// as long as requests of higher priority leave it a place.
func (x *exchange) choose(ctx context.Context) (target, error) {
	if x.asm.NextToken() > 0 || !x.entry.ahead(x.start.Model, x.req.priority) {
		if t, cands, ok := x.pick(); ok {
			return t, nil
		} else if err := x.refuseEarly(cands); err != nil {
			return target{}, err
		}
	}
	if x.waited != nil && x.waited.Reason == awoutcome.Deadline && x.asm.NextToken() == 0 {
		// Every agent was asked, and the time left only shrinks. Asking again
		// until the deadline costs the agents more than the work itself.
		return target{}, x.waited
	}
	var evicted atomic.Bool
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	woken := make(chan struct{}, 1)
	ticket := x.entry.enterRoom(x.start.Model, x.req.priority, func() {
		evicted.Store(true)
		cancel()
	}, func() {
		select {
		case woken <- struct{}{}:
		default:
		}
	})
	if ticket == nil {
		return target{}, overloaded("too many requests of this priority wait", retryAfterMs)
	}
	defer x.entry.leaveRoom(ticket)
	return x.wait(waitCtx, woken, &evicted)
}

// rest waits until the request is woken or the backoff has passed; it returns
// false when the request has ended.
func (x *exchange) rest(ctx context.Context, woken <-chan struct{}) bool {
	timer := time.NewTimer(x.entry.backoff(x.waits))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-woken:
	case <-timer.C:
	}
	return true
}

// wait picks again after each backoff. Agents that refused are asked again,
// because what they refused for may have passed.
func (x *exchange) wait(ctx context.Context, woken <-chan struct{}, evicted *atomic.Bool) (target, error) {
	absentSince := time.Time{}
	for {
		clear(x.exclude)
		if !x.rest(ctx, woken) {
			if evicted.Load() {
				return target{}, overloaded("requests of higher priority took the place", retryAfterMs)
			}
			return target{}, x.noRoom()
		}
		x.waits++
		if x.tooLate() {
			return target{}, overloaded("too little time is left to answer before the deadline", retryAfterMs)
		}
		t, cands, ok := x.pick()
		if ok {
			return t, nil
		}
		if len(cands) > 0 {
			absentSince = time.Time{}
			if err := x.refuseEarly(cands); err != nil {
				return target{}, err
			}
			continue
		}
		now := time.Now()
		if absentSince.IsZero() {
			absentSince = now
		}
		if now.Sub(absentSince) < absentWait && x.known() {
			continue
		}
		if !x.restart() {
			return target{}, x.noRoom()
		}
		absentSince = time.Time{}
	}
}

func (x *exchange) pick() (target, []awroute.Candidate, bool) {
	digest := x.start.VersionDigest
	if x.asm.NextToken() > 0 {
		digest = x.asm.Digest()
	}
	w := agentFilter{model: x.start.Model, digest: digest, prefixes: x.prefixes, exclude: x.exclude}
	return x.entry.choose(w)
}

// known reports whether agents of the model exist, whatever their state.
func (x *exchange) known() bool { return x.entry.fleet.isModelKnown(x.start.Model) }

// restart drops an answer of weights that no agent serves any more, so that
// other weights can answer from the start. It returns false when the caller
// has got a part of it.
func (x *exchange) restart() bool {
	if x.asm.NextToken() == 0 || !x.out.restart() {
		return false
	}
	x.asm.Reset()
	x.start.ResumeFrom, x.start.VersionDigest = 0, ""
	return true
}

// tooLate reports whether an answer that begins now would be cut at the
// deadline that the caller has stated.
func (x *exchange) tooLate() bool {
	if !x.req.stated || x.asm.NextToken() > 0 {
		return false
	}
	e := x.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pace.WillMissDeadline(x.start.Model, x.start.MaxTokens, time.Until(x.req.deadline))
}

// noRoom returns the last refusal, or that no agent serves the model.
func (x *exchange) noRoom() error {
	if x.waited != nil {
		return x.waited
	}
	if x.known() {
		return overloaded("no backend server has room", retryAfterMs)
	}
	return awoutcome.Refuse(awoutcome.NoBackend, "no backend server serves "+x.start.Model)
}

// refuseEarly refuses a request whose deadline every agent's expected wait
// exceeds.
func (x *exchange) refuseEarly(cands []awroute.Candidate) error {
	if x.asm.NextToken() > 0 {
		return nil
	}
	waits := make([]uint32, 0, len(cands))
	for _, c := range cands {
		waits = append(waits, c.WaitMs)
	}
	if shortest, refuse := awlimit.WaitExceedsDeadline(waits, time.Until(x.req.deadline).Milliseconds()); refuse {
		return overloaded("the expected wait exceeds the deadline", max(shortest, retryAfterMs))
	}
	return nil
}

func (e *Entry) enterRoom(model string, priority uint32, evict, wake func()) *awlimit.Waiter {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.room.ShouldShed(priority) {
		return nil
	}
	return e.room.Enqueue(model, priority, evict, wake)
}

func (e *Entry) leaveRoom(t *awlimit.Waiter) {
	e.mu.Lock()
	e.room.Remove(t)
	e.mu.Unlock()
}

func (e *Entry) ahead(model string, priority uint32) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.room.HasWaiterAhead(model, priority)
}

// hasRoom wakes requests that wait for a model of which n more may run.
func (e *Entry) hasRoom(model string, n int) {
	e.mu.Lock()
	e.room.Wake(model, n)
	e.mu.Unlock()
}
