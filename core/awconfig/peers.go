package awconfig

import (
	"cmp"
	"slices"

	"arbutuswind/core/awweights"
)

// PeerTable computes which agents exchange the weights of each model.
//
// In each region, [awweights.FetchersPerRegion] agents fetch chunks from
// outside the region. The peers of an agent are the fetchers of all regions,
// so that every agent assigns the same chunks to the same fetchers, and
// neighbors in its own region. The agents of a region form a ring, and an
// agent's neighbors are those at distances that are powers of two, so that a
// chunk reaches all n agents of a region in about log2(n) hops. The table
// depends only on the placements and on the members.
type PeerTable struct {
	models map[string]*modelPeers
}

type modelPeers struct {
	fetchers []Peer            // region fetchers of all regions
	rings    map[string][]Peer // by region, in ring order
}

// NewPeerTable computes the peers of every model. members are the agents with
// a known address; those without a placement are ignored.
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
		// Sorting by hash mixes the failure domains of the region.
		slices.SortFunc(ring, func(a, b Peer) int {
			return cmp.Or(cmp.Compare(awweights.Score(model, a.Instance), awweights.Score(model, b.Instance)),
				cmp.Compare(a.Instance, b.Instance))
		})
	}
}

// SetPeers sets the fields Peers and RegionFetcher of the view of an agent in
// the given region. A view has at most [MaxPeers] peers.
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
	// In small regions there is room for more neighbors.
	for d := 3; d <= len(ring)/2; d += 2 {
		add(ring[(self+d)%len(ring)])
		add(ring[(self-d+len(ring))%len(ring)])
	}
}
