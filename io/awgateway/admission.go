package awgateway

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awdispatch"
)

// defaultTeamPriority is the priority for a contended service of requests of teams that
// have none. Teams with priority 0 come before them.
const defaultTeamPriority = 1

// admission holds the contended services. The gateway's mu protects it.
type admission struct {
	ranks map[string]awdispatch.Ranks // by service
}

// contendedRanks returns the contended engine services of a configuration, with the
// ranks of their stream routes. It is nil if there are none.
func contendedRanks(c *awdirectory.Config) map[string]awdispatch.Ranks {
	var ranks map[string]awdispatch.Ranks
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, t := range r.Targets {
			svc := c.Service(t.Service)
			if r.Kind != awdirectory.Stream || svc == nil || !svc.Engine || !c.Contended(t.Service) {
				continue
			}
			if ranks == nil {
				ranks = map[string]awdispatch.Ranks{}
			}
			own, ok := ranks[t.Service]
			if !ok {
				own = awdispatch.Ranks{MostUrgent: r.Priority, LeastUrgent: r.Priority}
			}
			ranks[t.Service] = awdispatch.Ranks{MostUrgent: min(own.MostUrgent, r.Priority), LeastUrgent: max(own.LeastUrgent, r.Priority)}
		}
	}
	return ranks
}

func (a *admission) ranksOf(service string) *awdispatch.Ranks {
	if r, ok := a.ranks[service]; ok {
		return &r
	}
	return nil
}

// teamPriority returns the priority of the request's team for a contended service.
func (q *request) teamPriority() int {
	if q.team != nil && q.team.HasPriority {
		return q.team.Priority
	}
	return defaultTeamPriority
}

// setRank sets the priority and the rank of a request for a contended service. The
// priority of a team takes precedence over the rank of the route, and does not replace
// it.
func (q *request) setRank(req *awdispatch.Request) {
	if q.ranks == nil {
		return
	}
	req.Priority, req.Rank = q.teamPriority(), q.route.Priority
	if q.team != nil {
		req.Team = q.team.Name
	}
}

// enginePriority returns the priority by which engines admit the request. For a
// contended service it keeps the order of team priorities and then of ranks, as far as
// the numbers suffice.
func (q *request) enginePriority() int {
	if q.ranks == nil {
		return min(q.priority(), lowestPriority)
	}
	last := q.ranks.LeastUrgent - q.ranks.MostUrgent
	rank := min(max(q.route.Priority-q.ranks.MostUrgent, 0), last)
	if q.sends > 1 {
		rank = 0 // what was begun has precedence
	}
	return min(q.teamPriority()*(last+1)+rank, lowestPriority)
}

// recordFirstEvent records the time of the first event for the wait of later requests.
func (s *send) recordFirstEvent() {
	g := s.q.g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch.FirstEvent(s.grant)
}

// rankMetric returns the name of a metric with the service and the rank of a request.
func (q *request) rankMetric(name string) string {
	return fmt.Sprintf(`arbutuswind_gateway_rank_%s{Service=%q,Rank="%d"}`, name, q.service, q.route.Priority)
}

// recordWaiting counts a request that waits for capacity of a contended service; mu must
// be held.
func (p *pendingSlot) recordWaiting() {
	if p.q.ranks != nil && p.ticket.Waiting() {
		p.counted = metrics.GetOrCreateGauge(p.q.rankMetric("waiting"), nil)
		p.counted.Inc()
	}
}

// endWait records that a request no longer waits; mu must be held.
func (p *pendingSlot) endWait() {
	if p.counted != nil {
		p.counted.Dec()
		p.counted = nil
	}
}

// recordDecided counts the decision on a request for a contended service; mu must be
// held.
func (p *pendingSlot) recordDecided(d awdispatch.Decision) {
	p.endWait()
	switch {
	case p.q.ranks == nil:
	case d.Grant != nil && d.Grant.BeyondSlots:
		metrics.GetOrCreateCounter(p.q.rankMetric("sent_beyond_slots_total")).Inc()
	case d.Grant != nil:
		metrics.GetOrCreateCounter(p.q.rankMetric("sent_total")).Inc()
	case d.Waited:
		metrics.GetOrCreateCounter(p.q.rankMetric("refused_after_waiting_total")).Inc()
	default:
		metrics.GetOrCreateCounter(p.q.rankMetric("refused_at_once_total")).Inc()
	}
}
