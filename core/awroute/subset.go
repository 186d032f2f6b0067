package awroute

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is an agent that an entry may watch.
type Member struct {
	Instance string
	Domain   string
}

const (
	// MinSubset is the minimum number of agents that an entry watches per model.
	// If a model has fewer agents, the entry watches all of them.
	MinSubset = 8
	// EntriesPerAgent is the target number of entries that watch each agent.
	EntriesPerAgent = 6
	// minPerDomain is the minimum number of agents that an entry watches in each
	// domain. With two, the domain stays reachable when one agent is lost.
	minPerDomain = 2
	// floorNum/floorDen is the fraction of the mean number of entries that each
	// agent gets before any agent gets more. Without it, agents whose pairs have
	// high hashes may find that all entries have filled their quotas.
	floorNum, floorDen = 3, 4
	// slackNum/slackDen is the maximum number of entries per agent relative to
	// the mean. With a tighter maximum, one departure moves pairs of many other
	// entries.
	slackNum, slackDen = 5, 4
	// candidateFactor limits the pairs that are sorted and considered at first to
	// this multiple of the number needed. All pairs are considered only if these
	// do not suffice.
	candidateFactor = 4
)

// Subset returns the instances of the agents that the entry self watches for
// one model, sorted. See [Sharers].
func Subset(self string, entries []string, agents []Member) []string {
	return slices.Sorted(maps.Keys(Sharers(self, entries, agents, EntriesPerAgent)))
}

// Sharers returns the agents that the entry self watches for one model, with the
// number of entries that watch each of them: about perAgent, or more in a small
// fleet. All entries that know the same entries and agents compute the same
// assignment.
//
// In each domain, pairs of entry and agent are accepted in the order of their
// hash while the entry is below its quota and the agent is below its maximum.
// The hash of a pair does not depend on other pairs, so adding or removing an
// entry or agent changes few other pairs.
func Sharers(self string, entries []string, agents []Member, perAgent int) map[string]int {
	entries = sortedUnique(append(slices.Clone(entries), self))
	domains := map[string][]string{}
	for _, m := range agents {
		domains[m.Domain] = append(domains[m.Domain], m.Instance)
	}
	size := max(MinSubset, ceilDiv(perAgent*len(agents), len(entries)))
	sharers := map[string]int{}
	for _, ids := range domains {
		ids = sortedUnique(ids)
		quota := min(len(ids), max(minPerDomain, ceilDiv(size*len(ids), len(agents))))
		maps.Copy(sharers, domainSharers(self, entries, ids, quota))
	}
	return sharers
}

type pair struct {
	hash         uint64
	entry, agent int
}

// domainSharers returns the agents of one domain that the entry self watches,
// with the number of entries that watch each.
func domainSharers(self string, entries, agents []string, quota int) map[string]int {
	if quota >= len(agents) {
		all := make(map[string]int, len(agents))
		for _, id := range agents {
			all[id] = len(entries)
		}
		return all
	}
	a := assignment{
		self: self, entries: entries, agents: agents, quota: quota,
		minEntries: len(entries) * quota * floorNum / (len(agents) * floorDen),
		maxEntries: ceilDiv(len(entries)*quota*slackNum, len(agents)*slackDen),
	}
	fraction := min(1, float64(candidateFactor*quota)/float64(len(agents)))
	sharers, complete := a.assign(fraction)
	if !complete {
		sharers, _ = a.assign(1)
	}
	return sharers
}

// assignment holds the parameters for pairing entries with the agents of one
// domain.
type assignment struct {
	self                   string
	entries                []string
	agents                 []string
	quota                  int // agents per entry
	minEntries, maxEntries int // entries per agent
}

// assign considers the given fraction of pairs, those with the lowest hashes.
// It accepts pairs up to minEntries per agent first and then up to maxEntries.
// It returns the agents of self with their numbers of entries, and whether every
// entry reached its quota.
func (a *assignment) assign(fraction float64) (map[string]int, bool) {
	pairs := a.candidatePairs(fraction)
	agentCounts, entryCounts := make([]int, len(a.entries)), make([]int, len(a.agents))
	accepted := make([]bool, len(pairs))
	var selected []int
	completeEntries := 0
	for _, limit := range []int{a.minEntries, a.maxEntries} {
		for i, p := range pairs {
			if accepted[i] || agentCounts[p.entry] == a.quota || entryCounts[p.agent] >= limit {
				continue
			}
			accepted[i] = true
			entryCounts[p.agent]++
			if agentCounts[p.entry]++; agentCounts[p.entry] == a.quota {
				completeEntries++
			}
			if a.entries[p.entry] == a.self {
				selected = append(selected, p.agent)
			}
		}
	}
	sharers := make(map[string]int, len(selected))
	for _, agent := range selected {
		sharers[a.agents[agent]] = entryCounts[agent]
	}
	return sharers, completeEntries == len(a.entries)
}

func (a *assignment) candidatePairs(fraction float64) []pair {
	limit := ^uint64(0)
	if fraction < 1 {
		limit = uint64(fraction * float64(^uint64(0)))
	}
	agentHashes := make([]uint64, len(a.agents))
	for i, id := range a.agents {
		agentHashes[i] = xxhash.Sum64String(id)
	}
	var pairs []pair
	for e, entry := range a.entries {
		entryHash := xxhash.Sum64String(entry)
		for i, agentHash := range agentHashes {
			if h := mix(entryHash, agentHash); h <= limit {
				pairs = append(pairs, pair{h, e, i})
			}
		}
	}
	slices.SortFunc(pairs, func(x, y pair) int {
		return cmp.Or(cmp.Compare(x.hash, y.hash), cmp.Compare(x.entry, y.entry), cmp.Compare(x.agent, y.agent))
	})
	return pairs
}

// mix combines two hashes using the finalizer of splitmix64.
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
