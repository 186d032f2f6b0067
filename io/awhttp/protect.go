package awhttp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
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

type guardedHandler struct{ next http.Handler }

// ServeHTTP implements [http.Handler].
func (h guardedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c := connOf(r.Context()); c != nil && c.account.guard != nil {
		c.account.headerRead(r.Header)
		if r.ContentLength != 0 {
			c.body = guardedBody{ReadCloser: r.Body, account: c.account}
			r.Body = &c.body
		} else if !c.account.pass() {
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

// Read implements [io.Reader]. At the end of the body it fails if the connection is
// being closed, because the request must then not run.
func (b *guardedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.account.pass() {
		err = net.ErrClosed
	}
	return n, err
}

// Hold accounts n further bytes for the request with the given context until its
// response has been written.
func Hold(ctx context.Context, n int) {
	if c := connOf(ctx); c != nil {
		c.account.Hold(n)
	}
}

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
