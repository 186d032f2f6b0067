package awbalance

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutuswind/core/awdirectory"
)

var start = time.Unix(1000, 0)

// settled is a server with 16 slots that has known its entries for long.
func settled(active int) Server {
	return Server{Active: active, FirstClaim: start.Add(-time.Minute)}
}

func claims(demand ...float64) []Claim {
	list := make([]Claim, len(demand))
	for i, d := range demand {
		list[i] = Claim{Demand: d, Slots: 16, Sharers: len(demand), At: start}
	}
	return list
}

// meanShares returns the mean shares over many draws.
func meanShares(s Server, list []Claim, now time.Time) []float64 {
	const rounds = 20000
	rng := rand.New(rand.NewPCG(1, 2))
	sums, shares := make([]float64, len(list)), make([]int, len(list))
	for range rounds {
		Split(s, list, shares, now, rng.Float64())
		for i, n := range shares {
			sums[i] += float64(n) / rounds
		}
	}
	return sums
}

// Guards against shares that together exceed the free slots or leave some to no one,
// whatever the claims and the draw.
func TestSharesAddUpToTheFreeSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := rapid.SliceOfN(rapid.Float64Range(0, 200), 1, 20).Draw(t, "demand")
		s := settled(rapid.IntRange(0, 20).Draw(t, "active"))
		s.Slowdown = rapid.Float64Range(0, 4).Draw(t, "slowdown")
		shares := make([]int, len(demand))
		Split(s, claims(demand...), shares, start, rapid.Float64Range(0, 1).Draw(t, "draw"))
		sum := 0
		for _, n := range shares {
			require.GreaterOrEqual(t, n, 0)
			sum += n
		}
		require.Equal(t, s.free(16), sum)
	})
}

// Guards against equal shares for unequal demand, and against an entry without demand
// that gets no slot to begin with.
func TestSharesFollowDemand(t *testing.T) {
	got := meanShares(settled(8), claims(60, 20, 0, 0), start)
	require.InDeltaSlice(t, []float64{4, 2, 1, 1}, got, 0.05)
	require.InDeltaSlice(t, []float64{2, 2, 2, 2}, meanShares(settled(8), claims(0, 0, 0, 0), start), 0.05)
}

// Guards against slots that stay with an entry that is frozen or cut off: after
// ClaimTTL only the share of its floor is left for it, also if half of all are.
func TestSharesOfSilentEntriesLapse(t *testing.T) {
	list := claims(30, 30, 30, 30)
	now := start.Add(ClaimTTL)
	list[2].At, list[3].At = now, now
	got := meanShares(settled(0), list, now)
	require.Less(t, got[0]+got[1], 16*0.1)
	require.InDelta(t, got[2], got[3], 0.05)
	require.InDelta(t, 16, got[0]+got[1]+got[2]+got[3], 0.01)
}

// Guards against a server that gives all its slots to the first entry that it hears
// of while the others take theirs unasked: after its start, and where some entries
// send no claims.
func TestSlotsAreKeptForEntriesWithoutClaims(t *testing.T) {
	first := claims(50)
	first[0].Sharers = 4
	s := Server{FirstClaim: start}
	require.InDelta(t, 4, meanShares(s, first, start)[0], 0.01)
	require.InDelta(t, 16, meanShares(s, claims(50), start.Add(SettlingTime))[0], 0.01)

	mixed := append(claims(50), make([]Claim, 3)...)
	got := meanShares(settled(0), mixed, start)
	require.InDelta(t, 4, got[0], 0.01)
	require.Zero(t, got[1]+got[2]+got[3])
}

// Guards against shares of a server that accepts nothing or runs slower than usual.
func TestSharesOfBusyAndSlowServers(t *testing.T) {
	s := settled(4)
	s.Busy = true
	require.Equal(t, []float64{0, 0}, meanShares(s, claims(1, 1), start))
	s = settled(4)
	s.Slowdown = 2
	require.InDeltaSlice(t, []float64{2, 2}, meanShares(s, claims(1, 1), start), 0.05)
}

// Guards against demand that does not follow what an entry sends and refuses, or that
// is remembered for too long.
func TestMeterFollowsDemand(t *testing.T) {
	a, b := awdirectory.Key{ID: "a"}, awdirectory.Key{ID: "b"}
	var m Meter
	now := start
	for range 400 { // 10 s at 20 sent to a and 20 refused a second
		now = now.Add(50 * time.Millisecond / 2)
		m.Sent(a, now)
		m.Refused(now)
	}
	require.InDelta(t, 40+40/4, m.Demand(a, 0, 4, now), 1)
	require.InDelta(t, 40/4, m.Demand(b, 0, 4, now), 0.3)
	require.InDelta(t, 40/4+8/2/4, m.Demand(b, 8, 4, now), 0.3)
	require.Less(t, m.Demand(a, 0, 4, now.Add(4*meterTime)), 1.0)
	m.Retain(func(k awdirectory.Key) bool { return k == b })
	require.InDelta(t, 40/4, m.Demand(a, 0, 4, now), 0.3)
}

// Guards against a claim with a wrong number of slots that makes the process give away
// more than the server has, or keeps the other entries from theirs.
func TestWrongSlotsOfOneClaim(t *testing.T) {
	for _, slots := range []int{-1, 1, 17, MaxSlots, MaxSlots + 1, math.MaxInt} {
		list := claims(10, 10, 10, 10)
		list[1].Slots = slots
		got := meanShares(settled(8), list, start)
		require.LessOrEqual(t, got[0]+got[1]+got[2]+got[3], 8.01, "%d slots", slots)
		for _, i := range []int{0, 2, 3} {
			require.InDelta(t, 2, got[i], 0.05, "%d slots", slots)
		}
	}
	wrong := claims(10)
	wrong[0].Slots = MaxSlots + 1
	require.False(t, wrong[0].Valid())
	require.Equal(t, []float64{0}, meanShares(settled(8), wrong, start))
}
