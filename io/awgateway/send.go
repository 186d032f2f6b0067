package awgateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awdispatch"
	"arbutuswind/core/awstream"
	"arbutuswind/io/awbackend"
)

// result is how one send ended.
type result struct {
	answered   bool // the caller has the final answer
	mayHaveRun bool
	outcome    awdispatch.Outcome
	reason     string
	detail     string // error of the exchange
}

const (
	// maxWholeBody is the size up to which an answer is read to its end before
	// it is passed on, so that one that breaks off can still be replaced.
	maxWholeBody = 256 << 10
	// maxUrgency is the least urgent value that engines know.
	maxUrgency = 9
)

var (
	errSilent   = errors.New("backend server is silent")
	errUnsigned = errors.New("success without a signature")
	errVersion  = errors.New("weights changed between two sends of one stream")
	errOrder    = errors.New("event out of order")
)

// send sends the request to the granted backend server and passes the answer
// on.
func (q *request) send(ctx context.Context, grant *awdispatch.Grant) result {
	g := q.g
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	hop := ForwardInfo{
		Server: grant.Server, Remaining: q.until.Sub(g.cfg.Clock.Now()), ResumeAfter: q.call.ResumeAfter,
		Version: q.version, Priority: min(q.priority(), maxUrgency),
	}
	if q.team != nil {
		hop.Team = q.team.Name
	}
	if q.last > 0 {
		hop.ResumeAfter = strconv.FormatUint(q.last, 10)
	}
	watch := newSilence(q.route, cancel)
	defer watch.stop()
	resp, err := g.cfg.Pool.Do(ctx, poolKey(&grant.Server), grant.Server.Address, awbackend.Request{
		Method: q.method, URI: q.uri, Host: q.host, Header: g.cfg.Headers.ForwardHeaders(q.header.Clone(), hop), Body: q.body,
		IDHeader: g.cfg.Headers.IDHeader(), ID: q.call.ID,
	})
	if err != nil {
		return failed(ctx, err)
	}
	defer resp.Close()
	reply := g.cfg.Headers.DecodeResponse(resp.Status, resp.Header)
	switch {
	case reply.Replaced:
		return result{outcome: awdispatch.Replaced, reason: "Replaced"}
	case reply.NotRun:
		_, _ = io.Copy(io.Discard, resp.Body) // the connection is not kept if this fails
		return result{outcome: awdispatch.Rejected, reason: "Rejected"}
	case resp.Status < 300 && !reply.Signed:
		return failed(ctx, errUnsigned)
	case q.route.Kind == awdirectory.Stream && resp.Status < 300:
		return q.stream(ctx, resp, reply, watch)
	}
	return q.whole(ctx, resp)
}

// failed describes an exchange that broke off.
func failed(ctx context.Context, err error) result {
	r := result{mayHaveRun: true, outcome: awdispatch.Failed, reason: "BackendFailed", detail: err.Error()}
	var e *awbackend.Error
	if errors.As(err, &e) {
		r.mayHaveRun = e.Sent
	}
	switch cause := context.Cause(ctx); {
	case cause == nil:
	case errors.Is(cause, errSilent):
		r.reason = "BackendSilent"
	case errors.Is(cause, errTimeout):
		r.outcome, r.reason = awdispatch.Abandoned, "TimedOut"
	default:
		r.outcome, r.reason = awdispatch.Abandoned, "CallerLeft"
	}
	return r
}

// whole passes on an answer with a body of one piece.
func (q *request) whole(ctx context.Context, resp *awbackend.Response) result {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWholeBody))
	if err != nil {
		return failed(ctx, err)
	}
	if resp.Status >= 500 && q.route.Repeatable() && !q.started && q.sends < max(1, q.route.MaxAttempts) && q.mayRepeatServerError() {
		return result{mayHaveRun: true, outcome: awdispatch.Failed, reason: "ServerError"}
	}
	h := q.w.Header()
	for name, values := range passHeaders(resp.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing
	}
	long := len(body) == maxWholeBody
	if !long {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	q.started = true
	q.w.WriteHeader(resp.Status)
	if _, err := q.w.Write(body); err != nil {
		return result{mayHaveRun: true, outcome: awdispatch.Abandoned, reason: "CallerLeft"}
	}
	if long {
		if _, err := io.Copy(q.w, resp.Body); err != nil {
			return failed(ctx, err)
		}
	}
	out := awdispatch.Succeeded
	if resp.Status >= 500 {
		out = awdispatch.Failed
	}
	q.g.served(q, resp.Status)
	return result{answered: true, outcome: out}
}

// mayRepeatServerError reports whether enough time is left for another try.
func (q *request) mayRepeatServerError() bool {
	return q.until.Sub(q.g.cfg.Clock.Now()) > q.route.LatencyObjective/2
}

// stream passes on the events of an answer as they arrive.
func (q *request) stream(ctx context.Context, resp *awbackend.Response, reply ResponseInfo, watch *silence) result {
	if q.version != 0 && reply.Version != 0 && reply.Version != q.version {
		return failed(ctx, errVersion)
	}
	control := http.NewResponseController(q.w)
	var split awstream.Splitter
	buf := make([]byte, 4<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			watch.heard()
			if err := split.Write(buf[:n]); err != nil {
				return failed(ctx, err)
			}
		}
		if err := q.passEvents(&split, resp, reply, control); err != nil {
			if errors.Is(err, errOrder) {
				return failed(ctx, err)
			}
			return result{mayHaveRun: true, outcome: awdispatch.Abandoned, reason: "CallerLeft"}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && split.Buffered() == 0:
			q.startStream(resp, reply)
			q.g.served(q, resp.Status)
			return result{answered: true, outcome: awdispatch.Succeeded}
		default:
			return failed(ctx, err)
		}
	}
}

// passEvents writes the whole events that have arrived.
func (q *request) passEvents(split *awstream.Splitter, resp *awbackend.Response, reply ResponseInfo, control *http.ResponseController) error {
	wrote := false
	for {
		e, ok := split.Next()
		if !ok {
			break
		}
		if e.HasID {
			if q.last > 0 && e.ID <= q.last {
				return errOrder
			}
			q.last = e.ID
		}
		q.startStream(resp, reply)
		if _, err := q.w.Write(e.Raw); err != nil {
			return err
		}
		wrote = true
	}
	if !wrote {
		return nil
	}
	return control.Flush()
}

// startStream sends the head of the first backend server's answer. The
// events of a later one follow under the same head.
func (q *request) startStream(resp *awbackend.Response, reply ResponseInfo) {
	if q.started {
		return
	}
	q.started, q.version = true, reply.Version
	h := q.w.Header()
	for name, values := range passHeaders(resp.Header) {
		h[name] = values
	}
	q.w.WriteHeader(resp.Status)
	q.g.metrics.firstEvent.Update(q.g.cfg.Clock.Now().Sub(q.began).Seconds())
}

// silence cancels an exchange with a backend server that says nothing for so
// long that the caller would leave.
type silence struct {
	timer *time.Timer
	after time.Duration
}

// A backend server that is silent for this many times the longest pause that
// is still on time is taken for dead, if the request may be repeated. Callers
// leave after eight such pauses, or two seconds.
const (
	silentPauses = 5
	minSilence   = 1200 * time.Millisecond
)

func newSilence(r *awdirectory.Route, cancel context.CancelCauseFunc) *silence {
	s := &silence{after: max(minSilence, silentPauses*r.MaxEventGap)}
	if r.Kind == awdirectory.Stream && r.Resumable {
		s.timer = time.AfterFunc(s.after, func() { cancel(errSilent) })
	}
	return s
}

func (s *silence) heard() {
	if s.timer != nil {
		s.timer.Reset(s.after)
	}
}

func (s *silence) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}
