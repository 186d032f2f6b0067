package awwatch

import (
	"sync"
	"time"

	"arbutuswind/core/awdirectory"
)

// entryTracker is an [awdirectory.EntryTracker] that is safe for concurrent use.
type entryTracker struct {
	mu       sync.Mutex
	tracker  awdirectory.EntryTracker
	counting map[string]bool // by name, as of the last read
}

func (t *entryTracker) observe(list []awdirectory.Registration, now time.Time) ([]awdirectory.Entry, []awdirectory.Registration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counting, removable := t.tracker.Observe(list, now)
	t.counting = make(map[string]bool, len(counting))
	for _, e := range counting {
		t.counting[e.Name] = true
	}
	return counting, removable
}

// EntryAnswer returns what this entry answers another one that has not renewed its row
// for long.
func (w *Watcher) EntryAnswer(name string) awdirectory.Answer {
	t := &w.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	// An entry that has not read the list knows of no loss.
	now := w.cfg.Clock.Now()
	return awdirectory.Answer{
		Counted: t.counting == nil || t.counting[name], Count: len(t.counting), ReadFor: t.tracker.ReadFor(now), WrittenAgo: t.tracker.WrittenAgo(now),
	}
}
