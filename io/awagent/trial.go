package awagent

import (
	"fmt"
	"time"

	"arbutuswind/core/awconfig"
)

const (
	// trialFailures is the number of first requests that must fail, with none
	// that succeeds, before a version is taken out of service here.
	trialFailures = 3
	// trialPause is how long such a version stays out before it is tried
	// again, in case that the engine and not the version was the cause.
	trialPause = 30 * time.Second
)

// trial follows the first requests after a placement came into service. A
// version that loads may still fail to answer; the reconciler halts it when
// its agents report so.
type trial struct {
	placement awconfig.Placement
	failures  int
	passed    bool
	until     time.Time // end of the pause after a failed trial; zero while in service
}

// onPause reports whether the placement is out of service after a failed
// trial. A new placement starts a new trial.
func (a *Agent) onPause(p awconfig.Placement) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.trial.placement != p || (!a.trial.until.IsZero() && !a.cfg.Clock.Now().Before(a.trial.until)) {
		a.trial = trial{placement: p}
	}
	return !a.trial.until.IsZero()
}

// trialPassed notes a request that the engine answered whole. The caller
// holds mu.
func (a *Agent) trialPassed(version string) {
	if a.trial.passed || version == "" || version != a.trial.placement.Digest {
		return
	}
	a.trial.passed = true
	a.weights.fail(version, "")
}

// trialFailed notes a request that the engine failed. The caller holds mu.
func (a *Agent) trialFailed(version string) {
	t := &a.trial
	if t.passed || version == "" || version != t.placement.Digest || !t.until.IsZero() {
		return
	}
	if t.failures++; t.failures < trialFailures {
		return
	}
	t.until = a.cfg.Clock.Now().Add(trialPause)
	a.ready = nil
	a.weights.fail(version, fmt.Sprintf("the first %d requests failed", t.failures))
	a.log("Message", "version failed its first requests", "Version", t.placement.Version, "Digest", version, "Failures", t.failures)
	a.notify()
}
