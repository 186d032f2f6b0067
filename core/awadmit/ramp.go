package awadmit

import (
	"math/bits"
	"time"
)

// ColdCause states why the limit was lowered to the cold limit.
type ColdCause string

// The causes.
const (
	CauseNone     ColdCause = ""
	CauseRestart  ColdCause = "restart"
	CauseReported ColdCause = "reported-cold"
	CauseSlow     ColdCause = "first-token-jump"
	CauseFailed   ColdCause = "failed"
)

const (
	// jumpFactor and jumpSlack tell a cold backend server from jitter: three
	// times the usual time to first token plus one scheduling hiccup.
	jumpFactor = 3
	jumpSlack  = 50 * time.Millisecond
	// jumpSamples is the number of slow samples in a row that count as a jump;
	// a single one is often a long prompt or a full batch.
	jumpSamples = 3
	// baselineSamples is the number of samples before a baseline is trusted.
	baselineSamples = 8
	baselineWeight  = 16
	sizeClasses     = 33 // powers of two of a 32-bit prompt length
)

// ramp holds the limit of requests in flight. It doubles after as many
// requests as the limit allows at once have finished whole at that limit.
type ramp struct {
	cold, max int
	limit     int
	epoch     uint64 // rises when the limit is lowered; older requests are no evidence
	finished  int    // whole answers since the limit last changed
	reported  bool   // the backend server reports a cold start
	boot      string
	baseline  [sizeClasses]baseline // by prompt size, since first tokens take longer for longer prompts
}

type baseline struct {
	mean    time.Duration
	samples int
	slow    int // slow samples in a row
}

func newRamp(cold, limit int) ramp {
	cold = min(max(1, cold), max(1, limit))
	return ramp{cold: cold, max: max(1, limit), limit: cold}
}

// lower returns to the cold limit. A baseline from before says nothing about
// the backend server that is slow now, so it is learned anew.
func (r *ramp) lower() {
	r.limit, r.finished = r.cold, 0
	r.epoch++
	r.baseline = [sizeClasses]baseline{}
}

func (r *ramp) raise() {
	r.finished++
	if r.reported || r.limit >= r.max || r.finished < r.limit {
		return
	}
	r.finished = 0
	r.limit = min(r.max, 2*r.limit)
}

// slow records a time to first token and reports whether it has jumped.
func (r *ramp) slow(promptTokens uint32, firstToken time.Duration) bool {
	b := &r.baseline[bits.Len32(promptTokens)]
	if b.samples >= baselineSamples && firstToken > jumpFactor*b.mean+jumpSlack {
		b.slow++
		return b.slow >= jumpSamples
	}
	b.slow = 0
	b.samples++
	b.mean += (firstToken - b.mean) / time.Duration(min(b.samples, baselineWeight))
	return false
}

// ObserveEngine takes the boot id and cold state that the backend server
// reports. A changed boot id or a cold report lowers the limit at once.
func (g *Controller) ObserveEngine(boot string, cold bool) ColdCause {
	cause := CauseNone
	switch {
	case g.ramp.boot != "" && boot != g.ramp.boot:
		cause = CauseRestart
	case cold && !g.ramp.reported:
		cause = CauseReported
	}
	g.ramp.boot, g.ramp.reported = boot, cold
	if cause != CauseNone {
		g.ramp.lower()
	}
	g.dispatch()
	return cause
}

// ObserveFirstToken records the time from the grant of t to its first token and
// returns it.
func (g *Controller) ObserveFirstToken(t *Ticket) (time.Duration, ColdCause) {
	d := g.cfg.Clock.Now().Sub(t.started)
	if t.epoch != g.ramp.epoch || !g.ramp.slow(t.req.PromptTokens, d) {
		return d, CauseNone
	}
	g.ramp.lower()
	return d, CauseSlow
}

// ObserveFinish records that t was answered whole. Only requests granted since the
// limit was last lowered are evidence that it may rise.
func (g *Controller) ObserveFinish(t *Ticket) {
	if !t.req.Resume {
		g.estimate.observe(t.req, g.cfg.Clock.Now().Sub(t.started))
	}
	if t.epoch == g.ramp.epoch {
		g.ramp.raise()
		g.dispatch()
	}
}

// ObserveFailure records that the backend server did not answer at all, as after a
// restart that has not been reported yet.
func (g *Controller) ObserveFailure(t *Ticket) ColdCause {
	if t.epoch != g.ramp.epoch {
		return CauseNone
	}
	g.ramp.lower()
	return CauseFailed
}
