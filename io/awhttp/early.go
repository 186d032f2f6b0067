package awhttp

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// minDiscardBytes is how much of a refused body is discarded even if bodies
	// are limited to less.
	minDiscardBytes = 8 << 20
	// continueTimeout is how long a caller that asked whether to send its body
	// may take to send it in spite of the refusal.
	continueTimeout = 500 * time.Millisecond
)

// RespondEarly responds to a request whose body may not have been read to its
// end. It calls respond, which must write a complete response with a
// Content-Length, sends that, and then discards the rest of the body. The caller
// can so read the response even if it first writes its whole body, and can go on
// using the connection.
//
// The connection is closed if the rest takes longer than timeout, or is larger
// than limit bytes and 8 MiB.
func RespondEarly(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration, respond func()) {
	if r.ContentLength == 0 {
		respond()
		return
	}
	limit = max(limit, minDiscardBytes)
	closing := r.ContentLength > limit
	if closing {
		w.Header().Set("Connection", "close")
	}
	control := http.NewResponseController(w)
	// Fails if the writer supports neither this nor deadlines, as in tests.
	// Without it net/http reads from the body before it sends the response.
	_ = control.EnableFullDuplex()
	respond()
	if control.Flush() != nil {
		return // the caller is gone, which net/http also sees
	}
	if c := connOf(r.Context()); c != nil {
		c.account.discard()
	}
	now := time.Now()
	deadline := now.Add(timeout)
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		_ = control.SetReadDeadline(now.Add(min(timeout, continueTimeout)))
		if _, err := io.CopyN(io.Discard, r.Body, 1); err != nil {
			return // the connection does not survive its expired deadline
		}
	}
	_ = control.SetReadDeadline(deadline)
	_, err := io.CopyN(io.Discard, r.Body, limit)
	switch {
	case errors.Is(err, io.EOF):
		_ = control.SetReadDeadline(time.Time{})
	case !closing:
		panic(http.ErrAbortHandler) // net/http would read the rest as another request
	}
}
