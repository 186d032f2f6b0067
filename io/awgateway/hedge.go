package awgateway

import (
	"context"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awdispatch"
	"arbutuswind/core/awretry"
	"arbutuswind/core/awstream"
)

// send is one send of a request to a backend server.
type send struct {
	q      *request
	number int // in the race
	grant  *awdispatch.Grant
	start  time.Time
	cancel context.CancelCauseFunc
	// version is the version of the weights that the backend server must have; 0
	// accepts any.
	version int64
	// active is when the backend server last sent bytes, or the caller last took
	// some, since start.
	active atomic.Int64
	events atomic.Int64 // that have arrived
	heard  atomic.Int64 // when the dispatcher was last told that bytes arrive, since start
	silent bool         // the dispatcher knows that the backend server has been silent
	// resumed is whether the backend server was asked for the rest of a stream.
	resumed bool
}

// endedSend is the result of a send, or the panic that ended it.
type endedSend struct {
	send     *send
	result   sendResult
	panicked any
}

// recordActivity records that the backend server is not silent.
func (s *send) recordActivity() {
	s.active.Store(int64(s.q.g.cfg.Clock.Now().Sub(s.start)))
}

// heardInterval is the shortest time between two records of the dispatcher that bytes
// of a send arrive.
const heardInterval = 100 * time.Millisecond

// recordHeard records that bytes have arrived from the backend server.
func (s *send) recordHeard() {
	s.recordActivity()
	now := s.active.Load()
	if last := s.heard.Load(); last > 0 && now-last < int64(heardInterval) {
		return
	}
	s.heard.Store(now)
	g := s.q.g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch.Heard(s.grant.Server.Key())
	g.dispatch.Progress(s.grant, int(s.events.Load()))
}

// recordEvents records the final number of events, which recordHeard passes on only up
// to heardInterval before.
func (s *send) recordEvents() {
	g := s.q.g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch.Progress(s.grant, int(s.events.Load()))
	if s.resumed {
		g.dispatch.Resumed(s.grant)
	}
}

// silence returns the time since the backend server last sent bytes.
func (s *send) silence(now time.Time) time.Duration {
	return now.Sub(s.start) - time.Duration(s.active.Load())
}

// activeReader records when bytes are read.
type activeReader struct {
	r io.Reader
	s *send
}

// Read implements [io.Reader].
func (a *activeReader) Read(p []byte) (int, error) {
	n, err := a.r.Read(p)
	if n > 0 {
		a.s.recordHeard()
	}
	return n, err
}

// overtakeOthers cancels all other sends; forward must be held.
func (s *send) overtakeOthers() {
	for _, other := range s.q.racing {
		if other != s {
			other.cancel(awstream.ErrOvertaken)
		}
	}
	s.q.racing = append(s.q.racing[:0], s)
}

// streamState describes how far the response has come.
type streamState struct {
	lastEventID   uint64 // ID of the last event that was forwarded; 0 if there is none
	weightVersion int64
	headerSent    bool
	resumable     bool // another send can go on where the response stands
}

func (q *request) streamState() streamState {
	q.forward.Lock()
	defer q.forward.Unlock()
	return streamState{
		lastEventID: q.race.LastID(), weightVersion: q.weightVersion, headerSent: q.headerSent, resumable: q.race.CanResume(),
	}
}

// newSend begins a send to the granted backend server.
func (q *request) newSend(ctx context.Context, grant *awdispatch.Grant) (*send, context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &send{q: q, grant: grant, start: q.g.cfg.Clock.Now(), cancel: cancel}
	q.sends++
	q.running = append(q.running, s)
	q.forward.Lock()
	defer q.forward.Unlock()
	s.number = q.race.Begin()
	q.racing = append(q.racing, s)
	return s, ctx
}

// sendAndAwait sends the request to the granted backend server, and to others
// while all of those are silent, until the caller has got a response or every
// send has failed. It returns the last result.
func (q *request) sendAndAwait(ctx context.Context, grant *awdispatch.Grant) sendResult {
	s, sendCtx := q.newSend(ctx, grant)
	if q.route.Kind != awdirectory.Stream || !q.route.Resumable {
		res := s.run(sendCtx)
		return q.settle(s, res)
	}
	if q.ended == nil {
		q.ended = make(chan endedSend, 1)
	}
	q.runInBackground(sendCtx, s)
	h := hedge{q: q, delay: awretry.HedgeDelay(q.route.MaxEventGap)}
	return h.await(ctx)
}

// runInBackground runs a send. The goroutine of the request receives its end.
func (q *request) runInBackground(ctx context.Context, s *send) {
	go func() {
		e := endedSend{send: s}
		defer func() {
			e.panicked = recover()
			q.ended <- e
		}()
		e.result = s.run(ctx)
	}()
}

// settle records the end of a send.
func (q *request) settle(s *send, res sendResult) sendResult {
	s.cancel(nil)
	if !res.answered {
		q.avoidServer(s.grant.Server.Key())
	}
	s.recordEvents()
	q.release(s.grant, res.outcome) // before forward, which a slow caller holds up
	q.departure.lastSendEnd = q.g.cfg.Clock.Now()
	q.running = slices.DeleteFunc(q.running, func(other *send) bool { return other == s })
	q.forward.Lock()
	q.race.Fail(s.number)
	q.racing = slices.DeleteFunc(q.racing, func(other *send) bool { return other == s })
	q.forward.Unlock()
	res.silence = s.silence(q.g.cfg.Clock.Now())
	if res.reason == reasonOvertaken && s.silent {
		res.reason = "BackendSilent"
	}
	if res.mayHaveRun {
		q.possibleRuns++
	}
	if res.answered {
		q.g.recordServed(q, res.status)
		return res
	}
	q.lastFailure = res.reason
	q.logFailedSend(s.grant, res)
	if res.suspect && q.model != "" {
		q.crashes++
	}
	if res.suspect || res.reason == reasonQuarantined {
		q.recordSuspect(poolKey(&s.grant.Server), s.start, !res.suspect)
	}
	return res
}

// hedge sends a resumable stream to another backend server while all those that
// it was sent to are silent. The silent ones are not given up: if they go on
// first, the caller gets their events.
type hedge struct {
	q       *request
	delay   time.Duration // silence after which another backend server is sought
	pending *pendingSlot  // slot that is being sought; nil if none is

	seenSilent bool // all sends were silent at the last check
}

// await returns when the caller has got a response or no send is running.
func (h *hedge) await(ctx context.Context) sendResult {
	q := h.q
	defer h.stop()
	timer := time.NewTimer(min(h.delay, awretry.SilenceCheck))
	defer timer.Stop()
	for {
		var decisions chan awdispatch.Decision
		if h.pending != nil {
			decisions = h.pending.decisions
		}
		select {
		case e := <-q.ended:
			res := q.settleEnded(e)
			if res.answered || len(q.running) == 0 {
				return res
			}
		case <-timer.C:
			timer.Reset(min(h.seek(), awretry.SilenceCheck))
		case d := <-decisions:
			h.pending = nil
			timer.Reset(min(h.use(ctx, d), awretry.SilenceCheck))
		}
	}
}

func (q *request) settleEnded(e endedSend) sendResult {
	res := q.settle(e.send, e.result)
	if e.panicked != nil {
		panic(e.panicked)
	}
	return res
}

// stop ends the search for a slot and all sends, which must not outlive the
// request.
func (h *hedge) stop() {
	if h.pending != nil {
		h.pending.cancel()
	}
	for _, s := range h.q.running {
		s.cancel(awstream.ErrOvertaken)
	}
	for len(h.q.running) > 0 {
		h.q.settleEnded(<-h.q.ended)
	}
}

// seek asks for a slot at another backend server if all sends are silent. It
// returns the time until the next check.
func (h *hedge) seek() time.Duration {
	q := h.q
	if wait := h.untilSilent(); wait > 0 {
		h.seenSilent = false
		return wait
	}
	if !h.seenSilent {
		h.seenSilent = true
		return awretry.SilenceRecheck
	}
	h.recordSilence()
	if h.pending != nil || !q.mayBeSentAgain() || q.isQuarantined() {
		return h.delay
	}
	if !q.hasRetry() { // an unused grant would take a place of another request
		return awretry.HedgeRetry
	}
	h.pending = q.requestSlot()
	return h.delay
}

// recordSilence records that the backend servers of all sends are silent.
func (h *hedge) recordSilence() {
	g := h.q.g
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range h.q.running {
		if s.silent {
			continue
		}
		s.silent = true
		h.q.avoid[s.grant.Server.Key()] = true
		g.metrics.silentSends.Inc()
		g.dispatch.RecordSilence(s.grant.Server.Key())
	}
}

// use sends the request to the granted backend server if all sends are still
// silent. It returns the time until the next check.
func (h *hedge) use(ctx context.Context, d awdispatch.Decision) time.Duration {
	q := h.q
	if d.Grant == nil {
		return awretry.HedgeRetry
	}
	if wait := h.untilSilent(); wait > 0 || ctx.Err() != nil || q.isQuarantined() || !q.allowRetry() {
		q.release(d.Grant, awdispatch.NotSent)
		return max(wait, awretry.HedgeRetry)
	}
	s, sendCtx := q.newSend(ctx, d.Grant)
	q.logSend(d.Grant, 0)
	q.runInBackground(sendCtx, s)
	return h.delay
}

// untilSilent returns the time after which all running sends will have been
// silent for the delay, if they stay so.
func (h *hedge) untilSilent() time.Duration {
	q := h.q
	limits := make([]time.Duration, len(q.running))
	q.g.mu.Lock()
	for i, s := range q.running {
		limits[i] = h.delay
		if q.g.dispatch.Silent(s.grant.Server.Key()) {
			limits[i] = min(h.delay, awretry.LostInstanceDelay)
		}
	}
	q.g.mu.Unlock()
	if !q.forward.TryLock() {
		return h.delay // an event is being written to the caller
	}
	defer q.forward.Unlock()
	now := q.g.cfg.Clock.Now()
	var wait time.Duration
	for i, s := range q.running {
		wait = max(wait, limits[i]-s.silence(now))
	}
	return wait
}
