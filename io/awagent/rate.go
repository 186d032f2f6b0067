package awagent

import (
	"context"
	"time"

	"arbutuswind/core/awthrottle"
)

// observeSignals records what the backend server says about itself in a response
// to a request sent at the given time. All requests to it pass through this agent,
// so the agent alone keeps to its rate limit.
func (a *Agent) observeSignals(s awthrottle.Signals, sent time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.account.Observe(s, sent, a.cfg.Clock.Now()).Limit {
		a.applyRateLimit()
	}
}

// forgetSignals drops what an earlier incarnation of the backend server has said.
// The caller holds mu.
func (a *Agent) forgetSignals() {
	_, limited := a.account.Limit()
	a.account = awthrottle.Account{}
	if limited {
		a.applyRateLimit()
	}
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
