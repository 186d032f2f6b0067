package awentry

import (
	"context"
	"time"
)

// livenessChecks is the number of checks per heartbeat period, so that a
// silent link is found soon after its last period.
const livenessChecks = 4

// heartbeatLoop paces the heartbeats and checks of all links together until ctx
// ends. An entry that wakes once for all its links spends less processor time
// than one that wakes for each of them.
func (f *fleet) heartbeatLoop(ctx context.Context) {
	ticker := time.NewTicker(f.entry.cfg.Settings.Timing.Heartbeat.Std() / livenessChecks)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		f.checkLinks(n%livenessChecks == 0)
	}
}

// nextHeartbeat returns a channel that is closed at the next heartbeat.
func (f *fleet) nextHeartbeat() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heartbeatTick
}

// checkLinks takes agents out of routing whose links are not alive and ends
// streams that are lost. With beat it also starts the next heartbeat.
func (f *fleet) checkLinks(heartbeat bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.entry.cfg.Clock.Now()
	for _, link := range f.agents {
		if link.endStream == nil {
			continue
		}
		if link.report != nil && !link.liveness.Alive(now) {
			f.suspectLocked(link)
		}
		if link.liveness.Lost(now) {
			link.endStream(errNoHeartbeat)
		}
	}
	if heartbeat {
		close(f.heartbeatTick)
		f.heartbeatTick = make(chan struct{})
	}
}
