package awagent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"arbutuswind/core/awconfig"
	"arbutuswind/core/awoutcome"
	"arbutuswind/io/awengine"
	"arbutuswind/io/awproto"
)

const (
	// maxLoadFailures is the number of failed load commands after which the
	// version is reported as failed, so that the reconciler can halt it.
	maxLoadFailures = 3
	// maxLoadBackoff limits the delay before a failed load is retried.
	maxLoadBackoff = 30 * time.Second
	// inFlightPoll is the interval for checking whether requests still run.
	inFlightPoll = 10 * time.Millisecond
)

// loadRetry tracks failed load commands. Only the engine loop uses it, so load
// commands never run concurrently.
type loadRetry struct {
	placement awconfig.Placement // placement that the failures belong to
	failures  int
	retryAt   time.Time
}

// maintainPlacement keeps the weights and the engine at the placed version
// until ctx ends.
func (a *Agent) maintainPlacement(ctx context.Context) {
	group := errgroup.Group{}
	group.Go(func() error { a.weightLoop(ctx); return nil })
	group.Go(func() error { a.engineLoop(ctx); return nil })
	_ = group.Wait() // both loops return nil
}

func (a *Agent) engineLoop(ctx context.Context) {
	for {
		a.mu.Lock()
		changed := a.changed
		a.mu.Unlock()
		if err := a.reconcileEngine(ctx); err != nil && ctx.Err() == nil {
			_ = a.cfg.Logger.Log("Message", "failed to bring the engine to the placed version", "Error", err.Error())
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(a.cfg.Settings.Timing.EnginePoll.Std()):
		}
	}
}

// reconcileEngine queries the state of the engine and loads the placed version
// if the engine does not serve it. The effect of a load command is always read
// back from the engine.
func (a *Agent) reconcileEngine(ctx context.Context) error {
	st, err := a.engine.Status(ctx)
	if err != nil {
		a.setEngine(nil, awproto.AgentState_FAILED, awengine.Status{})
		return err
	}
	a.mu.Lock()
	view, boot := a.view, a.bootID
	a.mu.Unlock()
	if boot != "" && boot != st.BootID {
		a.setEngine(nil, awproto.AgentState_STARTING, st)
	}
	p := view.Placement
	if p.Model == "" {
		a.setEngine(nil, awproto.AgentState_STARTING, st)
		return nil
	}
	if a.trialPaused(p) {
		a.setEngine(nil, awproto.AgentState_FAILED, st)
		return nil
	}
	if a.confirm(st, p) || !a.weights.Complete(p.Digest) {
		return nil
	}
	if err := a.loadVersion(ctx, view, st); err != nil {
		return err
	}
	return nil
}

// confirm reports whether the engine serves the placement, and if so records
// the version as ready. It compares the model and digest that the engine itself
// reports.
func (a *Agent) confirm(st awengine.Status, p awconfig.Placement) bool {
	m, _, known := a.weights.Manifest(p.Digest)
	if !known || st.State == "empty" || st.Model != p.Model || st.Digest != m.FileDigest {
		return false
	}
	state := awproto.AgentState_READY
	if st.State == "cold" {
		state = awproto.AgentState_COLD
	}
	a.weights.setLoaded(p.Digest)
	a.setEngine(&awproto.ReadyModel{Model: p.Model, Version: p.Version, VersionDigest: p.Digest}, state, st)
	return true
}

// loadVersion sends the load command and reads back its effect.
func (a *Agent) loadVersion(ctx context.Context, view awconfig.AgentView, st awengine.Status) error {
	p := view.Placement
	if a.loadRetry.placement == p && a.cfg.Clock.Now().Before(a.loadRetry.retryAt) {
		return nil
	}
	if err := a.stopServing(ctx, st); err != nil {
		return err
	}
	a.mu.Lock()
	a.checkPause(a.cfg.Clock.Now())
	current, awaiting := a.view.Placement, a.awaitingHeartbeat
	a.mu.Unlock()
	if current != p || awaiting {
		return nil // the placement changed while requests finished, or may have changed during a process pause
	}
	if view.Fencing == awconfig.FencingChecked && st.Fence > p.Fence {
		return eris.Errorf("engine holds fencing token %d, newer than %d of the placement", st.Fence, p.Fence)
	}
	err := a.engine.Load(ctx, awengine.LoadCommand{
		Model: p.Model, Version: p.Version, Fence: p.Fence,
		URL: "http://" + a.cfg.Settings.Listen.Local + "/weights/" + p.Digest,
	})
	return a.verifyLoad(ctx, p, err)
}

// verifyLoad queries the engine after a load command. If the reply was lost but
// the engine serves the version, the load counts as successful.
func (a *Agent) verifyLoad(ctx context.Context, p awconfig.Placement, loadErr error) error {
	st, err := a.engine.Status(ctx)
	if err != nil {
		return err
	}
	if a.confirm(st, p) {
		a.loadRetry = loadRetry{}
		a.weights.setError(p.Digest, "")
		return nil
	}
	if loadErr == nil {
		loadErr = eris.Errorf("engine reports %s %s with digest %s after the load command", st.Model, st.Version, st.Digest)
	}
	var refused *awengine.StatusError
	if errors.As(loadErr, &refused) && refused.Status == statusPreconditionFailed {
		return loadErr // the engine has received a newer command, so the version is not faulty
	}
	if a.loadRetry.placement != p {
		a.loadRetry = loadRetry{placement: p}
	}
	a.loadRetry.failures++
	backoff := a.cfg.Settings.Timing.EnginePoll.Std() << min(a.loadRetry.failures, 6)
	a.loadRetry.retryAt = a.cfg.Clock.Now().Add(min(backoff, maxLoadBackoff))
	if a.loadRetry.failures >= maxLoadFailures {
		a.weights.setError(p.Digest, fmt.Sprintf("load failed %d times: %v", a.loadRetry.failures, loadErr))
		a.lockAndNotify()
	}
	return eris.Wrap(loadErr, "load command")
}

// statusPreconditionFailed is the engine's response to an outdated fencing
// token.
const statusPreconditionFailed = 412

// stopServing refuses new requests and waits, at most for the drain time, for
// the requests that run on the weights loaded now.
func (a *Agent) stopServing(ctx context.Context, st awengine.Status) error {
	a.setEngine(nil, awproto.AgentState_LOADING, st)
	deadline := time.After(a.cfg.Settings.Timing.Drain.Std())
	for {
		a.mu.Lock()
		n := a.admission.InFlight()
		a.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-deadline:
			_ = a.cfg.Logger.Log("Message", "requests cut by a version change", "CutRequests", n)
			return nil
		case <-time.After(inFlightPoll):
		}
	}
}

// setEngine records what the engine serves. st is the zero value if the engine
// did not answer.
func (a *Agent) setEngine(ready *awproto.ReadyModel, state awproto.AgentState, st awengine.Status) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		state = awproto.AgentState_DRAINING
	}
	boot := st.BootID
	if boot == "" {
		boot = a.bootID // keep the ID, so that a restart shows as a changed boot ID
	}
	a.recordLimitLowered(a.admission.ObserveEngine(boot, ready == nil || st.State == "cold"))
	if ready == nil {
		a.admission.FlushQueue(awoutcome.NotReady, "backend server is not ready")
	}
	unchanged := a.state == state && a.ready.GetVersionDigest() == ready.GetVersionDigest() && a.bootID == boot
	if a.bootID != boot {
		a.forgetSignals()
	}
	a.ready, a.state, a.bootID, a.servedDigest = ready, state, boot, st.Digest
	if !unchanged {
		a.notify()
	}
}
