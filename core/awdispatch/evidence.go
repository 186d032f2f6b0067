package awdispatch

import (
	"time"

	"arbutuswind/core/awbalance"
)

// evidence is what this entry knows of one backend server from its own requests.
type evidence struct {
	service *serviceEvidence
	running int     // own requests whose work is estimated
	work    float64 // their remaining work
	answers awbalance.Answers
}

// serviceEvidence is what this entry has learned about the requests of one service.
type serviceEvidence struct {
	estimator awbalance.Estimator
	usual     awbalance.Usual
}

// runningWork is the estimated work of a request that this entry runs.
type runningWork struct {
	server    *server
	service   *serviceEvidence
	expected  awbalance.Expected
	kind      string
	began     time.Time
	events    int
	resumed   bool // the response is the rest of a stream
	remaining float64
}

// Began records the expected work of a request for which a grant was made. Answers of
// the same kind take about the same time. The choice among the servers of a service
// accounts for work only if this is called for its grants; unlike other methods, decide
// may call it.
func (d *Dispatcher) Began(g *Grant, expected awbalance.Expected, kind string) {
	s := d.servers[g.Server.Key()]
	if s == nil {
		return
	}
	if d.running == nil {
		d.running, d.evidence = map[*Grant]*runningWork{}, map[string]*serviceEvidence{}
	}
	e := d.evidence[s.info.Service]
	if e == nil {
		e = &serviceEvidence{}
		d.evidence[s.info.Service] = e
	}
	if s.evidence == nil {
		s.evidence = &evidence{service: e}
	}
	e.estimator.Sent(&expected)
	r := &runningWork{
		server: s, service: e, expected: expected, kind: kind, began: d.cfg.Clock.Now(), remaining: e.estimator.Remaining(&expected, 0),
	}
	s.evidence.running++
	s.evidence.work += r.remaining
	d.running[g] = r
}

// Progress records how many events of a response have arrived.
func (d *Dispatcher) Progress(g *Grant, events int) {
	r := d.running[g]
	if r == nil || events == r.events {
		return
	}
	r.events = events
	remaining := r.service.estimator.Remaining(&r.expected, events)
	r.server.evidence.work += remaining - r.remaining
	r.remaining = remaining
}

// Resumed records that a response is only the rest of a stream. Its events say nothing
// of the tokens per event, since the estimate of its output is that of the whole.
func (d *Dispatcher) Resumed(g *Grant) {
	if r := d.running[g]; r != nil {
		r.resumed = true
	}
}

// Answered records that the whole of a successful response has arrived from the backend
// server. It must be called before the response is written to the caller, who may be
// slow. The duration counts only at services that are no engines, since engines report
// their load. It is not called for a response that is forwarded while it arrives.
func (d *Dispatcher) Answered(g *Grant) {
	r := d.running[g]
	if r == nil || d.services[r.server.info.Service].Engine {
		return
	}
	now := d.cfg.Clock.Now()
	r.server.evidence.answers.Add(r.service.usual.Ratio(r.kind, now.Sub(r.began)), now)
}

// Ended records how a request for which [Dispatcher.Began] was called has ended. The
// number of events must have been recorded with [Dispatcher.Progress]. The caller still
// has to release the grant.
func (d *Dispatcher) Ended(g *Grant, outcome Outcome) {
	r := d.running[g]
	if r == nil {
		return
	}
	delete(d.running, g)
	e := r.server.evidence
	e.running--
	e.work -= r.remaining
	if e.running == 0 {
		e.work = 0 // removes the error of the sums
	}
	if outcome == Succeeded && !r.resumed {
		r.service.estimator.Ended(&r.expected, r.events)
	}
}

// evidenceLoad returns what this entry's own requests say about the load of a backend
// server beyond their number: by how much more work they are than as many mean
// requests, and how much slower than usual a server without load reports has answered.
func (d *Dispatcher) evidenceLoad(s *server, now time.Time) float64 {
	e := s.evidence
	if e == nil {
		return 0
	}
	extra := e.service.estimator.Relative(e.work) - float64(e.running)
	return extra/float64(max(1, s.info.Slots)) + e.answers.Penalty(now)
}
