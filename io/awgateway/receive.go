package awgateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/go-kit/log/level"

	"arbutuswind/io/awhttp"
)

// readBody reads the request body. On failure it returns the HTTP status and the
// reason, and otherwise status 0.
func (q *request) readBody(r *http.Request) (int, string) {
	if r.ContentLength == 0 {
		return 0, ""
	}
	body := io.Reader(r.Body)
	if q.bodyLimit > 0 {
		if r.ContentLength > q.bodyLimit {
			return http.StatusRequestEntityTooLarge, "BodyTooLarge"
		}
		// Unlike http.MaxBytesReader it leaves the connection open.
		body = io.LimitReader(body, q.bodyLimit+1)
	}
	control := http.NewResponseController(q.w)
	if err := control.SetReadDeadline(q.start.Add(q.timeout())); err != nil {
		q.g.logRequest("cannot set the read deadline", q.logFields("Error", err.Error())...)
	}
	data, err := io.ReadAll(body)
	// A remaining deadline would also end net/http's background read, which
	// detects that the caller has disconnected.
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		q.g.logRequest("cannot clear the read deadline", q.logFields("Error", err.Error())...)
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, "BodyLate"
	case errors.Is(err, awhttp.ErrShort):
		return http.StatusServiceUnavailable, "ClientsHoldTooMuch"
	case err != nil:
		return http.StatusBadRequest, "BodyBroken"
	case q.bodyLimit > 0 && int64(len(data)) > q.bodyLimit:
		return http.StatusRequestEntityTooLarge, "BodyTooLarge"
	}
	q.body = data
	return 0, ""
}

// defaultTimeout applies to requests for which neither the route nor the caller
// sets a timeout.
const defaultTimeout = time.Minute

// timeout returns the time within which the caller gets the final response: the
// shorter of the route's, if that is known, and the caller's.
func (q *request) timeout() time.Duration {
	var timeout time.Duration
	if q.route != nil {
		timeout = q.route.Timeout
	}
	if d := q.info.Timeout; d > 0 && (timeout <= 0 || d < timeout) {
		timeout = d
	}
	if timeout <= 0 {
		return defaultTimeout
	}
	return timeout
}

// refuseEarly refuses a request whose body may not have been read. The rest of
// the body gets the time that the request had.
func (q *request) refuseEarly(r *http.Request, status int, retryAfter time.Duration, reason string) {
	awhttp.RespondEarly(q.w, r, q.bodyLimit, q.timeout(), func() { q.refuse(status, retryAfter, reason) })
}

// contain runs a step of a task that serves many requests. A panic ends the step, not the
// process with the requests of all callers, so a step must release its locks with defer.
func (g *Gateway) contain(task string, step func()) {
	defer func() {
		if fault := recover(); fault != nil {
			g.metrics.panics.Inc()
			if g.metrics.logLimiter.AllowN(g.cfg.Clock.Now(), 1) {
				_ = level.Error(g.cfg.Logger).Log("Message", "panic", "Task", task, "Fault", fmt.Sprint(fault), "Stack", string(debug.Stack()))
			}
		}
	}()
	step()
}

// answerPanic ends a request whose handling panicked. The 502 promises nothing
// about whether it ran. q is nil if the panic came before it was made.
func (q *request) answerPanic(g *Gateway, w http.ResponseWriter, fault any) {
	if err, ok := fault.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(fault)
	}
	_ = level.Error(g.cfg.Logger).Log("Message", "panic", "Fault", fmt.Sprint(fault), "Stack", string(debug.Stack()))
	if q != nil && q.headerSent {
		panic(http.ErrAbortHandler) // a truncated response must not look complete
	}
	g.metrics.refused(http.StatusBadGateway, "Panic")
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusBadGateway)
}
