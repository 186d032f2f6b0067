package awweights_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awweights"
)

const (
	simChunks = 60
	simStep   = 10 * time.Millisecond
	simLimit  = 2 * time.Minute // of simulated time
)

// swarm runs the exchanges of several agents over a simulated network, in which
// a chunk takes two steps inside a region and four from outside.
type swarm struct {
	t            *testing.T
	clock        *awclock.Fake
	nodes        map[string]*node
	ids          []string
	originReads  int            // chunks read from the origin
	crossRegion  map[string]int // chunks fetched between regions, by "from>to"
	corrupt      map[string]bool
	stalled      map[string]bool
	busy         map[string]bool
	corruptReads int // number of origin reads still to return a corrupt chunk
}

type node struct {
	self  awweights.Source
	x     *awweights.Exchange
	dead  bool
	calls map[uint64]call
}

type call struct {
	awweights.Fetch
	due time.Time // when the call ends
}

func newSwarm(t *testing.T, regions, perRegion int) *swarm {
	s := &swarm{
		t: t, clock: awclock.NewFake(time.Unix(0, 0)), nodes: map[string]*node{}, crossRegion: map[string]int{},
		corrupt: map[string]bool{}, stalled: map[string]bool{}, busy: map[string]bool{},
	}
	for r := range regions {
		region := fmt.Sprintf("r%d", r)
		var ids []string
		for i := range perRegion {
			ids = append(ids, fmt.Sprintf("%s-%02d", region, i))
		}
		fetchers := awweights.RegionFetchers(region, ids)
		for _, id := range ids {
			s.nodes[id] = &node{self: awweights.Source{ID: id, Region: region, RegionFetcher: slices.Contains(fetchers, id)}}
		}
		s.ids = append(s.ids, ids...)
	}
	for _, id := range s.ids {
		s.start(id, nil)
	}
	return s
}

func (s *swarm) start(id string, held awweights.Bitmap) {
	n := s.nodes[id]
	m := awweights.NewManifest("m", "v", make([]byte, simChunks*100), 100)
	cfg := awweights.Config{Self: n.self, StoreRegion: "r0", Digest: "d", Manifest: m}
	n.x = awweights.NewExchange(cfg, s.clock, rand.New(rand.NewPCG(1, awweights.Score("", id))), held)
	n.calls = map[uint64]call{}
	var peers []awweights.Source
	for _, other := range s.ids {
		if o := s.nodes[other].self; other != id && (o.Region == n.self.Region || o.RegionFetcher) {
			peers = append(peers, o)
		}
	}
	n.x.SetPeers(n.self.RegionFetcher, peers)
}

// run advances the simulation until every live agent holds all chunks.
func (s *swarm) run() {
	for step := 0; ; step++ {
		done := true
		for _, id := range s.ids {
			n := s.nodes[id]
			if !n.dead && !s.stalled[id] {
				s.step(n, step)
				done = done && n.x.Complete()
			}
		}
		if done {
			return
		}
		s.clock.Advance(simStep)
		require.Less(s.t, time.Duration(step)*simStep, simLimit, "the transfer does not complete")
	}
}

func (s *swarm) step(n *node, step int) {
	if step%20 == 0 {
		for _, id := range n.x.PeersToPoll() {
			if p := s.nodes[id]; p.dead || s.stalled[id] {
				n.x.HandleChunkMap(id, nil)
			} else {
				n.x.HandleChunkMap(id, p.x.Held())
			}
		}
	}
	now := s.clock.Now()
	for _, id := range sortedCalls(n.calls) {
		if c, ok := n.calls[id]; ok && !now.Before(c.due) {
			s.finish(n, c)
		}
	}
	for f, ok := n.x.Next(); ok; f, ok = n.x.Next() {
		steps := 2
		if f.Kind != awweights.FromPeer {
			steps = 4
		}
		if s.stalled[f.Peer] {
			steps = 2000 // the call's timeout
		}
		n.calls[f.ID] = call{Fetch: f, due: now.Add(time.Duration(steps) * simStep)}
	}
}

func sortedCalls(calls map[uint64]call) []uint64 {
	var ids []uint64
	for id := range calls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *swarm) finish(n *node, c call) {
	delete(n.calls, c.ID)
	res := awweights.Verified
	if c.Kind == awweights.FromOrigin {
		s.originReads++
		if s.corruptReads > 0 {
			s.corruptReads--
			res = awweights.Corrupt
		}
	} else {
		p := s.nodes[c.Peer]
		switch {
		case p.dead || s.stalled[c.Peer]:
			res = awweights.Failed
		case s.busy[c.Peer]:
			res = awweights.Busy
		case !p.x.Held().Has(c.Index):
			res = awweights.Missing
		case s.corrupt[c.Peer]:
			res = awweights.Corrupt
		}
		if c.Kind == awweights.FromOtherRegion && res == awweights.Verified {
			s.crossRegion[p.self.Region+">"+n.self.Region]++
		}
	}
	for _, other := range n.x.Done(c.ID, res) {
		delete(n.calls, other)
		n.x.Done(other, awweights.Cancelled)
	}
}

func (s *swarm) regionFetchers(region string) []string {
	var list []string
	for _, id := range s.ids {
		if n := s.nodes[id]; n.self.Region == region && n.self.RegionFetcher {
			list = append(list, id)
		}
	}
	return list
}

// Guards against a chunk that is read from the origin or copied between two
// regions more than once, and against a transfer time that grows with the fleet.
func TestOneCopyPerLink(t *testing.T) {
	var took []time.Duration
	for _, perRegion := range []int{2, 8, 24} {
		s := newSwarm(t, 3, perRegion)
		began := s.clock.Now()
		s.run()
		took = append(took, s.clock.Now().Sub(began))
		require.Equal(t, simChunks, s.originReads)
		require.Equal(t, map[string]int{"r0>r1": simChunks, "r0>r2": simChunks}, s.crossRegion)
	}
	require.LessOrEqual(t, float64(took[2]), 1.3*float64(took[0]), "times to 6 and 72 replicas: %v", took)
}

// Guards against transfers that do not complete after a failure. Each case
// injects one failure and limits the additional reads from the origin.
func TestTransferSurvives(t *testing.T) {
	for _, c := range []struct {
		name           string
		fault          func(s *swarm)
		maxOriginReads int // in chunks
	}{
		{"designated fetcher dead", func(s *swarm) { s.nodes[s.regionFetchers("r0")[0]].dead = true }, simChunks + simChunks/5},
		{"designated fetcher stalled", func(s *swarm) { s.stalled[s.regionFetchers("r0")[0]] = true }, simChunks + simChunks/5},
		{"fetchers of the home region dead", func(s *swarm) {
			for _, id := range s.regionFetchers("r0") {
				s.nodes[id].dead = true
			}
		}, 3 * simChunks},
		{"fetchers of another region dead", func(s *swarm) {
			for _, id := range s.regionFetchers("r2") {
				s.nodes[id].dead = true
			}
		}, 3 * simChunks},
		{"home region lost", func(s *swarm) {
			for _, id := range s.ids[:8] {
				s.nodes[id].dead = true
			}
		}, simChunks + simChunks/5},
		{"peer sends corrupt chunks", func(s *swarm) { s.corrupt[s.regionFetchers("r0")[1]] = true }, 2 * simChunks},
		{"peer always busy", func(s *swarm) { s.busy[s.regionFetchers("r0")[1]] = true }, 2 * simChunks},
		{"origin sends corrupt chunks", func(s *swarm) { s.corruptReads = 7 }, simChunks + 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSwarm(t, 3, 8)
			c.fault(s)
			s.run()
			require.LessOrEqual(t, s.originReads, c.maxOriginReads)
		})
	}
}

// Guards against counting chunks as present in the region that only a dead or
// stalled agent held: no agent fetched them again until the fallback started.
func TestHolderDiesMidway(t *testing.T) {
	s := newSwarm(t, 2, 8)
	for step := 0; step < 45; step++ {
		for _, id := range s.ids {
			s.step(s.nodes[id], step)
		}
		s.clock.Advance(simStep)
	}
	for _, region := range []string{"r0", "r1"} {
		dead := s.regionFetchers(region)[1]
		require.NotZero(t, s.nodes[dead].x.Stats().Held)
		s.nodes[dead].dead = region == "r0"
		s.stalled[dead] = region == "r1"
	}
	began := s.clock.Now()
	s.run()
	require.Less(t, s.clock.Now().Sub(began), 6*time.Second)
	require.LessOrEqual(t, s.originReads, simChunks+simChunks/5)
}

// Guards against repeated fetches from a peer that keeps sending corrupt chunks.
func TestCorruptPeerIsAvoided(t *testing.T) {
	s := newSwarm(t, 1, 6)
	corruptID := s.ids[0]
	s.nodes[corruptID].x = nil
	held := awweights.NewBitmap(simChunks)
	for i := range simChunks {
		held.Set(i)
	}
	s.start(corruptID, held)
	s.corrupt[corruptID] = true
	s.run()
	for _, id := range s.ids {
		require.LessOrEqual(t, s.nodes[id].x.Stats().CorruptChunks, 4, "%s fetched too often from the corrupt peer", id)
	}
}

// Guards against a restarted agent that fetches from outside although its region
// holds all chunks.
func TestRestartedAgentFetchesFromItsRegion(t *testing.T) {
	s := newSwarm(t, 2, 6)
	s.run()
	originReads, crossRegion := s.originReads, s.crossRegion["r0>r1"]
	for _, id := range []string{s.regionFetchers("r0")[0], s.regionFetchers("r1")[0]} {
		s.start(id, nil)
	}
	s.run()
	require.Equal(t, originReads, s.originReads)
	require.Equal(t, crossRegion, s.crossRegion["r0>r1"])
}

// Guards against a stalled source that delays the transfer until the call times
// out.
func TestStalledSourceIsHedged(t *testing.T) {
	s := newSwarm(t, 1, 3)
	s.run()
	s.start(s.ids[0], nil)
	s.stalled[s.ids[1]] = true
	began := s.clock.Now()
	s.nodes[s.ids[0]].x.HandleChunkMap(s.ids[1], s.nodes[s.ids[1]].x.Held())
	s.run()
	require.Less(t, s.clock.Now().Sub(began), 4*time.Second)
	require.Zero(t, s.nodes[s.ids[0]].x.Stats().OriginBytes)
}

// Guards against tokens lost to fetches that a peer refused. The loss halved the
// speed of a transfer between busy peers.
func TestRefusedFetchCostsNoTokens(t *testing.T) {
	clock := awclock.NewFake(time.Unix(0, 0))
	b := awweights.NewBucket(1000, 100, clock.Now())
	b.Take(clock.Now(), 100)
	require.Equal(t, 100*time.Millisecond, b.Take(clock.Now(), 100))
	b.Return(clock.Now(), 100)
	require.Zero(t, b.Wait(clock.Now()))
	b.SetShare(clock.Now(), 0.5)
	require.Equal(t, 200*time.Millisecond, b.Take(clock.Now(), 100), "weights use half of the link")
}
