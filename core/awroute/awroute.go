// Package awroute decides which agents an entry knows and which of them
// receives a request.
//
// Subset chooses the agents of one model that an entry watches. Pick chooses
// one of them per request: near before far, by power of two choices on the
// agents' own counts. Reports lag, so the caller corrects each count by what
// the entry itself has sent since the report.
package awroute

import (
	"math/rand/v2"
)

// Distance orders candidates by how near they are.
type Distance int

// The distances.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// Candidate is an agent that may take a request now.
type Candidate struct {
	Instance  string
	Domain    string
	Distance  Distance
	InFlight  int // reported, corrected by what this entry sent since the report
	Limit     int // requests admitted at once
	WaitMs    uint32
	Cold      bool // in cold start: never beyond Limit
	PrefixHit bool // the backend server has reported the prompt's prefix as cached
}

// load returns the share of the limit in use.
func (c Candidate) load() float64 {
	if c.Limit <= 0 {
		return 1
	}
	return float64(c.InFlight) / float64(c.Limit)
}

// free returns the requests that the candidate still takes at once.
func (c Candidate) free() int { return max(0, c.Limit-c.InFlight) }

// PickConfig holds the bounds of a choice.
type PickConfig struct {
	SpillLoad   float64 // load from which farther candidates join
	SpillWaitMs uint32  // reported wait from which farther candidates join
	PrefixSlack float64 // load that a prefix hit may be above the alternative
	ColdChance  float64 // with which a cold candidate wins against a warm one that is not busy
}

// DefaultPick returns the bounds used by entries. A farther domain costs a few
// milliseconds; waiting behind a batch costs tens. Backend servers in cold
// start answer several times slower, so they warm up on a small part of the
// requests while others have room.
func DefaultPick() PickConfig {
	return PickConfig{SpillLoad: 0.75, SpillWaitMs: 20, PrefixSlack: 0.1, ColdChance: 0.4}
}

// Pick chooses a candidate, or none. Candidates with room come first, the
// nearest that are below the spill bounds before farther ones. Warm candidates
// without room are the last resort, since their agents may still queue;
// candidates in cold start are never chosen beyond their limit.
func Pick(cands []Candidate, cfg PickConfig, rng *rand.Rand) (Candidate, bool) {
	near := make([]Candidate, 0, len(cands))
	for d := SameDomain; d <= OtherRegion; d++ {
		near = near[:0]
		relaxed := false
		for _, c := range cands {
			if c.Distance > d || c.free() == 0 {
				continue
			}
			near = append(near, c)
			relaxed = relaxed || (!c.Cold && c.load() < cfg.SpillLoad && c.WaitMs <= cfg.SpillWaitMs)
		}
		if relaxed {
			return pickTwo(near, cfg, rng), true
		}
	}
	if len(near) > 0 {
		return pickTwo(near, cfg, rng), true
	}
	for _, c := range cands {
		if !c.Cold && c.Limit > 0 {
			near = append(near, c)
		}
	}
	if len(near) == 0 {
		return Candidate{}, false
	}
	return pickTwo(near, cfg, rng), true
}

// pickTwo draws two candidates by free capacity and takes the better one.
// Drawing by free capacity makes the domains that remain after a loss take
// over in proportion to what they have left.
func pickTwo(cands []Candidate, cfg PickConfig, rng *rand.Rand) Candidate {
	a := cands[draw(cands, -1, rng)]
	if len(cands) == 1 {
		return a
	}
	first := indexOf(cands, a)
	b := cands[draw(cands, first, rng)]
	if a.Cold != b.Cold {
		warm, cold := a, b
		if a.Cold {
			warm, cold = b, a
		}
		if warm.load() < cfg.SpillLoad && rng.Float64() >= cfg.ColdChance {
			return warm
		}
		if cold.load() < warm.load() || warm.free() == 0 {
			return cold
		}
		return warm
	}
	return better(a, b, cfg)
}

func indexOf(cands []Candidate, c Candidate) int {
	for i := range cands {
		if cands[i].Instance == c.Instance {
			return i
		}
	}
	return -1
}

// draw returns an index other than skip with probability in proportion to
// free capacity. A candidate without room keeps a weight of one.
func draw(cands []Candidate, skip int, rng *rand.Rand) int {
	total := 0
	for i, c := range cands {
		if i != skip {
			total += max(1, c.free())
		}
	}
	n := rng.IntN(total)
	last := 0
	for i, c := range cands {
		if i == skip {
			continue
		}
		last = i
		if n -= max(1, c.free()); n < 0 {
			break
		}
	}
	return last
}

// better compares two candidates that are both warm or both cold. A prefix hit
// decides only among loads that are close, so that a popular prefix cannot
// pile requests on one backend server.
func better(a, b Candidate, cfg PickConfig) Candidate {
	la, lb := a.load(), b.load()
	if a.PrefixHit != b.PrefixHit && la-lb <= cfg.PrefixSlack && lb-la <= cfg.PrefixSlack {
		if a.PrefixHit {
			return a
		}
		return b
	}
	switch {
	case a.WaitMs != b.WaitMs && la >= 1 && lb >= 1:
		if b.WaitMs < a.WaitMs {
			return b
		}
		return a
	case lb < la:
		return b
	}
	return a
}
