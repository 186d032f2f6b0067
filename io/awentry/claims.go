package awentry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"arbutuswind/core/awledger"
	"arbutuswind/core/awoutcome"
	"arbutuswind/core/awweights"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
	"arbutuswind/io/awstore"
)

// attemptIDs assigns sequence numbers to the attempts of this entry and tracks
// which of them are settled.
type attemptIDs struct {
	mu        sync.Mutex
	watermark *awledger.Watermark
}

func (a *attemptIDs) next() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.watermark.Next()
}

func (a *attemptIDs) settle(seq uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watermark.Settle(seq)
}

// settleLater settles an attempt after RecordTime. Until then another entry may ask
// the attempt's agent for the outcome.
func (e *Entry) settleLater(seq uint64) {
	time.AfterFunc(e.cfg.Settings.Claims.RecordTime.Std(), func() { e.attempts.settle(seq) })
}

func (a *attemptIDs) lowWatermark() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.watermark.Low()
}

const (
	// maxClaimSteps limits the steps taken for one call. Most steps call the store
	// or an agent.
	maxClaimSteps = 12
	// queryTimeout limits one query to the agent named in a claim.
	queryTimeout = 2 * time.Second
	// maxRecordWait is how long the answer is delayed until the result is recorded.
	// After that the caller is answered in any case.
	maxRecordWait = 500 * time.Millisecond
)

// keyedCall is one call with an Idempotency-Key.
type keyedCall struct {
	entry      *Entry
	req        *request
	start      *awproto.ServeStart
	rowKey     string
	bodyDigest string
	tried      map[string]bool
	out        *bufferSink

	current *awledger.Claim // row as last read or written; nil when there is none
	version uint64          // version of the row, 0 when there is none
}

// serveClaimed runs a call with an Idempotency-Key at most once. The call
// continues after its caller disconnects, so that the caller gets the result when
// it repeats the request, but not after the entry stopped.
func (e *Entry) serveClaimed(
	ctx context.Context, w http.ResponseWriter, req *request, start *awproto.ServeStart, out *bufferSink,
) error {
	if err := awledger.CheckTeamAndKey(req.team, req.key); err != nil {
		return awoutcome.Refuse(awoutcome.BadRequest, err.Error())
	}
	ctx, end := e.untilStopped(context.WithoutCancel(ctx))
	defer end()
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	c := &keyedCall{
		entry: e, req: req, start: start, rowKey: awledger.RowKey(req.team, req.key),
		bodyDigest: awweights.Digest(append([]byte(start.Model+"\n"+start.Service.GetPath()+"\n"), req.body...)),
		tried:      map[string]bool{}, out: out,
	}
	result, err := c.run(ctx)
	if err != nil && errors.Is(context.Cause(ctx), errStopped) {
		return leavingError(err)
	}
	if err != nil {
		return err
	}
	if result.Dropped {
		return &awoutcome.Error{Outcome: awoutcome.Ran, Reason: awoutcome.ResultNotKept, Detail: "the call ran; its result was too large to keep"}
	}
	response := &bufferSink{status: result.Status, contentType: result.ContentType}
	response.body.Write(result.Body)
	return response.writeResponse(w)
}

// run takes the steps that package awledger decides until the call has a result
// or an error. The first step assumes that the key has no row; the insert fails
// if there is one.
func (c *keyedCall) run(ctx context.Context) (*awledger.Result, error) {
	dispatchTime := c.entry.cfg.Settings.Claims.DispatchTime.Std()
	for range maxClaimSteps {
		step := awledger.StepForRow(c.current, c.bodyDigest, c.entry.cfg.Clock.Now(), dispatchTime)
		if step == awledger.QueryAgent || step == awledger.RequestRefusal {
			reply := c.queryAgent(ctx, step == awledger.RequestRefusal)
			step = awledger.StepForReply(*c.current, reply)
			if step == awledger.RecordResult {
				c.recordResult(*c.current, *reply.Result)
				return reply.Result, nil
			}
		}
		switch step {
		case awledger.InsertClaim, awledger.ClaimNextAttempt:
			if result, err := c.claimAndDispatch(ctx); result != nil || err != nil {
				return result, err
			}
		case awledger.ReturnResult:
			return c.current.Result, nil
		case awledger.RecordUnknown:
			c.entry.claims.record(c.rowKey, c.version, c.current.WithState(awledger.Unknown), nil)
			return nil, unknownOutcome(awoutcome.LinkLost, "the agent that received the call no longer knows its outcome")
		case awledger.InProgress:
			return nil, unknownOutcome(awoutcome.InProgress, "the call is in progress")
		case awledger.KeyReused:
			return nil, awoutcome.Refuse(awoutcome.KeyReused, "the key was used with another body")
		default:
			return nil, unknownOutcome(awoutcome.LinkLost, "the outcome of the call is unknown")
		}
	}
	return nil, unknownOutcome(awoutcome.InProgress, "the claim of the call keeps changing")
}

func unknownOutcome(reason awoutcome.Reason, detail string) error {
	return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: reason, Detail: detail}
}

// claimAndDispatch writes a claim for the next attempt and dispatches it. It
// returns neither result nor error when run must evaluate the row again.
func (c *keyedCall) claimAndDispatch(ctx context.Context) (*awledger.Result, error) {
	e := c.entry
	t, ok := e.pickForModel(c.start.Model, "", c.tried)
	if !ok {
		return c.handleNoAgent(ctx)
	}
	defer t.release()
	if e.configLog.Reset() != nil {
		return nil, awoutcome.Refuse(awoutcome.StoreDown, "the store was reset and may have lost the claim of the call")
	}
	id := e.newAttemptID()
	now := e.cfg.Clock.Now()
	var previous awledger.Claim
	if c.current != nil {
		previous = *c.current
	}
	claim := previous.NextAttempt(awledger.Claim{
		Attempt:    awledger.AttemptID{Entry: id.EntryInstance, Incarnation: id.EntryIncarnation, Sequence: id.Sequence},
		BodyDigest: c.bodyDigest, Agent: t.Instance, Address: t.Address, Incarnation: t.Incarnation,
		At: now.UTC(), Expires: now.UTC().Add(e.cfg.Settings.Claims.Keep.Std()),
	})
	row, version, state := e.claims.write(ctx, c.rowKey, c.version, claim)
	switch state {
	case awledger.Superseded:
		e.attempts.settle(id.Sequence)
		c.current, c.version = row, version
		return nil, nil
	case awledger.NotWritten:
		e.settleLater(id.Sequence) // the write may still take effect
		return nil, awoutcome.Refuse(awoutcome.StoreDown, "claim could not be written")
	}
	c.current, c.version = &claim, version
	c.tried[t.Instance] = true
	return c.dispatchClaimed(ctx, t, id, claim)
}

// handleNoAgent refuses the call unless the key already has a row. An existing row
// can lead to a result without an agent that accepts the call.
func (c *keyedCall) handleNoAgent(ctx context.Context) (*awledger.Result, error) {
	if c.current == nil {
		row, version, err := c.entry.claims.get(ctx, c.rowKey)
		if err == nil && row != nil {
			c.current, c.version = row, version
			return nil, nil
		}
	}
	return nil, awoutcome.Refuse(awoutcome.NoBackend, "no backend server serves "+c.start.Model)
}

// dispatchClaimed sends the claimed attempt to its agent.
func (c *keyedCall) dispatchClaimed(ctx context.Context, t target, id *awproto.AttemptId, claim awledger.Claim) (*awledger.Result, error) {
	e := c.entry
	*c.out = bufferSink{}
	err := e.attemptOnce(ctx, c.req, c.start, t, id, c.out)
	if err == nil {
		result := awledger.Result{Status: c.out.status, ContentType: c.out.contentType, Body: c.out.body.Bytes()}
		c.recordResult(claim, result)
		return &result, nil
	}
	var oe *awoutcome.Error
	if !errors.As(err, &oe) || oe.Outcome != awoutcome.NotRun {
		// The row stays claimed. The next request with this key asks the agent,
		// which may still finish the call.
		e.settleLater(id.Sequence)
		return nil, err
	}
	refused := claim.WithState(awledger.Refused)
	if ctx.Err() != nil || len(c.tried) >= maxAttempts || !e.hasOtherAgent(c.start.Model, c.tried) {
		e.claims.record(c.rowKey, c.version, refused, func() { e.attempts.settle(id.Sequence) })
		return nil, err
	}
	e.attempts.settle(id.Sequence)
	c.current = &refused // not stored: the next claim replaces the row in one write
	return nil, nil
}

// hasOtherAgent reports whether an agent that was not tried yet is eligible.
func (e *Entry) hasOtherAgent(model string, tried map[string]bool) bool {
	t, ok := e.pickForModel(model, "", tried)
	if ok {
		t.release()
	}
	return ok
}

// recordResult writes the result to the row. It returns when the result is recorded
// or after maxRecordWait; the write then continues in the background.
func (c *keyedCall) recordResult(claim awledger.Claim, result awledger.Result) {
	e := c.entry
	done := make(chan struct{})
	e.claims.record(c.rowKey, c.version, claim.Finish(result, e.cfg.Settings.Claims.MaxResultBytes), func() {
		if claim.Attempt.Entry == e.identity.Instance && claim.Attempt.Incarnation == e.cfg.Incarnation {
			e.attempts.settle(claim.Attempt.Sequence)
		}
		close(done)
	})
	select {
	case <-done:
	case <-time.After(maxRecordWait):
	}
}

// queryAgent asks the agent named in the row for the state of its attempt. With
// refuse the agent also refuses the attempt permanently if it has not run.
func (c *keyedCall) queryAgent(ctx context.Context, refuse bool) awledger.AgentReply {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	row := c.current
	client := c.entry.dialer.Agent(ctx, awrpc.Target{Address: row.Address, Instance: row.Agent, Incarnation: row.Incarnation})
	reply, err := client.SettleAttempt(ctx, &awproto.SettleRequest{Refuse: refuse, Attempt: &awproto.AttemptId{
		EntryInstance: row.Attempt.Entry, EntryIncarnation: row.Attempt.Incarnation, Sequence: row.Attempt.Sequence,
	}})
	var identityErr *awrpc.IdentityError
	if errors.As(err, &identityErr) && identityErr.GotInstance == row.Agent && identityErr.GotIncarnation > row.Incarnation {
		return awledger.AgentReply{Reached: true, Incarnation: identityErr.GotIncarnation}
	}
	if err != nil {
		return awledger.AgentReply{}
	}
	result := awledger.AgentReply{Reached: true, Incarnation: reply.Incarnation, State: reply.State.LedgerState()}
	if reply.HasResult {
		result.Result = &awledger.Result{Status: int(reply.Status), ContentType: reply.ContentType, Body: reply.Result}
	}
	return result
}

// sweepLoop deletes expired claims until ctx ends. Each period has one scan and
// at most one transaction, which counts against the write budget of claims.
func (e *Entry) sweepLoop(ctx context.Context) {
	from := awledger.RowPrefix
	for {
		period := e.cfg.Settings.Claims.SweepPeriod.Std()
		select {
		case <-ctx.Done():
			return
		case <-time.After(period/2 + e.jitter(period)):
		}
		next, err := e.claims.sweep(ctx, from, e.cfg.Clock.Now())
		if err != nil && !errors.Is(err, awstore.ErrConflict) {
			continue // the store is unavailable; scan the same rows next time
		}
		from = next
	}
}
