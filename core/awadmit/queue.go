package awadmit

import (
	"cmp"
	"slices"

	"arbutuswind/core/awoutcome"
)

// maxOvertakes bounds how often smaller requests pass one that waits for
// memory. Without passing, memory lies idle; without the bound, a large
// request never runs.
const maxOvertakes = 8

// dispatch grants queued requests in order while they fit.
func (g *Controller) dispatch() {
	g.expire()
	for g.inFlight < g.ramp.limit {
		i, ok := g.next()
		if !ok {
			return
		}
		t := g.remove(i)
		g.grant(t)
		t.wake()
	}
}

// expire refuses queued requests that can no longer meet their deadline.
func (g *Controller) expire() {
	now := g.cfg.Clock.Now()
	for i := len(g.queue) - 1; i >= 0; i-- {
		if t := g.queue[i]; !t.req.Resume && !now.Before(g.LatestStart(t)) {
			g.refuse(i, awoutcome.Refuse(awoutcome.Deadline, "the request waited too long to meet its deadline"))
		}
	}
}

// next returns the request to grant: the first in order that fits, unless one
// before it was passed too often.
func (g *Controller) next() (int, bool) {
	order := make([]int, len(g.queue))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return g.compare(g.queue[a], g.queue[b]) })
	for n, i := range order {
		if g.queue[i].need <= g.FreeMemory() {
			for _, passed := range order[:n] {
				g.queue[passed].overtook++
			}
			return i, true
		}
		if g.queue[i].overtook >= maxOvertakes {
			return 0, false
		}
	}
	return 0, false
}

// compare orders by priority, then by the teams' virtual time. Within a team,
// started answers come first; across teams they do not, since many slow
// readers that resume would hold up everyone else.
func (g *Controller) compare(a, b *Ticket) int {
	return cmp.Or(
		cmp.Compare(b.req.Priority, a.req.Priority),
		cmp.Compare(g.fair.start(a.req.Team), g.fair.start(b.req.Team)),
		cmp.Compare(b2i(b.req.Resume), b2i(a.req.Resume)),
		cmp.Compare(a.arrived, b.arrived),
	)
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// makeRoom finds a place in the queue. A full queue gives up its least
// important request for a more important one, and for an equal one of a team
// that uses less of its share, so that a large team cannot keep others out.
func (g *Controller) makeRoom(t *Ticket) bool {
	if t.req.Bytes > g.cfg.QueueBytes || g.cfg.MaxQueue <= 0 {
		return false
	}
	var victims []*Ticket
	count, held := g.fresh()
	for count >= g.cfg.MaxQueue || t.req.Bytes > g.cfg.QueueBytes-held {
		v := g.victim(t, victims)
		if v == nil {
			return false
		}
		victims = append(victims, v)
		count--
		held -= v.req.Bytes
	}
	for _, v := range victims {
		g.refuse(slices.Index(g.queue, v), g.refusal(awoutcome.QueueFull, "a request of higher rank took the place in the queue"))
	}
	return true
}

// fresh counts the queued requests that the queue's bounds apply to; resumed
// streams are bounded by the paused bytes.
func (g *Controller) fresh() (count, held int) {
	for _, q := range g.queue {
		if !q.req.Resume {
			count++
			held += q.req.Bytes
		}
	}
	return count, held
}

// victim returns the request to refuse for t, nil if none ranks lower.
func (g *Controller) victim(t *Ticket, taken []*Ticket) *Ticket {
	var worst *Ticket
	for _, q := range g.queue {
		if q.req.Resume || slices.Contains(taken, q) || q.req.Priority > t.req.Priority {
			continue
		}
		if worst == nil || g.ranksLower(q, worst, taken) {
			worst = q
		}
	}
	if worst == nil || worst.req.Priority < t.req.Priority {
		return worst
	}
	// The comparison includes t itself, so that two teams do not replace each
	// other's requests in turns.
	if g.queueShare(worst.req.Team, taken, 0) <= g.queueShare(t.req.Team, taken, 1) {
		return nil
	}
	return worst
}

func (g *Controller) ranksLower(a, b *Ticket, taken []*Ticket) bool {
	if a.req.Priority != b.req.Priority {
		return a.req.Priority < b.req.Priority
	}
	sa, sb := g.queueShare(a.req.Team, taken, 0), g.queueShare(b.req.Team, taken, 0)
	if sa != sb {
		return sa > sb
	}
	return a.arrived > b.arrived
}

// queueShare returns the queued requests of a team divided by its weight.
func (g *Controller) queueShare(team string, taken []*Ticket, more int) float64 {
	n := more
	for _, q := range g.queue {
		if q.req.Team == team && !q.req.Resume && !slices.Contains(taken, q) {
			n++
		}
	}
	return float64(n) / g.fair.weight(team)
}

// maxTeams bounds the virtual times kept; team names come from callers.
const maxTeams = 1024

// fairness is start-time fair queueing over reserved bytes.
type fairness struct {
	weights map[string]int
	virtual float64            // start tag of the last grant
	finish  map[string]float64 // finish tag of each team's last grant
}

func newFairness() fairness { return fairness{finish: map[string]float64{}} }

func (f *fairness) setWeights(weights map[string]int) { f.weights = weights }

func (f *fairness) weight(team string) float64 { return float64(max(1, f.weights[team])) }

// start returns the virtual time at which the team's next request starts.
func (f *fairness) start(team string) float64 { return max(f.virtual, f.finish[team]) }

func (f *fairness) charge(team string, cost uint64) {
	start := f.start(team)
	f.virtual = start
	if _, known := f.finish[team]; !known && len(f.finish) >= maxTeams {
		f.forget()
	}
	f.finish[team] = start + float64(max(1, cost))/f.weight(team)
}

// forget drops teams whose tags no longer matter, and all when that frees
// nothing: a team that is forgotten loses its debt only.
func (f *fairness) forget() {
	for team, finish := range f.finish {
		if finish <= f.virtual {
			delete(f.finish, team)
		}
	}
	if len(f.finish) >= maxTeams {
		clear(f.finish)
	}
}
