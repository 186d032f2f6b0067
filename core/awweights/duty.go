package awweights

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// FetchersPerRegion is the number of agents per region that fetch from outside
// the region. With five, the fetchers of four regions fit into a list of 32
// peers, and the links of five agents together carry more than the origin or a
// link between regions.
const FetchersPerRegion = 5

// Score returns the rendezvous hashing score of an agent for a key. The agent
// with the highest score is chosen first.
func Score(key, id string) uint64 {
	return xxhash.Sum64String(key + "\x00" + id)
}

// rankByScore returns ids in descending order of their score for the key.
func rankByScore(key string, ids []string) []string {
	type scored struct {
		id    string
		score uint64
	}
	list := make([]scored, len(ids))
	for i, id := range ids {
		list[i] = scored{id: id, score: Score(key, id)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		case a.id < b.id:
			return -1
		}
		return 1
	})
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = s.id
	}
	return out
}

// RegionFetchers returns the agents of a region that fetch from outside the
// region, out of all agents placed there for a version. The result depends only
// on its arguments, so every process computes the same fetchers from the same
// placements.
func RegionFetchers(key string, placed []string) []string {
	return rankByScore(key, placed)[:min(FetchersPerRegion, len(placed))]
}

// ChunkAssignment assigns the chunks of a version to the fetchers of one region.
type ChunkAssignment struct {
	ranks [][]string // fetchers by chunk and rank; rank 0 is the designated fetcher
}

// AssignChunks ranks the fetchers for every chunk by rendezvous hashing. No
// fetcher gets the first rank for more than its even share of the chunks: the
// region is complete only when its slowest fetcher is, and plain hashing over
// five fetchers gives one of them about a third more than the others.
func AssignChunks(digest string, chunks int, fetchers []string) ChunkAssignment {
	assignment := ChunkAssignment{ranks: make([][]string, chunks)}
	if len(fetchers) == 0 {
		return assignment
	}
	maxPerFetcher := (chunks + len(fetchers) - 1) / len(fetchers)
	assigned := map[string]int{}
	for i := range chunks {
		ranks := rankByScore(digest+"/"+strconv.Itoa(i), fetchers)
		first := slices.IndexFunc(ranks, func(id string) bool { return assigned[id] < maxPerFetcher })
		id := ranks[first]
		assigned[id]++
		copy(ranks[1:first+1], ranks[:first])
		ranks[0] = id
		assignment.ranks[i] = ranks
	}
	return assignment
}

// Before returns the fetchers ranked before id for chunk i. It returns false if
// id is not a fetcher.
func (a ChunkAssignment) Before(i int, id string) ([]string, bool) {
	at := slices.Index(a.ranks[i], id)
	if at < 0 {
		return nil, false
	}
	return a.ranks[i][:at], true
}

// HomeRegion returns the region whose fetchers read from the origin: the store's
// region if any agent is placed there, else the first region by name.
func HomeRegion(storeRegion string, regions []string) string {
	if len(regions) == 0 || slices.Contains(regions, storeRegion) {
		return storeRegion
	}
	return slices.Min(regions)
}
