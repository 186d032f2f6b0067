package awconfig

import (
	"cmp"
	"slices"

	"arbutuswind/core/awweights"
)

// PeerTable lays out which agents exchange the weights of each model.
//
// Each region has a panel of [awweights.FetchersPerRegion] agents that bring chunks
// into the region. A view names the panels of all regions, so every agent
// computes the same duties, and neighbours in the own region at distances of
// powers of two on a ring, so that a chunk passes a region of n agents in
// about log2(n) steps. The table depends on the placements alone.
type PeerTable struct {
	models map[string]*modelPeers
}

type modelPeers struct {
	fetchers []Peer            // of all regions
	rings    map[string][]Peer // by region, in the order of the ring
}

// NewPeerTable lays out the peers of every model. members are the agents
// whose address is known.
func NewPeerTable(s *State, members []Peer) *PeerTable {
	t := &PeerTable{models: map[string]*modelPeers{}}
	for _, p := range members {
		model := s.Placements[p.Instance].Model
		if model == "" {
			continue
		}
		mp := t.models[model]
		if mp == nil {
			mp = &modelPeers{rings: map[string][]Peer{}}
			t.models[model] = mp
		}
		mp.rings[p.Region] = append(mp.rings[p.Region], p)
	}
	for model, mp := range t.models {
		mp.build(model)
	}
	return t
}

func (mp *modelPeers) build(model string) {
	regions := make([]string, 0, len(mp.rings))
	for region := range mp.rings {
		regions = append(regions, region)
	}
	slices.Sort(regions)
	for _, region := range regions {
		ring := mp.rings[region]
		ids := make([]string, len(ring))
		for i, p := range ring {
			ids[i] = p.Instance
		}
		fetcherIDs := awweights.RegionFetchers(model+"/"+region, ids)
		for i := range ring {
			ring[i].RegionFetcher = slices.Contains(fetcherIDs, ring[i].Instance)
			if ring[i].RegionFetcher {
				mp.fetchers = append(mp.fetchers, ring[i])
			}
		}
		// The order by hash mixes the failure domains of the region.
		slices.SortFunc(ring, func(a, b Peer) int {
			return cmp.Or(cmp.Compare(awweights.Score(model, a.Instance), awweights.Score(model, b.Instance)),
				cmp.Compare(a.Instance, b.Instance))
		})
	}
}

// SetPeers fills the peers of a view, at most [MaxPeers].
func (t *PeerTable) SetPeers(v *AgentView, region string) {
	v.Peers, v.RegionFetcher = nil, false
	mp := t.models[v.Placement.Model]
	if mp == nil {
		return
	}
	add := func(p Peer) {
		samePeer := func(q Peer) bool { return q.Instance == p.Instance }
		if p.Instance != v.Instance && len(v.Peers) < MaxPeers && !slices.ContainsFunc(v.Peers, samePeer) {
			v.Peers = append(v.Peers, p)
		}
	}
	for _, p := range mp.fetchers {
		v.RegionFetcher = v.RegionFetcher || p.Instance == v.Instance
		if p.Region == region {
			add(p)
		}
	}
	for _, p := range mp.fetchers {
		add(p)
	}
	ring := mp.rings[region]
	self := slices.IndexFunc(ring, func(p Peer) bool { return p.Instance == v.Instance })
	if self < 0 {
		return
	}
	for d := 1; d <= len(ring)/2; d *= 2 {
		add(ring[(self+d)%len(ring)])
		add(ring[(self-d+len(ring))%len(ring)])
	}
	// Small regions have room left for further neighbours.
	for d := 3; d <= len(ring)/2; d += 2 {
		add(ring[(self+d)%len(ring)])
		add(ring[(self-d+len(ring))%len(ring)])
	}
}
