package awgateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awdispatch"
	"arbutuswind/core/awretry"
	"arbutuswind/io/awbackend"
	"arbutuswind/io/awload"
	"arbutuswind/io/awwatch"
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
	counter := func(name string, rank int) func() uint64 {
		q.route.Priority = rank
		c := metrics.GetOrCreateCounter(q.rankMetric(name))
		before := c.Get() // of an earlier run
		return func() uint64 { return c.Get() - before }
	}
	sent, beyond := counter("sent_total", 7), counter("sent_beyond_slots_total", 7)
	atOnce, afterWaiting := counter("refused_at_once_total", 8), counter("refused_after_waiting_total", 8)
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
	require.Equal(t, uint64(1), afterWaiting())
	q.deadline = clock.Now().Add(-time.Second)
	q.requestSlot()
	require.Equal(t, uint64(1), atOnce())

	q.route.Priority, q.start, q.deadline = 7, clock.Now(), clock.Now().Add(time.Second)
	q.requestSlot()
	require.Equal(t, uint64(1), beyond())
	require.Zero(t, sent())
}

// priorityHeaders passes the priority for the engine on.
type priorityHeaders struct{ plainHeaders }

func (priorityHeaders) ForwardHeaders(h http.Header, info ForwardInfo) http.Header {
	h.Set("X-Priority", strconv.Itoa(info.Priority))
	return h
}

// Guards against priorities that do not reach the engine, and against first events that
// do not reach the estimate of the wait.
func TestStreamOfContendedService(t *testing.T) {
	got := make(chan string, 3)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		got <- req.Header.Get("X-Priority")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	}))
	defer engine.Close()
	g := New(Config{
		Clock: awclock.System{}, Logger: log.NewNopLogger(), Headers: priorityHeaders{}, Instance: "e", Domain: "d", Region: "r",
		Pool: awbackend.NewPool(awbackend.Config{Clock: awclock.System{}}), Retry: awretry.WindowConfig{MinRetries: 100, Window: 10 * time.Second},
	})
	c := &awdirectory.Config{Version: 1, Services: []awdirectory.Service{{Name: "s", Engine: true}}}
	for p, prefix := range []string{"/a", "/b", "/c"} {
		c.Routes = append(c.Routes, awdirectory.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: awdirectory.Stream, Priority: p, Public: true, MaxAttempts: 1,
			Timeout: 20 * time.Second, LatencyObjective: time.Minute, Targets: []awdirectory.Target{{Service: "s", Weight: 1}},
		})
	}
	require.True(t, g.Configure(c.Index()))
	server := awdirectory.Server{ID: "a", Service: "s", Address: engine.Listener.Addr().String(), Slots: 1, Domain: "d", Region: "r"}
	g.Apply(awwatch.State{Servers: []awdirectory.Server{server}, Entries: []awdirectory.Entry{{Name: "e"}}})
	for i, path := range []string{"/a", "/b", "/c"} {
		w := httptest.NewRecorder()
		req := httptest.NewRequest(http.MethodGet, path, nil)
		req.Host = "h"
		g.ServeHTTP(w, req)
		require.Equal(t, http.StatusOK, w.Code)
		require.Equal(t, strconv.Itoa(3+i), <-got)
	}
	wait, late := g.dispatch.WaitLimit("s", time.Second, 0)
	require.False(t, late)
	require.NotEqual(t, 800*time.Millisecond, wait, "the wait of an estimate without any response")
}
