package awroute

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is an agent that an entry may watch.
type Member struct {
	Instance string
	Domain   string
}

const (
	// MinSubset is the least number of agents per entry and model.
	MinSubset = 8
	// EntriesPerAgent is the number of entries that each agent should have.
	EntriesPerAgent = 6
	// minPerDomain keeps a domain reachable for an entry when one of its
	// agents is lost.
	minPerDomain = 2
	// The floor is the share of the mean that every agent gets first; without
	// it the last agents find the entries full.
	floorNum, floorDen = 3, 4
	// slack is the headroom of the bound on entries per agent. A tight bound
	// makes one departure move pairs of many other entries.
	slackNum, slackDen = 5, 4
	// candidateFactor limits the pairs considered first to this multiple of
	// the pairs needed.
	candidateFactor = 4
)

// Subset returns the agents that the entry self watches for one model, sorted.
// Every entry that knows the same entries and agents computes the same pairs.
//
// In each domain the pairs of entry and agent are accepted in the order of
// their hash, as long as the entry wants more agents and the agent has not
// reached its bound. The order of a pair does not depend on other pairs, so an
// entry or agent that comes or goes moves few others.
func Subset(self string, entries []string, agents []Member) []string {
	entries = sortedUnique(append(slices.Clone(entries), self))
	domains := map[string][]string{}
	for _, m := range agents {
		domains[m.Domain] = append(domains[m.Domain], m.Instance)
	}
	size := max(MinSubset, ceilDiv(EntriesPerAgent*len(agents), len(entries)))
	var mine []string
	for _, ids := range domains {
		ids = sortedUnique(ids)
		quota := min(len(ids), max(minPerDomain, ceilDiv(size*len(ids), len(agents))))
		mine = append(mine, domainSubset(self, entries, ids, quota)...)
	}
	slices.Sort(mine)
	return mine
}

type pair struct {
	hash         uint64
	entry, agent int
}

// domainSubset returns the agents of one domain for the entry self.
func domainSubset(self string, entries, agents []string, quota int) []string {
	if quota >= len(agents) {
		return agents
	}
	a := assignment{
		self: self, entries: entries, agents: agents, quota: quota,
		floor: len(entries) * quota * floorNum / (len(agents) * floorDen),
		bound: ceilDiv(len(entries)*quota*slackNum, len(agents)*slackDen),
	}
	share := min(1, float64(candidateFactor*quota)/float64(len(agents)))
	ids, complete := a.run(share)
	if !complete {
		ids, _ = a.run(1)
	}
	return ids
}

// assignment pairs entries with the agents of one domain.
type assignment struct {
	self         string
	entries      []string
	agents       []string
	quota        int // agents per entry
	floor, bound int // entries per agent
}

// run accepts pairs among the share of pairs with the lowest hashes, first up
// to the floor of each agent and then up to its bound. It reports whether
// every entry got its quota.
func (a *assignment) run(share float64) ([]string, bool) {
	pairs := a.pairs(share)
	taken, used := make([]int, len(a.entries)), make([]int, len(a.agents))
	accepted := make([]bool, len(pairs))
	var mine []string
	done := 0
	for _, most := range []int{a.floor, a.bound} {
		for i, p := range pairs {
			if accepted[i] || taken[p.entry] == a.quota || used[p.agent] >= most {
				continue
			}
			accepted[i] = true
			used[p.agent]++
			if taken[p.entry]++; taken[p.entry] == a.quota {
				done++
			}
			if a.entries[p.entry] == a.self {
				mine = append(mine, a.agents[p.agent])
			}
		}
	}
	return mine, done == len(a.entries)
}

func (a *assignment) pairs(share float64) []pair {
	limit := ^uint64(0)
	if share < 1 {
		limit = uint64(share * float64(^uint64(0)))
	}
	agentHash := make([]uint64, len(a.agents))
	for i, id := range a.agents {
		agentHash[i] = xxhash.Sum64String(id)
	}
	var pairs []pair
	for e, entry := range a.entries {
		he := xxhash.Sum64String(entry)
		for i, ha := range agentHash {
			if h := mix(he, ha); h <= limit {
				pairs = append(pairs, pair{h, e, i})
			}
		}
	}
	slices.SortFunc(pairs, func(x, y pair) int {
		return cmp.Or(cmp.Compare(x.hash, y.hash), cmp.Compare(x.entry, y.entry), cmp.Compare(x.agent, y.agent))
	})
	return pairs
}

// mix combines two hashes; it is the finalizer of splitmix64.
func mix(a, b uint64) uint64 {
	x := a ^ (b*0x9e3779b97f4a7c15 + 0x7f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

func sortedUnique(ids []string) []string {
	slices.Sort(ids)
	return slices.Compact(ids)
}

func ceilDiv(a, b int) int {
	if b == 0 {
		return 0
	}
	return (a + b - 1) / b
}
