package awlimit

import "time"

// WaitQueue holds the requests that wait for a backend server during a short
// overload. When it is full, the lowest priority leaves first. It is not safe
// for concurrent use.
type WaitQueue struct {
	Capacity int
	waiting  []*Waiter
}

// Waiter is one waiting request.
type Waiter struct {
	model    string
	priority uint32
	evict    func()
	wake     func()
}

// Enqueue takes a place. When the room is full it evicts the last request of the
// lowest priority, if that is below the given one; otherwise it returns nil.
// The functions must not call the room.
func (r *WaitQueue) Enqueue(model string, priority uint32, evict, wake func()) *Waiter {
	t := &Waiter{model: model, priority: priority, evict: evict, wake: wake}
	if len(r.waiting) < r.Capacity {
		r.waiting = append(r.waiting, t)
		return t
	}
	lowest := -1
	for i, w := range r.waiting {
		if w.priority < priority && (lowest < 0 || w.priority <= r.waiting[lowest].priority) {
			lowest = i
		}
	}
	if lowest < 0 {
		return nil
	}
	r.waiting[lowest].evict()
	r.removeAt(lowest)
	r.waiting = append(r.waiting, t)
	return t
}

// Remove gives the place back. It may be called after an eviction.
func (r *WaitQueue) Remove(t *Waiter) {
	for i, w := range r.waiting {
		if w == t {
			r.removeAt(i)
			return
		}
	}
}

// Wake wakes up to n requests of a model that has got room: the highest
// priority first, and of these the one that has waited longest.
func (r *WaitQueue) Wake(model string, n int) {
	woken := map[*Waiter]bool{}
	for ; n > 0; n-- {
		var first *Waiter
		for _, w := range r.waiting {
			if w.model == model && !woken[w] && (first == nil || w.priority > first.priority) {
				first = w
			}
		}
		if first == nil {
			return
		}
		woken[first] = true
		first.wake()
	}
}

// HasWaiterAhead reports whether a request of the model waits that goes before a new
// one of the priority. Without it new requests would take the room that those
// waiting are about to find.
func (r *WaitQueue) HasWaiterAhead(model string, priority uint32) bool {
	for _, w := range r.waiting {
		if w.model == model && w.priority >= priority {
			return true
		}
	}
	return false
}

// Waiting returns the number of places taken.
func (r *WaitQueue) Waiting() int { return len(r.waiting) }

func (r *WaitQueue) removeAt(i int) { r.waiting = append(r.waiting[:i], r.waiting[i+1:]...) }

// ShouldShed reports whether a new request of the priority is refused while the
// room fills: the lower the priority, the earlier. Priorities are 0 to 9.
func (r *WaitQueue) ShouldShed(priority uint32) bool {
	const priorities = 10
	return len(r.waiting)*priorities >= r.Capacity*(priorities/2+int(priority+1)/2)
}

// WaitExceedsDeadline reports whether every agent expects a longer wait than the
// request has left. It returns the shortest wait in milliseconds.
func WaitExceedsDeadline(waitsMs []uint32, leftMs int64) (shortest uint32, refuse bool) {
	if len(waitsMs) == 0 {
		return 0, false
	}
	shortest = waitsMs[0]
	for _, w := range waitsMs[1:] {
		shortest = min(shortest, w)
	}
	return shortest, int64(shortest) >= leftMs
}

// LatencyEstimator learns how long answers of a model take. It is not safe for concurrent
// use.
type LatencyEstimator struct{ perToken map[string]float64 } // milliseconds per permitted token

const (
	paceWeight = 0.05 // of the newest answer
	// paceShare of the usual time must be left to begin an answer. Below it
	// the work would most likely be cut at the deadline and be lost.
	paceShare = 0.75
)

// Observe notes a whole answer.
func (p *LatencyEstimator) Observe(model string, tokens uint32, d time.Duration) {
	if tokens == 0 {
		return
	}
	if p.perToken == nil {
		p.perToken = map[string]float64{}
	}
	ms := float64(d) / float64(time.Millisecond) / float64(tokens)
	if old, ok := p.perToken[model]; ok {
		ms = old + paceWeight*(ms-old)
	}
	p.perToken[model] = ms
}

// WillMissDeadline reports whether an answer that begins now would most likely not end
// in the time left.
func (p *LatencyEstimator) WillMissDeadline(model string, tokens uint32, left time.Duration) bool {
	ms := p.perToken[model] * float64(tokens) * paceShare
	return ms > 0 && float64(left)/float64(time.Millisecond) < ms
}
