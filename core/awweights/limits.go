package awweights

import (
	"time"
)

// Bucket is a token bucket in bytes. Its balance may become negative, so that a
// chunk larger than the burst can pass. It is not safe for concurrent use.
type Bucket struct {
	rate   float64 // bytes a second; 0 means unlimited
	burst  float64
	share  float64 // share of rate that may be used; less under live load
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

// Wait returns the time until the balance is no longer negative.
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

// Take takes n bytes and returns how long to wait before sending them.
func (b *Bucket) Take(now time.Time, n uint64) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	b.refill(now)
	b.tokens -= float64(n)
	return b.Wait(now)
}

// Return returns n bytes that were taken but not sent.
func (b *Bucket) Return(now time.Time, n uint64) {
	b.refill(now)
	b.tokens = min(b.burst, b.tokens+float64(n))
}

// minLinkShare is the share of a link that weights may use under full live load,
// so that a rollout to a busy fleet still completes.
const minLinkShare = 0.25

// LinkShare returns the share of a link that weights may use while inFlight of
// at most limit live requests are running.
func LinkShare(inFlight, limit int) float64 {
	if inFlight <= 0 || limit <= 0 {
		return 1
	}
	return max(minLinkShare, 1-(1-minLinkShare)*float64(inFlight)/float64(limit))
}

// Slots limits concurrent uploads. Uploads to agents of other regions have
// separate slots: a chunk sent to another region serves that whole region, so it
// must not wait behind uploads inside this one.
type Slots struct {
	limit, outsideLimit int
	inside, outside     int
}

// outsideSlots is the number of concurrent uploads to other regions.
const outsideSlots = 4

// NewSlots returns Slots with limit slots for uploads inside the region, at
// least 1.
func NewSlots(limit int) *Slots { return &Slots{limit: max(1, limit), outsideLimit: outsideSlots} }

// Acquire takes a slot. It returns false if none is free.
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

// Release frees a slot.
func (s *Slots) Release(sameRegion bool) {
	if sameRegion {
		s.inside--
	} else {
		s.outside--
	}
}

// Free returns the number of free slots for agents of the same region.
func (s *Slots) Free() int { return s.limit - s.inside }

// Memory describes the memory of an instance during a transfer, in bytes.
type Memory struct {
	Total   uint64 // available for weights and request buffers
	Old     uint64 // versions held now, except the new one
	New     uint64 // the version to transfer
	Running uint64 // buffers of running requests
}

// MemoryPlan states whether a new version fits into memory.
type MemoryPlan int

// The plans.
const (
	FitsBeside      MemoryPlan = iota // the new version fits beside the old ones
	FitsAfterUnload                   // it fits after the old versions are unloaded
	NoRoom                            // it does not fit
)

// Plan returns how the new version fits. It is called before a transfer starts,
// so that nothing is fetched that does not fit into memory.
func (m Memory) Plan() MemoryPlan {
	switch {
	case m.New+m.Running > m.Total:
		return NoRoom
	case m.Old+m.New+m.Running > m.Total:
		return FitsAfterUnload
	}
	return FitsBeside
}
