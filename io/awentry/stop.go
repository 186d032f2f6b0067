package awentry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"arbutuswind/core/awoutcome"
	"arbutuswind/io/awhttp"
)

const (
	// drainNotice is how long readiness is false before the listener closes, so
	// that the load balancer in front has time to stop sending callers here.
	// Requests that still arrive are served.
	drainNotice = time.Second
	// cutGrace is the time for terminated requests to settle their attempts and
	// to respond, and for requests whose headers are still arriving to be refused.
	cutGrace = awhttp.ReadHeaderTimeout
)

// drain stops serving callers gracefully: readiness turns false, then the listener
// closes, then requests on open connections finish. Requests that still run at the
// drain deadline or when Config.Forced is closed are terminated.
func (e *Entry) drain(callers *awhttp.Listener, srv *http.Server) {
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
	cut := int64(0)
	if err := callers.Drain(ctx, srv); err != nil {
		cut = e.running.Load()
		cutRequests.Add(int(cut))
		e.cut(errStopped)
		graceCtx, cancelGrace := context.WithTimeout(context.Background(), cutGrace)
		defer cancelGrace()
		_ = callers.Drain(graceCtx, srv) // Run closes remaining connections
	}
	_ = e.cfg.Logger.Log("Message", "entry stopped", "CutRequests", cut, "Seconds", time.Since(began).Seconds())
}

// closeWhileDraining makes callers send their next request over a new connection,
// which leads to another entry.
func (e *Entry) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// untilStopped returns a context that is also canceled, with errStopped, when
// running requests are terminated.
func (e *Entry) untilStopped(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(e.stopped, func() { cancel(errStopped) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// leavingError returns the error of a request that the entry has terminated. It
// keeps the outcome of err.
func leavingError(err error) *awoutcome.Error {
	c := awoutcome.Error{Outcome: awoutcome.Unknown}
	if oe := (*awoutcome.Error)(nil); errors.As(err, &oe) {
		c = *oe
	}
	c.Reason, c.Detail = awoutcome.Leaving, "the entry stopped before the answer was complete"
	return &c
}
