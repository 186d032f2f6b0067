package awretry

import "time"

// WindowConfig limits the retries of all entries together within a sliding
// window.
type WindowConfig struct {
	Ratio      float64       // retries allowed per request of a caller
	MinRetries int           // retries allowed in a window without any requests
	Window     time.Duration // length of the window in which both are counted
}

// usedRatioShare is the fraction of the ratio that entries use. Each retry in a
// window is allowed because of requests from up to one window before it, so all
// retries of the window depend on requests from two windows. The limit for all
// entries together applies to the largest number of requests in three windows
// that cover these two: the one that ends with the newest retry, the one that
// ends half a window earlier and the one that ends a whole window earlier. At
// least one of them contains a third of the requests.
const usedRatioShare = 1.0 / 3

// windowSlots is the number of slots of a window that are counted separately.
// Retries are summed over windowSlots+1 slots but requests over only windowSlots,
// the current slot included, so that no sliding window exceeds the limit.
const windowSlots = 10

// WindowBudget is one entry's share of the retry budget of one service. It is not
// safe for concurrent use.
type WindowBudget struct {
	cfg         WindowConfig
	requests    [windowSlots + 1]int
	retries     [windowSlots + 1]int
	currentSlot int64 // number of the newest slot since the Unix epoch
}

// NewWindowBudget returns a budget without any requests or retries counted.
func NewWindowBudget(cfg WindowConfig) *WindowBudget { return &WindowBudget{cfg: cfg} }

// advance clears the slots up to now and returns the index of the current slot.
func (w *WindowBudget) advance(now time.Time) int {
	slot := now.UnixNano() / int64(w.cfg.Window/windowSlots)
	for w.currentSlot < slot {
		w.currentSlot++
		if slot-w.currentSlot > windowSlots {
			w.currentSlot = slot - windowSlots
		}
		index := w.currentSlot % (windowSlots + 1)
		w.requests[index], w.retries[index] = 0, 0
	}
	return int(w.currentSlot % (windowSlots + 1))
}

// SetConfig changes the limits and keeps what has been counted.
func (w *WindowBudget) SetConfig(cfg WindowConfig, now time.Time) {
	w.advance(now)
	old := *w
	*w = WindowBudget{cfg: cfg}
	w.advance(now)
	length := int64(old.cfg.Window / windowSlots)
	for number := old.currentSlot - windowSlots; number <= old.currentSlot; number++ {
		index := number % (windowSlots + 1)
		// The times within a slot are unknown. Requests count from its start and
		// retries from its end, so that neither allows more retries.
		w.add(&w.requests, number*length, old.requests[index])
		w.add(&w.retries, (number+1)*length-1, old.retries[index])
	}
}

// add adds n to the count of the slot at a time, in nanoseconds since the Unix
// epoch, unless that slot is no longer counted.
func (w *WindowBudget) add(counts *[windowSlots + 1]int, at int64, n int) {
	slot := min(at/int64(w.cfg.Window/windowSlots), w.currentSlot)
	if w.currentSlot-slot <= windowSlots {
		counts[slot%(windowSlots+1)] += n
	}
}

// CountRequest counts a request of a caller at the given time.
func (w *WindowBudget) CountRequest(now time.Time) { w.requests[w.advance(now)]++ }

// HasRetry reports whether a retry is within the entry's share of the budget.
// entries is the number of entries that share the budget.
func (w *WindowBudget) HasRetry(now time.Time, entries int) bool {
	current := w.advance(now)
	requests, retries := 0, 0
	for i := range w.requests {
		retries += w.retries[i]
		if i != (current+1)%(windowSlots+1) {
			requests += w.requests[i]
		}
	}
	return float64(retries+1) <= usedRatioShare*w.cfg.Ratio*float64(requests)+float64(w.cfg.MinRetries)/float64(max(1, entries))
}

// AllowRetry counts a retry if [WindowBudget.HasRetry], and reports whether it did.
func (w *WindowBudget) AllowRetry(now time.Time, entries int) bool {
	if !w.HasRetry(now, entries) {
		return false
	}
	w.retries[w.advance(now)]++
	return true
}
