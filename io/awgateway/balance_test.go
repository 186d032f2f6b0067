package awgateway

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

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

// newBalanceGateway returns a gateway before two engines of service s, whose stream
// routes have the given priorities, and its clock.
func newBalanceGateway(t *testing.T, all bool, priorities ...int) (*Gateway, *awclock.Fake) {
	t.Helper()
	clock := awclock.NewFake(time.Unix(1000, 0))
	g := New(Config{Clock: clock, Logger: log.NewNopLogger(), Pool: awbackend.NewPool(awbackend.Config{Clock: clock}), Instance: "g", BalanceAll: all})
	c := &awdirectory.Config{Version: 1, Services: []awdirectory.Service{{Name: "s", Engine: true, Model: awdirectory.Model{Name: "m"}}}}
	for _, p := range priorities {
		c.Routes = append(c.Routes, awdirectory.Route{Kind: awdirectory.Stream, Priority: p, Targets: []awdirectory.Target{{Service: "s", Weight: 1}}})
	}
	require.True(t, g.Configure(c.Index()))
	g.Apply(awwatch.State{Entries: []awdirectory.Entry{{Name: "g"}}, Servers: []awdirectory.Server{
		{ID: "a", Service: "s", Address: "127.0.0.1:1", Slots: 8}, {ID: "b", Service: "s", Address: "127.0.0.1:2", Slots: 8},
	}})
	return g, clock
}

// Guards against services that are not contended paying for the balance: nothing may
// be measured, and their subscriptions must stay as they were.
func TestOnlyContendedServicesAreBalanced(t *testing.T) {
	g, _ := newBalanceGateway(t, false, 0, 0)
	q := &request{g: g, service: "s", route: &awdirectory.Route{Name: "r"}}
	g.recordDecision(q, awdispatch.Decision{Refusal: awdispatch.NoRoom})
	require.Empty(t, g.balance.meters)
	for _, target := range g.loaderTargets(9)["s"] {
		require.False(t, target.claim.Valid())
	}
	g, _ = newBalanceGateway(t, true, 0, 0)
	require.True(t, g.loaderTargets(9)["s"][0].claim.Valid())
	require.False(t, g.balanced("unknown"))
}

// Guards against claims that leave out what was sent or refused, and against a share
// that does not reach the dispatcher.
func TestClaimsAndSharesOfContendedServices(t *testing.T) {
	g, clock := newBalanceGateway(t, false, 0, 1)
	a := awdirectory.Server{ID: "a", Service: "s"}
	q := &request{g: g, service: "s", route: &awdirectory.Route{Name: "r"}}
	for range 100 {
		clock.Advance(100 * time.Millisecond)
		g.recordDecision(q, awdispatch.Decision{Grant: &awdispatch.Grant{Server: a}})
		g.recordDecision(q, awdispatch.Decision{Refusal: awdispatch.NoRoom})
	}
	demand := map[string]float64{}
	for _, target := range g.loaderTargets(9)["s"] {
		require.Equal(t, 8, target.claim.Slots)
		require.Equal(t, 1, target.claim.Sharers)
		demand[target.key.ID] = target.claim.Demand
	}
	require.InDelta(t, 15, demand["a"], 1)
	require.InDelta(t, 5, demand["b"], 1)

	g.handleLoadReport(awload.Report{Address: "127.0.0.1:1", Versions: map[string]int64{"m": 1}, Shared: true, Share: 1})
	granted := 0
	for range 3 {
		// The least urgent rank: others may be sent beyond the share.
		g.dispatch.Submit(awdispatch.Request{Service: "s", Model: "m", Rank: 1, Deadline: clock.Now().Add(time.Second)}, func(d awdispatch.Decision) {
			if d.Grant != nil {
				granted++
			}
		})
	}
	require.Equal(t, 1, granted)
	require.Equal(t, 7, g.dispatch.FreeSlots("s"))
	require.Equal(t, awdispatch.Spread{Servers: 1, Peak: 0.125, Mean: 0.125}, g.dispatch.Spread("s"))
}

// Guards against an unused grant that takes a slot until the next load report: nothing
// was sent, so the next request may use its share.
func TestUnusedGrantLeavesItsShare(t *testing.T) {
	g, clock := newBalanceGateway(t, false, 0, 1)
	g.handleLoadReport(awload.Report{Address: "127.0.0.1:1", Versions: map[string]int64{"m": 1}, Shared: true, Share: 1})
	for range 3 {
		q := &request{g: g, service: "s", model: "m", route: &awdirectory.Route{Name: "r"}, start: clock.Now(), deadline: clock.Now().Add(time.Second)}
		p := q.requestSlot()
		require.Len(t, p.decisions, 1)
		d := <-p.decisions
		require.NotNil(t, d.Grant)
		p.decisions <- d
		p.cancel()
	}
}

// streams sends requests with length hints to the engines of a gateway.
type streams struct {
	g     *Gateway
	clock *awclock.Fake
}

func newStreams(t *testing.T) *streams {
	t.Helper()
	g, clock := newBalanceGateway(t, false, 0, 1)
	g.cfg.Headers = plainHeaders{}
	l := &streams{g, clock}
	l.report(8)
	return l
}

// report reports that the engines have free slots, of which the gateway may use some.
func (l *streams) report(share int) { l.reportActive(share, 0) }

// reportActive reports the same for engines that run a number of requests.
func (l *streams) reportActive(share, active int) {
	for _, addr := range []string{"127.0.0.1:1", "127.0.0.1:2"} {
		l.g.handleLoadReport(awload.Report{Address: addr, Versions: map[string]int64{"m": 1}, Active: active, Shared: true, Share: share})
	}
}

func (l *streams) newRequest(hint int, resumeAfter string) *request {
	return &request{
		g: l.g, service: "s", model: "m", route: &awdirectory.Route{Name: "r"}, start: l.clock.Now(), deadline: l.clock.Now().Add(time.Second),
		info: RequestInfo{LengthHint: hint, ResumeAfter: resumeAfter}, avoid: map[awdirectory.Key]bool{},
	}
}

// begin begins a send. Its engine accepts no connections.
func (l *streams) begin(hint int, resumeAfter string) *send {
	q := l.newRequest(hint, resumeAfter)
	d := <-q.requestSlot().decisions
	s, ctx := q.newSend(context.Background(), d.Grant)
	s.run(ctx)
	return s
}

// end ends a send with a whole response.
func (s *send) end(events int64) {
	s.recordHeard()
	s.events.Store(events) // less than heardInterval later
	s.q.settle(s, sendResult{answered: true, outcome: awdispatch.Succeeded})
}

// prefersBegun reports whether an engine that runs a response with a hint of 300 and
// 90 events so far gets the next request, instead of one that has begun none of 160.
// With 1 token per event it has more work left, with 3 it has less.
func (l *streams) prefersBegun() bool {
	begun := l.begin(300, "")
	begun.events.Store(90)
	begun.recordHeard()
	l.begin(160, "")
	return l.begin(160, "").grant.Server.ID == begun.grant.Server.ID
}

// Guards against tokens per event that are learned from fewer events than have arrived:
// from those of a count up to heardInterval old, or from the rest of a resumed stream.
func TestTokensPerEventAreLearnedFromWholeStreams(t *testing.T) {
	l := newStreams(t)
	l.begin(300, "").end(100)
	require.True(t, l.prefersBegun(), "3 tokens per event")

	l = newStreams(t)
	l.begin(100, "").end(100)
	for range 22 { // if learned from, 3 tokens per event
		l.begin(300, "90").end(10)
	}
	require.False(t, l.prefersBegun(), "1 token per event")
}

// slowCaller takes a second for each piece of a body.
type slowCaller struct {
	*httptest.ResponseRecorder
	clock *awclock.Fake
}

func (c slowCaller) Write(p []byte) (int, error) {
	if len(p) > 0 {
		c.clock.Advance(time.Second)
	}
	return len(p), nil
}

// Guards against a plain server that is taken for slow because its callers are, or
// because its errors are quick.
func TestSlowCallersDoNotMakeAServerSlow(t *testing.T) {
	g, clock := newBalanceGateway(t, true)
	c := &awdirectory.Config{Version: 2, Services: []awdirectory.Service{{Name: "p"}}}
	require.True(t, g.Configure(c.Index()))
	g.Apply(awwatch.State{Entries: []awdirectory.Entry{{Name: "g"}}, Servers: []awdirectory.Server{
		{ID: "a", Service: "p", Address: "127.0.0.1:1", Slots: 8}, {ID: "b", Service: "p", Address: "127.0.0.1:2", Slots: 8},
	}})
	begin := func(server string) *send { // at any server if empty
		q := &request{
			g: g, w: slowCaller{httptest.NewRecorder(), clock}, service: "p", route: &awdirectory.Route{Name: "r"}, start: clock.Now(),
			deadline: clock.Now().Add(time.Second), avoid: map[awdirectory.Key]bool{},
		}
		if server != "" {
			q.avoid[awdirectory.Key{ID: map[string]string{"a": "b", "b": "a"}[server]}] = true
		}
		d := <-q.requestSlot().decisions
		s, _ := q.newSend(context.Background(), d.Grant)
		return s
	}
	answer := func(s *send, status int, took time.Duration, body string) {
		clock.Advance(took)
		s.q.settle(s, s.forwardWhole(context.Background(), &awbackend.Response{Status: status, Body: strings.NewReader(body)}))
	}
	const usual = 10 * time.Millisecond
	prefersA := func() bool {
		b := begin("b")
		s := begin("")
		defer answer(b, 200, usual, "")
		defer answer(s, 200, usual, "")
		return s.grant.Server.ID == "a"
	}
	for range 4 {
		answer(begin("b"), 200, usual, "")
	}
	long := strings.Repeat("x", 2*maxBufferedBody)
	for _, body := range []string{"x", long} {
		for range 4 {
			answer(begin("a"), 200, usual, body)
		}
		require.True(t, prefersA())
	}
	for range 200 {
		answer(begin("b"), 404, 0, "")
	}
	for range 4 {
		answer(begin("a"), 200, usual, "")
	}
	require.True(t, prefersA())
	for range 4 {
		answer(begin("a"), 200, 4*usual, "")
	}
	require.False(t, prefersA(), "a slow server")
}

// Guards against a silent stream that counts as demand each time that it looks in vain
// for a second server: its gateway would get slots for requests that it does not have.
func TestRefusedHedgesAreNoDemand(t *testing.T) {
	l := newStreams(t)
	running := l.begin(100, "")
	other := awdirectory.Key{ID: map[string]string{"a": "b", "b": "a"}[running.grant.Server.ID]}
	counted := l.g.balance.metrics.refusedWithRoom.Get()
	refuse := func(q *request, active int) {
		l.reportActive(0, active)
		p := q.requestSlot()
		l.clock.Advance(awretry.HedgeWait)
		l.reportActive(0, active)
		l.g.dispatch.Tick()
		require.Equal(t, awdispatch.NoRoom, (<-p.decisions).Refusal)
	}
	demand := func() float64 { return l.g.balance.meters["s"].Demand(other, 0, 2, l.clock.Now()) }
	const full = 10 // slots and the queue, in which a hedge may wait
	for range 5 {
		refuse(running.q, full)
	}
	require.Zero(t, demand())
	require.Equal(t, counted, l.g.balance.metrics.refusedWithRoom.Get())

	refuse(l.newRequest(100, ""), 0)
	require.Positive(t, demand())
	require.Equal(t, counted+1, l.g.balance.metrics.refusedWithRoom.Get())
}
