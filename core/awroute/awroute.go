// Package awroute selects the agents that an entry watches and the agent that
// receives each request.
//
// [Subset] returns the agents of one model that an entry watches. [Pick]
// chooses one of them for a request. It prefers nearer agents and balances
// load by the power of two choices, based on the in-flight counts that the
// agents report. Reports are delayed, so callers must add the requests that
// the entry has sent since the last report.
package awroute

import (
	"math/rand/v2"
)

// Distance is the distance from an entry to a candidate. Lower is nearer.
type Distance int

// Distances from an entry, nearest first.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// Candidate is an agent that may receive a request.
type Candidate struct {
	Instance  string
	Domain    string
	Distance  Distance
	InFlight  int // reported count plus requests sent by this entry since the report
	Limit     int // maximum number of concurrent requests
	WaitMs    uint32
	Cold      bool // in cold start; must not receive requests beyond Limit
	PrefixHit bool // the backend server has a prefix of the prompt cached
}

// utilization returns the fraction of the limit in use. It exceeds 1 when
// requests are queued at the agent.
func (c Candidate) utilization() float64 {
	if c.Limit <= 0 {
		return 1
	}
	return float64(c.InFlight) / float64(c.Limit)
}

// freeSlots returns the number of requests the agent can start without queueing.
func (c Candidate) freeSlots() int { return max(0, c.Limit-c.InFlight) }

// PickConfig holds the parameters of [Pick].
type PickConfig struct {
	SpillLoad   float64 // utilization from which farther candidates are considered
	SpillWaitMs uint32  // reported wait above which farther candidates are considered, in milliseconds
	PrefixSlack float64 // largest difference in utilization at which a prefix hit decides
	ColdChance  float64 // probability of considering a cold candidate over a warm one below SpillLoad
}

// DefaultPick returns the configuration used by entries. Sending a request to
// a farther domain costs a few milliseconds, while waiting behind a batch
// costs tens of milliseconds. Backend servers in cold start respond several
// times slower, so they receive only a small part of the requests while other
// servers have capacity.
func DefaultPick() PickConfig {
	return PickConfig{SpillLoad: 0.75, SpillWaitMs: 20, PrefixSlack: 0.1, ColdChance: 0.4}
}

// Pick chooses a candidate for a request. It returns false if there is none.
//
// Candidates with free slots are preferred. Farther candidates are considered
// only when no nearer warm candidate is below the spill thresholds. If no
// candidate has a free slot, Pick chooses among the warm ones, whose agents may
// still queue the request. Candidates in cold start are never chosen beyond
// their limit.
func Pick(cands []Candidate, cfg PickConfig, rng *rand.Rand) (Candidate, bool) {
	eligible := make([]Candidate, 0, len(cands))
	for d := SameDomain; d <= OtherRegion; d++ {
		eligible = eligible[:0]
		belowSpill := false
		for _, c := range cands {
			if c.Distance > d || c.freeSlots() == 0 {
				continue
			}
			eligible = append(eligible, c)
			belowSpill = belowSpill || (!c.Cold && c.utilization() < cfg.SpillLoad && c.WaitMs <= cfg.SpillWaitMs)
		}
		if belowSpill {
			return pickBestOfTwo(eligible, cfg, rng), true
		}
	}
	if len(eligible) > 0 {
		return pickBestOfTwo(eligible, cfg, rng), true
	}
	for _, c := range cands {
		if !c.Cold && c.Limit > 0 {
			eligible = append(eligible, c)
		}
	}
	if len(eligible) == 0 {
		return Candidate{}, false
	}
	return pickBestOfTwo(eligible, cfg, rng), true
}

// pickBestOfTwo samples two candidates, weighted by free slots, and returns the
// better one. The weighting spreads the load of a lost domain over the
// remaining domains in proportion to their free capacity.
func pickBestOfTwo(cands []Candidate, cfg PickConfig, rng *rand.Rand) Candidate {
	a := cands[sampleByFreeSlots(cands, -1, rng)]
	if len(cands) == 1 {
		return a
	}
	first := indexOf(cands, a)
	b := cands[sampleByFreeSlots(cands, first, rng)]
	if a.Cold != b.Cold {
		warm, cold := a, b
		if a.Cold {
			warm, cold = b, a
		}
		if warm.utilization() < cfg.SpillLoad && rng.Float64() >= cfg.ColdChance {
			return warm
		}
		if cold.utilization() < warm.utilization() || warm.freeSlots() == 0 {
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

// sampleByFreeSlots returns a random index other than skip, weighted by free
// slots. A candidate without free slots has a weight of one.
func sampleByFreeSlots(cands []Candidate, skip int, rng *rand.Rand) int {
	total := 0
	for i, c := range cands {
		if i != skip {
			total += max(1, c.freeSlots())
		}
	}
	remaining := rng.IntN(total)
	last := 0
	for i, c := range cands {
		if i == skip {
			continue
		}
		last = i
		if remaining -= max(1, c.freeSlots()); remaining < 0 {
			break
		}
	}
	return last
}

// better returns the better of two candidates that are both warm or both cold.
// A prefix hit decides only when their utilizations are close, so that a
// popular prefix cannot overload one backend server.
func better(a, b Candidate, cfg PickConfig) Candidate {
	loadA, loadB := a.utilization(), b.utilization()
	if a.PrefixHit != b.PrefixHit && loadA-loadB <= cfg.PrefixSlack && loadB-loadA <= cfg.PrefixSlack {
		if a.PrefixHit {
			return a
		}
		return b
	}
	switch {
	case a.WaitMs != b.WaitMs && loadA >= 1 && loadB >= 1:
		if b.WaitMs < a.WaitMs {
			return b
		}
		return a
	case loadB < loadA:
		return b
	}
	return a
}
