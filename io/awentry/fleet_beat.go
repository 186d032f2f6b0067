package awentry

import (
	"context"
	"time"
)

// livenessChecks is the number of checks per heartbeat period, so that a silent
// link is detected soon after its deadline.
const livenessChecks = 4

// heartbeatLoop drives the heartbeats and liveness checks of all links until ctx
// ends. One timer for all links uses less CPU time than one for each.
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

// checkLinks takes agents out of routing if their links are not alive, and ends
// streams that are still lost at the next check. If heartbeat is set, it also
// triggers the next heartbeat.
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
			heartbeat = true // after a pause of this process, the agent answers it at once
		} else if link.liveness.Lost(now) {
			link.endStream(errNoHeartbeat)
		}
	}
	if heartbeat {
		close(f.heartbeatTick)
		f.heartbeatTick = make(chan struct{})
	}
}
