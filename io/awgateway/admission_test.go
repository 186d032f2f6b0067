package awgateway

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awdispatch"
	"arbutuswind/io/awload"
)

func rankedRequest(g *Gateway, team *awdirectory.Team, priority int) *request {
	route := &awdirectory.Route{Kind: awdirectory.Stream, Priority: priority, LatencyObjective: 400 * time.Millisecond}
	now := g.cfg.Clock.Now()
	q := &request{g: g, service: "s", model: "m", route: route, team: team, start: now, deadline: now.Add(6 * time.Second)}
	q.ranks = g.admission.ranksOf("s")
	return q
}

// Guards against a team's priority that replaces the rank of the route, and against an
// order at engines that differs from that of the gateway.
func TestPriorityForContendedService(t *testing.T) {
	g, _ := newBalanceGateway(t, false, 0, 1, 2)
	last := -1
	for _, team := range []*awdirectory.Team{{Name: "a", HasPriority: true}, {Name: "b", HasPriority: true, Priority: 1}} {
		for rank := range 3 {
			q := rankedRequest(g, team, rank)
			var req awdispatch.Request
			q.setRank(&req)
			require.Equal(t, awdispatch.Request{Priority: team.Priority, Rank: rank, Team: team.Name}, req)
			require.Equal(t, last+1, q.enginePriority())
			last = q.enginePriority()
		}
	}
	require.Equal(t, 4, rankedRequest(g, &awdirectory.Team{}, 1).enginePriority(), "a team without priority")
	require.Equal(t, 3, rankedRequest(g, nil, 0).enginePriority(), "no team")
	require.Equal(t, lowestPriority, rankedRequest(g, &awdirectory.Team{HasPriority: true, Priority: 9}, 2).enginePriority())
}

// Guards against new priorities and waits for services that are not contended, among
// them those with ranks that are no engines.
func TestPriorityForOtherServices(t *testing.T) {
	g, _ := newBalanceGateway(t, false, 2, 2)
	for _, team := range []*awdirectory.Team{nil, {}, {HasPriority: true, Priority: 5}} {
		q := rankedRequest(g, team, 2)
		req := awdispatch.Request{Priority: q.priority()}
		q.setRank(&req)
		require.Equal(t, awdispatch.Request{Priority: q.priority()}, req)
		require.Equal(t, q.priority(), q.enginePriority())
	}
	c := &awdirectory.Config{Services: []awdirectory.Service{{Name: "plain"}}}
	for p := range 2 {
		c.Routes = append(c.Routes, awdirectory.Route{Kind: awdirectory.Stream, Priority: p, Targets: []awdirectory.Target{{Service: "plain", Weight: 1}}})
	}
	require.True(t, c.Index().Contended("plain"))
	require.Nil(t, contendedRanks(c))
}

// Guards against metrics of contended services that count a request twice or leave it
// among the waiting ones.
func TestMetricsByRank(t *testing.T) {
	g, clock := newBalanceGateway(t, false, 7, 8)
	q := rankedRequest(g, nil, 8)
	count := func(name string) uint64 { return metrics.GetOrCreateCounter(q.rankMetric(name)).Get() }
	waiting := metrics.GetOrCreateGauge(q.rankMetric("waiting"), nil)
	full := func() {
		for _, address := range []string{"127.0.0.1:1", "127.0.0.1:2"} {
			g.handleLoadReport(awload.Report{Address: address, Active: 8, Versions: map[string]int64{"m": 1}})
		}
	}
	full()
	p := q.requestSlot()
	require.Equal(t, 1.0, waiting.Get())
	p.cancel()
	require.Zero(t, waiting.Get())

	q.requestSlot()
	clock.Advance(time.Second)
	full()
	require.Zero(t, waiting.Get())
	require.Equal(t, uint64(1), count("refused_after_waiting_total"))
	q.deadline = clock.Now().Add(-time.Second)
	q.requestSlot()
	require.Equal(t, uint64(1), count("refused_at_once_total"))

	q.route.Priority, q.start, q.deadline = 7, clock.Now(), clock.Now().Add(time.Second)
	q.requestSlot()
	require.Equal(t, uint64(1), count("sent_beyond_slots_total"))
	require.Zero(t, count("sent_total"))
}
