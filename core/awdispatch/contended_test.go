package awdispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awthrottle"
)

// contendedEngine is an entry before one full engine whose service has ranks 0 to 2.
type contendedEngine struct {
	*fullEngines
	order []string // names of the granted requests
	grant *Grant   // of the last one
}

func newContendedEngine(contended bool) *contendedEngine {
	e := &contendedEngine{fullEngines: newFullEngines()}
	if contended {
		e.SetContended(map[string]Ranks{"s": {LeastUrgent: 2}})
	}
	e.grant = e.running["south"]
	return e
}

func (e *contendedEngine) submit(name string, req Request) {
	req.Service, req.Model, req.Deadline, req.Allowed = "s", "m", e.clock.Now().Add(time.Minute), onlyIn("south")
	if req.MaxWait == 0 {
		req.MaxWait = 10 * time.Second
	}
	e.Submit(req, func(dec Decision) {
		if e.grant = dec.Grant; e.grant != nil {
			e.order = append(e.order, name)
		}
	})
}

// serve ends running requests until n others have been granted.
func (e *contendedEngine) serve(n int) []string {
	e.order = nil
	for range n {
		e.Release(e.grant, Succeeded)
	}
	return e.order
}

// Guards against a queue that does not follow priority, punctuality, rank, fairness
// among teams and arrival, in this order.
func TestOrderOfContendedService(t *testing.T) {
	e := newContendedEngine(true)
	e.submit("late", Request{Priority: 1, Late: true})
	e.submit("rank 2", Request{Priority: 1, Rank: 2, Team: "c"})
	for i := range 3 {
		e.submit(fmt.Sprint("large ", i), Request{Priority: 1, Rank: 1, Team: "a"})
	}
	e.submit("small 0", Request{Priority: 1, Rank: 1, Team: "b"})
	e.submit("small 1", Request{Priority: 1, Rank: 1, Team: "b"})
	e.submit("rank 0", Request{Priority: 1, Team: "a"})
	e.submit("urgent team, late", Request{Rank: 2, Late: true})
	require.Equal(t, []string{"urgent team, late", "rank 0", "large 0", "small 0", "large 1", "small 1"}, e.serve(6))
	require.Equal(t, []string{"rank 2", "large 2", "late"}, e.serve(3), "the sixth assignment is of the less urgent rank")
}

// Guards against a team that is put back by requests of it that were refused.
func TestRefusedRequestsDoNotCountForTeams(t *testing.T) {
	e := newContendedEngine(true)
	for i := range 5 {
		e.submit(fmt.Sprint("refused ", i), Request{Team: "a", MaxWait: time.Millisecond})
		e.wait(time.Millisecond)
	}
	e.submit("b 0", Request{Team: "b"})
	e.submit("b 1", Request{Team: "b"})
	e.submit("a", Request{Team: "a"})
	e.grant = e.running["south"]
	require.Equal(t, []string{"b 0", "a", "b 1"}, e.serve(3))
}

// Guards against a team that was just served and comes before one that was not.
func TestServedTeamsComeLater(t *testing.T) {
	e := newContendedEngine(true)
	e.submit("a", Request{Team: "a"})
	e.serve(1)
	e.submit("a again", Request{Team: "a"})
	e.submit("b", Request{Team: "b"})
	require.Equal(t, []string{"b", "a again"}, e.serve(2))
}

// Guards against starving less urgent ranks: one assignment in six is theirs.
func TestFloorOfLessUrgentRanks(t *testing.T) {
	e := newContendedEngine(true)
	for i := range 30 {
		e.clock.Advance(time.Millisecond)
		e.submit("urgent", Request{MaxWait: time.Hour})
		e.submit(fmt.Sprint("rank ", 1+i%2), Request{Rank: 1 + i%2, MaxWait: time.Hour})
	}
	counts := map[string]int{}
	for _, name := range e.serve(24) {
		counts[name]++
	}
	require.Equal(t, map[string]int{"urgent": 20, "rank 1": 2, "rank 2": 2}, counts)
}

// Guards against waits that do not fit the engine, and against estimates out of bounds.
func TestWaitForContendedService(t *testing.T) {
	const ms = time.Millisecond
	e := newContendedEngine(true)
	wait := func(objective, age time.Duration) time.Duration {
		w, late := e.WaitLimit("s", objective, age)
		require.Equal(t, age >= objective/2, late)
		return w
	}
	require.Equal(t, 200*ms, wait(400*ms, 0))
	require.Equal(t, 100*ms, wait(400*ms, 100*ms))
	require.Equal(t, lateMaxWait, wait(400*ms, 200*ms))
	require.Equal(t, lateMaxWait, wait(400*ms, 300*ms))
	require.Equal(t, 800*ms, wait(time.Second, 0))

	observe := func(d time.Duration, beyond bool) {
		for range 600 {
			e.FirstEvent(&Grant{Server: awdirectory.Server{Service: "s"}, BeyondSlots: beyond, sentAt: e.clock.Now().Add(-d)})
		}
	}
	observe(time.Second, true)
	require.Equal(t, 200*ms, wait(400*ms, 0), "the queue of the engine is not the service's time")
	observe(time.Second, false)
	require.Equal(t, 200*ms, wait(400*ms, 0), "not less than half of the objective")
	require.Equal(t, 500*ms, wait(time.Second, 0), "not less than half of the objective")
	observe(0, false)
	require.Equal(t, 350*ms, wait(400*ms, 0))
}

// Guards against an estimate that follows the mean time of the first event, with which
// half of the requests that waited would be late.
func TestEstimateOfFirstEventIsAHighQuantile(t *testing.T) {
	c := &contention{}
	for i := range 2000 {
		c.recordFirstEvent(time.Duration(100+(i*37)%200) * time.Millisecond)
	}
	require.InDelta(t, 0.28, c.firstEventTime().Seconds(), 0.02)
}

// Guards against a queue without bound: before the first assignments, the expected wait
// refuses nothing.
func TestQueueOfContendedServiceIsBounded(t *testing.T) {
	e := newContendedEngine(true)
	for range 2 * maxContendedQueue {
		e.submit("late", Request{Late: true})
	}
	require.Equal(t, maxContendedQueue, e.WaitingFor("s"))
	e.submit("punctual", Request{})
	require.Equal(t, maxContendedQueue, e.WaitingFor("s"))
	e.grant = e.running["south"]
	require.Equal(t, []string{"punctual"}, e.serve(1))
}

// Guards against a request that is granted as the floor and then refused because the
// queue is full: it would be decided twice.
func TestFloorRequestIsDecidedOnce(t *testing.T) {
	e := newContendedEngine(true)
	decisions := 0
	e.Submit(Request{
		Service: "s", Model: "m", Rank: 2, MaxWait: time.Hour, Deadline: e.clock.Now().Add(time.Hour), Allowed: onlyIn("south"),
	}, func(dec Decision) {
		decisions++
		require.NotNil(t, dec.Grant)
	})
	for range maxContendedQueue - 1 {
		e.submit("urgent", Request{MaxWait: time.Hour})
	}
	e.contended["s"].passedOver = floorPeriod - 1
	south := e.running["south"].Server
	e.servers[south.Key()].ownRequests-- // a free slot that no queued request has seen
	e.servers[south.Key()].allowance = 1
	e.submit("urgent", Request{MaxWait: time.Hour})
	require.Equal(t, 1, decisions)
	require.LessOrEqual(t, e.WaitingFor("s"), maxContendedQueue)
}

// Guards against a large team that crowds out a small one in one rank because another
// rank has been served meanwhile.
func TestTeamsAreFairWithinTheirRank(t *testing.T) {
	e := newContendedEngine(true)
	for i := range 4 {
		e.submit(fmt.Sprint("large ", i), Request{Rank: 2, Team: "a"})
	}
	for i := range 50 {
		c := e.contended["s"].fairness(&Request{})
		c.assigned("c", int64(i))
	}
	e.submit("small", Request{Rank: 2, Team: "b"})
	require.Equal(t, []string{"large 0", "small", "large 1"}, e.serve(3))
}

// Guards against waiting requests of a full service that all go to an instance that has
// fallen silent, where they can neither run nor be withdrawn.
func TestSilentEngineOfContendedServiceGetsOneRequest(t *testing.T) {
	for contended, want := range map[bool]int{true: 1, false: 3} {
		e := newContendedEngine(contended)
		e.Release(e.grant, Succeeded)
		south := e.running["south"].Server
		south.Slots = 3
		e.SetServers([]awdirectory.Server{south})
		e.Report(south.Key(), Load{At: e.clock.Now(), Active: south.Slots, Versions: south.Versions})
		e.wait(reportMaxAge)
		for range 3 {
			e.submit("", Request{Rank: 2})
		}
		require.Len(t, e.order, want)
	}
}

// Guards against requests beyond the slots of late callers, of the least urgent rank,
// and at engines that are cold, silent or have a rate limit, and against second sends of
// begun streams that find no place because urgent requests fill the engines' queues.
func TestRequestsBeyondTheSlots(t *testing.T) {
	e := newContendedEngine(true)
	south := e.running["south"].Server
	report := func(active int) {
		e.Report(south.Key(), Load{At: e.clock.Now(), Active: active, Versions: south.Versions})
	}
	sent := func(req Request) bool {
		req.MaxWait = time.Nanosecond
		e.submit("", req)
		e.wait(time.Millisecond)
		return e.grant != nil && e.grant.BeyondSlots
	}
	require.False(t, sent(Request{}), "no report")
	e.wait(keptForOthersTime) // so that late requests may have what is free
	report(1)
	require.False(t, sent(Request{Late: true}))
	require.False(t, sent(Request{Rank: 2}))
	require.True(t, sent(Request{Rank: -1, Proven: true}), "a stream that is begun at a silent engine comes first")
	e.Release(e.grant, Abandoned)
	report(1)
	require.True(t, sent(Request{Rank: 1}))
	require.False(t, sent(Request{Rank: 1}), "one for rank 1")
	require.True(t, sent(Request{}))
	require.False(t, sent(Request{}), "two for rank 0")
	report(3)
	require.False(t, sent(Request{}))
	report(1)
	e.clock.Advance(reportMaxAge)
	require.False(t, sent(Request{}), "silent")

	e = newContendedEngine(true)
	e.SetServices([]awdirectory.Service{{Name: "s", Engine: true, ColdRate: 100}})
	south.ColdRemaining = time.Minute
	e.SetServers([]awdirectory.Server{south})
	report(1)
	require.False(t, sent(Request{}), "cold")
	e.wait(time.Minute)
	report(1)
	require.True(t, sent(Request{}), "warm")
	e.cfg.Throttle.Observe(south.Key(), awthrottle.Signals{Limited: true, RateLimit: 100}, e.clock.Now())
	require.Zero(t, e.beyondSlotsAt(e.servers[south.Key()], &Request{beyond: 2}, e.clock.Now()), "rate limit")
}

// Guards against new rules for services that are not contended.
func TestServiceThatIsNotContended(t *testing.T) {
	e := newContendedEngine(false)
	for _, age := range []time.Duration{0, 50 * time.Millisecond, time.Second} {
		wait, late := e.WaitLimit("s", objective, age)
		wantWait, wantLate := WaitLimit(objective, age)
		require.Equal(t, wantWait, wait)
		require.Equal(t, wantLate, late)
	}
	e.submit("late", Request{Priority: 1, Late: true})
	for i := range 8 {
		e.submit(fmt.Sprint(i), Request{Priority: 1, Rank: 2 - i%3, Team: "a"})
	}
	e.submit("b", Request{Priority: 1, Team: "b"})
	e.submit("urgent", Request{Rank: 2})
	require.Equal(t, []string{"urgent", "0", "1", "2", "3", "4", "5", "6", "7", "b", "late"}, e.serve(11))
	south := e.grant.Server
	e.submit("urgent", Request{})
	e.Report(south.Key(), Load{At: e.clock.Now(), Active: 1, Versions: map[string]int64{"m": 1}})
	require.Equal(t, 1, e.WaitingFor("s"), "nothing beyond the slots")
}
