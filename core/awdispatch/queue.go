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
	req    Request
	until  time.Time
	decide func(Decision)
	gone   bool
}

const (
	// rateWeight smooths the interval between two placements.
	rateWeight = 8
	// The spread of Retry-After: callers that were refused together come back
	// apart from each other.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
	// noServerRetry is the time after which a backend server may have come
	// back: restarts and loads take about that long.
	noServerRetry = time.Second
	// distanceWeight is the load that outweighs one step further away.
	distanceWeight = 0.08
	// tieWeight spreads requests over backend servers with the same load, below
	// the weight of one request in a batch.
	tieWeight = 0.01
)

// rate is what an entry sees of a service as a whole.
type rate struct {
	interval time.Duration // between two placements
	last     time.Time
}

func (r *rate) observe(now time.Time) {
	if !r.last.IsZero() {
		r.interval += (min(now.Sub(r.last), time.Second) - r.interval) / rateWeight
	}
	r.last = now
}

// Submit places a request, lets it wait or refuses it. The function decide is
// called once, at once or later; it must not call the dispatcher.
func (d *Dispatcher) Submit(req Request, decide func(Decision)) *Ticket {
	now := d.cfg.Clock.Now()
	t := &Ticket{req: req, until: now.Add(req.MaxWait), decide: decide}
	if req.Deadline.Before(t.until) {
		t.until = req.Deadline
	}
	queue := d.queues[req.Service]
	if (len(queue) == 0 || req.before(&queue[0].req)) && d.place(t, now) {
		return t
	}
	if !d.anyUsable(&req, now) {
		t.finish(Decision{Refusal: NoServer, RetryAfter: d.spread(noServerRetry, 2*noServerRetry)})
		return t
	}
	at := len(queue)
	for at > 0 && req.before(&queue[at-1].req) {
		at--
	}
	if wait := d.expectedWait(req.Service, at); now.Add(wait).After(t.until) {
		t.finish(Decision{Refusal: NoRoom, RetryAfter: d.spread(minRetryAfter, maxRetryAfter)})
		return t
	}
	d.queues[req.Service] = slices.Insert(queue, at, t)
	return t
}

// before reports whether r goes before other, which came earlier.
func (r *Request) before(other *Request) bool {
	if r.Priority != other.Priority {
		return r.Priority < other.Priority
	}
	return !r.Late && other.Late
}

func (d *Dispatcher) rate(service string) *rate {
	r := d.rates[service]
	if r == nil {
		r = &rate{}
		d.rates[service] = r
	}
	return r
}

// expectedWait estimates when the request at a place of the queue gets room.
func (d *Dispatcher) expectedWait(service string, at int) time.Duration {
	return time.Duration(at) * d.rate(service).interval
}

func (d *Dispatcher) spread(from, to time.Duration) time.Duration {
	return from + time.Duration(d.cfg.Rand.Int64N(int64(to-from)+1))
}

// Cancel removes a request whose caller has left.
func (d *Dispatcher) Cancel(t *Ticket) {
	t.gone = true
	q := d.queues[t.req.Service]
	if i := slices.Index(q, t); i >= 0 {
		d.queues[t.req.Service] = slices.Delete(q, i, i+1)
	}
}

func (t *Ticket) finish(dec Decision) {
	t.gone = true
	t.decide(dec)
}

// Release gives a place back.
func (d *Dispatcher) Release(g *Grant, out Outcome) {
	now := d.cfg.Clock.Now()
	k := g.Server.Key()
	s := d.servers[k]
	if s == nil {
		return
	}
	s.own--
	switch out {
	case Succeeded:
		d.ejector.RecordSuccess(ejectID(k))
	case Failed:
		d.ejector.RecordFailure(ejectID(k), len(d.byServe[s.info.Service]), now)
	case Rejected:
		s.fullUntil = now.Add(fullPause)
	case Replaced:
		s.replaced = true
	case Abandoned:
	}
	d.serve(s.info.Service)
}

func (d *Dispatcher) serveAll() {
	for service := range d.queues {
		d.serve(service)
	}
}

// serve places the waiting requests of a service in their order and refuses
// those whose time is up.
func (d *Dispatcher) serve(service string) {
	now := d.cfg.Clock.Now()
	queue := d.queues[service]
	kept := queue[:0]
	for _, t := range queue {
		switch {
		case t.gone, d.place(t, now):
		case !now.Before(t.until):
			t.finish(Decision{Refusal: NoRoom, RetryAfter: d.spread(minRetryAfter, maxRetryAfter)})
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
	for _, s := range d.byServe[t.req.Service] {
		if !d.usable(s, &t.req, now) || now.Before(s.fullUntil) {
			continue
		}
		room, load := s.room(now, svc, d.entries)
		if room <= 0 || (s.cold(now) && !s.coldRoom(now, svc.ColdRate, d.entries)) || !s.fits(now, t.req.Tokens) {
			continue
		}
		score := load + distanceWeight*d.distance(&s.info) + tieWeight*d.cfg.Rand.Float64()
		if best == nil || score < bestScore {
			best, bestScore, bestLoad = s, score, load
		}
	}
	if best == nil {
		return false
	}
	best.own++
	best.allowance--
	if best.cold(now) {
		best.sends = append(best.sends, now)
	}
	d.rate(t.req.Service).observe(now)
	grant := &Grant{Server: best.info, Version: best.versions(now)[t.req.Model], Load: bestLoad}
	if best.fresh(now) {
		grant.LoadAge = now.Sub(best.load.At)
	}
	t.finish(Decision{Grant: grant})
	return true
}

// fits reports whether the memory for a request is free.
func (s *server) fits(now time.Time, tokens int) bool {
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
	for _, s := range d.byServe[req.Service] {
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
	if s.info.Draining || d.out[s.info.Domain] || req.Avoid[k] || s.replaced ||
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
