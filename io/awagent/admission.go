package awagent

import (
	"context"
	"errors"
	"time"

	"arbutuswind/core/awadmit"
	"arbutuswind/core/awconfig"
	"arbutuswind/core/awledger"
	"arbutuswind/core/awoutcome"
	"arbutuswind/io/awproto"
)

const (
	maxPriority         = 9
	promptBytesPerToken = 4 // least bytes of a prompt that make a token, on average
	// maxWindowBytes bounds the initial credit; an entry holds at most 64 KiB
	// for a stream, so more than that is a fault of the sender.
	maxWindowBytes = 64 << 10
)

// checkStart refuses messages that no entry should send. What passes here is
// still untrusted as a size: admission reserves for the larger of the stated
// and the evident prompt.
func checkStart(s *awproto.ServeStart) *awoutcome.Error {
	detail := ""
	switch {
	case s == nil:
		detail = "the first message must be Start"
	case s.Attempt.GetEntryInstance() == "" || s.Attempt.GetEntryIncarnation() == 0:
		detail = "the attempt names no entry"
	case s.Model == "":
		detail = "no model is named"
	case s.DeadlineMs == 0:
		detail = "no time is left"
	case s.Priority > maxPriority:
		detail = "the priority is above 9"
	case s.CreditBytes > maxWindowBytes:
		detail = "the credit is above 64 KiB"
	case s.Service != nil:
		detail = checkService(s)
	case s.MaxTokens == 0:
		detail = "no tokens are asked for"
	case s.ResumeFrom >= s.MaxTokens:
		detail = "the resume point is behind the last token"
	case s.ResumeFrom > 0 && s.VersionDigest == "":
		detail = "a resumed answer must name its version"
	}
	if detail == "" {
		return nil
	}
	return awoutcome.Refuse(awoutcome.BadRequest, detail)
}

func checkService(s *awproto.ServeStart) string {
	switch {
	case s.Model != awproto.ServicePrefix+s.Service.Service:
		return "model and service differ"
	case s.ResumeFrom > 0:
		return "a service call cannot be resumed"
	case s.Service.Method == "":
		return "no method is named"
	}
	return ""
}

// checkAdmissible returns why the agent takes no new work, or not this request. The
// caller holds mu.
func (a *Agent) checkAdmissible(start *awproto.ServeStart) *awoutcome.Error {
	now := a.cfg.Clock.Now()
	a.checkPause(now)
	switch {
	case a.draining:
		return awoutcome.Refuse(awoutcome.Leaving, "instance is leaving")
	case a.view.Out:
		return awoutcome.Refuse(awoutcome.DomainOut, "domain or instance is taken out")
	case a.awaitingHeartbeat:
		return awoutcome.Refuse(awoutcome.NotReady, "the process was paused and has not heard from an entry since")
	case a.isolated(now):
		return awoutcome.Refuse(awoutcome.Isolated, "no entry with a fresh configuration was heard from")
	case a.ready == nil:
		return awoutcome.Refuse(awoutcome.NotReady, "backend server is not ready")
	case start.Model != a.ready.Model:
		return awoutcome.Refuse(awoutcome.NotReady, "another model is served here")
	case start.VersionDigest != "" && start.VersionDigest != a.ready.VersionDigest:
		return awoutcome.Refuse(awoutcome.WrongVersion, "another version is served here")
	}
	return nil
}

// admit waits until the request may run. An error with the outcome not-run
// has also refused the attempt for good, so that a delayed copy cannot run.
func (a *Agent) admit(ctx context.Context, r *request) *awoutcome.Error {
	began := a.cfg.Clock.Now()
	a.mu.Lock()
	a.requestView(r.start.Revision)
	err := a.checkAttempt(r.start)
	if err == nil {
		err = a.checkAdmissible(r.start)
	}
	var decision chan struct{}
	if err == nil {
		decision, err = a.submit(r, false)
	}
	if err != nil {
		defer a.mu.Unlock()
		return a.refuse(r.start, err)
	}
	// The drain waits for queued requests too: their refusals must be sent.
	a.running.Add(1)
	a.mu.Unlock()
	if err = a.awaitAdmission(ctx, r, decision); err == nil {
		err = a.startAttempt(r)
	}
	if err != nil {
		a.mu.Lock()
		defer a.mu.Unlock()
		defer a.running.Done()
		return a.refuse(r.start, err)
	}
	a.metrics.admitted.Inc()
	a.metrics.queueWait.Update(a.cfg.Clock.Now().Sub(began).Seconds())
	return nil
}

// checkAttempt refuses a copy of an attempt that was settled here, before it takes a
// place in the queue. The caller holds mu.
func (a *Agent) checkAttempt(start *awproto.ServeStart) *awoutcome.Error {
	switch a.attempts.State(attemptID(start.Attempt)) {
	case awledger.NeverSeen:
		return nil
	case awledger.NotRun:
		return awoutcome.Refuse(awoutcome.AttemptRefused, "attempt was refused before")
	default:
		return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.DuplicateID, Detail: "attempt was seen before"}
	}
}

// submit hands the request to the gate. The caller holds mu.
func (a *Agent) submit(r *request, resume bool) (chan struct{}, *awoutcome.Error) {
	s := r.start
	decision := make(chan struct{})
	t, err := a.admission.Offer(awadmit.Request{
		Team: s.Team, Priority: s.Priority, MaxTokens: s.MaxTokens, Bytes: len(s.Body), Resume: resume,
		PromptTokens: max(s.PromptTokens, uint32(len(s.Body)/promptBytesPerToken)),
		Deadline:     r.deadline, OnDecided: func() { close(decision) },
	})
	var refusal *awoutcome.Error
	if errors.As(err, &refusal) {
		return nil, refusal
	}
	r.ticket = t
	return decision, nil
}

// awaitAdmission waits for the decision on a request that the gate holds.
func (a *Agent) awaitAdmission(ctx context.Context, r *request, decision <-chan struct{}) *awoutcome.Error {
	a.mu.Lock()
	decided := r.ticket.Granted() || r.ticket.Refusal() != nil
	maxWait := a.admission.LatestStart(r.ticket).Sub(a.cfg.Clock.Now())
	a.mu.Unlock()
	late := false
	if !decided {
		late = waitForDecision(ctx, decision, maxWait, r.pausedTicket != nil)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if late && a.admission.CancelQueued(r.ticket) {
		return awoutcome.Refuse(awoutcome.Deadline, "request waited too long to meet its deadline")
	}
	var refusal *awoutcome.Error
	if errors.As(r.ticket.Refusal(), &refusal) {
		return refusal
	}
	if ctx.Err() == nil {
		return nil
	}
	if !a.admission.CancelQueued(r.ticket) {
		a.admission.Release(r.ticket) // granted at the same moment
	}
	reason := awoutcome.Cancelled
	if errors.Is(context.Cause(ctx), errDeadline) {
		reason = awoutcome.Deadline
	}
	return awoutcome.Refuse(reason, "request left the queue")
}

// waitForDecision waits for a decision and reports whether the request waited until
// it was too late to start. A resumed answer may wait without bound.
func waitForDecision(ctx context.Context, decision <-chan struct{}, maxWait time.Duration, resumed bool) bool {
	var late <-chan time.Time
	if !resumed {
		timer := time.NewTimer(maxWait)
		defer timer.Stop()
		late = timer.C
	}
	select {
	case <-decision:
	case <-ctx.Done():
	case <-late:
		return true
	}
	return false
}

// startAttempt starts a granted request unless the state of the agent changed while
// it was queued.
func (a *Agent) startAttempt(r *request) *awoutcome.Error {
	a.mu.Lock()
	defer a.mu.Unlock()
	err := a.checkAdmissible(r.start)
	if err == nil {
		err = a.attempts.Begin(attemptID(r.start.Attempt))
	}
	if err != nil {
		a.admission.Release(r.ticket)
		return err
	}
	r.version, r.position.Digest = a.ready.VersionDigest, a.servedDigest
	return nil
}

// refuse makes a refusal true: an attempt that was refused is never run
// later, and one that runs or ran is not called not-run. The caller holds mu.
func (a *Agent) refuse(start *awproto.ServeStart, err *awoutcome.Error) *awoutcome.Error {
	if err.Outcome == awoutcome.NotRun && a.attempts.Refuse(attemptID(start.Attempt)) != awledger.NotRun {
		err = &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.DuplicateID, Detail: "attempt was seen before"}
	}
	a.metrics.countRefusal(err.Reason)
	return err
}

// release returns everything that an admitted request holds.
func (a *Agent) release(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admission.Release(r.ticket)
	a.unpause(r)
	a.attempts.FinishWithoutResult(attemptID(r.start.Attempt))
	a.running.Done()
}

// requestView asks the entries for a newer view, by a report, when one of
// them has one. A sender with an older revision is not refused for it: every
// rule is checked here too, and each answer carries this agent's revision.
func (a *Agent) requestView(revision uint64) {
	if revision > a.view.Revision && revision > a.requestedRevision {
		a.requestedRevision = revision
		a.notify()
	}
}

// acceptView takes over a newer view and ignores any other. Queued requests
// that the view no longer allows are refused at once, so that their entries
// place them elsewhere.
func (a *Agent) acceptView(v awconfig.AgentView) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if v.Revision <= a.view.Revision {
		return
	}
	wasOut := a.view.Out
	a.view = v
	a.admission.SetWeights(v.Teams)
	if v.Out {
		n := a.admission.FlushQueue(awoutcome.DomainOut, "domain or instance is taken out")
		if !wasOut {
			a.log("Message", "taken out of service", "Revision", v.Revision, "QueuedRefused", n, "InFlight", a.admission.InFlight())
		}
	} else if wasOut {
		a.log("Message", "returned to service", "Revision", v.Revision)
	}
	a.notify()
}

// staleHeartbeatWindow separates heartbeats that were buffered during a pause, which are
// read at once after it, from those sent since.
const staleHeartbeatWindow = 200 * time.Millisecond

// recordHeartbeat records a heartbeat of an entry.
func (a *Agent) recordHeartbeat(fresh bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.cfg.Clock.Now()
	a.checkPause(now)
	if a.awaitingHeartbeat && now.Sub(a.pauseEndedAt) >= staleHeartbeatWindow {
		a.awaitingHeartbeat = false
		a.log("Message", "contact after a pause")
		a.notify()
	}
	if !fresh {
		return
	}
	if a.isolated(now) {
		a.log("Message", "isolation ended", "Seconds", now.Sub(a.lastFreshHeartbeat).Seconds())
		a.notify()
	}
	a.lastFreshHeartbeat = now
}

// isolated reports whether the agent is cut off from the configuration. The
// caller holds mu.
func (a *Agent) isolated(now time.Time) bool {
	return now.Sub(a.lastFreshHeartbeat) > a.cfg.Settings.Timing.MaxIsolation.Std()
}

// checkPause notices that the process did not run for a while. What it knew
// before may be out of date: it takes no work until an entry was heard from
// and the engine was asked again. The caller holds mu.
func (a *Agent) checkPause(now time.Time) {
	gap := now.Sub(a.lastPauseCheck)
	a.lastPauseCheck = now
	if gap <= a.cfg.Settings.Timing.PauseLimit.Std() {
		return
	}
	a.awaitingHeartbeat, a.pauseEndedAt = true, now
	if a.cfg.Settings.Backend.Service == "" {
		a.ready = nil
	}
	a.metrics.pauses.Inc()
	a.log("Message", "process was paused", "Seconds", gap.Seconds())
	a.notify()
}

// checksPerPauseLimit keeps the ticks of a process that runs well below the
// gap that counts as a pause.
const checksPerPauseLimit = 4

// monitorLoop notices pauses and isolation while no request arrives.
func (a *Agent) monitorLoop(ctx context.Context) {
	ticker := time.NewTicker(a.cfg.Settings.Timing.PauseLimit.Std() / checksPerPauseLimit)
	defer ticker.Stop()
	var last awproto.AgentState
	for {
		a.mu.Lock()
		now := a.cfg.Clock.Now()
		a.checkPause(now)
		state := a.reportedState(now)
		if state != last {
			a.log("Message", "state changed", "From", last.String(), "To", state.String(), "Isolated", a.isolated(now))
			a.notify()
		}
		last = state
		a.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// reportedState returns the state to report. The caller holds mu.
func (a *Agent) reportedState(now time.Time) awproto.AgentState {
	serving := a.state == awproto.AgentState_READY || a.state == awproto.AgentState_COLD
	if serving && (a.awaitingHeartbeat || a.isolated(now) || a.ready == nil) {
		return awproto.AgentState_STARTING
	}
	return a.state
}
