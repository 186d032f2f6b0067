package awconfig_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awconfig"
)

// Guards against views that grow with the fleet, agents that disagree about the
// region fetchers, and regions in which a chunk needs many hops to reach all
// agents.
func TestPeersOfLargeFleet(t *testing.T) {
	const replicas, regions = 960, 4
	s := awconfig.NewState()
	var members []awconfig.Peer
	for i := range replicas {
		p := awconfig.Peer{
			Instance: fmt.Sprintf("instance-%04d", i), Address: "10.0.0.1:7000",
			Region: fmt.Sprintf("region-%d", i%regions), Domain: fmt.Sprintf("domain-%d", i%9),
		}
		s.Placements[p.Instance] = awconfig.Placement{Model: "rota", Version: "v1", Digest: "d"}
		members = append(members, p)
	}
	table := awconfig.NewPeerTable(s, members)
	regionPeers, fetcherSets := map[string][]string{}, map[string]map[string]bool{}
	for _, m := range members {
		v := s.View(m.Instance, m.Domain)
		table.SetPeers(&v, m.Region)
		require.LessOrEqual(t, len(v.Peers), awconfig.MaxPeers)
		data, err := v.Encode()
		require.NoError(t, err)
		require.Less(t, len(data), 8<<10, "bytes of one view")
		fetchers := map[string]bool{}
		for _, p := range v.Peers {
			if p.RegionFetcher {
				fetchers[p.Instance] = true
			}
			if p.Region == m.Region {
				regionPeers[m.Instance] = append(regionPeers[m.Instance], p.Instance)
			}
		}
		if v.RegionFetcher {
			fetchers[m.Instance] = true
		}
		if fetcherSets[""] == nil {
			fetcherSets[""] = fetchers
		}
		require.Equal(t, fetcherSets[""], fetchers, "every agent knows the same region fetchers")
	}
	// A chunk travels from a listed peer to the agent that lists it. Following
	// the peers from one agent therefore counts the hops from every other agent
	// to it.
	maxHops := 0
	hops := map[string]int{members[0].Instance: 0}
	for queue := []string{members[0].Instance}; len(queue) > 0; queue = queue[1:] {
		for _, peer := range regionPeers[queue[0]] {
			if _, seen := hops[peer]; !seen {
				hops[peer] = hops[queue[0]] + 1
				maxHops = max(maxHops, hops[peer])
				queue = append(queue, peer)
			}
		}
	}
	require.Len(t, hops, replicas/regions)
	require.LessOrEqual(t, maxHops, 6, "hops from the farthest agent of the region")
}
