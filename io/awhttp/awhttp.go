// Package awhttp holds what the HTTP servers share (problem documents, limits and the
// headers of the callers' API) and the transport of the HTTP clients.
package awhttp

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"arbutuswind/core/awoutcome"
)

// Headers of the callers' API.
const (
	HeaderPrefix   = "Arbutuswind-"
	HeaderTeam     = HeaderPrefix + "Team"
	HeaderPriority = HeaderPrefix + "Priority"
	HeaderDeadline = HeaderPrefix + "Deadline-Ms"
	HeaderOutcome  = HeaderPrefix + "Outcome"
	HeaderVersion  = HeaderPrefix + "Version"
	HeaderRequest  = HeaderPrefix + "Request-Id"
	HeaderKey      = "Idempotency-Key"
)

// Limits of every server.
const (
	MaxHeaderBytes    = 16 << 10
	ReadHeaderTimeout = 5 * time.Second
	IdleTimeout       = 60 * time.Second
)

// callerHeaders are the headers with HeaderPrefix that callers may set.
var callerHeaders = map[string]bool{HeaderTeam: true, HeaderPriority: true, HeaderDeadline: true}

// StripHeaders removes headers with HeaderPrefix that callers may not set.
func StripHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, HeaderPrefix) && !callerHeaders[name] {
			delete(h, name)
		}
	}
}

// Problem is the JSON body of an error response, of type
// application/problem+json.
type Problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// NewProblem returns the problem that describes err. An error that is not an
// [awoutcome.Error] has outcome Unknown and reason EngineFailed.
func NewProblem(err error) Problem {
	var e *awoutcome.Error
	if !errors.As(err, &e) {
		e = &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.EngineFailed, Detail: err.Error()}
	}
	return Problem{
		Type: "about:blank", Title: string(e.Reason), Status: statusOf(e),
		Detail: e.Detail, Outcome: e.Outcome.String(), Reason: string(e.Reason),
	}
}

// WriteError responds with the problem that describes err.
func WriteError(w http.ResponseWriter, err error) {
	p := NewProblem(err)
	var e *awoutcome.Error
	if errors.As(err, &e) && e.RetryAfterMs > 0 {
		// Retry-After has whole seconds. Rounding up keeps callers from retrying
		// too early.
		w.Header().Set("Retry-After", strconv.Itoa(int(e.RetryAfterMs+999)/1000))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(HeaderOutcome, p.Outcome)
	body, _ := json.Marshal(p) // holds only strings and an int
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(p.Status)
	_, _ = w.Write(body) // the caller may be gone
}

// statusOf returns the HTTP status of an error. If the request may have run, it is none
// that promises the opposite.
func statusOf(e *awoutcome.Error) int {
	status := Status(e.Reason)
	if e.Outcome != awoutcome.NotRun && awoutcome.PromisesNotRun(status) {
		return http.StatusBadGateway
	}
	return status
}

// Status returns the HTTP status of a reason if the request has not run.
func Status(reason awoutcome.Reason) int {
	switch reason {
	case awoutcome.BadRequest:
		return http.StatusBadRequest
	case awoutcome.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case awoutcome.BodyTimeout:
		return http.StatusRequestTimeout
	case awoutcome.RateLimited, awoutcome.QueueFull, awoutcome.ColdLimit, awoutcome.MemoryFull, awoutcome.Overloaded:
		return http.StatusTooManyRequests
	case awoutcome.Deadline:
		return http.StatusGatewayTimeout
	case awoutcome.InProgress:
		return http.StatusConflict
	case awoutcome.ResultNotKept:
		return http.StatusGone
	case awoutcome.KeyReused:
		return http.StatusUnprocessableEntity
	case awoutcome.EngineFailed, awoutcome.EngineCrashed, awoutcome.IdentityChanged, awoutcome.Truncated, awoutcome.LinkLost:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// NewServer returns an HTTP server for h with the limits of this package.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: MaxHeaderBytes,
		ReadHeaderTimeout: ReadHeaderTimeout, IdleTimeout: IdleTimeout,
	}
}

// IsClosedByServer reports whether err shows that the server or its host ended the
// connection, as it does when it crashes.
func IsClosedByServer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
