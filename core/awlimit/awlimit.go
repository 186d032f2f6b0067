// Package awlimit limits what an entry accepts: the request rate of each team,
// which the entries share in proportion to demand, the total bytes buffered,
// and the requests that wait during an overload.
package awlimit

import (
	"time"
)

// Demand is the request rate of one team at one entry, in requests per second.
type Demand struct {
	Offered  float64
	Admitted float64
}

const (
	// demandTTL is the time for which the demand of another entry is used after
	// it was received. Entries exchange their demand more often than that.
	demandTTL = 3 * time.Second
	// evenShare is the fraction of a team's limit that is divided evenly among
	// the entries, so that an entry without demand can admit its first requests.
	evenShare = 0.05
	// burstWindow is the time for which an unused share accumulates.
	burstWindow = 250 * time.Millisecond
	// smoothingFactor is the weight of the newest window in the moving average
	// of an entry's own demand.
	smoothingFactor = 0.5
)

// RateLimiter limits the request rate of each team at one entry, with a token
// bucket per team. The limits apply to all entries together. It is not safe for
// concurrent use.
type RateLimiter struct {
	limits     map[string]float64 // requests per second by team, for all entries together
	teams      map[string]*bucket
	peers      map[string]*peer
	entryCount int // including this entry
}

type bucket struct {
	share      float64 // requests per second of this entry
	tokens     float64
	refilledAt time.Time
	offered    int    // in the current window
	admitted   int    // in the current window
	demand     Demand // moving average over the previous windows
}

type peer struct {
	updatedAt time.Time
	demands   map[string]Demand
}

// NewRateLimiter returns a limiter without limits for a single entry.
func NewRateLimiter() *RateLimiter {
	return &RateLimiter{limits: map[string]float64{}, teams: map[string]*bucket{}, peers: map[string]*peer{}, entryCount: 1}
}

// SetLimits replaces the limits of all teams, in requests per second. Teams
// without a limit or with a limit of zero are not limited.
func (r *RateLimiter) SetLimits(limits map[string]float64) { r.limits = limits }

// Admit counts a request of a team and reports whether it is admitted. If the
// team has used up its share at this entry, it also returns the time after which
// to retry, in milliseconds.
func (r *RateLimiter) Admit(team string, now time.Time) (bool, uint32) {
	limit := r.limits[team]
	if limit <= 0 {
		return true, 0
	}
	b := r.bucket(team, now)
	b.offered++
	b.refill(now)
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
		b = &bucket{share: r.limits[team] / float64(r.entryCount), refilledAt: now}
		b.tokens = b.capacity()
		r.teams[team] = b
	}
	return b
}

func (b *bucket) capacity() float64 { return max(1, b.share*burstWindow.Seconds()) }

func (b *bucket) refill(now time.Time) {
	if d := now.Sub(b.refilledAt); d > 0 {
		b.tokens = min(b.capacity(), b.tokens+b.share*d.Seconds())
		b.refilledAt = now
	}
}

// EndWindow ends a counting window of the given length and recomputes the shares.
// It returns this entry's demand by team, which must be sent to the other
// entries. entryCount is the number of entries, including this one.
func (r *RateLimiter) EndWindow(window time.Duration, entryCount int, now time.Time) map[string]Demand {
	r.entryCount = max(1, entryCount)
	for id, p := range r.peers {
		if now.Sub(p.updatedAt) > demandTTL {
			delete(r.peers, id)
		}
	}
	own := map[string]Demand{}
	for team, b := range r.teams {
		if r.limits[team] <= 0 {
			delete(r.teams, team)
			continue
		}
		b.refill(now)
		perSecond := 1 / window.Seconds()
		b.demand.Offered += smoothingFactor * (float64(b.offered)*perSecond - b.demand.Offered)
		b.demand.Admitted += smoothingFactor * (float64(b.admitted)*perSecond - b.demand.Admitted)
		b.offered, b.admitted = 0, 0
		own[team] = b.demand
		b.share = r.computeShare(team, b.demand.Offered)
	}
	return own
}

// UpdatePeer records the demand of another entry by team.
func (r *RateLimiter) UpdatePeer(entry string, demands map[string]Demand, now time.Time) {
	r.peers[entry] = &peer{updatedAt: now, demands: demands}
}

// RemovePeer removes an entry that has announced that it is leaving.
func (r *RateLimiter) RemovePeer(entry string) { delete(r.peers, entry) }

// computeShare returns the share of a team's limit for this entry, in requests per
// second. The shares of entries that know the same demands add up to the limit.
func (r *RateLimiter) computeShare(team string, ownDemand float64) float64 {
	limit, n := r.limits[team], float64(r.entryCount)
	total := ownDemand
	for _, p := range r.peers {
		total += p.demands[team].Offered
	}
	if missing := n - 1 - float64(len(r.peers)); missing > 0 {
		// Assume average demand for entries without recent data.
		total += missing * total / float64(len(r.peers)+1)
	}
	if total <= limit {
		return ownDemand + (limit-total)/n
	}
	return limit * ((1-evenShare)*ownDemand/total + evenShare/n)
}

// Share returns the rate that this entry admits for a team, in requests per
// second.
func (r *RateLimiter) Share(team string) float64 {
	if b := r.teams[team]; b != nil {
		return b.share
	}
	return r.limits[team] / float64(r.entryCount)
}
