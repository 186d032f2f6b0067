package awweights

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// FetchersPerRegion is the number of agents per region that fetch from outside the
// region. Five keep 32 peers enough for four regions, and their links
// together carry more than the origin or a region link does.
const FetchersPerRegion = 5

// Score is the rendezvous weight of an agent for a key; the highest wins.
func Score(key, id string) uint64 {
	return xxhash.Sum64String(key + "\x00" + id)
}

// rankByScore orders ids by falling score for the key.
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

// RegionFetchers returns the agents of one region, given all those placed for a
// version there, that fetch from outside the region. Every process computes
// the same panel from the same placements.
func RegionFetchers(key string, placed []string) []string {
	return rankByScore(key, placed)[:min(FetchersPerRegion, len(placed))]
}

// ChunkAssignment assigns the chunks of a version to the panel of one region.
type ChunkAssignment struct {
	ranks [][]string // per chunk, first the designated fetcher
}

// AssignChunks ranks the panel for every chunk by rendezvous hashing. No
// member is first for more than its even share of the chunks: the slowest
// member decides when the region is complete, and plain hashing over five
// members gives one of them about a third more.
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

// Before returns the members that come before id for chunk i, and false when
// id is not on the panel.
func (a ChunkAssignment) Before(i int, id string) ([]string, bool) {
	at := slices.Index(a.ranks[i], id)
	if at < 0 {
		return nil, false
	}
	return a.ranks[i][:at], true
}

// HomeRegion returns the region that reads from the origin: that of the
// store where an agent is placed there, else the first by name.
func HomeRegion(storeRegion string, regions []string) string {
	if len(regions) == 0 || slices.Contains(regions, storeRegion) {
		return storeRegion
	}
	return slices.Min(regions)
}
