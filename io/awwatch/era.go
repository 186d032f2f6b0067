package awwatch

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// eraState is the part of a [Watcher] that bridges the time after the store has come back
// from an older copy, until what was written since is written again.
type eraState struct {
	eras struct{ operator, servers uint64 } // of the last read of each table
	// carriedOut holds failure domains that were out before, whose rows the store lacks,
	// until carriedUntil.
	carriedOut   map[string]bool
	carriedUntil time.Time
	named        map[string]namedVersion // by model
}

// namedVersion is the version that was named last, and since when it counts.
type namedVersion struct {
	version int64
	since   time.Time
}

// beginEra records the era of a read of a table. It reports whether the store has come
// back from an older copy since the last one.
func (w *Watcher) beginEra(last *uint64, era uint64, table string) bool {
	if era <= *last {
		return false
	}
	known := *last > 0
	if *last = era; !known {
		return false
	}
	metrics.GetOrCreateCounter("arbutuswind_store_eras_total").Inc()
	w.log("store came back from an older copy", "Table", table, "Era", era, "CautionMs", w.cfg.EraCaution.Milliseconds())
	return true
}

// carryOver keeps the failure domains out that were out before, until the store has a row
// about them or the caution ends. A row that an operator had removed may be back; it is
// in force until it is removed again.
func (w *Watcher) carryOver(ctx context.Context, listed map[string]bool) {
	for domain := range w.domainsOut {
		if !listed[domain] {
			w.carriedOut[domain] = true
			w.log("failure domain stays out", "Domain", domain)
		}
	}
	w.carriedUntil = w.cfg.Clock.Now().Add(w.cfg.EraCaution)
	go w.later(ctx, func() {
		if w.cfg.Clock.Now().Before(w.carriedUntil) {
			return // the store has come back from a copy once more
		}
		clear(w.carriedOut)
		w.publish()
	})
}

// recordAgain records since when versions are desired, which the store may have lost.
func (w *Watcher) recordAgain(ctx context.Context) {
	for model, n := range w.named {
		go w.recordFirstSeen(ctx, model, n.version, n.since, false)
	}
}

// later passes a change to Run when the caution has ended.
func (w *Watcher) later(ctx context.Context, change func()) {
	Sleep(ctx, w.cfg.EraCaution)
	w.update(ctx, change)
}
