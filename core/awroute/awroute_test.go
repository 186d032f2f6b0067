package awroute

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// newFleet returns the ids of entries, and agents spread evenly over domains.
func newFleet(numEntries, numAgents, numDomains int) ([]string, []Member) {
	var entries []string
	var agents []Member
	for i := range numEntries {
		entries = append(entries, fmt.Sprintf("entry-%d", i))
	}
	for i := range numAgents {
		agents = append(agents, Member{Instance: fmt.Sprintf("agent-%d", i), Domain: fmt.Sprintf("domain-%d", i%numDomains)})
	}
	return entries, agents
}

// subsetPairs returns the pairs of entry and agent in the subsets of all entries.
func subsetPairs(entries []string, agents []Member) map[[2]string]bool {
	pairs := map[[2]string]bool{}
	for _, e := range entries {
		for _, a := range Subset(e, entries, agents) {
			pairs[[2]string{e, a}] = true
		}
	}
	return pairs
}

// Guards against uneven subsets: an agent watched by too few entries stays
// idle, and one watched by too many is overloaded, since entries choose agents
// independently.
func TestSubsetIsEvenAndSpread(t *testing.T) {
	for _, size := range [][3]int{{3, 9, 3}, {12, 40, 3}, {39, 730, 9}, {60, 200, 4}} {
		entries, agents := newFleet(size[0], size[1], size[2])
		entryCounts := map[string]int{}
		domainOf := map[string]string{}
		for _, a := range agents {
			domainOf[a.Instance] = a.Domain
		}
		domainPairs, domainAgents := map[string]int{}, map[string]int{}
		for _, e := range entries {
			subset := Subset(e, entries, agents)
			require.GreaterOrEqual(t, len(subset), min(MinSubset, len(agents)))
			for _, a := range subset {
				entryCounts[a]++
				domainPairs[domainOf[a]]++
			}
			seen := map[string]bool{}
			for _, a := range subset {
				seen[domainOf[a]] = true
			}
			require.Len(t, seen, size[2], "subset does not include every domain")
		}
		for _, a := range agents {
			domainAgents[a.Domain]++
		}
		for _, a := range agents {
			mean := float64(domainPairs[a.Domain]) / float64(domainAgents[a.Domain])
			require.GreaterOrEqual(t, mean, float64(min(EntriesPerAgent, size[0])))
			require.LessOrEqual(t, float64(entryCounts[a.Instance]), math.Ceil(1.25*mean), "%v", size)
			require.GreaterOrEqual(t, float64(entryCounts[a.Instance]), mean/2, "%v", size)
		}
	}
}

// Guards against churn: when an entry or agent is removed, the others may gain
// at most three times the pairs that it had.
func TestSubsetChurnIsSmall(t *testing.T) {
	entries, agents := newFleet(39, 730, 9)
	before := subsetPairs(entries, agents)
	for _, tc := range []struct {
		name    string
		entries []string
		agents  []Member
	}{
		{"entry removed", entries[1:], agents},
		{"agent removed", entries, agents[1:]},
	} {
		t.Run(tc.name, func(t *testing.T) {
			after := subsetPairs(tc.entries, tc.agents)
			ownPairs, addedPairs := 0, 0
			for p := range before {
				if p[0] == entries[0] && len(tc.entries) < len(entries) || p[1] == agents[0].Instance && len(tc.agents) < len(agents) {
					ownPairs++
				}
			}
			for p := range after {
				if !before[p] {
					addedPairs++
				}
			}
			t.Logf("%d pairs, %d removed, %d added", len(before), ownPairs, addedPairs)
			require.LessOrEqual(t, addedPairs, 3*ownPairs+len(tc.entries), "allows one extra pair per entry for a change of the quota")
		})
	}
}

func newCandidates(domain string, d Distance, n, limit int) []Candidate {
	var cands []Candidate
	for i := range n {
		cands = append(cands, Candidate{Instance: fmt.Sprintf("%s-%d", domain, i), Domain: domain, Distance: d, Limit: limit})
	}
	return cands
}

// Guards against a thundering herd: when the entry's own domain is lost, the
// remaining domains receive requests in proportion to their free capacity, even
// when one of them is smaller.
func TestPickSpreadsOverRemainingDomains(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	cands := append(newCandidates("b", OtherRegion, 6, 10), newCandidates("c", OtherRegion, 3, 10)...)
	got := map[string]int{}
	for range 45 {
		c, ok := Pick(cands, DefaultPick(), rng)
		require.True(t, ok)
		got[c.Domain]++
		for i := range cands {
			if cands[i].Instance == c.Instance {
				cands[i].InFlight++
			}
		}
	}
	require.InDelta(t, 30, got["b"], 5)
	for _, c := range cands {
		require.LessOrEqual(t, c.InFlight, 8)
	}
}

// Guards against queueing in the entry's own domain while another region has
// free capacity, and against leaving the domain while it has capacity.
func TestPickSpillsBeforeQueueing(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	cands := append(newCandidates("own", SameDomain, 2, 10), newCandidates("far", OtherRegion, 2, 10)...)
	count := func() (far int) {
		for range 100 {
			c, _ := Pick(cands, DefaultPick(), rng)
			if c.Domain == "far" {
				far++
			}
		}
		return far
	}
	require.Zero(t, count())
	cands[0].InFlight, cands[1].InFlight = 9, 9
	require.Greater(t, count(), 60)
	cands[0].InFlight, cands[1].InFlight = 2, 2
	cands[0].WaitMs, cands[1].WaitMs = 500, 500
	require.Greater(t, count(), 40)
}

// Checks the ColdLimit property: a cold agent at its limit is not picked, even
// if it is the only candidate.
func TestPickNeverExceedsColdLimit(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	cold := Candidate{Instance: "cold", Limit: 2, InFlight: 1, Cold: true}
	c, ok := Pick([]Candidate{cold}, DefaultPick(), rng)
	require.True(t, ok)
	require.Equal(t, "cold", c.Instance)
	cold.InFlight = 2
	_, ok = Pick([]Candidate{cold}, DefaultPick(), rng)
	require.False(t, ok)
	warm := Candidate{Instance: "warm", Limit: 10, InFlight: 12}
	c, ok = Pick([]Candidate{cold, warm}, DefaultPick(), rng)
	require.True(t, ok)
	require.Equal(t, "warm", c.Instance)
}

// Guards against cold backend servers of a recovered domain receiving most of
// the requests because they are idle, and against never receiving any, in which
// case they would not warm up.
func TestColdAgentsGetAFewRequests(t *testing.T) {
	rng := rand.New(rand.NewPCG(9, 9))
	cands := append(newCandidates("back", SameDomain, 3, 2), newCandidates("far", OtherRegion, 6, 64)...)
	for i := range cands {
		cands[i].Cold, cands[i].InFlight = cands[i].Limit == 2, cands[i].Limit/8
	}
	cold := 0
	for range 10000 {
		if c, _ := Pick(cands, DefaultPick(), rng); c.Cold {
			cold++
		}
	}
	require.Less(t, cold, 200)
	require.Greater(t, cold, 50)
}

// Guards against prefix affinity that overrides load balancing: a prefix hit
// wins only among candidates with similar utilization.
func TestPrefixAffinityIsBounded(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 8))
	cands := newCandidates("a", SameDomain, 2, 100)
	cands[0].PrefixHit = true
	cands[0].InFlight = 5
	c, _ := Pick(cands, DefaultPick(), rng)
	require.Equal(t, "a-0", c.Instance)
	cands[0].InFlight = 30
	c, _ = Pick(cands, DefaultPick(), rng)
	require.Equal(t, "a-1", c.Instance)

	var table PrefixTable
	long := make([]byte, 3*PrefixBlockBytes)
	hashes := PrefixHashes("m", long)
	require.Len(t, hashes, 3)
	require.False(t, table.Hit(hashes))
	table.Add(hashes[1]) // the report that included the first block was lost
	require.True(t, table.Hit(hashes))
	require.False(t, table.Hit(PrefixHashes("other", long)))
}
