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

	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awdispatch"
	"arbutuswind/core/awoutcome"
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
	status     int           // HTTP status of the response, if answered
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

// reasonOvertaken is the reason of sends that were ended because another backend
// server delivered the next event.
const reasonOvertaken = "Overtaken"

// reasonUnprovenRejection is the reason of sends that ended with a status that promises
// that the request has not run, but without the backend server's statement that it has
// not. Such a status is not passed on, since the request may have run.
const reasonUnprovenRejection = "UnprovenRejection"

// reasonOtherVersion is the reason of sends that resume a stream and are turned away,
// most likely because the backend server has got another version of the weights.
const reasonOtherVersion = "OtherVersion"

var (
	errUnsigned       = errors.New("success without a signature")
	errVersionChanged = errors.New("backend server resumed the stream with another version of the weights")
	errCallerLeft     = errors.New("caller cannot be written to")
	errNoEvent        = fmt.Errorf("stream without any event: %w", io.ErrUnexpectedEOF)
)

// run sends the request to the granted backend server and forwards the response.
func (s *send) run(ctx context.Context) sendResult {
	q := s.q
	g := q.g
	endTracking := s.trackUnproven()
	defer endTracking()
	info := s.forwardInfo()
	s.version, s.resumed = info.Version, info.ResumeAfter != ""
	resp, err := g.cfg.Pool.Do(ctx, poolKey(&s.grant.Server), s.grant.Server.Address, awbackend.Request{
		Method: q.method, URI: q.uri, Host: q.host, Header: g.cfg.Headers.ForwardHeaders(q.header.Clone(), info), Body: q.body,
		IDHeader: g.cfg.Headers.IDHeader(), ID: q.info.ID, BeforeSend: func() error { return s.confirmCaller(ctx) },
	})
	if err != nil {
		return s.unansweredResult(ctx, err)
	}
	defer resp.Close()
	s.recordHeard()
	resp.Body = &activeReader{r: resp.Body, s: s}
	respInfo := g.cfg.Headers.DecodeResponse(resp.Status, resp.Header)
	q.recordResponse(&s.grant.Server, respInfo, s.start)
	switch {
	case respInfo.Replaced && s.version != 0:
		// Another version of the weights is answered like another server.
		return sendResult{outcome: awdispatch.Abandoned, reason: reasonOtherVersion}
	case respInfo.Replaced:
		return sendResult{outcome: awdispatch.Replaced, reason: "Replaced"}
	case respInfo.NotRun:
		_, _ = io.CopyN(io.Discard, resp.Body, maxRejectionBody) // the connection is not kept unless the body ends
		return sendResult{outcome: awdispatch.Rejected, reason: "Rejected"}
	case resp.Status < 300 && !respInfo.Signed:
		return failedResult(ctx, errUnsigned)
	case q.route.Kind == awdirectory.Stream && resp.Status < 300:
		return s.forwardStream(ctx, resp, respInfo, endTracking)
	}
	return s.forwardWhole(ctx, resp)
}

// countRun counts the request for its team when a backend server has begun to run
// it. A request that runs again elsewhere counts where it first ran.
func (q *request) countRun() {
	if q.g.cfg.CountRun != nil && q.team != nil && q.counted.CompareAndSwap(false, true) {
		q.g.cfg.CountRun(q.team.Name)
	}
}

// confirmCaller ends the request if its caller has left. It is called when the
// request is about to be written to the backend server.
func (s *send) confirmCaller(ctx context.Context) error {
	if !awhttp.HasLeft(ctx) {
		return nil
	}
	s.q.g.metrics.withheldSends.Inc()
	s.q.cancel()
	return errCallerLeft
}

func (s *send) forwardInfo() ForwardInfo {
	q := s.q
	state := q.streamState()
	info := ForwardInfo{
		Server: s.grant.Server, Remaining: q.deadline.Sub(q.g.cfg.Clock.Now()), ResumeAfter: q.info.ResumeAfter,
		Version: state.weightVersion, Priority: q.enginePriority(),
	}
	if q.team != nil {
		info.Team = q.team.Name
	}
	if state.lastEventID > 0 {
		info.ResumeAfter = strconv.FormatUint(state.lastEventID, 10)
	}
	return info
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
	case errors.Is(cause, errOutdated):
		r.outcome, r.reason = awdispatch.Abandoned, reasonOutdated
	case errors.Is(cause, awstream.ErrOvertaken):
		r.outcome, r.reason = awdispatch.Abandoned, reasonOvertaken
	case errors.Is(cause, errTimeout):
		r.outcome, r.reason = awdispatch.Abandoned, "TimedOut"
	default:
		r.outcome, r.reason = awdispatch.Abandoned, "CallerLeft"
	}
	return r
}

// unansweredResult returns the result of a send to which no response with its id has
// arrived. A rejection without the id shows at most that the backend server is full.
func (s *send) unansweredResult(ctx context.Context, err error) sendResult {
	r := failedResult(ctx, err)
	var unidentified *awbackend.UnidentifiedError
	if ctx.Err() != nil || !errors.As(err, &unidentified) {
		return r
	}
	r.reason = "Unidentified"
	if s.q.g.cfg.Headers.DecodeResponse(unidentified.Status, unidentified.Header).NotRun {
		r.outcome = awdispatch.Rejected
	}
	return r
}

// copyHeader sets the header of the response to that of a backend server.
func (q *request) copyHeader(from http.Header) {
	h := q.w.Header()
	for name, values := range endToEndHeaders(from) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing the type
	}
}

// forwardWhole forwards a response that is not an event stream.
func (s *send) forwardWhole(ctx context.Context, resp *awbackend.Response) sendResult {
	q := s.q
	if q.route.Kind != awdirectory.Stream {
		q.countRun() // a stream that is answered otherwise has not begun
	}
	buffered := awhttp.NewHeldReader(ctx, resp.Body, maxBufferedBody)
	body, err := io.ReadAll(buffered)
	if err != nil {
		return failedResult(ctx, err)
	}
	exceedsBuffer := buffered.Stopped()
	if resp.Status < 300 && !exceedsBuffer {
		s.recordAnswered()
	}
	q.forward.Lock()
	defer q.forward.Unlock()
	switch {
	case !q.race.IsRunning(s.number):
		return failedResult(ctx, awstream.ErrOvertaken)
	case q.headerSent: // the response is an event stream, which only events can continue
		return sendResult{mayHaveRun: true, outcome: awdispatch.Failed, reason: "NotResumed", detail: http.StatusText(resp.Status)}
	case awoutcome.PromisesNotRun(resp.Status):
		return sendResult{mayHaveRun: true, outcome: outcomeOf(resp.Status), reason: reasonUnprovenRejection, detail: "status " + strconv.Itoa(resp.Status)}
	case resp.Status >= 500 && (q.race.Running() > 1 || s.mayRepeat()):
		return sendResult{mayHaveRun: true, outcome: awdispatch.Failed, reason: "ServerError"}
	}
	s.overtakeOthers()
	q.copyHeader(resp.Header)
	if !exceedsBuffer {
		q.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
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
	out := outcomeOf(resp.Status)
	if out == awdispatch.Succeeded {
		q.recordSound()
	}
	return sendResult{answered: true, outcome: out, status: resp.Status}
}

// outcomeOf returns what a whole response shows about the backend server. A client error
// is no failure of the server.
func outcomeOf(status int) awdispatch.Outcome {
	if status >= http.StatusInternalServerError {
		return awdispatch.Failed
	}
	return awdispatch.Succeeded
}

// mayRepeat reports whether a server error need not be the final response.
func (s *send) mayRepeat() bool {
	return s.q.route.Repeatable() && s.number < max(1, s.q.route.MaxAttempts) && s.q.timeForRetry()
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
func (s *send) forwardStream(ctx context.Context, resp *awbackend.Response, respInfo ResponseInfo, begun func()) sendResult {
	q := s.q
	var proof awquarantine.Proof
	first := q.ranks != nil
	err := s.copyStream(resp, respInfo, func() {
		if first {
			first = false
			s.recordFirstEvent()
		}
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
		return sendResult{answered: true, outcome: awdispatch.Succeeded, status: resp.Status}
	case errors.Is(err, errCallerLeft):
		return sendResult{mayHaveRun: true, outcome: awdispatch.Abandoned, reason: "CallerLeft"}
	}
	r := failedResult(ctx, err)
	r.suspect = r.suspect && !proof.Done
	return r
}

// copyStream forwards events until the stream ends, and calls forwarded after
// each group of them. It returns errCallerLeft if the caller cannot be written to.
func (s *send) copyStream(resp *awbackend.Response, respInfo ResponseInfo, forwarded func()) error {
	control := http.NewResponseController(s.q.w)
	var splitter awstream.Splitter
	buf := make([]byte, 4<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if err := splitter.Write(buf[:n]); err != nil {
				return err
			}
		}
		wrote, writeErr := s.forwardEvents(&splitter, resp, respInfo, control)
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
		default:
			return s.finishStream(resp, respInfo)
		}
	}
}

// forwardEvents writes the complete events that have arrived and reports whether
// there were any.
func (s *send) forwardEvents(splitter *awstream.Splitter, resp *awbackend.Response, respInfo ResponseInfo, control *http.ResponseController) (wrote bool, err error) {
	q := s.q
	e, ok := splitter.Next()
	if !ok {
		return false, nil
	}
	q.countRun()
	q.forward.Lock()
	defer q.forward.Unlock()
	defer s.recordActivity() // the time that the caller takes is no silence of the backend server
	if q.weightVersion != 0 && respInfo.Version != 0 && respInfo.Version != q.weightVersion {
		return false, errVersionChanged
	}
	for ; ok; e, ok = splitter.Next() {
		s.events.Add(1)
		if err := q.race.Offer(s.number, e); errors.Is(err, awstream.ErrNoProgress) {
			continue
		} else if err != nil {
			return wrote, err
		}
		s.overtakeOthers()
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

// finishStream ends the response after the last event of the send.
func (s *send) finishStream(resp *awbackend.Response, respInfo ResponseInfo) error {
	q := s.q
	q.forward.Lock()
	defer q.forward.Unlock()
	if resp.Unframed && !q.headerSent && q.info.ResumeAfter == "" {
		return errNoEvent
	}
	if err := q.race.Finish(s.number); err != nil {
		return err
	}
	s.overtakeOthers()
	q.writeStreamHeader(resp, respInfo)
	return nil
}

// writeStreamHeader sends the response header of the first backend server. When
// another one resumes the stream, its header is dropped; forward must be held.
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
