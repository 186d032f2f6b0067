// Package awbackend speaks HTTP/1.1 to backend servers over pooled
// connections.
//
// A connection carries one exchange at a time. An exchange names the request
// by an id that the backend server echoes; an answer with another id is left
// over from an earlier exchange and is skipped. A connection is used again
// only after an exchange of which both sides are complete and after which
// nothing more has arrived.
//
// An error tells whether the request may have run: see [Error].
package awbackend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"arbutuswind/core/awclock"
)

const (
	// dialTimeout bounds a new connection; links have a few milliseconds, so
	// that a second packet is on its way within this time if one is lost.
	dialTimeout = time.Second
	// idleTimeout closes connections that nobody uses; backend servers close
	// theirs sooner or later without saying when.
	idleTimeout = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that a backend server
	// states, so that a request does not cross its close.
	idleMargin = 700 * time.Millisecond
	// maxInlineBodyBytes is written before the answer is read. A longer one is written
	// beside it, since a backend server may answer before it has read it all.
	maxInlineBodyBytes = 8 << 10
	// maxSkippedResponses bounds left-over answers in front of the one expected.
	maxSkippedResponses = 4
	bufferBytes         = 4 << 10
	// Probes find a connection that has gone silent within two and a half
	// seconds, also while a backend server works on an answer.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3
)

// Error is a failed exchange.
type Error struct {
	// Sent is whether bytes of the request may have reached the backend server.
	// A request of which none did has not run and never will.
	Sent bool
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Sent {
		return "request sent, no answer: " + e.Err.Error()
	}
	return "request not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request is one exchange.
type Request struct {
	Method string
	URI    string // as the caller sent it
	Host   string
	Header http.Header
	Body   []byte
	// IDHeader names the header that the backend server echoes; ID is its value.
	IDHeader, ID string
}

// Config configures a [Pool].
type Config struct {
	Clock awclock.Clock
	Dial  func(ctx context.Context, addr string) (net.Conn, error) // nil for TCP
}

// Pool holds idle connections by key. It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns a pool without connections.
func NewPool(cfg Config) *Pool {
	if cfg.Dial == nil {
		d := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		}}
		cfg.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
	}
	return &Pool{cfg: cfg, idle: map[string][]*conn{}}
}

type conn struct {
	net.Conn
	br      *bufio.Reader
	expires time.Time
}

// Response is the answer of a backend server. Close must be called.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader

	pool         *Pool
	key          string
	conn         *conn
	resp         *http.Response
	bodyWritten  chan error // of a long body; nil when it was written before
	stopCancel   func() bool
	bodyComplete bool
}

// Do sends a request over a connection of the key and returns the answer, of
// which the body may still be on its way. Cancelling ctx closes the
// connection, which makes the backend server drop the request.
func (p *Pool) Do(ctx context.Context, key, addr string, req Request) (*Response, error) {
	c := p.takeIdle(key)
	for c != nil {
		resp, err := p.exchange(ctx, key, c, req)
		var e *Error
		if err == nil || !errors.As(err, &e) || e.Sent {
			return resp, err
		}
		c = p.takeIdle(key) // closed by the other side before anything was sent
	}
	raw, err := p.cfg.Dial(ctx, addr)
	if err != nil {
		return nil, &Error{Err: eris.Wrapf(err, "connect to %s", addr)}
	}
	return p.exchange(ctx, key, &conn{Conn: raw, br: bufio.NewReaderSize(raw, bufferBytes)}, req)
}

// takeIdle returns an idle connection on which nothing has arrived.
func (p *Pool) takeIdle(key string) *conn {
	now := p.cfg.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		list := p.idle[key]
		if len(list) == 0 {
			delete(p.idle, key)
			return nil
		}
		c := list[len(list)-1]
		p.idle[key] = list[:len(list)-1]
		if now.Before(c.expires) && c.usable() {
			return c
		}
		_ = c.Close()
	}
}

// Prune closes the idle connections of all keys for which keep is false, and
// those that have been idle for too long.
func (p *Pool) Prune(keep func(key string) bool) {
	now := p.cfg.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(key) && now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		clear(list[len(kept):])
		p.idle[key] = kept
		if len(kept) == 0 {
			delete(p.idle, key)
		}
	}
}

func (p *Pool) exchange(ctx context.Context, key string, c *conn, req Request) (*Response, error) {
	// Closing the connection unblocks reads and writes at once.
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	r := &Response{pool: p, key: key, conn: c, stopCancel: stop}
	sent, err := r.sendRequest(req)
	if err == nil {
		err = r.readResponse(req)
	}
	if err != nil {
		stop()
		_ = c.Close()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{Sent: sent, Err: err}
	}
	return r, nil
}

// sendRequest writes the request. It reports whether any byte may have been sent.
func (r *Response) sendRequest(req Request) (bool, error) {
	head := appendHead(make([]byte, 0, bufferBytes), req)
	if len(req.Body) <= maxInlineBodyBytes {
		n, err := r.conn.Write(append(head, req.Body...))
		return n > 0, err
	}
	n, err := r.conn.Write(head)
	if err != nil {
		return n > 0, err
	}
	written := make(chan error, 1)
	r.bodyWritten = written
	go func() {
		_, err := r.conn.Write(req.Body)
		written <- err
	}()
	return true, nil
}

func appendHead(b []byte, req Request) []byte {
	b = append(b, req.Method+" "+req.URI+" HTTP/1.1\r\nHost: "+req.Host+"\r\n"...)
	for name, values := range req.Header {
		for _, v := range values {
			b = append(b, name+": "+v+"\r\n"...)
		}
	}
	if len(req.Body) > 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead) {
		b = append(b, "Content-Length: "+strconv.Itoa(len(req.Body))+"\r\n"...)
	}
	return append(b, "\r\n"...)
}

// readResponse reads the head of the answer, past answers to earlier requests.
func (r *Response) readResponse(req Request) error {
	for range maxSkippedResponses {
		resp, err := http.ReadResponse(r.conn.br, &http.Request{Method: req.Method}) //nolint:bodyclose // Close ends the connection or reads the body whole
		if err != nil {
			return eris.Wrap(err, "read answer")
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		id := resp.Header.Get(req.IDHeader)
		if req.ID == "" || id == req.ID || (id == "" && resp.StatusCode >= 300) {
			r.Status, r.Header, r.resp = resp.StatusCode, resp.Header, resp
			r.Body = &bodyReader{r}
			return nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return eris.Wrap(err, "skip left-over answer")
		}
		if resp.Close {
			return eris.New("connection ended after a left-over answer")
		}
	}
	return fmt.Errorf("more than %d left-over answers", maxSkippedResponses)
}

type bodyReader struct{ r *Response }

// Read implements [io.Reader]. It notes the end of a whole body.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.r.resp.Body.Read(p)
	if errors.Is(err, io.EOF) {
		b.r.bodyComplete = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the answer was read to
// its end and both sides agree that it stays open.
func (r *Response) Close() {
	if !r.stopCancel() || !r.reusable() {
		_ = r.conn.Close()
		return
	}
	r.conn.expires = r.pool.cfg.Clock.Now().Add(idleTimeoutFor(r.Header))
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.pool.idle[r.key] = append(r.pool.idle[r.key], r.conn)
}

func (r *Response) reusable() bool {
	if !r.bodyComplete || r.resp.Close || r.conn.br.Buffered() > 0 {
		return false
	}
	if r.bodyWritten == nil {
		return true
	}
	select {
	case err := <-r.bodyWritten:
		return err == nil
	default:
		return false // the rest of the body would be taken for a request
	}
}

// idleTimeoutFor returns how long a connection may stay idle.
func idleTimeoutFor(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			return min(idleTimeout, time.Duration(s)*time.Second-idleMargin)
		}
	}
	return idleTimeout
}
