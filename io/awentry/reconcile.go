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
// entry runs it; of two that act at once the log accepts one.
func (e *Entry) reconcileLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(reconcilePeriod/2 + e.jitter(reconcilePeriod)):
		}
		if err := e.reconcile(ctx); err != nil && ctx.Err() == nil {
			_ = e.cfg.Logger.Log("Message", "placement not changed", "Error", err.Error())
		}
	}
}

func (e *Entry) reconcile(ctx context.Context) error {
	if e.draining.Load() || e.accepting() != nil {
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
