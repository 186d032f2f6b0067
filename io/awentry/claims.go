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

// attemptIDs numbers the attempts of this entry and knows which are settled.
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

// abandon settles an attempt later: for RecordTime another entry may ask its
// agent for the outcome.
func (e *Entry) abandon(seq uint64) {
	time.AfterFunc(e.cfg.Settings.Claims.RecordTime.Std(), func() { e.attempts.settle(seq) })
}

func (a *attemptIDs) low() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.watermark.Low()
}

const (
	// maxClaimSteps bounds the decisions for one call, most of which cost a
	// call to the store or to an agent.
	maxClaimSteps = 12
	// askTime bounds one question to the agent named in a claim.
	askTime = 2 * time.Second
	// recordWait is how long a caller waits for its result to be recorded
	// before it is answered regardless.
	recordWait = 500 * time.Millisecond
)

// keyedCall is one call with an Idempotency-Key.
type keyedCall struct {
	entry  *Entry
	req    *request
	start  *awproto.ServeStart
	row    string
	digest string
	tried  map[string]bool
	out    *bufferSink

	found   *awledger.Claim // row as last read or written; nil when there is none
	version uint64          // of the row
}

// serveClaimed runs a call with an Idempotency-Key at most once. The call
// goes on when its caller leaves, so that the caller finds the result when it
// asks again.
func (e *Entry) serveClaimed(
	ctx context.Context, w http.ResponseWriter, req *request, start *awproto.ServeStart, out *bufferSink,
) error {
	if err := awledger.CheckTeamAndKey(req.team, req.key); err != nil {
		return awoutcome.Refuse(awoutcome.BadRequest, err.Error())
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.deadline)
	defer cancel()
	c := &keyedCall{
		entry: e, req: req, start: start, row: awledger.RowKey(req.team, req.key),
		digest: awweights.Digest(append([]byte(start.Model+"\n"+start.Service.GetPath()+"\n"), req.body...)),
		tried:  map[string]bool{}, out: out,
	}
	result, err := c.run(ctx)
	if err != nil {
		return err
	}
	if result.Dropped {
		return &awoutcome.Error{Outcome: awoutcome.Ran, Reason: awoutcome.ResultNotKept, Detail: "the call ran; its result was too large to keep"}
	}
	answer := &bufferSink{status: result.Status, contentType: result.ContentType}
	answer.body.Write(result.Body)
	answer.write(w)
	return nil
}

// run takes the steps of package awledger until the call has its answer. The
// first step takes it that there is no row, which the insert checks.
func (c *keyedCall) run(ctx context.Context) (*awledger.Result, error) {
	dispatchTime := c.entry.cfg.Settings.Claims.DispatchTime.Std()
	for range maxClaimSteps {
		step := awledger.StepForRow(c.found, c.digest, c.entry.cfg.Clock.Now(), dispatchTime)
		if step == awledger.QueryAgent || step == awledger.RequestRefusal {
			answer := c.ask(ctx, step == awledger.RequestRefusal)
			step = awledger.StepForReply(*c.found, answer)
			if step == awledger.RecordResult {
				c.record(*c.found, *answer.Result)
				return answer.Result, nil
			}
		}
		switch step {
		case awledger.InsertClaim, awledger.ClaimNextAttempt:
			if result, err := c.claim(ctx); result != nil || err != nil {
				return result, err
			}
		case awledger.ReturnResult:
			return c.found.Result, nil
		case awledger.RecordUnknown:
			c.entry.claims.record(c.row, c.version, c.found.WithState(awledger.Unknown), nil)
			return nil, unknown(awoutcome.LinkLost, "the agent that had the call has lost its outcome")
		case awledger.InProgress:
			return nil, unknown(awoutcome.InProgress, "the call is in progress")
		case awledger.KeyReused:
			return nil, awoutcome.Refuse(awoutcome.KeyReused, "the key was used with another body")
		default:
			return nil, unknown(awoutcome.LinkLost, "the outcome of the call is not known")
		}
	}
	return nil, unknown(awoutcome.InProgress, "the claim of the call keeps changing")
}

func unknown(reason awoutcome.Reason, detail string) error {
	return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: reason, Detail: detail}
}

// claim writes a claim for the next attempt and dispatches it. It returns
// neither result nor error when the row must be looked at again.
func (c *keyedCall) claim(ctx context.Context) (*awledger.Result, error) {
	e := c.entry
	t, ok := e.pick(c.start.Model, "", c.tried)
	if !ok {
		return c.withoutAgent(ctx)
	}
	defer t.release()
	if e.log.Reset() != nil {
		return nil, awoutcome.Refuse(awoutcome.StoreDown, "the store was set back and may have lost the claim of the call")
	}
	id := e.nextAttempt()
	now := e.cfg.Clock.Now()
	var before awledger.Claim
	if c.found != nil {
		before = *c.found
	}
	mine := before.NextAttempt(awledger.Claim{
		Attempt:    awledger.AttemptID{Entry: id.EntryInstance, Incarnation: id.EntryIncarnation, Sequence: id.Sequence},
		BodyDigest: c.digest, Agent: t.Instance, Address: t.Address, Incarnation: t.Incarnation,
		At: now.UTC(), Expires: now.UTC().Add(e.cfg.Settings.Claims.Keep.Std()),
	})
	row, version, state := e.claims.write(ctx, c.row, c.version, mine)
	switch state {
	case awledger.Superseded:
		e.attempts.settle(id.Sequence)
		c.found, c.version = row, version
		return nil, nil
	case awledger.NotWritten:
		e.abandon(id.Sequence) // a late write may still bring the row
		return nil, awoutcome.Refuse(awoutcome.StoreDown, "claim could not be written")
	}
	c.found, c.version = &mine, version
	c.tried[t.Instance] = true
	return c.dispatch(ctx, t, id, mine)
}

// withoutAgent refuses the call unless its key has a row to go on with, which
// needs no agent to take the call.
func (c *keyedCall) withoutAgent(ctx context.Context) (*awledger.Result, error) {
	if c.found == nil {
		row, version, err := c.entry.claims.get(ctx, c.row)
		if err == nil && row != nil {
			c.found, c.version = row, version
			return nil, nil
		}
	}
	return nil, awoutcome.Refuse(awoutcome.NoBackend, "no backend server serves "+c.start.Model)
}

// dispatch sends the claimed attempt to its agent.
func (c *keyedCall) dispatch(ctx context.Context, t target, id *awproto.AttemptId, mine awledger.Claim) (*awledger.Result, error) {
	e := c.entry
	*c.out = bufferSink{}
	err := e.attempt(ctx, c.req, c.start, t, id, c.out)
	if err == nil {
		result := awledger.Result{Status: c.out.status, ContentType: c.out.contentType, Body: c.out.body.Bytes()}
		c.record(mine, result)
		return &result, nil
	}
	var oe *awoutcome.Error
	if !errors.As(err, &oe) || oe.Outcome != awoutcome.NotRun {
		// The row stays claimed: whoever calls next asks the agent, which
		// may still finish the call.
		e.abandon(id.Sequence)
		return nil, err
	}
	refused := mine.WithState(awledger.Refused)
	if ctx.Err() != nil || len(c.tried) >= maxAttempts || !e.anyOther(c.start.Model, c.tried) {
		e.claims.record(c.row, c.version, refused, func() { e.attempts.settle(id.Sequence) })
		return nil, err
	}
	e.attempts.settle(id.Sequence)
	c.found = &refused // in this process only: the next claim replaces the row in one write
	return nil, nil
}

// anyOther reports whether an agent is left to try.
func (e *Entry) anyOther(model string, tried map[string]bool) bool {
	t, ok := e.pick(model, "", tried)
	if ok {
		t.release()
	}
	return ok
}

// record closes the row with the result. The caller is answered when the
// result is recorded or after recordWait; the write goes on in the
// background.
func (c *keyedCall) record(claim awledger.Claim, result awledger.Result) {
	e := c.entry
	done := make(chan struct{})
	e.claims.record(c.row, c.version, claim.Finish(result, e.cfg.Settings.Claims.MaxResultBytes), func() {
		if claim.Attempt.Entry == e.identity.Instance && claim.Attempt.Incarnation == e.cfg.Incarnation {
			e.attempts.settle(claim.Attempt.Sequence)
		}
		close(done)
	})
	select {
	case <-done:
	case <-time.After(recordWait):
	}
}

// ask asks the agent named in the row what became of its attempt.
func (c *keyedCall) ask(ctx context.Context, refuse bool) awledger.AgentReply {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	row := c.found
	client := c.entry.dialer.Agent(ctx, awrpc.Target{Address: row.Address, Instance: row.Agent, Incarnation: row.Incarnation})
	reply, err := client.SettleAttempt(ctx, &awproto.SettleRequest{Refuse: refuse, Attempt: &awproto.AttemptId{
		EntryInstance: row.Attempt.Entry, EntryIncarnation: row.Attempt.Incarnation, Sequence: row.Attempt.Sequence,
	}})
	var other *awrpc.IdentityError
	if errors.As(err, &other) && other.GotInstance == row.Agent && other.GotIncarnation > row.Incarnation {
		return awledger.AgentReply{Reached: true, Incarnation: other.GotIncarnation}
	}
	if err != nil {
		return awledger.AgentReply{}
	}
	answer := awledger.AgentReply{Reached: true, Incarnation: reply.Incarnation, State: reply.State.LedgerState()}
	if reply.HasResult {
		answer.Result = &awledger.Result{Status: int(reply.Status), ContentType: reply.ContentType, Body: reply.Result}
	}
	return answer
}

// sweepLoop deletes expired claims until ctx ends: one scan and at most one
// transaction a period, within the budget of the claims.
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
			continue // the store is down: the same rows are due next time
		}
		from = next
	}
}
