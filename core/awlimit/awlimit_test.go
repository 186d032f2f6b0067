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

// simulation runs the rate limiters of several entries that share the limit of
// one team and exchange their demand every 500 ms.
type simulation struct {
	limit    float64
	limiters map[int]*RateLimiter
	offered  map[int]float64 // requests per second, by entry
	now      time.Time
	rng      *rand.Rand
	lossRate float64 // fraction of exchanges that are lost
}

const step = 10 * time.Millisecond

func newSimulation(n int, limit, offered float64) *simulation {
	s := &simulation{limit: limit, limiters: map[int]*RateLimiter{}, offered: map[int]float64{}, now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, uint64(n)))}
	for i := range n {
		s.addEntry(i, offered)
	}
	return s
}

func (s *simulation) addEntry(i int, offered float64) {
	s.limiters[i], s.offered[i] = NewRateLimiter(), offered
	s.limiters[i].SetLimits(map[string]float64{"t": s.limit})
	s.limiters[i].entryCount = len(s.limiters) // as known from the instance list
}

// run simulates a period of d and returns the requests admitted per second.
func (s *simulation) run(d time.Duration) float64 {
	admitted := 0
	for t := time.Duration(0); t < d; t += step {
		s.now = s.now.Add(step)
		for _, i := range slices.Sorted(maps.Keys(s.limiters)) {
			r := s.limiters[i]
			for range int(s.offered[i]*step.Seconds() + s.rng.Float64()) {
				if ok, _ := r.Admit("t", s.now); ok {
					admitted++
				}
			}
		}
		if t%(500*time.Millisecond) == 0 {
			s.exchangeDemand()
		}
	}
	return float64(admitted) / d.Seconds()
}

func (s *simulation) exchangeDemand() {
	for _, i := range slices.Sorted(maps.Keys(s.limiters)) {
		r := s.limiters[i]
		own := r.EndWindow(500*time.Millisecond, len(s.limiters), s.now)
		for _, j := range slices.Sorted(maps.Keys(s.limiters)) {
			peer := s.limiters[j]
			if i != j && s.rng.Float64() >= s.lossRate {
				peer.UpdatePeer(fmt.Sprint(i), own, s.now)
			}
		}
	}
}

// Checks that admitted requests stay within 10% of the limit, above and below,
// from 5 s after a change in demand, entries or message loss.
func TestRateLimiterFollowsDemandAndEntries(t *testing.T) {
	const limit = 1000.0
	for _, tc := range []struct {
		name   string
		n      int
		change func(s *simulation)
	}{
		{"steady", 4, func(*simulation) {}},
		{"demand moves to one entry", 4, func(s *simulation) {
			for i := range s.offered {
				s.offered[i] = 0
			}
			s.offered[2] = 3000
		}},
		{"entry joins", 3, func(s *simulation) { s.addEntry(9, 1500) }},
		{"entry fails", 4, func(s *simulation) { delete(s.limiters, 1) }},
		{"exchanges are lost", 4, func(s *simulation) { s.lossRate = 0.3 }},
		{"many entries", 30, func(s *simulation) { s.offered[3] = 2000 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSimulation(tc.n, limit, 3000/float64(tc.n))
			s.run(5 * time.Second)
			tc.change(s)
			s.run(5 * time.Second)
			got := s.run(10 * time.Second)
			t.Logf("%.0f of %.0f requests per second", got, limit)
			require.LessOrEqual(t, got, 1.1*limit)
			require.GreaterOrEqual(t, got, 0.9*limit)
		})
	}
}

// Guards against refusing teams without a limit, and checks the time after
// which a refused team may retry.
func TestRateLimiterWithoutLimit(t *testing.T) {
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

// Checks priorities in an overload: the lowest priority is evicted first, and
// no request is evicted for one of the same priority.
func TestWaitQueueEvictsLowestPriority(t *testing.T) {
	q := &WaitQueue{Capacity: 2}
	evicted := []uint32{}
	var woken []uint32
	enqueue := func(p uint32) *Waiter {
		return q.Enqueue("m", p, func() { evicted = append(evicted, p) }, func() { woken = append(woken, p) })
	}
	require.NotNil(t, enqueue(3))
	five := enqueue(5)
	require.Nil(t, enqueue(3))
	require.NotNil(t, enqueue(4))
	require.Equal(t, []uint32{3}, evicted)
	q.Wake("other", 2)
	q.Wake("m", 1)
	q.Wake("m", 3)
	require.Equal(t, []uint32{5, 5, 4}, woken)
	require.True(t, q.HasWaiterAhead("m", 5))
	require.False(t, q.HasWaiterAhead("m", 6))
	require.False(t, q.HasWaiterAhead("other", 0))
	q.Remove(five)
	require.Equal(t, 1, q.Waiting())
	require.True(t, q.ShouldShed(0), "the lowest priority is shed when the queue is half full")
	require.False(t, q.ShouldShed(9))
	wait, refuse := WaitExceedsDeadline([]uint32{900, 700}, 600)
	require.True(t, refuse)
	require.EqualValues(t, 700, wait)
}

// Guards against holding more bytes than the limit.
func TestByteBudget(t *testing.T) {
	b := &ByteBudget{Limit: 100}
	require.True(t, b.Reserve(50))
	require.Equal(t, 32, b.StreamWindow(32, 8))
	require.True(t, b.Reserve(10))
	require.Equal(t, 8, b.StreamWindow(32, 8))
	require.False(t, b.Reserve(41))
	b.Release(60)
	require.Zero(t, b.Held())
}

// Guards against starting work too late to finish before its deadline.
func TestLatencyEstimator(t *testing.T) {
	var e LatencyEstimator
	require.False(t, e.WillMissDeadline("m", 20, time.Millisecond), "no request has been observed yet")
	e.Observe("m", 20, 200*time.Millisecond)
	require.True(t, e.WillMissDeadline("m", 20, 100*time.Millisecond))
	require.False(t, e.WillMissDeadline("m", 20, 190*time.Millisecond))
	require.False(t, e.WillMissDeadline("m", 5, 100*time.Millisecond))
	require.False(t, e.WillMissDeadline("other", 20, time.Millisecond))
}
