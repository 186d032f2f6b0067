package awdispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// defaultFirstEvent is the assumed time from the send of a request to the first
	// event of its response before this entry has seen any.
	defaultFirstEvent = 200 * time.Millisecond
	minFirstEvent     = 50 * time.Millisecond
	maxFirstEvent     = 600 * time.Millisecond
	// firstEventQuantile is the quantile of that time which is estimated: a request
	// that waits until the estimate is left is then late once in ten times.
	firstEventQuantile = 0.9
	// firstEventStep is the share of the estimate by which one response can raise it
	// at most. A faster estimate follows single slow responses.
	firstEventStep = 0.05
	// minPunctualWaitShare is the least share of the latency objective that a request
	// may wait. Under overload the first events are late as well, and waits that only
	// shrink with them refuse the most urgent requests while less urgent ones, with
	// looser objectives, still wait.
	minPunctualWaitShare = 0.5
	// floorPeriod is the number of assignments of which one goes to a less urgent rank
	// than that of the head of the queue, while punctual requests of such a rank wait.
	floorPeriod = 6
	// maxContendedQueue bounds the queue of a contended service, and so the bodies that
	// are held for it.
	maxContendedQueue = 512
)

// Ranks is the range of the ranks of a contended service: the priorities of its stream
// routes.
type Ranks struct {
	MostUrgent, LeastUrgent int // 0 is the most urgent possible
}

// contention is the state of a contended service.
type contention struct {
	ranks      Ranks
	firstEvent time.Duration // estimated quantile of the time from send to first event; 0 if unknown
	teams      map[fairClass]*fairness
	passedOver int // assignments made while less urgent requests waited, less those that the floor repaid
}

// SetContended replaces the contended services, with the ranks of each. Their callers
// compete for its capacity on unequal terms. Their requests have a rank beside their
// priority, longer waits, and are assigned fairly among teams.
func (d *Dispatcher) SetContended(services map[string]Ranks) {
	for service := range d.contended {
		if _, ok := services[service]; !ok {
			delete(d.contended, service)
		}
	}
	for service, ranks := range services {
		c := d.contended[service]
		if c == nil {
			if d.contended == nil {
				d.contended = map[string]*contention{}
			}
			c = &contention{teams: map[fairClass]*fairness{}}
			d.contended[service] = c
		}
		c.ranks = ranks
	}
}

// WaitLimit returns how long a request for a service may wait for free capacity, and
// whether it is already too late for its latency objective. Age is the time that the
// caller has waited so far, including earlier attempts.
func (d *Dispatcher) WaitLimit(service string, objective, age time.Duration) (maxWait time.Duration, late bool) {
	c := d.contended[service]
	if c == nil {
		return WaitLimit(objective, age)
	}
	least := time.Duration(minPunctualWaitShare * float64(objective))
	if wait := max(objective-c.firstEventTime(), least) - age; wait > 0 {
		return wait, false
	}
	return lateMaxWait, true
}

// firstEventTime returns the time that the service takes from the send of a request to
// the first event of the response, in most cases.
func (c *contention) firstEventTime() time.Duration {
	if c.firstEvent == 0 {
		return defaultFirstEvent
	}
	return c.firstEvent
}

// FirstEvent records that the first event of a response has arrived. What was sent
// beyond the slots is left out: it waits in the queue of the engine.
func (d *Dispatcher) FirstEvent(g *Grant) {
	if c := d.contended[g.Server.Service]; c != nil && !g.BeyondSlots {
		c.recordFirstEvent(d.cfg.Clock.Now().Sub(g.sentAt))
	}
}

// recordFirstEvent moves the estimate by a step up or down. The steps cancel out where
// the share firstEventQuantile of the times is below it.
func (c *contention) recordFirstEvent(elapsed time.Duration) {
	estimate := c.firstEventTime()
	step := firstEventStep * float64(estimate)
	if elapsed > estimate {
		estimate += time.Duration(step * firstEventQuantile)
	} else {
		estimate -= time.Duration(step * (1 - firstEventQuantile))
	}
	c.firstEvent = min(max(estimate, minFirstEvent), maxFirstEvent)
}

// compareContended returns whether t comes before (-1) or after (1) other in the queue
// of a contended service, but for the time of their arrival (0).
func (t *Ticket) compareContended(other *Ticket) int {
	late := func(r *Request) int {
		if r.Late {
			return 1
		}
		return 0
	}
	a, b := &t.req, &other.req
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(late(a), late(b)), cmp.Compare(a.Rank, b.Rank),
		cmp.Compare(t.startTag, other.startTag))
}

// before reports whether t is queued before other, which was submitted earlier.
func (d *Dispatcher) before(t, other *Ticket) bool {
	if d.contended[t.req.Service] == nil {
		return t.req.before(&other.req)
	}
	return t.compareContended(other) < 0
}

// isLessUrgent reports whether t is a waiting request that the floor protects from
// those of the rank of req.
func (t *Ticket) isLessUrgent(req *Request) bool {
	return !t.done && !t.req.Late && t.req.Priority == req.Priority && t.req.Rank > req.Rank
}

// recordAssignment accounts for the assignment of t in the fairness among teams and in
// the floor.
func (c *contention) recordAssignment(t *Ticket, queue []*Ticket) {
	c.fairness(&t.req).assigned(t.req.Team, t.startTag)
	lessUrgentWait := false
	for _, other := range queue {
		switch {
		case other == t || other.done:
		case !t.req.Late && !other.req.Late && other.req.Priority == t.req.Priority && other.req.Rank < t.req.Rank:
			c.passedOver = max(0, c.passedOver-(floorPeriod-1))
			return
		case other.isLessUrgent(&t.req):
			lessUrgentWait = true
		}
	}
	if lessUrgentWait {
		c.passedOver = min(c.passedOver+1, floorPeriod-1)
	}
}

// floorDue reports whether the next assignment belongs to a request that waits and is
// less urgent than head.
func (d *Dispatcher) floorDue(head *Request) bool {
	c := d.contended[head.Service]
	return c != nil && !head.Late && c.passedOver >= floorPeriod-1 &&
		slices.ContainsFunc(d.queues[head.Service], func(t *Ticket) bool { return t.isLessUrgent(head) })
}

// assignFloor assigns the request that has waited longest among those less urgent than
// head. It reports whether it has assigned one.
func (d *Dispatcher) assignFloor(head *Request, now time.Time) bool {
	var oldest *Ticket
	for _, t := range d.queues[head.Service] {
		if t.isLessUrgent(head) && (oldest == nil || t.submitted.Before(oldest.submitted)) {
			oldest = t
		}
	}
	return oldest != nil && d.assign(oldest, now)
}

// mayBeFrozen reports whether a request for a contended service should rather wait than
// go to this backend server, which has been silent while a request of this entry is there
// already. Under overload no other has room, so all waiting requests would go to a frozen
// instance, where they can neither run nor be withdrawn. One request at a time shows
// whether it answers again.
func (d *Dispatcher) mayBeFrozen(s *server, req *Request, now time.Time) bool {
	return s.ownRequests > 0 && d.contended[req.Service] != nil && s.silent(now)
}

// removeDecided removes the requests that have been decided from the queue of a service.
func (d *Dispatcher) removeDecided(service string) {
	d.queues[service] = slices.DeleteFunc(d.queues[service], func(t *Ticket) bool { return t.done })
}

// position returns how many assignments of a service are expected before that of t,
// which is to be inserted into the queue at index i.
func (d *Dispatcher) position(t *Ticket, i int) int {
	c := d.contended[t.req.Service]
	if c == nil || t.req.Late {
		return i
	}
	queue, less := d.queues[t.req.Service], 0
	if i == 0 || !t.isLessUrgent(&queue[0].req) {
		return i
	}
	for _, other := range queue[:i] {
		if other.isLessUrgent(&queue[0].req) {
			less++
		}
	}
	return min(i, (less+1)*floorPeriod-1-c.passedOver)
}

// setStartTag sets the place of a new request among those of other teams.
func (d *Dispatcher) setStartTag(t *Ticket) {
	c := d.contended[t.req.Service]
	if c == nil {
		return
	}
	waiting := 0
	for _, other := range d.queues[t.req.Service] {
		if other.req.Team == t.req.Team && other.req.fairClass() == t.req.fairClass() {
			waiting++
		}
	}
	t.startTag = c.fairness(&t.req).startTag(t.req.Team, waiting)
}

// limitQueue refuses the last request of a contended service if too many wait.
func (d *Dispatcher) limitQueue(service string, now time.Time) {
	queue := d.queues[service]
	if last := len(queue) - 1; d.contended[service] != nil && last >= maxContendedQueue {
		t := queue[last]
		queue[last] = nil
		d.queues[service] = queue[:last]
		d.refuseNoRoom(t, now)
	}
}
