package awgateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awdispatch"
	"arbutuswind/core/awquarantine"
	"arbutuswind/core/awstream"
	"arbutuswind/io/awbackend"
	"arbutuswind/io/awhttp"
)

// sendResult describes how one send ended.
type sendResult struct {
	answered   bool // the caller has got the final response
	mayHaveRun bool
	suspect    bool // the engine closed the connection and the request may be the cause
	outcome    awdispatch.Outcome
	reason     string
	detail     string        // error text for the log
	silence    time.Duration // time for which the backend server had sent nothing when the send ended
}

const (
	// maxBufferedBody is the size below which a response is read completely
	// before it is forwarded, so that the request can be retried if the response
	// breaks off.
	maxBufferedBody = 256 << 10
	// maxRejectionBody is the size up to which the body of a rejection is read in
	// order to keep the connection.
	maxRejectionBody = 16 << 10
	// lowestPriority is the highest number, and so the lowest priority, that
	// engines accept.
	lowestPriority = 9
)

var (
	errIdleTimeout    = errors.New("backend server sent nothing within the idle timeout")
	errUnsigned       = errors.New("success without a signature")
	errVersionChanged = errors.New("backend server resumed the stream with another version of the weights")
	errCallerLeft     = errors.New("caller cannot be written to")
	errNoEvent        = fmt.Errorf("stream without any event: %w", io.ErrUnexpectedEOF)
	errEventOrder     = errors.New("backend server sent an event out of order")
)

// send sends the request to the granted backend server and forwards the
// response.
func (q *request) send(ctx context.Context, grant *awdispatch.Grant) (res sendResult) {
	g := q.g
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	fwd := ForwardInfo{
		Server: grant.Server, Remaining: q.deadline.Sub(g.cfg.Clock.Now()), ResumeAfter: q.info.ResumeAfter,
		Version: q.weightVersion, Priority: min(q.priority(), lowestPriority),
	}
	if q.team != nil {
		fwd.Team = q.team.Name
	}
	if q.lastEventID > 0 {
		fwd.ResumeAfter = strconv.FormatUint(q.lastEventID, 10)
	}
	idle := newIdleTimer(q.route, func() {
		g.metrics.silentSends.Inc()
		cancel(errIdleTimeout)
	})
	defer idle.stop()
	endTracking := q.trackUnproven(cancel)
	defer endTracking()
	sent := g.cfg.Clock.Now()
	lastBytes := sent
	defer func() { res.silence = g.cfg.Clock.Now().Sub(lastBytes) }()
	resp, err := g.cfg.Pool.Do(ctx, poolKey(&grant.Server), grant.Server.Address, awbackend.Request{
		Method: q.method, URI: q.uri, Host: q.host, Header: g.cfg.Headers.ForwardHeaders(q.header.Clone(), fwd), Body: q.body,
		IDHeader: g.cfg.Headers.IDHeader(), ID: q.info.ID,
	})
	if err != nil {
		return failedResult(ctx, err)
	}
	defer resp.Close()
	resp.Body = &timedReader{r: resp.Body, clock: g.cfg.Clock, last: &lastBytes}
	respInfo := g.cfg.Headers.DecodeResponse(resp.Status, resp.Header)
	q.recordResponse(&grant.Server, respInfo, sent)
	switch {
	case respInfo.Replaced:
		return sendResult{outcome: awdispatch.Replaced, reason: "Replaced"}
	case respInfo.NotRun:
		_, _ = io.CopyN(io.Discard, resp.Body, maxRejectionBody) // the connection is not kept unless the body ends
		return sendResult{outcome: awdispatch.Rejected, reason: "Rejected"}
	case resp.Status < 300 && !respInfo.Signed:
		return failedResult(ctx, errUnsigned)
	case q.route.Kind == awdirectory.Stream && resp.Status < 300:
		return q.forwardStream(ctx, resp, respInfo, idle, endTracking)
	}
	return q.forwardWhole(ctx, resp)
}

// failedResult returns the result of a send that failed with err.
func failedResult(ctx context.Context, err error) sendResult {
	r := sendResult{mayHaveRun: true, outcome: awdispatch.Failed, reason: "BackendFailed", detail: err.Error()}
	var e *awbackend.Error
	if errors.As(err, &e) {
		r.mayHaveRun = e.Sent
	}
	switch cause := context.Cause(ctx); {
	case cause == nil && errors.Is(err, syscall.ECONNREFUSED):
		r.outcome = awdispatch.Unreachable
	case cause == nil:
		r.suspect = r.mayHaveRun && awhttp.IsClosedByServer(err)
	case errors.Is(cause, errQuarantined):
		r.outcome, r.reason = awdispatch.Abandoned, reasonQuarantined
	case errors.Is(cause, errIdleTimeout):
		r.reason = "BackendSilent"
	case errors.Is(cause, errTimeout):
		r.outcome, r.reason = awdispatch.Abandoned, "TimedOut"
	default:
		r.outcome, r.reason = awdispatch.Abandoned, "CallerLeft"
	}
	return r
}

// forwardWhole forwards a response that is not an event stream.
func (q *request) forwardWhole(ctx context.Context, resp *awbackend.Response) sendResult {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBody))
	if err != nil {
		return failedResult(ctx, err)
	}
	if q.headerSent { // the response is an event stream, which only events can continue
		return sendResult{mayHaveRun: true, outcome: awdispatch.Failed, reason: "NotResumed", detail: http.StatusText(resp.Status)}
	}
	if resp.Status >= 500 && q.route.Repeatable() && q.sends < max(1, q.route.MaxAttempts) && q.timeForRetry() {
		return sendResult{mayHaveRun: true, outcome: awdispatch.Failed, reason: "ServerError"}
	}
	h := q.w.Header()
	for name, values := range endToEndHeaders(resp.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing the type
	}
	exceedsBuffer := len(body) == maxBufferedBody
	if !exceedsBuffer {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	q.headerSent = true
	q.w.WriteHeader(resp.Status)
	if _, err := q.w.Write(body); err != nil {
		return sendResult{mayHaveRun: true, outcome: awdispatch.Abandoned, reason: "CallerLeft"}
	}
	if exceedsBuffer {
		w := &callerWriter{w: q.w}
		if _, err := io.Copy(w, resp.Body); err != nil && w.failed {
			return sendResult{mayHaveRun: true, outcome: awdispatch.Abandoned, reason: "CallerLeft"}
		} else if err != nil {
			return failedResult(ctx, err)
		}
	}
	out := awdispatch.Succeeded
	if resp.Status >= 500 {
		out = awdispatch.Failed
	} else {
		q.recordSound()
	}
	q.g.recordServed(q, resp.Status)
	return sendResult{answered: true, outcome: out}
}

// timedReader records when bytes were last read.
type timedReader struct {
	r     io.Reader
	clock awclock.Clock
	last  *time.Time
}

// Read implements [io.Reader].
func (t *timedReader) Read(p []byte) (int, error) {
	n, err := t.r.Read(p)
	if n > 0 {
		*t.last = t.clock.Now()
	}
	return n, err
}

// callerWriter writes to the caller and records a failure, which must not count
// against the backend server.
type callerWriter struct {
	w      io.Writer
	failed bool
}

// Write implements [io.Writer].
func (c *callerWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.failed = c.failed || err != nil
	return n, err
}

// timeForRetry reports whether enough time for another send is left before the
// deadline: more than half of the route's latency objective.
func (q *request) timeForRetry() bool {
	return q.deadline.Sub(q.g.cfg.Clock.Now()) > q.route.LatencyObjective/2
}

// forwardStream forwards the events of a response as they arrive. It calls begun
// when the first one has.
func (q *request) forwardStream(ctx context.Context, resp *awbackend.Response, respInfo ResponseInfo, idle *idleTimer, begun func()) sendResult {
	if q.weightVersion != 0 && respInfo.Version != 0 && respInfo.Version != q.weightVersion {
		return failedResult(ctx, errVersionChanged)
	}
	var proof awquarantine.Proof
	err := q.copyStream(resp, respInfo, idle, func() {
		begun()
		if proof.Event(q.g.cfg.Clock.Now()) {
			q.recordSound()
		}
	})
	switch {
	case err == nil:
		if proof.End() {
			q.recordSound()
		}
		q.writeStreamHeader(resp, respInfo)
		q.g.recordServed(q, resp.Status)
		return sendResult{answered: true, outcome: awdispatch.Succeeded}
	case errors.Is(err, errCallerLeft):
		return sendResult{mayHaveRun: true, outcome: awdispatch.Abandoned, reason: "CallerLeft"}
	}
	r := failedResult(ctx, err)
	r.suspect = r.suspect && !proof.Done
	return r
}

// copyStream forwards events until the stream ends, and calls forwarded after
// each group of them. It returns errCallerLeft if the caller cannot be written to.
func (q *request) copyStream(resp *awbackend.Response, respInfo ResponseInfo, idle *idleTimer, forwarded func()) error {
	control := http.NewResponseController(q.w)
	var splitter awstream.Splitter
	buf := make([]byte, 4<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			idle.reset()
			if err := splitter.Write(buf[:n]); err != nil {
				return err
			}
		}
		wrote, writeErr := q.forwardEvents(&splitter, resp, respInfo, control)
		if writeErr != nil {
			return writeErr
		}
		if wrote {
			forwarded()
		}
		switch {
		case err == nil:
		case !errors.Is(err, io.EOF) || splitter.Buffered() > 0:
			return err
		case resp.Unframed && !q.headerSent && q.info.ResumeAfter == "":
			return errNoEvent
		default:
			return nil
		}
	}
}

// forwardEvents writes the complete events that have arrived and reports whether
// there were any.
func (q *request) forwardEvents(splitter *awstream.Splitter, resp *awbackend.Response, respInfo ResponseInfo, control *http.ResponseController) (wrote bool, err error) {
	for {
		e, ok := splitter.Next()
		if !ok {
			break
		}
		if e.HasID {
			if q.lastEventID > 0 && e.ID <= q.lastEventID {
				return wrote, errEventOrder
			}
			q.lastEventID = e.ID
		}
		q.writeStreamHeader(resp, respInfo)
		if _, err := q.w.Write(e.Raw); err != nil {
			return wrote, errCallerLeft
		}
		wrote = true
	}
	if !wrote {
		return false, nil
	}
	if err := control.Flush(); err != nil {
		return true, errCallerLeft
	}
	return true, nil
}

// writeStreamHeader sends the response header of the first backend server. When
// another one resumes the stream, its header is dropped.
func (q *request) writeStreamHeader(resp *awbackend.Response, respInfo ResponseInfo) {
	if q.headerSent {
		return
	}
	q.headerSent, q.weightVersion = true, respInfo.Version
	h := q.w.Header()
	for name, values := range endToEndHeaders(resp.Header) {
		h[name] = values
	}
	q.w.WriteHeader(resp.Status)
	q.g.metrics.firstEvent.Update(q.g.cfg.Clock.Now().Sub(q.start).Seconds())
}

// idleTimer cancels an event stream whose backend server sends nothing for so
// long that the caller would soon give up. It is active only if the stream can
// be resumed.
type idleTimer struct {
	timer   *time.Timer
	timeout time.Duration
}

// A resumable stream is idle for too long after this multiple of the route's
// maximum gap between events, and at least minIdleTimeout. Callers give up after
// eight such gaps, or after two seconds.
const (
	idleTimeoutGaps = 5
	minIdleTimeout  = 1200 * time.Millisecond
)

func newIdleTimer(r *awdirectory.Route, expire func()) *idleTimer {
	t := &idleTimer{timeout: max(minIdleTimeout, idleTimeoutGaps*r.MaxEventGap)}
	if r.Kind == awdirectory.Stream && r.Resumable {
		t.timer = time.AfterFunc(t.timeout, expire)
	}
	return t
}

func (t *idleTimer) reset() {
	if t.timer != nil {
		t.timer.Reset(t.timeout)
	}
}

func (t *idleTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}
