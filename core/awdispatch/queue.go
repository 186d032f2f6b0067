package awdispatch

import (
	"slices"
	"time"

	"arbutuswind/core/awdirectory"
)

// Grant is the place of a request at a backend server. It must be given back
// by [Dispatcher.Release].
type Grant struct {
	Server  awdirectory.Server
	Version int64         // weights that the backend server is known to hold; 0 unknown
	Load    float64       // of the backend server when it was chosen, 0 to 1
	LoadAge time.Duration // of the report behind Load; 0 if there is none
}

// Decision is the end of a wait.
type Decision struct {
	Grant      *Grant // nil when refused
	Refusal    Refusal
	RetryAfter time.Duration
}

// Ticket is a request that waits.
type Ticket struct {
	req       Request
	waitUntil time.Time
	decide    func(Decision)
	done      bool
}

const (
	// intervalSmoothing smooths the interval between two placements.
	intervalSmoothing = 8
	// The spread of Retry-After: callers that were refused together come back
	// apart from each other.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
	// minNoServerRetry is the time after which a backend server may have come
	// back: restarts and loads take about that long.
	minNoServerRetry = time.Second
	// distancePenalty is the load that outweighs one step further away.
	distancePenalty = 0.08
	// tieBreakWeight spreads requests over backend servers with the same load, below
	// the weight of one request in a batch.
	tieBreakWeight = 0.01
)

// placementRate is what an entry sees of a service as a whole.
type placementRate struct {
	interval time.Duration // between two placements
	last     time.Time
}

func (r *placementRate) observe(now time.Time) {
	if !r.last.IsZero() {
		r.interval += (min(now.Sub(r.last), time.Second) - r.interval) / intervalSmoothing
	}
	r.last = now
}

// Submit places a request, lets it wait or refuses it. The function decide is
// called once, at once or later; it must not call the dispatcher.
func (d *Dispatcher) Submit(req Request, decide func(Decision)) *Ticket {
	now := d.cfg.Clock.Now()
	t := &Ticket{req: req, waitUntil: now.Add(req.MaxWait), decide: decide}
	if req.Deadline.Before(t.waitUntil) {
		t.waitUntil = req.Deadline
	}
	queue := d.queues[req.Service]
	if (len(queue) == 0 || req.before(&queue[0].req)) && d.place(t, now) {
		return t
	}
	if !d.anyUsable(&req, now) {
		t.finish(Decision{Refusal: NoServer, RetryAfter: d.randomDuration(minNoServerRetry, 2*minNoServerRetry)})
		return t
	}
	position := len(queue)
	for position > 0 && req.before(&queue[position-1].req) {
		position--
	}
	if wait := d.expectedWait(req.Service, position); now.Add(wait).After(t.waitUntil) {
		t.finish(Decision{Refusal: NoRoom, RetryAfter: d.randomDuration(minRetryAfter, maxRetryAfter)})
		return t
	}
	d.queues[req.Service] = slices.Insert(queue, position, t)
	return t
}

// before reports whether r goes before other, which came earlier.
func (r *Request) before(other *Request) bool {
	if r.Priority != other.Priority {
		return r.Priority < other.Priority
	}
	return !r.Late && other.Late
}

func (d *Dispatcher) placementRate(service string) *placementRate {
	r := d.placementRates[service]
	if r == nil {
		r = &placementRate{}
		d.placementRates[service] = r
	}
	return r
}

// expectedWait estimates when the request at a place of the queue gets room.
func (d *Dispatcher) expectedWait(service string, position int) time.Duration {
	return time.Duration(position) * d.placementRate(service).interval
}

func (d *Dispatcher) randomDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(d.cfg.Rand.Int64N(int64(to-from)+1))
}

// Cancel removes a request whose caller has left.
func (d *Dispatcher) Cancel(t *Ticket) {
	t.done = true
	q := d.queues[t.req.Service]
	if i := slices.Index(q, t); i >= 0 {
		d.queues[t.req.Service] = slices.Delete(q, i, i+1)
	}
}

func (t *Ticket) finish(dec Decision) {
	t.done = true
	t.decide(dec)
}

// Release gives a place back.
func (d *Dispatcher) Release(g *Grant, outcome Outcome) {
	now := d.cfg.Clock.Now()
	k := g.Server.Key()
	s := d.servers[k]
	if s == nil {
		return
	}
	s.ownRequests--
	switch outcome {
	case Succeeded:
		d.ejector.RecordSuccess(ejectID(k))
	case Failed:
		d.ejector.RecordFailure(ejectID(k), len(d.byService[s.info.Service]), now)
	case Rejected:
		s.rejectedUntil = now.Add(rejectedBackoff)
	case Replaced:
		s.replaced = true
	case Abandoned:
	}
	d.placeWaiting(s.info.Service)
}

func (d *Dispatcher) placeAllWaiting() {
	for service := range d.queues {
		d.placeWaiting(service)
	}
}

// placeWaiting places the waiting requests of a service in their order and refuses
// those whose time is up.
func (d *Dispatcher) placeWaiting(service string) {
	now := d.cfg.Clock.Now()
	queue := d.queues[service]
	kept := queue[:0]
	for _, t := range queue {
		switch {
		case t.done, d.place(t, now):
		case !now.Before(t.waitUntil):
			t.finish(Decision{Refusal: NoRoom, RetryAfter: d.randomDuration(minRetryAfter, maxRetryAfter)})
		default:
			kept = append(kept, t)
		}
	}
	clear(queue[len(kept):])
	d.queues[service] = kept
}

// place grants the best backend server to a request, if one has room.
func (d *Dispatcher) place(t *Ticket, now time.Time) bool {
	svc := d.services[t.req.Service]
	var best *server
	bestScore, bestLoad := 0.0, 0.0
	for _, s := range d.byService[t.req.Service] {
		if !d.usable(s, &t.req, now) || now.Before(s.rejectedUntil) {
			continue
		}
		free, load := s.capacity(now, svc, d.entryCount)
		if free <= 0 || (s.cold(now) && !s.mayTakeColdRequest(now, svc.ColdRate, d.entryCount)) || !s.fitsMemory(now, t.req.Tokens) {
			continue
		}
		score := load + distancePenalty*d.distance(&s.info) + tieBreakWeight*d.cfg.Rand.Float64()
		if best == nil || score < bestScore {
			best, bestScore, bestLoad = s, score, load
		}
	}
	if best == nil {
		return false
	}
	best.ownRequests++
	best.allowance--
	if best.cold(now) {
		best.coldSends = append(best.coldSends, now)
	}
	d.placementRate(t.req.Service).observe(now)
	grant := &Grant{Server: best.info, Version: best.versions(now)[t.req.Model], Load: bestLoad}
	if best.fresh(now) {
		grant.LoadAge = now.Sub(best.load.At)
	}
	t.finish(Decision{Grant: grant})
	return true
}

// fitsMemory reports whether the memory for a request is free.
func (s *server) fitsMemory(now time.Time, tokens int) bool {
	return !s.fresh(now) || s.load.CacheTotal == 0 || s.load.CacheUsed+tokens <= s.load.CacheTotal
}

func (d *Dispatcher) distance(info *awdirectory.Server) float64 {
	switch {
	case info.Domain == d.cfg.Domain:
		return 0
	case info.Region == d.cfg.Region:
		return 1
	}
	return 2
}

func (d *Dispatcher) anyUsable(req *Request, now time.Time) bool {
	for _, s := range d.byService[req.Service] {
		if d.usable(s, req, now) {
			return true
		}
	}
	return false
}

// usable reports whether a backend server may run a request at all, now or in
// a moment.
func (d *Dispatcher) usable(s *server, req *Request, now time.Time) bool {
	k := s.info.Key()
	if s.info.Draining || d.domainsOut[s.info.Domain] || req.Avoid[k] || s.replaced ||
		(req.Allowed != nil && !req.Allowed(s.info.Region)) || d.ejector.IsEjected(ejectID(k), now) {
		return false
	}
	if req.Model == "" {
		return true
	}
	if s.fresh(now) && s.load.Busy {
		return false
	}
	v := s.versions(now)[req.Model]
	return v > 0 && v >= awdirectory.FloorAt(d.floors[req.Model], now) && (req.Version == 0 || v == req.Version)
}
