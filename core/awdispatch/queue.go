package awdispatch

import (
	"math"
	"slices"
	"time"

	"arbutuswind/core/awdirectory"
)

// Grant assigns a request to a backend server. It must be returned with
// [Dispatcher.Release].
type Grant struct {
	Server  awdirectory.Server
	Version int64         // version of the model's weights that the backend server holds; 0 if unknown
	Load    float64       // load of the backend server when it was chosen; 1 is full, to which the slowdown above 1 and silentLoad are added
	LoadAge time.Duration // age of the report behind Load; 0 if there is none
	// BeyondSlots tells that the request may have to wait in the queue of the engine.
	BeyondSlots bool

	sentAt time.Time
}

// Decision is the result of [Dispatcher.Submit]: a grant or a refusal.
type Decision struct {
	Grant      *Grant // nil if refused
	Refusal    Refusal
	RetryAfter time.Duration
	Waited     bool // the request was queued
}

// Ticket identifies a submitted request.
type Ticket struct {
	req       Request
	submitted time.Time
	salt      float64 // from 0 to 1; spreads requests over backend servers with a rate limit
	waitUntil time.Time
	startTag  int64 // place among the requests of other teams for a contended service; see fairness
	decide    func(Decision)
	queued    bool // it has been in the queue
	done      bool
}

const (
	// intervalSmoothing is the divisor of the moving average over the
	// interval between two assignments.
	intervalSmoothing = 8
	// Retry-After is drawn from this range, so that callers refused together
	// do not retry together.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
	// minNoServerRetry is the shortest Retry-After if no backend server is
	// usable. Restarts and weight loads take about that long.
	minNoServerRetry = time.Second
	// distancePenalty is added to the load of a backend server for each step
	// of distance: same failure domain, same region, other region.
	distancePenalty = 0.08
	// tieBreakWeight scales the random term that spreads requests over backend
	// servers with equal load. It is less than what one request adds to the
	// load of a batch.
	tieBreakWeight = 0.01
)

// assignmentRate measures how often this entry assigns requests of one service.
type assignmentRate struct {
	interval time.Duration // moving average between two assignments
	last     time.Time     // last assignment
}

func (r *assignmentRate) observe(now time.Time) {
	if !r.last.IsZero() {
		r.interval += (min(now.Sub(r.last), time.Second) - r.interval) / intervalSmoothing
	}
	r.last = now
}

// Submit assigns a request to a backend server, queues it or refuses it. It
// calls decide once, before it returns or later, unless the request is canceled
// first. The function decide must not call the dispatcher.
func (d *Dispatcher) Submit(req Request, decide func(Decision)) *Ticket {
	now := d.cfg.Clock.Now()
	t := &Ticket{req: req, submitted: now, salt: d.nextSalt(), waitUntil: now.Add(req.MaxWait), decide: decide}
	if req.Deadline.Before(t.waitUntil) {
		t.waitUntil = req.Deadline
	}
	d.setStartTag(t)
	if d.floorDue(&t.req) && d.assignFloor(&t.req, now) {
		d.removeDecided(req.Service)
	}
	queue := d.queues[req.Service]
	if (len(queue) == 0 || d.before(t, queue[0])) && d.assign(t, now) {
		return t
	}
	if !d.anyUsable(&req, now) {
		t.finish(Decision{Refusal: NoServer, RetryAfter: d.randomDuration(minNoServerRetry, 2*minNoServerRetry)})
		return t
	}
	if end, paused := d.pauseEnd(&req, now); paused && end.After(t.waitUntil) {
		t.finish(Decision{Refusal: NoRoom, RetryAfter: end.Sub(now) + d.randomDuration(0, maxRetryAfter)})
		return t
	}
	position := len(queue)
	for position > 0 && d.before(t, queue[position-1]) {
		position--
	}
	if wait := d.expectedWait(req.Service, d.position(t, position)); now.Add(wait).After(t.waitUntil) {
		d.refuseNoRoom(t, now)
		return t
	}
	t.queued = true
	d.queues[req.Service] = slices.Insert(queue, position, t)
	d.limitQueue(req.Service, now)
	d.updateWants(req.Service, now)
	return t
}

// nextSalt returns a number in [0, 1). Those of consecutive requests are far apart.
func (d *Dispatcher) nextSalt() float64 {
	d.submissions++
	_, salt := math.Modf(float64(d.submissions) * math.Phi)
	return salt
}

// before reports whether r is queued before other, which was submitted earlier.
func (r *Request) before(other *Request) bool {
	if r.Priority != other.Priority {
		return r.Priority < other.Priority
	}
	return !r.Late && other.Late
}

func (d *Dispatcher) assignmentRate(service string) *assignmentRate {
	r := d.assignmentRates[service]
	if r == nil {
		r = &assignmentRate{}
		d.assignmentRates[service] = r
	}
	return r
}

// expectedWait estimates how long a request at the given position of the queue
// waits for free capacity.
func (d *Dispatcher) expectedWait(service string, position int) time.Duration {
	return time.Duration(position) * d.assignmentRate(service).interval
}

func (d *Dispatcher) randomDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(d.cfg.Rand.Int64N(int64(to-from)+1))
}

// Cancel removes a request from the queue, for example if its caller has
// disconnected.
func (d *Dispatcher) Cancel(t *Ticket) {
	t.done = true
	q := d.queues[t.req.Service]
	if i := slices.Index(q, t); i >= 0 {
		d.queues[t.req.Service] = slices.Delete(q, i, i+1)
		d.updateWants(t.req.Service, d.cfg.Clock.Now())
	}
}

// Waiting reports whether the request has neither been decided on nor canceled.
func (t *Ticket) Waiting() bool { return !t.done }

func (t *Ticket) finish(dec Decision) {
	t.done = true
	dec.Waited = t.queued
	t.decide(dec)
}

// Release returns a grant and records how the attempt ended.
func (d *Dispatcher) Release(g *Grant, outcome Outcome) {
	now := d.cfg.Clock.Now()
	k := g.Server.Key()
	s := d.servers[k]
	if s == nil {
		return
	}
	s.ownRequests--
	if !s.listed {
		d.forgetUnused(k, s) // its id may belong to a later incarnation
		return
	}
	if s.load.Shared && mayRunOn(outcome) {
		s.quota--
	}
	if outcome != Unreachable && outcome != Abandoned && outcome != NotSent {
		s.refusals = 0
	}
	switch outcome {
	case Succeeded:
		d.ejector.RecordSuccess(ejectID(k))
	case Failed:
		d.ejector.RecordFailure(ejectID(k), len(d.byService[s.info.Service]), now)
	case Rejected:
		s.rejectedUntil = now.Add(rejectedBackoff)
	case Replaced:
		s.replaced = s.replaced || g.Server.Address == s.info.Address
	case Unreachable:
		s.refusedConnection(now)
	case Abandoned, NotSent:
	}
	d.assignQueued(s.info.Service)
}

// RecordSilence records that a backend server has been silent for long under a
// request that it still runs. It counts as a failure until a request succeeds.
func (d *Dispatcher) RecordSilence(k awdirectory.Key) {
	if s := d.servers[k]; s != nil {
		d.ejector.RecordFailure(ejectID(k), len(d.byService[s.info.Service]), d.cfg.Clock.Now())
	}
}

func (d *Dispatcher) assignAllQueued() {
	for service := range d.queues {
		d.assignQueued(service)
	}
}

// assignQueued assigns the queued requests of a service in queue order and
// refuses those that have waited too long.
func (d *Dispatcher) assignQueued(service string) {
	now := d.cfg.Clock.Now()
	queue := d.queues[service]
	kept := queue[:0]
	tryFloor := true
	for _, t := range queue {
		if tryFloor && !t.done && d.floorDue(&t.req) {
			tryFloor = d.assignFloor(&t.req, now)
		}
		switch {
		case t.done, d.assign(t, now):
		case !now.Before(t.waitUntil):
			d.refuseNoRoom(t, now)
		default:
			kept = append(kept, t)
		}
	}
	clear(queue[len(kept):])
	d.queues[service] = kept
	d.updateWants(service, now)
}

// assign grants a request the best backend server with free capacity. It returns
// false if there is none. It considers servers that are not related to this entry
// only if no related one may run the request.
func (d *Dispatcher) assign(t *Ticket, now time.Time) bool {
	c, related := d.best(&t.req, now, true), true
	if !c.usable {
		c, related = d.best(&t.req, now, false), false
	}
	if c.throttled != nil && c.server != nil {
		d.cfg.Throttle.WantSpare(c.throttled.info.Key())
	}
	beyond := false
	if c.server == nil {
		c = d.bestBeyondSlots(&t.req, now, related)
		beyond = c.server != nil
	}
	best, load := c.server, c.load
	if best == nil || d.keptForOthers(best, &t.req, now) {
		return false
	}
	d.cfg.Throttle.Sent(best.info.Key())
	best.ownRequests++
	best.allowance--
	if best.cold(now) {
		best.coldSends = append(best.coldSends, now)
	}
	d.assignmentRate(t.req.Service).observe(now)
	if contended := d.contended[t.req.Service]; contended != nil {
		contended.recordAssignment(t, d.queues[t.req.Service])
	}
	grant := &Grant{Server: best.info, Version: best.versions(now)[t.req.Model], Load: load, BeyondSlots: beyond, sentAt: now}
	if best.hasFreshLoad(now) {
		grant.LoadAge = now.Sub(best.load.At)
	}
	t.finish(Decision{Grant: grant})
	return true
}

// refusedRequest is a request that was refused for lack of capacity.
type refusedRequest struct {
	req Request
	at  time.Time
}

// refuseNoRoom refuses a request because no capacity is expected to become free in
// time. It remembers the most urgent one of the last time that could still have met
// its objective.
func (d *Dispatcher) refuseNoRoom(t *Ticket, now time.Time) {
	last, ok := d.lastRefused[t.req.Service]
	if !t.req.Late && (!ok || t.req.Priority <= last.req.Priority || now.Sub(last.at) >= keptForOthersTime) {
		d.lastRefused[t.req.Service] = refusedRequest{t.req, now}
	}
	t.finish(Decision{Refusal: NoRoom, RetryAfter: d.randomDuration(minRetryAfter, maxRetryAfter)})
}

// keptForOthers reports whether free capacity is kept from a late request because a
// request that could have used it and met its objective was refused shortly before.
// The next one of its kind is expected as soon. The permits of backend servers with a
// rate limit have this order already.
func (d *Dispatcher) keptForOthers(s *server, req *Request, now time.Time) bool {
	if _, limited := d.cfg.Throttle.Limit(s.info.Key()); limited || !req.Late {
		return false
	}
	last, ok := d.lastRefused[req.Service]
	return ok && now.Sub(last.at) < keptForOthersTime && last.req.Priority <= req.Priority && d.usable(s, &last.req, now)
}

// choice is the result of comparing backend servers for a request.
type choice struct {
	server      *server // best one with free capacity that may be sent to now; nil if there is none
	score, load float64 // of server
	usable      bool    // some backend server may run the request, with or without free capacity
	// throttled is a backend server that is better than server but lacks a permit.
	throttled *server
}

// best compares the backend servers that are related to this entry, or the others.
func (d *Dispatcher) best(req *Request, now time.Time, related bool) choice {
	var c choice
	throttledScore := 0.0
	for _, s := range d.byService[req.Service] {
		if (s.sharers > 0) != related || !d.usable(s, req, now) {
			continue
		}
		c.usable = true
		load, ok := d.freeCapacity(s, req, now)
		if !ok {
			continue
		}
		score := load + d.evidenceLoad(s, now) + distancePenalty*d.distance(&s.info) + tieBreakWeight*d.cfg.Rand.Float64()
		switch {
		case !d.cfg.Throttle.MaySend(s.info.Key()):
			if c.throttled == nil || score < throttledScore {
				c.throttled, throttledScore = s, score
			}
		case c.server == nil || score < c.score:
			c.server, c.score, c.load = s, score, load
		}
	}
	if c.server != nil && c.score <= throttledScore {
		c.throttled = nil
	}
	return c
}

// freeCapacity returns the load of a usable backend server, and whether it has
// free capacity for the request.
func (d *Dispatcher) freeCapacity(s *server, req *Request, now time.Time) (float64, bool) {
	if now.Before(s.rejectedUntil) || now.Before(d.pausedUntil(s)) || d.mayBeFrozen(s, req, now) {
		return 0, false
	}
	svc := d.services[req.Service]
	free, load := s.capacity(now, svc, d.entryCount, d.beyondSlotsAt(s, req, now))
	ok := free > 0 && (!s.cold(now) || s.mayTakeColdRequest(now, svc, d.entryCount, len(d.sharers) > 0)) && s.fitsMemory(now, req.Tokens)
	return load, ok
}

// fitsMemory reports whether the engine has enough free cache for a request.
// Without a recent report, or if the engine reports no cache size, it does.
func (s *server) fitsMemory(now time.Time, tokens int) bool {
	return !s.hasFreshLoad(now) || s.load.CacheTotal == 0 || s.load.CacheUsed+tokens <= s.load.CacheTotal
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

// usable reports whether a backend server may run a request at all, whether or
// not it has free capacity now.
func (d *Dispatcher) usable(s *server, req *Request, now time.Time) bool {
	k := s.info.Key()
	if now.Before(s.reachableFrom) || s.info.Draining || d.cfg.Throttle.Leaving(k) || d.domainsOut[s.info.Domain] || req.Avoid[k] || s.replaced ||
		(req.Allowed != nil && !req.Allowed(s.info.Region)) || (req.Proven && s.silent(now)) || d.ejector.IsEjected(ejectID(k), now) {
		return false
	}
	if req.Model == "" {
		return true
	}
	if s.hasFreshLoad(now) && s.load.Busy {
		return false
	}
	v := s.versions(now)[req.Model]
	return v > 0 && v >= awdirectory.FloorAt(d.floors[req.Model], now) && (req.Version == 0 || v == req.Version)
}
