// Package awbalance divides the free slots of a backend server among the entries
// that send to it, by their recent demand.
//
// Each entry measures its demand with a [Meter] and sends it with its subscription
// to load reports. The process beside the server divides the free slots with [Split]
// and sends each entry its share with the report that it gets anyway. The shares of
// one report add up to no more than the free slots in it.
//
// Nothing here reads a clock or draws random numbers; callers pass both.
package awbalance

import (
	"math"
	"slices"
	"time"
)

const (
	// ClaimTTL is the age from which the entry of a claim gets only staleShare. Claims
	// are renewed every second, so one may be lost without effect.
	ClaimTTL = 2200 * time.Millisecond
	// SettlingTime is how long after the first claim the entries that have not sent
	// one are still expected. All of them subscribe every second.
	SettlingTime = 3 * time.Second
	// evenShare is the weight that each entry has in addition to its demand, as a
	// multiple of the mean demand. An entry keeps the slots that its own requests
	// leave, so the free slots serve what its demand varies by, which falls with the
	// demand more slowly than in proportion. With 0.1 instead of 1, entries with
	// little demand refused more (experiment in core/awdispatch).
	evenShare = 1
	// staleShare replaces evenShare if the entry's claim is older than ClaimTTL.
	staleShare = 0.1
	// minWeight is the least weight of an entry, in requests a second. It makes the
	// shares equal while no entry has any demand.
	minWeight = 0.05
	// MaxSlots is more than any server runs at once. Claims with more are not valid.
	MaxSlots = 1024
)

// Claim is what an entry tells the process beside a backend server about its need
// for slots. The zero value is that of an entry that takes an equal share of the
// free slots by itself.
type Claim struct {
	Demand  float64   // requests a second; see [Meter.Demand]
	Slots   int       // requests that the backend server runs at once; 0 for an entry that sends no claims, at most MaxSlots
	Sharers int       // entries that share the backend server
	At      time.Time // when the claim was received
}

// Valid reports whether the entry has sent a claim that can be right.
func (c *Claim) Valid() bool { return c.Slots > 0 && c.Slots <= MaxSlots }

// Server is what is known of the backend server beside the process.
type Server struct {
	Active, Queued int       // requests
	Slowdown       float64   // how many times slower than usual; up to 1 if not slow
	Busy           bool      // accepts no requests
	FirstClaim     time.Time // when the process received its first claim
}

// free returns the free slots of a server with the given number of slots.
func (s *Server) free(slots int) int {
	if s.Busy {
		return 0
	}
	return max(0, int(float64(slots)/max(1, s.Slowdown))-s.Active-s.Queued)
}

// Split writes the share of each claim in the free slots of a server to shares, which
// must be as long as claims. Those of claims that are not valid are 0: their entries
// take an equal share by themselves, which is kept for them. Draw is uniform in [0, 1)
// and decides who gets the slots that cannot be divided, each entry with a probability
// that makes its mean share exact.
func Split(s Server, claims []Claim, shares []int, now time.Time, draw float64) {
	sharers, valid, stale := 0, 0, 0
	sum := 0.0
	for i := range claims {
		c := &claims[i]
		if c.Valid() {
			sharers, valid = max(sharers, c.Sharers), valid+1
			if c.stale(now) {
				stale++
			} else {
				sum += c.Demand
			}
		}
	}
	if valid == 0 {
		return
	}
	all := len(claims)
	if now.Sub(s.FirstClaim) < SettlingTime {
		all = max(all, sharers)
	}
	free := s.free(usualSlots(claims))
	divided := float64(free) * float64(valid) / float64(all)
	even := sum/float64(valid) + minWeight
	total := sum + even*(evenShare*float64(valid-stale)+staleShare*float64(stale))
	before, point := 0, draw
	for i := range claims {
		if !claims[i].Valid() {
			shares[i] = 0
			continue
		}
		// Rounding the running total instead of each share keeps the sum exact.
		point += divided * claims[i].weight(even, now) / total
		after := min(int(math.Floor(point+roundingError)), free)
		shares[i], before = after-before, after
	}
}

// usualSlots returns the lower median of the slots of the valid claims. All entries read
// them from the same list, so a claim that differs is wrong or out of date.
func usualSlots(claims []Claim) int {
	var slots []int
	for i := range claims {
		if claims[i].Valid() {
			slots = append(slots, claims[i].Slots)
		}
	}
	slices.Sort(slots)
	return slots[(len(slots)-1)/2]
}

// roundingError is above the error of a sum of shares, which would else be rounded
// down where it should be a whole number.
const roundingError = 1e-9

func (c *Claim) stale(now time.Time) bool { return now.Sub(c.At) >= ClaimTTL }

// weight returns the weight of the entry in the division of the free slots.
func (c *Claim) weight(even float64, now time.Time) float64 {
	if c.stale(now) {
		return staleShare * even
	}
	return c.Demand + evenShare*even
}
