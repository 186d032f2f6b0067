// Package awlimit bounds what an entry accepts: requests a second per team,
// shared among the entries by demand, bytes held in all, and the requests
// that wait during an overload.
package awlimit

import (
	"time"
)

// Demand is what one entry has seen of one team.
type Demand struct {
	Offered  float64 // requests a second
	Admitted float64
}

const (
	// memory is how long a demand counts after it was last heard. Entries
	// share their demand more often than that.
	memory = 3 * time.Second
	// floorShare is the part of a team's rate that is split evenly, so that an
	// entry without demand so far can take its first requests.
	floorShare = 0.05
	// burstWindow is the time for which an unused share is saved up.
	burstWindow = 250 * time.Millisecond
	// smoothing is the weight of the newest window in an entry's own demand.
	smoothing = 0.5
)

// RateLimiter holds the token buckets of one entry. It is not safe for concurrent
// use.
type RateLimiter struct {
	limits map[string]float64 // requests a second of a team over all entries
	teams  map[string]*bucket
	peers  map[string]*peer
	alive  int // entries, this one included
}

type bucket struct {
	share    float64 // requests a second of this entry
	tokens   float64
	filled   time.Time
	offered  int // in the current window
	admitted int
	demand   Demand // of the windows before
}

type peer struct {
	heard   time.Time
	demands map[string]Demand
}

// NewRateLimiter returns rates without limits for an entry that knows no other.
func NewRateLimiter() *RateLimiter {
	return &RateLimiter{limits: map[string]float64{}, teams: map[string]*bucket{}, peers: map[string]*peer{}, alive: 1}
}

// SetLimits replaces the limits by team. Teams without one, or with zero, are
// not limited.
func (r *RateLimiter) SetLimits(limits map[string]float64) { r.limits = limits }

// Admit counts a request of a team. When the team is above its share it
// returns false and the milliseconds until a request fits again.
func (r *RateLimiter) Admit(team string, now time.Time) (bool, uint32) {
	limit := r.limits[team]
	if limit <= 0 {
		return true, 0
	}
	b := r.bucket(team, now)
	b.offered++
	b.fill(now)
	if b.tokens >= 1 {
		b.tokens--
		b.admitted++
		return true, 0
	}
	if b.share <= 0 {
		return false, uint32(time.Second.Milliseconds())
	}
	return false, uint32((1-b.tokens)/b.share*1000) + 1
}

func (r *RateLimiter) bucket(team string, now time.Time) *bucket {
	b := r.teams[team]
	if b == nil {
		b = &bucket{share: r.limits[team] / float64(r.alive), filled: now}
		b.tokens = b.capacity()
		r.teams[team] = b
	}
	return b
}

func (b *bucket) capacity() float64 { return max(1, b.share*burstWindow.Seconds()) }

func (b *bucket) fill(now time.Time) {
	if d := now.Sub(b.filled); d > 0 {
		b.tokens = min(b.capacity(), b.tokens+b.share*d.Seconds())
		b.filled = now
	}
}

// EndWindow ends a window of the given length, computes the shares anew and
// returns this entry's demand by team, which the other entries need. alive is
// the number of entries, this one included.
func (r *RateLimiter) EndWindow(window time.Duration, alive int, now time.Time) map[string]Demand {
	r.alive = max(1, alive)
	for id, p := range r.peers {
		if now.Sub(p.heard) > memory {
			delete(r.peers, id)
		}
	}
	own := map[string]Demand{}
	for team, b := range r.teams {
		if r.limits[team] <= 0 {
			delete(r.teams, team)
			continue
		}
		b.fill(now)
		per := 1 / window.Seconds()
		b.demand.Offered += smoothing * (float64(b.offered)*per - b.demand.Offered)
		b.demand.Admitted += smoothing * (float64(b.admitted)*per - b.demand.Admitted)
		b.offered, b.admitted = 0, 0
		own[team] = b.demand
		b.share = r.share(team, b.demand.Offered)
	}
	return own
}

// UpdatePeer takes the demand of another entry.
func (r *RateLimiter) UpdatePeer(entry string, demands map[string]Demand, now time.Time) {
	r.peers[entry] = &peer{heard: now, demands: demands}
}

// RemovePeer forgets an entry that has said that it is leaving.
func (r *RateLimiter) RemovePeer(entry string) { delete(r.peers, entry) }

// share returns the requests a second of this entry for a team. Summed over
// entries that know the same demands the shares give the limit.
func (r *RateLimiter) share(team string, own float64) float64 {
	limit, n := r.limits[team], float64(r.alive)
	total := own
	for _, p := range r.peers {
		total += p.demands[team].Offered
	}
	if unheard := n - 1 - float64(len(r.peers)); unheard > 0 {
		// Entries that were not heard in time are taken for average ones.
		total += unheard * total / float64(len(r.peers)+1)
	}
	if total <= limit {
		return own + (limit-total)/n
	}
	return limit * ((1-floorShare)*own/total + floorShare/n)
}

// Share returns the requests a second that this entry admits for a team.
func (r *RateLimiter) Share(team string) float64 {
	if b := r.teams[team]; b != nil {
		return b.share
	}
	return r.limits[team] / float64(r.alive)
}
