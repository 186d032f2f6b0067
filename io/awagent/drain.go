package awagent

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"arbutuswind/core/awoutcome"
	"arbutuswind/io/awproto"
)

var (
	errDeadline  = eris.New("deadline passed")
	errEntryGone = eris.New("entry cancelled the request")
	errCut       = eris.New("agent stopped before the request ended")
)

// cutGrace is the time for reporting cut requests to their entries.
const cutGrace = time.Second

// drain refuses new and queued requests at once and waits for running requests.
// The drain deadline or a second signal cuts those that still run.
func (a *Agent) drain() {
	a.mu.Lock()
	a.draining = true
	a.state = awproto.AgentState_DRAINING
	flushed := a.admission.FlushQueue(awoutcome.Leaving, "instance is leaving")
	a.notify()
	a.log("Message", "draining", "InFlight", a.admission.InFlight(), "Paused", a.paused, "QueuedRefused", flushed)
	a.mu.Unlock()
	done := make(chan struct{})
	go func() {
		a.running.Wait()
		close(done)
	}()
	cause := "drain deadline"
	deadline := time.NewTimer(a.cfg.Settings.Timing.Drain.Std())
	defer deadline.Stop()
	select {
	case <-done:
		a.log("Message", "agent stopped", "CutRequests", 0)
		return
	case <-deadline.C:
	case <-a.cfg.Forced:
		cause = "second signal"
	}
	a.mu.Lock()
	n := a.admission.InFlight() + a.paused
	a.mu.Unlock()
	a.metrics.cut.Add(n)
	a.log("Message", "agent stopped", "CutRequests", n, "Cause", cause)
	a.cut(errCut)
	select {
	case <-done:
	case <-time.After(cutGrace):
	}
}

// requestContext returns a context that is also cancelled, with errCut, when
// all running requests are cut.
func (a *Agent) requestContext(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(a.cutCtx, func() { cancel(errCut) })
	return ctx, func(cause error) {
		stop()
		cancel(cause)
	}
}

func (a *Agent) log(keyvals ...any) { _ = a.cfg.Logger.Log(keyvals...) }
