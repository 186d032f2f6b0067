package awweights

import (
	"time"
)

// Bucket is a token bucket in bytes. Taking may overdraw it, so that a chunk
// larger than the burst still passes. It is not safe for concurrent use.
type Bucket struct {
	rate   float64 // bytes a second; 0 means unlimited
	burst  float64
	share  float64 // of rate, reduced under live load
	tokens float64
	last   time.Time
}

// NewBucket returns a full bucket.
func NewBucket(bytesPerSecond float64, burst uint64, now time.Time) *Bucket {
	return &Bucket{rate: bytesPerSecond, burst: float64(burst), share: 1, tokens: float64(burst), last: now}
}

func (b *Bucket) refill(now time.Time) {
	if d := now.Sub(b.last); d > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*b.share*d.Seconds())
		b.last = now
	}
}

// SetRate changes the rate from now on.
func (b *Bucket) SetRate(now time.Time, bytesPerSecond float64) {
	b.refill(now)
	b.rate = bytesPerSecond
}

// SetShare sets the share of the rate that may be used from now on.
func (b *Bucket) SetShare(now time.Time, share float64) {
	b.refill(now)
	b.share = share
}

// Wait returns the time until the bucket is no longer overdrawn.
func (b *Bucket) Wait(now time.Time) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	b.refill(now)
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / (b.rate * b.share) * float64(time.Second))
}

// Take takes n bytes and returns the time after which they may be sent.
func (b *Bucket) Take(now time.Time, n uint64) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	b.refill(now)
	b.tokens -= float64(n)
	return b.Wait(now)
}

// Return gives back bytes that were taken and not sent.
func (b *Bucket) Return(now time.Time, n uint64) {
	b.refill(now)
	b.tokens = min(b.burst, b.tokens+float64(n))
}

// minLinkShare is what weights keep of a link under full live load, so that a
// rollout to a busy fleet still ends.
const minLinkShare = 0.25

// LinkShare returns the share of a link that weights may use beside inFlight
// of at most limit live requests.
func LinkShare(inFlight, limit int) float64 {
	if inFlight <= 0 || limit <= 0 {
		return 1
	}
	return max(minLinkShare, 1-(1-minLinkShare)*float64(inFlight)/float64(limit))
}

// Slots bounds the uploads that run at once. Agents of other regions have
// slots of their own: their chunk serves a whole region, so it does not wait
// behind the exchange inside this one.
type Slots struct {
	limit, outsideLimit int
	inside, outside     int
}

// outsideSlots bounds uploads to other regions.
const outsideSlots = 4

// NewSlots returns free slots.
func NewSlots(limit int) *Slots { return &Slots{limit: max(1, limit), outsideLimit: outsideSlots} }

// Acquire takes a slot and returns false when none is free.
func (s *Slots) Acquire(sameRegion bool) bool {
	if sameRegion {
		if s.inside >= s.limit {
			return false
		}
		s.inside++
		return true
	}
	if s.outside >= s.outsideLimit {
		return false
	}
	s.outside++
	return true
}

// Release returns a slot.
func (s *Slots) Release(sameRegion bool) {
	if sameRegion {
		s.inside--
	} else {
		s.outside--
	}
}

// Free returns the free slots for agents of the own region.
func (s *Slots) Free() int { return s.limit - s.inside }

// Memory is what an instance must hold during a transfer, in bytes.
type Memory struct {
	Total   uint64 // for weights and the buffers of requests
	Old     uint64 // versions held now, other than the new one
	New     uint64
	Running uint64 // buffers of running requests
}

// MemoryPlan states how a version can be brought in.
type MemoryPlan int

// The plans.
const (
	FitsBeside      MemoryPlan = iota // the new version fits beside the old one
	FitsAfterUnload                   // it fits once the old one is given up
	NoRoom                            // it does not fit at all
)

// Plan decides before a transfer starts; nothing is fetched that the memory
// cannot take.
func (m Memory) Plan() MemoryPlan {
	switch {
	case m.New+m.Running > m.Total:
		return NoRoom
	case m.Old+m.New+m.Running > m.Total:
		return FitsAfterUnload
	}
	return FitsBeside
}
