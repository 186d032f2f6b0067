package awadmit

import (
	"cmp"
	"slices"

	"arbutuswind/core/awoutcome"
)

// maxBypasses limits how many requests may be granted ahead of an earlier one that
// waits for memory. Without bypassing, memory would stay unused; without the limit,
// a large request might never run.
const maxBypasses = 8

// dispatch refuses queued requests that would miss their deadline, then grants
// queued requests in order while they fit.
func (c *Controller) dispatch() {
	c.expire()
	for c.inFlight < c.limiter.limit && c.startable(1) > 0 {
		i, ok := c.nextToGrant()
		if !ok {
			return
		}
		t := c.removeAt(i)
		c.grant(t)
		t.notify()
	}
}

// expire refuses queued requests that can no longer meet their deadline.
func (c *Controller) expire() {
	now := c.cfg.Clock.Now()
	for i := len(c.queue) - 1; i >= 0; i-- {
		if t := c.queue[i]; !t.req.Resume && !now.Before(c.LatestStart(t)) {
			c.refuseAt(i, awoutcome.Refuse(awoutcome.Deadline, "request waited too long to meet its deadline"))
		}
	}
}

// nextToGrant returns the index of the first queued request in order that fits. It
// returns false if there is none or if a request ahead of it has been bypassed
// maxBypasses times.
func (c *Controller) nextToGrant() (int, bool) {
	order := make([]int, len(c.queue))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return c.compareTickets(c.queue[a], c.queue[b]) })
	for pos, i := range order {
		if c.queue[i].requiredBytes <= c.FreeMemory() {
			for _, bypassed := range order[:pos] {
				c.queue[bypassed].bypasses++
			}
			return i, true
		}
		if c.queue[i].bypasses >= maxBypasses {
			return 0, false
		}
	}
	return 0, false
}

// compareTickets orders requests by priority, then by the virtual start time of
// their team, then resumed streams first, then by arrival. Resumed streams come
// first only within a team, since many slow clients of one team would otherwise
// delay all other teams.
func (c *Controller) compareTickets(a, b *Ticket) int {
	return cmp.Or(
		cmp.Compare(b.req.Priority, a.req.Priority),
		cmp.Compare(c.fairQueue.startTag(a.req.Team), c.fairQueue.startTag(b.req.Team)),
		cmp.Compare(boolToInt(b.req.Resume), boolToInt(a.req.Resume)),
		cmp.Compare(a.arrived, b.arrived),
	)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// makeRoom reports whether t fits in the queue, and evicts lower-ranked requests
// if necessary. A request ranks lower if its priority is lower, or if its priority
// is the same and its team has more queued requests relative to its weight, so that
// a team with many requests cannot keep others out of the queue.
func (c *Controller) makeRoom(t *Ticket) bool {
	if t.req.Bytes > c.cfg.QueueBytes || c.cfg.MaxQueue <= 0 {
		return false
	}
	var victims []*Ticket
	count, bytes := c.queueUsage()
	for count >= c.cfg.MaxQueue || t.req.Bytes > c.cfg.QueueBytes-bytes {
		victim := c.victim(t, victims)
		if victim == nil {
			return false
		}
		victims = append(victims, victim)
		count--
		bytes -= victim.req.Bytes
	}
	for _, victim := range victims {
		c.refuseAt(slices.Index(c.queue, victim), c.newRefusal(awoutcome.QueueFull, "replaced in the queue by a request of higher priority or of a team below its share"))
	}
	return true
}

// queueUsage returns the number of queued requests and the total size of their
// bodies. Resumed streams don't count, since PausedBytes limits them.
func (c *Controller) queueUsage() (count, bytes int) {
	for _, q := range c.queue {
		if !q.req.Resume {
			count++
			bytes += q.req.Bytes
		}
	}
	return count, bytes
}

// victim returns the lowest-ranked queued request that t may replace, nil if there
// is none. Requests in evicted are treated as already removed.
func (c *Controller) victim(t *Ticket, evicted []*Ticket) *Ticket {
	var worst *Ticket
	for _, q := range c.queue {
		if q.req.Resume || slices.Contains(evicted, q) || q.req.Priority > t.req.Priority {
			continue
		}
		if worst == nil || c.ranksLower(q, worst, evicted) {
			worst = q
		}
	}
	if worst == nil || worst.req.Priority < t.req.Priority {
		return worst
	}
	// The share of t's team includes t itself; otherwise two teams could keep
	// replacing each other's requests.
	if c.queueShare(worst.req.Team, evicted, 0) <= c.queueShare(t.req.Team, evicted, 1) {
		return nil
	}
	return worst
}

// ranksLower reports whether a is evicted before b.
func (c *Controller) ranksLower(a, b *Ticket, evicted []*Ticket) bool {
	if a.req.Priority != b.req.Priority {
		return a.req.Priority < b.req.Priority
	}
	sa, sb := c.queueShare(a.req.Team, evicted, 0), c.queueShare(b.req.Team, evicted, 0)
	if sa != sb {
		return sa > sb
	}
	return a.arrived > b.arrived
}

// queueShare returns the number of queued requests of a team, plus extra, divided by
// the team's weight.
func (c *Controller) queueShare(team string, evicted []*Ticket, extra int) float64 {
	n := extra
	for _, q := range c.queue {
		if q.req.Team == team && !q.req.Resume && !slices.Contains(evicted, q) {
			n++
		}
	}
	return float64(n) / c.fairQueue.weight(team)
}

// maxTeams limits the number of finish tags kept, since callers choose the team
// names.
const maxTeams = 1024

// fairQueue implements start-time fair queueing with the reserved bytes as cost.
type fairQueue struct {
	weights     map[string]int
	virtualTime float64            // start tag of the last grant
	finishTags  map[string]float64 // finish tag of each team's last grant
}

func newFairQueue() fairQueue { return fairQueue{finishTags: map[string]float64{}} }

func (f *fairQueue) setWeights(weights map[string]int) { f.weights = weights }

func (f *fairQueue) weight(team string) float64 { return float64(max(1, f.weights[team])) }

// startTag returns the start tag of the team's next request.
func (f *fairQueue) startTag(team string) float64 { return max(f.virtualTime, f.finishTags[team]) }

// charge records that a request of the team with the given cost was granted.
func (f *fairQueue) charge(team string, cost uint64) {
	start := f.startTag(team)
	f.virtualTime = start
	if _, known := f.finishTags[team]; !known && len(f.finishTags) >= maxTeams {
		f.prune()
	}
	f.finishTags[team] = start + float64(max(1, cost))/f.weight(team)
}

// prune drops the finish tags that have no effect any more, and all tags if that
// does not free any. A team whose tag is dropped merely loses the record of what it
// has used beyond its share.
func (f *fairQueue) prune() {
	for team, finish := range f.finishTags {
		if finish <= f.virtualTime {
			delete(f.finishTags, team)
		}
	}
	if len(f.finishTags) >= maxTeams {
		clear(f.finishTags)
	}
}
