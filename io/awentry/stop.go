package awentry

import (
	"context"
	"net/http"
	"time"
)

const (
	// drainNotice is how long readiness is false before the listener closes,
	// so that the balancer has stopped sending callers here. Requests that
	// still arrive are served.
	drainNotice = time.Second
	// cutGrace is the time in which cut requests write their error events.
	cutGrace = time.Second
)

// drain ends the callers' listener: readiness turns false first, then the
// listener closes, then running requests finish. The stated deadline or a
// second signal cuts those that still run.
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
	_ = e.cfg.Logger.Log("Message", "entry is leaving", "Running", e.running.Load())
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
		_ = callers.Shutdown(graceCtx) // what remains is closed by Run
	}
	_ = e.cfg.Logger.Log("Message", "entry stopped", "CutRequests", cut, "Seconds", time.Since(began).Seconds())
}
