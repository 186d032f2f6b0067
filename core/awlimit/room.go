package awlimit

import "time"

// WaitQueue holds the requests that wait for a backend server during a short
// overload. When it is full, requests of the lowest priority are evicted first.
// It is not safe for concurrent use.
type WaitQueue struct {
	Capacity int // maximum number of waiting requests
	waiting  []*Waiter
}

// Waiter is a request in a [WaitQueue].
type Waiter struct {
	model    string
	priority uint32 // 0 to 9; 9 is the highest
	evict    func()
	wake     func()
}

// Enqueue adds a request to the queue. If the queue is full, it evicts the newest
// request of the lowest priority, provided that this priority is below the given
// one; otherwise it returns nil. evict is called when the request is evicted,
// and wake when a backend server may have a free slot for it. Neither may call
// methods of the queue.
func (q *WaitQueue) Enqueue(model string, priority uint32, evict, wake func()) *Waiter {
	waiter := &Waiter{model: model, priority: priority, evict: evict, wake: wake}
	if len(q.waiting) < q.Capacity {
		q.waiting = append(q.waiting, waiter)
		return waiter
	}
	lowest := -1
	for i, w := range q.waiting {
		if w.priority < priority && (lowest < 0 || w.priority <= q.waiting[lowest].priority) {
			lowest = i
		}
	}
	if lowest < 0 {
		return nil
	}
	q.waiting[lowest].evict()
	q.removeAt(lowest)
	q.waiting = append(q.waiting, waiter)
	return waiter
}

// Remove removes a request from the queue. It does nothing if the request has
// been evicted.
func (q *WaitQueue) Remove(waiter *Waiter) {
	for i, w := range q.waiting {
		if w == waiter {
			q.removeAt(i)
			return
		}
	}
}

// Wake wakes up to n requests of a model, in order of priority and, within a
// priority, of waiting time. The requests stay in the queue.
func (q *WaitQueue) Wake(model string, n int) {
	woken := map[*Waiter]bool{}
	for ; n > 0; n-- {
		var next *Waiter
		for _, w := range q.waiting {
			if w.model == model && !woken[w] && (next == nil || w.priority > next.priority) {
				next = w
			}
		}
		if next == nil {
			return
		}
		woken[next] = true
		next.wake()
	}
}

// HasWaiterAhead reports whether a request of the model with at least the given
// priority is waiting. Callers must check it before they admit a new request,
// which could otherwise take the slot that a waiting request was woken for.
func (q *WaitQueue) HasWaiterAhead(model string, priority uint32) bool {
	for _, w := range q.waiting {
		if w.model == model && w.priority >= priority {
			return true
		}
	}
	return false
}

// Waiting returns the number of waiting requests.
func (q *WaitQueue) Waiting() int { return len(q.waiting) }

func (q *WaitQueue) removeAt(i int) { q.waiting = append(q.waiting[:i], q.waiting[i+1:]...) }

// ShouldShed reports whether a new request of the given priority, 0 to 9, should
// be refused because of the length of the queue. Lower priorities are refused
// at a shorter queue: 0, the lowest, when the queue is half full, and 9 only
// when it is full.
func (q *WaitQueue) ShouldShed(priority uint32) bool {
	const priorities = 10
	return len(q.waiting)*priorities >= q.Capacity*(priorities/2+int(priority+1)/2)
}

// WaitExceedsDeadline reports whether the expected wait at every agent is at
// least the time left until the deadline of a request. It also returns the
// shortest wait. All times are in milliseconds.
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

// LatencyEstimator estimates how long responses of each model take, in proportion
// to the number of tokens that the request permits. It is not safe for
// concurrent use.
type LatencyEstimator struct{ msPerToken map[string]float64 } // by model, per permitted token

const (
	latencySmoothing = 0.05 // weight of the newest response in the moving average
	// minTimeFraction is the fraction of the estimated duration that must be left
	// before the deadline to start a request. With less time left, the request
	// would most likely be cut off at the deadline and its work lost.
	minTimeFraction = 0.75
)

// Observe records the duration of a complete response.
func (e *LatencyEstimator) Observe(model string, maxTokens uint32, d time.Duration) {
	if maxTokens == 0 {
		return
	}
	if e.msPerToken == nil {
		e.msPerToken = map[string]float64{}
	}
	ms := float64(d) / float64(time.Millisecond) / float64(maxTokens)
	if old, ok := e.msPerToken[model]; ok {
		ms = old + latencySmoothing*(ms-old)
	}
	e.msPerToken[model] = ms
}

// WillMissDeadline reports whether a request that starts now is unlikely to finish
// in the time left until its deadline. It returns false for models without
// observations.
func (e *LatencyEstimator) WillMissDeadline(model string, maxTokens uint32, left time.Duration) bool {
	ms := e.msPerToken[model] * float64(maxTokens) * minTimeFraction
	return ms > 0 && float64(left)/float64(time.Millisecond) < ms
}
