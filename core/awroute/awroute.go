// Package awroute decides which agent receives a request.
//
// An entry knows a subset of the agents by their reports, which lag. Each
// pick corrects the reports by what the entry itself has sent since.
package awroute

import "math/rand/v2"

// Distance orders candidates by how near they are.
type Distance int

// The distances.
const (
	SameDomain Distance = iota
	SameRegion
	Far
)

// Candidate is an agent that may take a request now.
type Candidate struct {
	Instance string
	Domain   string
	Distance Distance
	InFlight int // reported, plus what this entry sent since the report
	Limit    int // requests admitted at once
	WaitMs   uint32
}

// load returns the share of the limit in use.
func (c Candidate) load() float64 {
	if c.Limit <= 0 {
		return 1
	}
	return float64(c.InFlight) / float64(c.Limit)
}

// Pick chooses a candidate by power of two choices among the nearest that
// have room, else among all. It returns false when there is none.
func Pick(cands []Candidate, rng *rand.Rand) (Candidate, bool) {
	for d := SameDomain; d <= Far; d++ {
		var near []Candidate
		for _, c := range cands {
			if c.Distance <= d && c.load() < 1 {
				near = append(near, c)
			}
		}
		if len(near) > 0 {
			return pickTwo(near, rng), true
		}
	}
	if len(cands) == 0 {
		return Candidate{}, false
	}
	return pickTwo(cands, rng), true
}

func pickTwo(cands []Candidate, rng *rand.Rand) Candidate {
	a, b := cands[rng.IntN(len(cands))], cands[rng.IntN(len(cands))]
	if b.load() < a.load() {
		return b
	}
	return a
}
