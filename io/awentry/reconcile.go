package awentry

import (
	"context"
	"errors"
	"time"

	"arbutuswind/core/awconfig"
	"arbutuswind/core/awplace"
	"arbutuswind/io/awcontrol"
)

// reconcilePeriod is the time between two looks at the fleet.
const reconcilePeriod = time.Second

// reconcileLoop makes the fleet match the configuration until ctx ends. Every
// entry runs it, and the one with the lease acts; should two act at once, the
// log accepts one.
func (e *Entry) reconcileLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(reconcilePeriod/2 + e.jitter(reconcilePeriod)):
		}
		if active, _ := e.lease.acquire(ctx, e.sync.entries()); !active || !e.sync.canChange() {
			continue // without the store there is nothing to commit to
		}
		if err := e.reconcile(ctx); err != nil && ctx.Err() == nil {
			_ = e.cfg.Logger.Log("Message", "placement not changed", "Error", err.Error())
		}
	}
}

func (e *Entry) reconcile(ctx context.Context) error {
	if e.ready() != nil {
		return nil
	}
	s := e.holder.State()
	cfg := awplace.Config{MissingAfter: e.cfg.Settings.Timing.MissingAfter.Std()}
	moves := awplace.Next(s, e.fleet.observed(), cfg, e.cfg.Clock.Now())
	if moves == nil {
		return nil
	}
	_, err := e.log.Commit(ctx, s.Revision, awconfig.Change{
		Kind: awconfig.KindPlace, Actor: e.identity.Instance, Placements: moves,
	})
	var conflict *awcontrol.ConflictError
	if errors.As(err, &conflict) {
		return nil // another entry acted first; the next look starts from its result
	}
	return err
}

// releaseTimeout bounds the write that gives the lease up.
const releaseTimeout = time.Second

func (e *Entry) releaseLease() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	e.lease.release(ctx)
}
