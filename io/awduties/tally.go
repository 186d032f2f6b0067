package awduties

import (
	"sync"
	"time"

	"arbutuswind/core/awduty"
)

// tallyInterval is the precision with which the times of counted requests are kept.
// A window that is shifted by it has the same requests within 0.2%.
const tallyInterval = 10 * time.Millisecond

// tally collects counts for the runner. It has a lock of its own, so that a request
// does not wait for the decisions on duties, their log lines and encoding.
type tally struct {
	mu      sync.Mutex
	batches []batch
}

// batch holds the requests of an interval that begins at a time.
type batch struct {
	at     time.Duration
	counts awduty.Counts
}

// add counts a request at the time that now returns.
func (t *tally) add(now func() time.Duration, team string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// The time is read under the lock: what take returns is complete up to any time
	// that was read before it.
	at := now()
	if n := len(t.batches); n == 0 || at-t.batches[n-1].at >= tallyInterval {
		t.batches = append(t.batches, batch{at: at, counts: awduty.Counts{}})
	}
	t.batches[len(t.batches)-1].counts[team]++
}

// take returns the batches that were collected since the last call.
func (t *tally) take() []batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	batches := t.batches
	t.batches = nil
	return batches
}
