package awweights_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awweights"
)

// Guards against a designated fetcher with more than its even share of the
// chunks, which delays its whole region, and against two fetchers with the same
// rank.
func TestChunkAssignmentIsEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, awweights.FetchersPerRegion).Draw(t, "panel")
		chunks := rapid.IntRange(1, 300).Draw(t, "chunks")
		var fetchers []string
		for i := range n {
			fetchers = append(fetchers, fmt.Sprintf("agent-%d", i))
		}
		assignment := awweights.AssignChunks("digest", chunks, fetchers)
		first := map[string]int{}
		for i := range chunks {
			ranks := map[int]bool{}
			for _, id := range fetchers {
				before, ok := assignment.Before(i, id)
				require.True(t, ok)
				ranks[len(before)] = true
				if len(before) == 0 {
					first[id]++
				}
			}
			require.Len(t, ranks, n, "each rank belongs to exactly one agent")
		}
		for id, k := range first {
			require.LessOrEqual(t, k, (chunks+n-1)/n, id)
		}
		_, ok := assignment.Before(0, "stranger")
		require.False(t, ok)
	})
}

// Guards against a transfer that starts although the version does not fit into
// memory.
func TestMemoryPlan(t *testing.T) {
	for _, c := range []struct {
		m    awweights.Memory
		want awweights.MemoryPlan
	}{
		{awweights.Memory{Total: 100, Old: 40, New: 40, Running: 20}, awweights.FitsBeside},
		{awweights.Memory{Total: 100, Old: 41, New: 40, Running: 20}, awweights.FitsAfterUnload},
		{awweights.Memory{Total: 100, Old: 0, New: 81, Running: 20}, awweights.NoRoom},
	} {
		require.Equal(t, c.want, c.m.Plan(), "%+v", c.m)
	}
}

// Guards against weights that starve live requests, against unlimited uploads, and
// against uploads to other regions that wait behind those inside the region.
func TestLinkShareAndSlots(t *testing.T) {
	require.Equal(t, 1.0, awweights.LinkShare(0, 64))
	require.Equal(t, 0.25, awweights.LinkShare(64, 64))
	require.Less(t, awweights.LinkShare(48, 64), awweights.LinkShare(16, 64))
	s := awweights.NewSlots(2)
	require.True(t, s.Acquire(true))
	require.True(t, s.Acquire(true))
	require.False(t, s.Acquire(true))
	require.True(t, s.Acquire(false))
	s.Release(true)
	require.True(t, s.Acquire(true))
}

// Guards against several regions that read from the origin if no agent is placed
// in the store's region.
func TestHomeRegion(t *testing.T) {
	require.Equal(t, "north", awweights.HomeRegion("north", []string{"south", "north"}))
	require.Equal(t, "middle", awweights.HomeRegion("north", []string{"south", "middle"}))
}

// Guards against a panic if a process is listed twice, as in the platform's list
// after a restart: the chunks could not be assigned evenly.
func TestDuplicatePeer(t *testing.T) {
	clock := awclock.NewFake(time.Unix(0, 0))
	m := awweights.Manifest{Model: "m", Version: "1", ChunkBytes: 1, SizeBytes: 96, Chunks: make([]string, 96)}
	x := awweights.NewExchange(awweights.Config{Self: awweights.Source{ID: "a", Region: "r", RegionFetcher: true}, StoreRegion: "r", Digest: "d", Manifest: m},
		clock, rand.New(rand.NewPCG(1, 2)), awweights.NewBitmap(96))
	duplicate := awweights.Source{ID: "b", Region: "r", RegionFetcher: true}
	require.NotPanics(t, func() { x.SetPeers(true, []awweights.Source{duplicate, duplicate, duplicate}) })
}

// Guards against engines that all stop at once for a new version, and against
// loads that start too late to finish within the limit.
func TestLoadDelaysAreSpread(t *testing.T) {
	const earliest, limit, reserve = 3 * time.Second, 8 * time.Second, 3 * time.Second
	last := time.Duration(0)
	for rank := range 10 {
		delay := awweights.LoadDelay(rank, 10, earliest, limit, reserve)
		require.GreaterOrEqual(t, delay, last)
		require.LessOrEqual(t, delay, limit-reserve)
		last = delay
	}
	require.Equal(t, limit-reserve, last)
	require.Equal(t, earliest, awweights.LoadDelay(0, 10, earliest, limit, reserve))
	require.Equal(t, time.Second, awweights.LoadDelay(3, 10, earliest, 4*time.Second, reserve), "the limit leaves no time to spread")
}

// Guards against chunks that fill a link that has become slow. The responses of
// the engine behind it waited for most of a second.
func TestSlowLinkCarriesFewerChunks(t *testing.T) {
	const chunk = 24 << 10
	for _, tc := range []struct {
		name       string
		rate       float64 // current rate of the link, bytes a second
		maxFetches int
	}{{"full rate", 900 << 10, 4}, {"an eighth of the rate", 112 << 10, 1}} {
		t.Run(tc.name, func(t *testing.T) {
			clock := awclock.NewFake(time.Unix(0, 0))
			m := awweights.Manifest{Model: "m", Version: "1", ChunkBytes: chunk, SizeBytes: 96 * chunk, Chunks: make([]string, 96)}
			x := awweights.NewExchange(awweights.Config{
				Self: awweights.Source{ID: "a", Region: "r"}, StoreRegion: "r", Digest: "d", Manifest: m, LinkRate: 900 << 10,
				Parallel: 4, PerPeer: 4,
			}, clock, rand.New(rand.NewPCG(1, 2)), awweights.NewBitmap(96))
			x.SetPeers(false, []awweights.Source{{ID: "b", Region: "r", RegionFetcher: true}, {ID: "c", Region: "r", RegionFetcher: true}})
			full := awweights.NewBitmap(96)
			for i := range 96 {
				full.Set(i)
			}
			x.HandleChunkMap("b", full)
			x.HandleChunkMap("c", full)
			active := 0
			var running []uint64
			for range 40 {
				for {
					f, ok := x.Next()
					if !ok {
						break
					}
					running = append(running, f.ID)
				}
				active = len(running)
				if active == 0 {
					clock.Advance(50 * time.Millisecond)
					continue
				}
				clock.Advance(time.Duration(float64(active*chunk) / tc.rate * float64(time.Second)))
				for _, id := range running {
					x.Done(id, awweights.Verified)
				}
				running = running[:0]
				if x.Complete() {
					break
				}
			}
			require.LessOrEqual(t, active, tc.maxFetches)
		})
	}
}

// Guards against an origin that is not retried for many seconds after it has
// recovered. It is the only source of chunks that no peer holds.
func TestOriginIsRetriedWhileUnavailable(t *testing.T) {
	clock := awclock.NewFake(time.Unix(0, 0))
	m := awweights.Manifest{Model: "m", Version: "1", ChunkBytes: 1, SizeBytes: 8, Chunks: make([]string, 8)}
	x := awweights.NewExchange(awweights.Config{Self: awweights.Source{ID: "a", Region: "r", RegionFetcher: true}, StoreRegion: "r", Digest: "d", Manifest: m},
		clock, rand.New(rand.NewPCG(1, 2)), awweights.NewBitmap(8))
	x.SetPeers(true, nil)
	last := clock.Now()
	for range 1000 { // the origin is unavailable for ten seconds
		clock.Advance(10 * time.Millisecond)
		for {
			f, ok := x.Next()
			if !ok {
				break
			}
			require.Equal(t, awweights.FromOrigin, f.Kind)
			x.Done(f.ID, awweights.Failed)
			last = clock.Now()
		}
		require.Less(t, clock.Now().Sub(last), time.Second)
	}
}

// Guards against chunks that no agent fetches into a region. The list of agents
// grows during a transfer and the fetchers change with it. If a new fetcher does
// not know that it is one, the others wait for it.
func TestRegionFetcherFollowsPeerList(t *testing.T) {
	clock := awclock.NewFake(time.Unix(0, 0))
	m := awweights.Manifest{Model: "m", Version: "1", ChunkBytes: 1, SizeBytes: 8, Chunks: make([]string, 8)}
	x := awweights.NewExchange(awweights.Config{Self: awweights.Source{ID: "a", Region: "r"}, StoreRegion: "r", Digest: "d", Manifest: m},
		clock, rand.New(rand.NewPCG(1, 2)), awweights.NewBitmap(8))
	peers := []awweights.Source{{ID: "b", Region: "r", RegionFetcher: true}}
	x.SetPeers(false, peers)
	x.HandleChunkMap("b", awweights.NewBitmap(8))
	clock.Advance(time.Second)
	_, ok := x.Next()
	require.False(t, ok, "only region fetchers fetch from outside")
	x.SetPeers(true, peers)
	f, ok := x.Next()
	require.True(t, ok)
	require.Equal(t, awweights.FromOrigin, f.Kind)
}
