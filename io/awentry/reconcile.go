package awentry

import (
	"context"
	"errors"
	"time"

	"arbutuswind/core/awconfig"
	"arbutuswind/core/awplace"
	"arbutuswind/io/awcontrol"
)

// reconcilePeriod is the mean time between two reconciliations.
const reconcilePeriod = time.Second

// rolloutReconcilePeriod is the mean time between two reconciliations during a
// rollout, so that the next replicas start soon after the previous ones have loaded.
const rolloutReconcilePeriod = 300 * time.Millisecond

// maxChangeDelay is the maximum delay before a configuration change is reconciled;
// entries choose a random delay below it.
const maxChangeDelay = 100 * time.Millisecond

// reconcileLoop reconciles the fleet with the configuration until ctx ends. Every
// entry runs it, but only the lease holder acts. If two act at once, the
// configuration log accepts one of the changes.
func (e *Entry) reconcileLoop(ctx context.Context) {
	started := e.cfg.Clock.Now()
	for {
		changed := e.holder.Changed()
		period := reconcilePeriod
		if !awplace.RolloutComplete(e.holder.State(), e.fleet.observed()) {
			period = rolloutReconcilePeriod
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
			// Place a new model sheet soon, but not from all entries at once.
			time.Sleep(e.jitter(maxChangeDelay))
		case <-time.After(period/2 + e.jitter(period)):
		}
		if active, _ := e.lease.acquire(ctx, e.sync.entryCount()); !active || !e.sync.canCommit() {
			continue // commits need the store
		}
		if err := e.reconcile(ctx, started); err != nil && ctx.Err() == nil {
			_ = e.cfg.Logger.Log("Message", "placement not changed", "Error", err.Error())
		}
	}
}

func (e *Entry) reconcile(ctx context.Context, started time.Time) error {
	if e.draining.Load() || e.accepting() != nil {
		return nil
	}
	s := e.holder.State()
	observed := e.fleet.observed()
	if digest, reason, halt := awplace.VersionToHalt(s, observed); halt {
		_ = e.cfg.Logger.Log("Message", "version halted", "VersionDigest", digest, "Reason", reason)
		return e.commitStep(ctx, s.Revision, awconfig.Change{Kind: awconfig.KindHaltVersion, Target: digest, Reason: reason})
	}
	cfg := awplace.Config{MissingAfter: e.cfg.Settings.Timing.MissingAfter.Std(), Started: started}
	moves := awplace.Plan(s, observed, cfg, e.cfg.Clock.Now())
	if moves == nil {
		return nil
	}
	return e.commitStep(ctx, s.Revision, awconfig.Change{Kind: awconfig.KindPlace, Placements: moves})
}

// commitStep commits one change of the reconciler.
func (e *Entry) commitStep(ctx context.Context, base uint64, c awconfig.Change) error {
	c.Actor = e.identity.Instance
	_, err := e.configLog.Commit(ctx, base, c)
	var conflict *awcontrol.ConflictError
	if errors.As(err, &conflict) {
		return nil // another entry committed first; the next reconciliation starts from its result
	}
	return err
}

// releaseTimeout bounds the write that releases the lease.
const releaseTimeout = time.Second

func (e *Entry) releaseLease() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	e.lease.release(ctx)
}
