package awagent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"arbutuswind/core/awconfig"
	"arbutuswind/io/awengine"
	"arbutuswind/io/awproto"
)

const (
	// maxLoadFailures is the number of failed load commands after which the
	// version is reported as failed, so that the reconciler can halt it.
	maxLoadFailures = 3
	// maxLoadBackoff bounds the time between two tries of a failed load.
	maxLoadBackoff = 30 * time.Second
	// idlePoll is the time between two looks at the running requests.
	idlePoll = 10 * time.Millisecond
)

// loader is the state of the load commands. The engine loop is its only
// writer, so two commands never run at once.
type loader struct {
	digest    string // version of the last failures
	failures  int
	notBefore time.Time
}

// authority tells whether this process may give commands. A process that was
// paused may have been replaced in the configuration meanwhile, so it waits
// for news from an entry first.
type authority struct {
	mu     sync.Mutex
	limit  time.Duration
	last   time.Time // last sign that the process runs
	paused bool      // until an entry is heard
	since  time.Time // end of the pause
}

// check notes that the process runs at now and reports whether it may act.
func (u *authority) check(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.last.IsZero() && now.Sub(u.last) > u.limit {
		u.paused, u.since = true, now
	}
	u.last = now
	return !u.paused
}

// heard ends a pause: the view is as new as the entry's. Heartbeats that
// waited in the socket during the pause arrive at once after it and are as
// old as the pause, so they do not count.
func (u *authority) heard(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.paused && now.Sub(u.since) >= u.limit/2 {
		u.paused = false
	}
}

// watchEngine keeps weights and engine at the placed version until ctx ends.
func (a *Agent) watchEngine(ctx context.Context) {
	group := errgroup.Group{}
	group.Go(func() error { a.weightLoop(ctx); return nil })
	group.Go(func() error { a.authorityLoop(ctx); return nil })
	group.Go(func() error { a.engineLoop(ctx); return nil })
	_ = group.Wait() // no member returns an error
}

// authorityLoop notices pauses of the process.
func (a *Agent) authorityLoop(ctx context.Context) {
	period := a.cfg.Settings.Timing.PauseLimit.Std() / 4
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		a.authority.check(a.cfg.Clock.Now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (a *Agent) engineLoop(ctx context.Context) {
	for {
		a.mu.Lock()
		changed := a.changed
		a.mu.Unlock()
		if err := a.reconcileEngine(ctx); err != nil && ctx.Err() == nil {
			_ = a.cfg.Logger.Log("Message", "engine is not at the placed version", "Error", err.Error())
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(a.cfg.Settings.Timing.EnginePoll.Std()):
		}
	}
}

// reconcileEngine asks the engine for its state and loads the placed version
// where it differs. What a command did is always read back, never assumed.
func (a *Agent) reconcileEngine(ctx context.Context) error {
	st, err := a.engine.Status(ctx)
	if err != nil {
		a.setEngine(nil, awproto.AgentState_FAILED, "")
		return err
	}
	a.mu.Lock()
	view, boot := a.view, a.bootID
	a.mu.Unlock()
	if boot != "" && boot != st.BootID {
		a.setEngine(nil, awproto.AgentState_STARTING, st.BootID)
	}
	p := view.Placement
	if p.Model == "" {
		a.setEngine(nil, awproto.AgentState_STARTING, st.BootID)
		return nil
	}
	if a.confirm(st, p) || !a.weights.complete(p.Digest) {
		return nil
	}
	if err := a.loadVersion(ctx, view, st); err != nil {
		return err
	}
	return nil
}

// confirm reports whether the engine serves the placement, and if so tells
// the entries. The engine's own word for digest and model decides.
func (a *Agent) confirm(st awengine.Status, p awconfig.Placement) bool {
	m, _, known := a.weights.manifest(p.Digest)
	if !known || st.State == "empty" || st.Model != p.Model || st.Digest != m.FileDigest {
		return false
	}
	state := awproto.AgentState_READY
	if st.State == "cold" {
		state = awproto.AgentState_COLD
	}
	a.weights.setServing(p.Digest)
	a.setEngine(&awproto.ReadyModel{Model: p.Model, Version: p.Version, VersionDigest: p.Digest}, state, st.BootID)
	return true
}

// loadVersion gives the load command and reads back what it did.
func (a *Agent) loadVersion(ctx context.Context, view awconfig.AgentView, st awengine.Status) error {
	p := view.Placement
	if a.loader.digest == p.Digest && a.cfg.Clock.Now().Before(a.loader.notBefore) {
		return nil
	}
	if err := a.stopServing(ctx); err != nil {
		return err
	}
	a.mu.Lock()
	current := a.view.Placement
	a.mu.Unlock()
	if current != p {
		return nil // the placement changed meanwhile
	}
	if !a.authority.check(a.cfg.Clock.Now()) {
		return eris.New("process was paused; waiting for an entry before the next command")
	}
	if view.Fencing == awconfig.FencingChecked && st.Fence > p.Fence {
		return eris.Errorf("engine holds fencing token %d, newer than %d of the placement", st.Fence, p.Fence)
	}
	err := a.engine.Load(ctx, awengine.LoadCommand{
		Model: p.Model, Version: p.Version, Fence: p.Fence,
		URL: "http://" + a.cfg.Settings.Listen.Local + "/weights/" + p.Digest,
	})
	return a.afterLoad(ctx, p, err)
}

// afterLoad asks the engine what the command did. A lost reply is no failure
// when the engine serves the version.
func (a *Agent) afterLoad(ctx context.Context, p awconfig.Placement, loadErr error) error {
	st, err := a.engine.Status(ctx)
	if err != nil {
		return err
	}
	if a.confirm(st, p) {
		a.loader = loader{}
		a.weights.fail(p.Digest, "")
		return nil
	}
	if loadErr == nil {
		loadErr = eris.Errorf("engine reports %s %s with digest %s after the load command", st.Model, st.Version, st.Digest)
	}
	var refused *awengine.StatusError
	if errors.As(loadErr, &refused) && refused.Status == statusPreconditionFailed {
		return loadErr // a newer command was given; the version itself is not at fault
	}
	if a.loader.digest != p.Digest {
		a.loader = loader{digest: p.Digest}
	}
	a.loader.failures++
	backoff := a.cfg.Settings.Timing.EnginePoll.Std() << min(a.loader.failures, 6)
	a.loader.notBefore = a.cfg.Clock.Now().Add(min(backoff, maxLoadBackoff))
	if a.loader.failures >= maxLoadFailures {
		a.weights.fail(p.Digest, fmt.Sprintf("load failed %d times: %v", a.loader.failures, loadErr))
		a.wake()
	}
	return eris.Wrap(loadErr, "load command")
}

// statusPreconditionFailed is the answer to an old fencing token.
const statusPreconditionFailed = 412

// stopServing refuses new work and waits for the requests that run on the
// weights loaded now, at most for the drain time.
func (a *Agent) stopServing(ctx context.Context) error {
	a.mu.Lock()
	boot := a.bootID
	a.mu.Unlock()
	a.setEngine(nil, awproto.AgentState_LOADING, boot)
	deadline := time.After(a.cfg.Settings.Timing.Drain.Std())
	for {
		a.mu.Lock()
		n := a.gate.InFlight()
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
		case <-time.After(idlePoll):
		}
	}
}

func (a *Agent) setEngine(ready *awproto.ReadyModel, state awproto.AgentState, boot string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		state = awproto.AgentState_DRAINING
	}
	a.gate.SetCold(state != awproto.AgentState_READY)
	same := a.state == state && a.ready.GetVersionDigest() == ready.GetVersionDigest() && a.bootID == boot
	a.ready, a.state, a.bootID = ready, state, boot
	if !same {
		a.notify()
	}
}
