package awretry

import "time"

// WindowConfig bounds the repetitions of all entries together within a
// sliding window.
type WindowConfig struct {
	Ratio      float64       // repetitions for each request of a caller
	MinRetries int           // repetitions allowed without any request
	Window     time.Duration // in which both are counted
}

// earned is the part of the ratio that is spent. The requests that a repetition
// is counted against are those of the window that ends with it, those of half
// a window before and those of a whole one before, whichever are most: together
// they cover what an entry has counted, so that any of them has a third of it.
const earned = 1.0 / 3

// windowParts is the number of parts of a window that are counted apart. The
// repetitions of one part more than the window are held against the requests
// of one part less, so that no sliding window exceeds the bound.
const windowParts = 10

// WindowBudget is one entry's share of a budget of repetitions for one service. It
// is not safe for concurrent use.
type WindowBudget struct {
	cfg     WindowConfig
	first   [windowParts + 1]int
	repeats [windowParts + 1]int
	part    int64 // number of the newest part since the zero time
}

// NewWindowBudget returns a budget in which nothing is counted yet.
func NewWindowBudget(cfg WindowConfig) *WindowBudget { return &WindowBudget{cfg: cfg} }

func (w *WindowBudget) advance(now time.Time) int {
	part := now.UnixNano() / int64(w.cfg.Window/windowParts)
	for w.part < part {
		w.part++
		if part-w.part > windowParts {
			w.part = part - windowParts
		}
		at := w.part % (windowParts + 1)
		w.first[at], w.repeats[at] = 0, 0
	}
	return int(w.part % (windowParts + 1))
}

// CountRequest counts a request of a caller.
func (w *WindowBudget) CountRequest(now time.Time) { w.first[w.advance(now)]++ }

// AllowRetry counts a repetition, unless that exceeds the share of one of the given
// number of entries.
func (w *WindowBudget) AllowRetry(now time.Time, entries int) bool {
	at := w.advance(now)
	first, repeats := 0, 0
	for i := range w.first {
		repeats += w.repeats[i]
		if i != (at+1)%(windowParts+1) {
			first += w.first[i]
		}
	}
	if float64(repeats+1) > earned*w.cfg.Ratio*float64(first)+float64(w.cfg.MinRetries)/float64(max(1, entries)) {
		return false
	}
	w.repeats[at]++
	return true
}
