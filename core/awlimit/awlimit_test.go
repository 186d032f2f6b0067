package awlimit

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// entries simulates entries that share one team's limit every 500 ms.
type entries struct {
	limit   float64
	rates   map[int]*RateLimiter
	offered map[int]float64 // requests a second by entry
	now     time.Time
	rng     *rand.Rand
	drop    float64 // share of exchanges that are lost
}

const step = 10 * time.Millisecond

func newEntries(n int, limit, offered float64) *entries {
	e := &entries{limit: limit, rates: map[int]*RateLimiter{}, offered: map[int]float64{}, now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, uint64(n)))}
	for i := range n {
		e.join(i, offered)
	}
	return e
}

func (e *entries) join(i int, offered float64) {
	e.rates[i], e.offered[i] = NewRateLimiter(), offered
	e.rates[i].SetLimits(map[string]float64{"t": e.limit})
	e.rates[i].alive = len(e.rates) // as the instance list tells
}

// run lets d pass and returns the requests admitted a second.
func (e *entries) run(d time.Duration) float64 {
	admitted := 0
	for t := time.Duration(0); t < d; t += step {
		e.now = e.now.Add(step)
		for _, i := range slices.Sorted(maps.Keys(e.rates)) {
			r := e.rates[i]
			for range int(e.offered[i]*step.Seconds() + e.rng.Float64()) {
				if ok, _ := r.Admit("t", e.now); ok {
					admitted++
				}
			}
		}
		if t%(500*time.Millisecond) == 0 {
			e.share()
		}
	}
	return float64(admitted) / d.Seconds()
}

func (e *entries) share() {
	for _, i := range slices.Sorted(maps.Keys(e.rates)) {
		r := e.rates[i]
		own := r.EndWindow(500*time.Millisecond, len(e.rates), e.now)
		for _, j := range slices.Sorted(maps.Keys(e.rates)) {
			peer := e.rates[j]
			if i != j && e.rng.Float64() >= e.drop {
				peer.UpdatePeer(fmt.Sprint(i), own, e.now)
			}
		}
	}
}

// Guards the overshoot of at most 10% after 5 s, and goodput, while demand
// moves and entries come and go.
func TestRatesFollowDemandAndEntries(t *testing.T) {
	const limit = 1000.0
	for _, tc := range []struct {
		name   string
		n      int
		change func(e *entries)
	}{
		{"steady", 4, func(*entries) {}},
		{"demand moves to one entry", 4, func(e *entries) {
			for i := range e.offered {
				e.offered[i] = 0
			}
			e.offered[2] = 3000
		}},
		{"entry joins", 3, func(e *entries) { e.join(9, 1500) }},
		{"entry dies", 4, func(e *entries) { delete(e.rates, 1) }},
		{"exchanges are lost", 4, func(e *entries) { e.drop = 0.3 }},
		{"many entries", 30, func(e *entries) { e.offered[3] = 2000 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := newEntries(tc.n, limit, 3000/float64(tc.n))
			e.run(5 * time.Second)
			tc.change(e)
			e.run(5 * time.Second)
			got := e.run(10 * time.Second)
			t.Logf("%.0f of %.0f requests a second", got, limit)
			require.LessOrEqual(t, got, 1.1*limit)
			require.GreaterOrEqual(t, got, 0.9*limit)
		})
	}
}

// Guards teams without a limit against refusal, and the hint of a refusal.
func TestRatesWithoutLimit(t *testing.T) {
	r, now := NewRateLimiter(), time.Unix(1000, 0)
	for range 1000 {
		ok, _ := r.Admit("free", now)
		require.True(t, ok)
	}
	r.SetLimits(map[string]float64{"t": 1})
	ok, _ := r.Admit("t", now)
	require.True(t, ok)
	ok, after := r.Admit("t", now)
	require.False(t, ok)
	require.InDelta(t, 1000, after, 10)
}

// Guards priorities in an overload: the lowest leaves first, and no one is
// evicted for an equal.
func TestRoomEvictsLowestPriority(t *testing.T) {
	r := &WaitQueue{Capacity: 2}
	evicted := []uint32{}
	var woken []uint32
	enter := func(p uint32) *Waiter {
		return r.Enqueue("m", p, func() { evicted = append(evicted, p) }, func() { woken = append(woken, p) })
	}
	require.NotNil(t, enter(3))
	five := enter(5)
	require.Nil(t, enter(3))
	require.NotNil(t, enter(4))
	require.Equal(t, []uint32{3}, evicted)
	r.Wake("other", 2)
	r.Wake("m", 1)
	r.Wake("m", 3)
	require.Equal(t, []uint32{5, 5, 4}, woken)
	require.True(t, r.HasWaiterAhead("m", 5))
	require.False(t, r.HasWaiterAhead("m", 6))
	require.False(t, r.HasWaiterAhead("other", 0))
	r.Remove(five)
	require.Equal(t, 1, r.Waiting())
	require.True(t, r.ShouldShed(0), "half full: the lowest priority waits no more")
	require.False(t, r.ShouldShed(9))
	wait, refuse := WaitExceedsDeadline([]uint32{900, 700}, 600)
	require.True(t, refuse)
	require.EqualValues(t, 700, wait)
}

// Guards the hard total of held bytes.
func TestBytes(t *testing.T) {
	b := &ByteBudget{Limit: 100}
	require.True(t, b.Reserve(50))
	require.Equal(t, 32, b.StreamWindow(32, 8))
	require.True(t, b.Reserve(10))
	require.Equal(t, 8, b.StreamWindow(32, 8))
	require.False(t, b.Reserve(41))
	b.Release(60)
	require.Zero(t, b.Held())
}

// Guards against work that is begun too late to end before its deadline.
func TestPace(t *testing.T) {
	var p LatencyEstimator
	require.False(t, p.WillMissDeadline("m", 20, time.Millisecond), "nothing is known yet")
	p.Observe("m", 20, 200*time.Millisecond)
	require.True(t, p.WillMissDeadline("m", 20, 100*time.Millisecond))
	require.False(t, p.WillMissDeadline("m", 20, 190*time.Millisecond))
	require.False(t, p.WillMissDeadline("m", 5, 100*time.Millisecond))
	require.False(t, p.WillMissDeadline("other", 20, time.Millisecond))
}
