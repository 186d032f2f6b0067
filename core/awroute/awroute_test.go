package awroute

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func fleetOf(entries, agents, domains int) ([]string, []Member) {
	var es []string
	var as []Member
	for i := range entries {
		es = append(es, fmt.Sprintf("entry-%d", i))
	}
	for i := range agents {
		as = append(as, Member{Instance: fmt.Sprintf("agent-%d", i), Domain: fmt.Sprintf("domain-%d", i%domains)})
	}
	return es, as
}

func pairsOf(es []string, as []Member) map[[2]string]bool {
	pairs := map[[2]string]bool{}
	for _, e := range es {
		for _, a := range Subset(e, es, as) {
			pairs[[2]string{e, a}] = true
		}
	}
	return pairs
}

// Guards against uneven subsets: agents with too few entries are idle, agents
// with too many are overrun by entries that decide independently.
func TestSubsetIsEvenAndSpread(t *testing.T) {
	for _, size := range [][3]int{{3, 9, 3}, {12, 40, 3}, {39, 730, 9}, {60, 200, 4}} {
		es, as := fleetOf(size[0], size[1], size[2])
		perAgent := map[string]int{}
		domainOf := map[string]string{}
		for _, a := range as {
			domainOf[a.Instance] = a.Domain
		}
		slots, members := map[string]int{}, map[string]int{}
		for _, e := range es {
			subset := Subset(e, es, as)
			require.GreaterOrEqual(t, len(subset), min(MinSubset, len(as)))
			for _, a := range subset {
				perAgent[a]++
				slots[domainOf[a]]++
			}
			seen := map[string]bool{}
			for _, a := range subset {
				seen[domainOf[a]] = true
			}
			require.Len(t, seen, size[2], "every domain is in every subset")
		}
		for _, a := range as {
			members[a.Domain]++
		}
		for _, a := range as {
			mean := float64(slots[a.Domain]) / float64(members[a.Domain])
			require.GreaterOrEqual(t, mean, float64(min(EntriesPerAgent, size[0])))
			require.LessOrEqual(t, float64(perAgent[a.Instance]), math.Ceil(1.25*mean), "%v", size)
			require.GreaterOrEqual(t, float64(perAgent[a.Instance]), mean/2, "%v", size)
		}
	}
}

// Guards against churn: when one entry or agent goes, at most three times the
// pairs that it had may change for the others.
func TestSubsetChurnIsSmall(t *testing.T) {
	es, as := fleetOf(39, 730, 9)
	before := pairsOf(es, as)
	for _, tc := range []struct {
		name string
		es   []string
		as   []Member
	}{
		{"entry goes", es[1:], as},
		{"agent goes", es, as[1:]},
	} {
		t.Run(tc.name, func(t *testing.T) {
			after := pairsOf(tc.es, tc.as)
			own, added := 0, 0
			for p := range before {
				if p[0] == es[0] && len(tc.es) < len(es) || p[1] == as[0].Instance && len(tc.as) < len(as) {
					own++
				}
			}
			for p := range after {
				if !before[p] {
					added++
				}
			}
			t.Logf("%d pairs, %d were its own, %d new", len(before), own, added)
			require.LessOrEqual(t, added, 3*own+len(tc.es), "one extra pair per entry covers a change of quota")
		})
	}
}

func agentsOf(domain string, d Distance, n, limit int) []Candidate {
	var cands []Candidate
	for i := range n {
		cands = append(cands, Candidate{Instance: fmt.Sprintf("%s-%d", domain, i), Domain: domain, Distance: d, Limit: limit})
	}
	return cands
}

// Guards against a herd: after the loss of the own domain the others take
// over in proportion to free capacity, also when one of them is smaller.
func TestPickSpreadsOverRemainingDomains(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	cands := append(agentsOf("b", OtherRegion, 6, 10), agentsOf("c", OtherRegion, 3, 10)...)
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

// Guards against queueing near while far capacity is free, and against
// leaving the own domain without need.
func TestPickSpillsBeforeQueueing(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	cands := append(agentsOf("own", SameDomain, 2, 10), agentsOf("far", OtherRegion, 2, 10)...)
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

// Guards ColdLimit: a cold agent at its limit is not picked, even when it is
// the only one.
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

// Guards against a returned domain whose cold backend servers get most of the
// requests because they are idle, and against one that never warms up.
func TestColdAgentsGetAFewRequests(t *testing.T) {
	rng := rand.New(rand.NewPCG(9, 9))
	cands := append(agentsOf("back", SameDomain, 3, 2), agentsOf("far", OtherRegion, 6, 64)...)
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

// Guards against affinity that overrules load: a prefix hit wins among close
// loads only.
func TestPrefixAffinityIsBounded(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 8))
	cands := agentsOf("a", SameDomain, 2, 100)
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
	table.Add(hashes[1]) // the report of the first block was lost
	require.True(t, table.Hit(hashes))
	require.False(t, table.Hit(PrefixHashes("other", long)))
}
