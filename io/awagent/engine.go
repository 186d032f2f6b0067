package awagent

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"arbutuswind/core/awconfig"
	"arbutuswind/core/awoutcome"
	"arbutuswind/io/awengine"
	"arbutuswind/io/awproto"
)

// watchEngine keeps the engine at the placed version until ctx ends.
func (a *Agent) watchEngine(ctx context.Context) {
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
	if a.confirm(st, p) {
		return nil
	}
	if err := a.loadVersion(ctx, view, st); err != nil {
		return err
	}
	st, err = a.engine.Status(ctx)
	if err != nil {
		return err
	}
	if !a.confirm(st, p) {
		return eris.Errorf("engine reports %s %s with digest %s after the load command", st.Model, st.Version, st.Digest)
	}
	return nil
}

// confirm reports whether the engine serves the placement, and if so tells
// the entries.
func (a *Agent) confirm(st awengine.Status, p awconfig.Placement) bool {
	_, complete := a.weights.whole(p.Digest)
	if !complete || st.State == "empty" || st.Model != p.Model || st.Digest != a.weights.fileDigest() {
		return false
	}
	state := awproto.AgentState_READY
	if st.State == "cold" {
		state = awproto.AgentState_COLD
	}
	a.setEngine(&awproto.ReadyModel{Model: p.Model, Version: p.Version, VersionDigest: p.Digest}, state, st)
	return true
}

func (a *Agent) loadVersion(ctx context.Context, view awconfig.AgentView, st awengine.Status) error {
	p := view.Placement
	if err := a.weights.ensure(ctx, p.Digest); err != nil {
		return err
	}
	a.setEngine(nil, awproto.AgentState_LOADING, st)
	a.mu.Lock()
	a.checkPause(a.cfg.Clock.Now())
	current, awaiting := a.view.Placement, a.awaiting
	a.mu.Unlock()
	if current.Fence != p.Fence || awaiting {
		return nil // the placement changed, or may have changed unseen, during the transfer
	}
	err := a.engine.Load(ctx, awengine.LoadCommand{
		Model: p.Model, Version: p.Version, Fence: p.Fence,
		URL: "http://" + a.cfg.Settings.Listen.Local + "/weights/" + p.Digest,
	})
	return eris.Wrap(err, "load command")
}

// setEngine records what the engine serves. A zero status stands for an
// engine that did not answer.
func (a *Agent) setEngine(ready *awproto.ReadyModel, state awproto.AgentState, st awengine.Status) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		state = awproto.AgentState_DRAINING
	}
	boot := st.BootID
	if boot == "" {
		boot = a.bootID // an engine that comes back with another id has restarted
	}
	a.lowered(a.gate.ObserveEngine(boot, ready == nil || st.State == "cold"))
	if ready == nil {
		a.gate.FlushQueue(awoutcome.NotReady, "backend server is not ready")
	}
	same := a.state == state && (a.ready == nil) == (ready == nil) && a.bootID == boot
	a.ready, a.state, a.bootID, a.servedDigest = ready, state, boot, st.Digest
	if !same {
		a.notify()
	}
}
