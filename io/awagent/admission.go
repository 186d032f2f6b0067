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
	promptBytesPerToken = 4 // lowest average size of a prompt token in bytes
	// maxWindowBytes limits the initial credit. An entry buffers at most 64 KiB
	// for a stream, so a larger value is an error of the sender.
	maxWindowBytes = 64 << 10
)

// checkStart rejects malformed start messages. It does not verify the stated
// prompt size: admission reserves memory for the larger of the stated size and
// the size estimated from the body.
func checkStart(s *awproto.ServeStart) *awoutcome.Error {
	detail := ""
	switch {
	case s == nil:
		detail = "the first message must be Start"
	case s.Attempt.GetEntryInstance() == "" || s.Attempt.GetEntryIncarnation() == 0:
		detail = "attempt has no entry instance or incarnation"
	case s.Model == "":
		detail = "model is missing"
	case s.DeadlineMs == 0:
		detail = "no time is left before the deadline"
	case s.Priority > maxPriority:
		detail = "priority is above 9"
	case s.CreditBytes > maxWindowBytes:
		detail = "initial credit is above 64 KiB"
	case s.Service != nil:
		detail = checkService(s)
	case s.MaxTokens == 0:
		detail = "maximum number of tokens is 0"
	case s.ResumeFrom >= s.MaxTokens:
		detail = "resume point is past the last token"
	case s.ResumeFrom > 0 && s.VersionDigest == "":
		detail = "resumed request has no version digest"
	}
	if detail == "" {
		return nil
	}
	return awoutcome.Refuse(awoutcome.BadRequest, detail)
}

func checkService(s *awproto.ServeStart) string {
	switch {
	case s.Model != awproto.ServicePrefix+s.Service.Service:
		return "model does not match the service"
	case s.ResumeFrom > 0:
		return "service call cannot be resumed"
	case s.Service.Method == "":
		return "HTTP method is missing"
	}
	return ""
}

// checkAdmissible returns an error if the agent accepts no new work, or does
// not accept this request. The caller holds mu.
func (a *Agent) checkAdmissible(start *awproto.ServeStart) *awoutcome.Error {
	now := a.cfg.Clock.Now()
	a.checkPause(now)
	switch {
	case a.draining:
		return awoutcome.Refuse(awoutcome.Leaving, "instance is leaving")
	case a.view.Out:
		return awoutcome.Refuse(awoutcome.DomainOut, "domain or instance is out of service")
	case a.awaitingHeartbeat:
		return awoutcome.Refuse(awoutcome.NotReady, "process was paused and has received no heartbeat from an entry since")
	case a.isolated(now):
		return awoutcome.Refuse(awoutcome.Isolated, "no recent heartbeat from an entry with a fresh configuration")
	case a.ready == nil:
		return awoutcome.Refuse(awoutcome.NotReady, "backend server is not ready")
	case start.Model != a.ready.Model:
		return awoutcome.Refuse(awoutcome.NotReady, "instance serves another model")
	case start.VersionDigest != "" && start.VersionDigest != a.ready.VersionDigest:
		return awoutcome.Refuse(awoutcome.WrongVersion, "instance serves another version")
	}
	return a.checkSignals(now)
}

// admit waits until the request may run. If it returns an error with the
// outcome not-run, the attempt is recorded as refused, so that a delayed copy
// of it cannot run later.
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
	// drain waits for queued requests too, because their refusals must be sent.
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

// checkAttempt rejects a copy of an attempt that this agent already knows,
// before the copy takes a place in the queue. The caller holds mu.
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

// submit passes the request to the admission controller. The returned channel
// is closed when the controller has decided. The caller holds mu.
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

// awaitAdmission waits until the admission controller has decided on a
// submitted request. Unless the request resumes a paused stream, it stops
// waiting at the latest time at which the request can still meet its deadline.
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
		a.admission.Release(r.ticket) // the request was granted in the meantime
	}
	reason := awoutcome.Cancelled
	if errors.Is(context.Cause(ctx), errDeadline) {
		reason = awoutcome.Deadline
	}
	return awoutcome.Refuse(reason, "request was withdrawn from the queue")
}

// waitForDecision waits for a decision and reports whether maxWait passed
// first. A resumed stream waits without this limit.
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

// startAttempt starts a granted request. It checks the state of the agent
// again, because that may have changed while the request was queued.
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

// refuse records the attempt as refused, so that it never runs later, and
// returns the error to send. If the attempt runs or has run, the returned
// outcome is unknown instead of not-run. The caller holds mu.
func (a *Agent) refuse(start *awproto.ServeStart, err *awoutcome.Error) *awoutcome.Error {
	if err.Outcome == awoutcome.NotRun && a.attempts.Refuse(attemptID(start.Attempt)) != awledger.NotRun {
		err = &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.DuplicateID, Detail: "attempt was seen before"}
	}
	a.metrics.countRefusal(err.Reason)
	return err
}

// release frees everything that an admitted request holds.
func (a *Agent) release(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admission.Release(r.ticket)
	a.unpause(r)
	a.attempts.FinishWithoutResult(attemptID(r.start.Attempt))
	a.running.Done()
}

// requestView asks the entries for a newer view, by sending a report, if
// revision is newer than the view of this agent. A request with an older
// revision is not refused for that reason: the agent checks every rule itself,
// and each response carries the agent's revision. The caller holds mu.
func (a *Agent) requestView(revision uint64) {
	if revision > a.view.Revision && revision > a.requestedRevision {
		a.requestedRevision = revision
		a.notify()
	}
}

// acceptView replaces the view if v is newer, and ignores v otherwise. If v
// takes the instance out of service, all queued requests are refused at once,
// so that their entries send them to other instances.
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
		n := a.admission.FlushQueue(awoutcome.DomainOut, "domain or instance is out of service")
		if !wasOut {
			a.log("Message", "taken out of service", "Revision", v.Revision, "QueuedRefused", n, "InFlight", a.admission.InFlight())
		}
	} else if wasOut {
		a.log("Message", "returned to service", "Revision", v.Revision)
	}
	a.notify()
}

// staleHeartbeatWindow is the time after a process pause during which received
// heartbeats may have been sent before or during the pause and buffered.
const staleHeartbeatWindow = 200 * time.Millisecond

// recordHeartbeat records a heartbeat of an entry. fresh reports whether the
// entry counts as having a fresh configuration.
func (a *Agent) recordHeartbeat(fresh bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.cfg.Clock.Now()
	a.checkPause(now)
	if a.awaitingHeartbeat && now.Sub(a.pauseEndedAt) >= staleHeartbeatWindow {
		a.awaitingHeartbeat = false
		a.log("Message", "heartbeat received after a process pause")
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

// isolated reports whether the last heartbeat of an entry with a fresh
// configuration is older than MaxIsolation. The caller holds mu.
func (a *Agent) isolated(now time.Time) bool {
	return now.Sub(a.lastFreshHeartbeat) > a.cfg.Settings.Timing.MaxIsolation.Std()
}

// checkPause detects that the process did not run for longer than PauseLimit.
// The state from before the pause may be out of date, so the agent accepts no
// work until it has received a heartbeat and has queried the engine again. The
// caller holds mu.
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

// checksPerPauseLimit keeps the interval between checks of a running process
// well below PauseLimit.
const checksPerPauseLimit = 4

// monitorLoop detects process pauses and isolation while no requests arrive,
// and reports changes of the agent's state.
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

// reportedState returns the state to report to entries. The caller holds mu.
func (a *Agent) reportedState(now time.Time) awproto.AgentState {
	serving := a.state == awproto.AgentState_READY || a.state == awproto.AgentState_COLD
	if serving && a.checkSignals(now) != nil {
		return awproto.AgentState_DRAINING
	}
	if serving && (a.awaitingHeartbeat || a.isolated(now) || a.ready == nil) {
		return awproto.AgentState_STARTING
	}
	return a.state
}
