package awentry

import (
	"context"
	"net/http"
	"time"
)

const (
	// drainNotice is how long readiness is false before the listener closes, so
	// that the load balancer in front has time to stop sending callers here.
	// Requests that still arrive are served.
	drainNotice = time.Second
	// cutGrace is the time for terminated requests to write their error events.
	cutGrace = time.Second
)

// drain shuts down the callers' listener gracefully: readiness turns false, then
// the listener closes, then running requests finish. Requests that still run at
// the drain deadline or when Config.Forced is closed are terminated.
func (e *Entry) drain(callers *http.Server) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), drainNotice+e.cfg.Settings.Timing.Drain.Std())
	defer cancel()
	go func() {
		select {
		case <-e.cfg.Forced:
			cancel()
		case <-ctx.Done():
		}
	}()
	e.draining.Store(true)
	e.releaseLease()
	_ = e.cfg.Logger.Log("Message", "entry is draining", "Running", e.running.Load())
	go e.exchangeRates(ctx, e.fleet.otherEntries(), true)
	select {
	case <-time.After(drainNotice):
	case <-ctx.Done():
	}
	callers.SetKeepAlivesEnabled(false)
	cut := int64(0)
	if err := callers.Shutdown(ctx); err != nil {
		cut = e.running.Load()
		cutRequests.Add(int(cut))
		e.cut(errStopped)
		graceCtx, cancelGrace := context.WithTimeout(context.Background(), cutGrace)
		defer cancelGrace()
		_ = callers.Shutdown(graceCtx) // Run closes remaining connections
	}
	_ = e.cfg.Logger.Log("Message", "entry stopped", "CutRequests", cut, "Seconds", time.Since(began).Seconds())
}
