package awadmit

import (
	"math/bits"
	"time"
)

// ColdCause is the reason why the limit was reset to the cold limit.
type ColdCause string

// The causes.
const (
	CauseNone     ColdCause = ""                 // the limit was not reset
	CauseRestart  ColdCause = "restart"          // the boot ID changed
	CauseReported ColdCause = "reported-cold"    // the backend server reported that it is cold
	CauseSlow     ColdCause = "first-token-jump" // the time to first token jumped
	CauseFailed   ColdCause = "failed"           // the backend server did not respond
)

const (
	// A time to first token is slow if it exceeds jumpFactor times the baseline
	// plus jumpSlack, which allows for one scheduling delay. This separates a cold
	// backend server from jitter.
	jumpFactor = 3
	jumpSlack  = 50 * time.Millisecond
	// jumpCount is the number of consecutive slow samples that count as a jump. A
	// single one is often caused by a long prompt or a full batch, and one short
	// silence of the backend server makes all requests slow that wait then.
	jumpCount = 3
	// baselineSamples is the number of samples needed before samples are compared
	// with the baseline.
	baselineSamples = 8
	baselineWindow  = 16 // samples that the moving average of the baseline covers
	sizeClasses     = 33 // bit lengths of a 32-bit prompt length
)

// limiter holds the limit of requests in flight. The limit doubles after as many
// requests as it allows have finished, unless the backend server reports that it is
// cold.
type limiter struct {
	cold, max    int
	limit        int
	epoch        uint64 // incremented on each reset; requests granted before it don't raise the limit
	finished     int    // requests finished since the limit last changed
	reportedCold bool   // the backend server reports that it is cold
	bootID       string
	baseline     [sizeClasses]baseline // by prompt size, since the first token takes longer for longer prompts
}

// baseline is the usual time to first token.
type baseline struct {
	mean            time.Duration
	samples         int
	consecutiveSlow int
	slowAt          time.Time // of the last slow sample that counted
}

func newLimiter(cold, limit int) limiter {
	cold = min(max(1, cold), max(1, limit))
	return limiter{cold: cold, max: max(1, limit), limit: cold}
}

// resetToCold sets the limit to the cold limit. It discards the baselines, which do
// not apply to a backend server in a different state.
func (l *limiter) resetToCold() {
	l.limit, l.finished = l.cold, 0
	l.epoch++
	l.baseline = [sizeClasses]baseline{}
}

// observeFinish counts a finished request and raises the limit when enough of them
// have finished.
func (l *limiter) observeFinish() {
	l.finished++
	if l.reportedCold || l.limit >= l.max || l.finished < l.limit {
		return
	}
	l.finished = 0
	l.limit = min(l.max, 2*l.limit)
}

// observeFirstToken records the time from a grant to the first token and reports
// whether it has jumped above the baseline. Slow samples are not added to the
// baseline. Those whose waits overlap count once.
func (l *limiter) observeFirstToken(promptTokens uint32, grantedAt, now time.Time) bool {
	b, firstToken := &l.baseline[bits.Len32(promptTokens)], now.Sub(grantedAt)
	if b.samples >= baselineSamples && firstToken > jumpFactor*b.mean+jumpSlack {
		if b.consecutiveSlow > 0 && grantedAt.Before(b.slowAt) {
			return false
		}
		b.slowAt = now
		b.consecutiveSlow++
		return b.consecutiveSlow >= jumpCount
	}
	b.consecutiveSlow = 0
	b.samples++
	b.mean += (firstToken - b.mean) / time.Duration(min(b.samples, baselineWindow))
	return false
}

// ObserveEngine records the boot ID and cold state that the backend server reports.
// A changed boot ID, or a change to cold, resets the limit at once. It returns the
// cause of a reset.
func (c *Controller) ObserveEngine(bootID string, cold bool) ColdCause {
	cause := CauseNone
	switch {
	case c.limiter.bootID != "" && bootID != c.limiter.bootID:
		cause = CauseRestart
	case cold && !c.limiter.reportedCold:
		cause = CauseReported
	}
	c.limiter.bootID, c.limiter.reportedCold = bootID, cold
	if cause != CauseNone {
		c.limiter.resetToCold()
	}
	c.dispatch()
	return cause
}

// ObserveFirstToken records the time from the grant of t to its first token. It
// returns that time and, if a jump in it reset the limit, the cause.
func (c *Controller) ObserveFirstToken(t *Ticket) (time.Duration, ColdCause) {
	now := c.cfg.Clock.Now()
	d := now.Sub(t.grantedAt)
	if t.epoch != c.limiter.epoch || !c.limiter.observeFirstToken(t.req.PromptTokens, t.grantedAt, now) {
		return d, CauseNone
	}
	c.limiter.resetToCold()
	return d, CauseSlow
}

// ObserveFinish records that t received its complete response. Only requests
// granted since the last reset count towards raising the limit.
func (c *Controller) ObserveFinish(t *Ticket) {
	if !t.req.Resume {
		c.estimate.observe(t.req, c.cfg.Clock.Now().Sub(t.grantedAt))
	}
	if t.epoch == c.limiter.epoch {
		c.limiter.observeFinish()
		c.dispatch()
	}
}

// ObserveFailure records that the backend server did not respond at all to t, for
// example because it restarted and has not reported that yet. It returns the cause
// if it reset the limit.
func (c *Controller) ObserveFailure(t *Ticket) ColdCause {
	if t.epoch != c.limiter.epoch {
		return CauseNone
	}
	c.limiter.resetToCold()
	return CauseFailed
}
