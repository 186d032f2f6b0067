package awentry

import (
	"context"
	"time"
)

// livenessChecks is the number of checks per heartbeat period, so that a
// silent link is found soon after its last period.
const livenessChecks = 4

// beatLoop paces the heartbeats and checks of all links together until ctx
// ends. An entry that wakes once for all its links spends less processor time
// than one that wakes for each of them.
func (f *fleet) beatLoop(ctx context.Context) {
	ticker := time.NewTicker(f.entry.cfg.Settings.Timing.Heartbeat.Std() / livenessChecks)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		f.judgeAll(n%livenessChecks == 0)
	}
}

// nextBeat returns a channel that is closed at the next heartbeat.
func (f *fleet) nextBeat() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.beat
}

// judgeAll takes agents out of routing whose links are not alive and ends
// streams that are lost. With beat it also starts the next heartbeat.
func (f *fleet) judgeAll(beat bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.entry.cfg.Clock.Now()
	for _, link := range f.agents {
		if link.end == nil {
			continue
		}
		if link.report != nil && !link.live.Alive(now) {
			f.suspectLocked(link)
		}
		if link.live.Lost(now) {
			link.end(errSilent)
		}
	}
	if beat {
		close(f.beat)
		f.beat = make(chan struct{})
	}
}
