package awagent

import (
	"context"
	"time"

	"arbutuswind/core/awoutcome"
	"arbutuswind/core/awthrottle"
)

// observeSignals records what the backend server says about itself in a response
// to a request sent at the given time. All requests to it pass through this agent,
// so the agent alone keeps to its rate limit.
func (a *Agent) observeSignals(s awthrottle.Signals, sent time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cfg.Settings.Backend.Service != "" && s.Leaving {
		// The agent cannot see that a plain service has started again, so it tries it
		// again after a while.
		s.Leaving, s.Pause = false, max(s.Pause, serviceRestartTime)
	}
	c := a.account.Observe(s, sent, a.cfg.Clock.Now())
	if c.Limit {
		a.applyRateLimit()
	}
	if c.Leaving {
		a.log("Message", "backend server is leaving")
		a.admission.FlushQueue(awoutcome.Leaving, "backend server is leaving")
		a.notify()
	}
	if c.Pause {
		a.log("Message", "backend server asks for a pause", "PauseMs", s.Pause.Milliseconds())
		a.admission.FlushQueue(awoutcome.QueueFull, "backend server asks for a pause")
		a.notify()
	}
}

// serviceRestartTime is how long a plain service that says that it is leaving gets
// no requests.
const serviceRestartTime = 2 * time.Second

// checkSignals returns an error if the backend server has said that it is leaving
// or has asked for a pause. The caller holds mu.
func (a *Agent) checkSignals(now time.Time) *awoutcome.Error {
	switch left := a.account.PausedUntil.Sub(now); {
	case a.account.Leaving:
		return awoutcome.Refuse(awoutcome.Leaving, "backend server is leaving")
	case left > 0:
		e := awoutcome.Refuse(awoutcome.QueueFull, "backend server asks for a pause")
		e.RetryAfterMs = uint32(left.Milliseconds()) + 1
		return e
	}
	return nil
}

// forgetSignals drops what an earlier incarnation of the backend server has said.
// The caller holds mu.
func (a *Agent) forgetSignals() {
	_, limited := a.account.Limit()
	a.account = awthrottle.Account{}
	if limited {
		a.applyRateLimit()
	}
	a.notify()
}

// applyRateLimit applies a changed rate limit. The caller holds mu.
func (a *Agent) applyRateLimit() {
	rate, limited := a.account.Limit()
	if limited {
		a.log("Message", "rate limit named", "PerSecond", rate)
	} else {
		rate = 0
		a.log("Message", "rate limit lifted")
	}
	a.admission.SetRate(rate)
	a.notify()
	select {
	case a.rateChanged <- struct{}{}:
	default: // a signal is already pending
	}
}

// rateLoop admits requests and reports the free slot each time the rate limit
// allows another request.
func (a *Agent) rateLoop(ctx context.Context) {
	for {
		a.mu.Lock()
		wait, limited := a.admission.GrantDue()
		if limited {
			a.notify()
		}
		a.mu.Unlock()
		var due <-chan time.Time
		if limited {
			due = time.After(wait)
		}
		select {
		case <-ctx.Done():
			return
		case <-a.rateChanged:
		case <-due:
		}
	}
}
