package awagent

import (
	"fmt"
	"time"

	"arbutuswind/core/awconfig"
)

const (
	// maxTrialFailures is the number of requests that must fail, with none
	// successful, before a version is taken out of service on this instance.
	maxTrialFailures = 3
	// trialPause is how long such a version stays out of service before it is
	// tried again, in case the engine and not the version was the cause.
	trialPause = 30 * time.Second
)

// trial tracks the first requests after a placement came into service. A
// version that loads may still fail to serve requests; the reconciler halts it
// if its agents report that.
type trial struct {
	placement   awconfig.Placement
	failures    int
	passed      bool
	pausedUntil time.Time // end of the pause after a failed trial; zero if not paused
}

// trialPaused reports whether the placement is out of service after a failed
// trial. A new placement, or the end of the pause, starts a new trial.
func (a *Agent) trialPaused(p awconfig.Placement) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.trial.placement != p || (!a.trial.pausedUntil.IsZero() && !a.cfg.Clock.Now().Before(a.trial.pausedUntil)) {
		a.trial = trial{placement: p}
	}
	return !a.trial.pausedUntil.IsZero()
}

// recordTrialSuccess records a request that the engine completed. The caller
// holds mu.
func (a *Agent) recordTrialSuccess(version string) {
	if a.trial.passed || version == "" || version != a.trial.placement.Digest {
		return
	}
	a.trial.passed = true
	a.weights.setError(version, "")
}

// recordTrialFailure records a request that failed in the engine. The caller
// holds mu.
func (a *Agent) recordTrialFailure(version string) {
	t := &a.trial
	if t.passed || version == "" || version != t.placement.Digest || !t.pausedUntil.IsZero() {
		return
	}
	if t.failures++; t.failures < maxTrialFailures {
		return
	}
	t.pausedUntil = a.cfg.Clock.Now().Add(trialPause)
	a.ready = nil
	a.weights.setError(version, fmt.Sprintf("the first %d requests failed", t.failures))
	a.log("Message", "version failed its first requests", "Version", t.placement.Version, "Digest", version, "Failures", t.failures)
	a.notify()
}
