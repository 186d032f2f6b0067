package awhttp

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// Protect has g bound what the clients of srv make the process hold. It must be
// called once, when srv has its handler. It calls [TrackConnections].
//
// A request counts as passed on when its handler has read its whole body, or at once
// if it has none.
func (g *Guard) Protect(srv *http.Server) {
	TrackConnections(srv)
	if g != nil {
		srv.Handler = guardedHandler{srv.Handler}
	}
}

// refusalTimeout is how long the rest of a refused body is awaited, so that the client
// can read the refusal.
const refusalTimeout = 5 * time.Second

type guardedHandler struct{ next http.Handler }

// ServeHTTP implements [http.Handler].
func (h guardedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c := connOf(r.Context()); c != nil && c.account.guard != nil {
		c.account.headerRead(r.Header)
		if c.account.guard.isCrowded() {
			w.Header().Set("Connection", "close")
		}
		if r.ContentLength != 0 && c.account.guard.isFull() {
			w.Header().Set("Connection", "close")
			RespondEarly(w, r, 0, refusalTimeout, func() {
				w.Header().Set("Content-Length", "0")
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			return
		}
		if r.ContentLength != 0 {
			c.body = guardedBody{ReadCloser: r.Body, account: c.account}
			// net/http looks at the type of its own request's body to decide whether the
			// connection can be used again, so that request stays as it is.
			r = r.WithContext(r.Context())
			r.Body = &c.body
		} else if err := c.account.pass(); errors.Is(err, ErrShort) {
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		} else if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	h.next.ServeHTTP(w, r)
}

// guardedBody records the end of a body. It belongs to the connection, which carries
// one request at a time; a handler must not use the body after it has returned.
type guardedBody struct {
	io.ReadCloser
	account *Account
}

// Read implements [io.Reader]. At the end of the body it fails if the request must not
// run. It then returns no bytes, since a decoder that has a complete value from them
// may never look at the error.
func (b *guardedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if passErr := b.account.pass(); passErr != nil {
			return 0, passErr
		}
	}
	return n, err
}

// HeldReader reads a response that is buffered before it is passed on to the client
// of a request, and accounts it for the request's connection while it arrives.
type HeldReader struct {
	reader  io.Reader
	account *Account // nil if nothing is accounted
	left    int
	read    int
	stopped bool
}

// NewHeldReader returns a reader of at most limit bytes of r, for the request with the
// given context. It ends earlier, but not before minHeld bytes, if the process holds
// much for its clients.
func NewHeldReader(ctx context.Context, r io.Reader, limit int) *HeldReader {
	h := &HeldReader{reader: r, left: limit}
	if c := connOf(ctx); c != nil && c.account.guard != nil {
		h.account = c.account
	}
	return h
}

// minHeld is how much of a response is buffered in any case.
const minHeld = 16 << 10

// Read implements [io.Reader].
func (h *HeldReader) Read(p []byte) (int, error) {
	if h.left <= 0 || h.read >= minHeld && h.account != nil && h.account.guard.isShort() {
		h.stopped = true
		return 0, io.EOF
	}
	n, err := h.reader.Read(p[:min(len(p), h.left)])
	h.left -= n
	h.read += n
	if h.account != nil {
		h.account.Hold(n)
	}
	return n, err
}

// Stopped reports whether the reader ended before the response did, as far as it has
// seen.
func (h *HeldReader) Stopped() bool { return h.stopped }

// parsedBytes returns the memory that a parsed header takes.
func parsedBytes(h http.Header) int64 {
	n := 0
	for name, values := range h {
		n += len(name)
		for _, v := range values {
			n += fieldBytes + len(v)
		}
	}
	return int64(n)
}
