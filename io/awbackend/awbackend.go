// Package awbackend is an HTTP/1.1 client for backend servers that pools
// connections.
//
// A connection carries one request at a time. Each request has an id that the
// backend server echoes in its response; a response with another id, or without
// one, belongs to an earlier request or to none and is skipped. A connection is
// reused only if request and response were transferred completely and no other data
// has arrived.
//
// An [Error] states whether the request may have run.
package awbackend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"arbutuswind/core/awclock"
	"arbutuswind/io/awhttp"
)

const (
	// dialTimeout limits the time to connect. Linux sends the first packet of a
	// connection again after one second.
	dialTimeout = 1250 * time.Millisecond
	// idleTimeout is the longest time that a connection stays idle. Backend
	// servers also close idle connections, and may not say after what time.
	idleTimeout = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that a backend server
	// states, so that no request is sent while the server closes the connection.
	idleMargin = 700 * time.Millisecond
	// maxInlineBodyBytes is the longest body that is written before the
	// response is read. A longer one is written concurrently, since a backend
	// server may respond before it has read the whole body.
	maxInlineBodyBytes = 8 << 10
	// maxResponsesRead limits how many responses are read on a connection in
	// search of the expected one, including informational ones.
	maxResponsesRead = 4
	bufferBytes      = 4 << 10
	// maxSkippedBytes limits the body of a response to an earlier request. A backend
	// server in trouble may send bytes without end.
	maxSkippedBytes = 1 << 20
	// Kernels acknowledge within 40 ms what they have received.
	acknowledgementInterval = 20 * time.Millisecond
	acknowledgementChecks   = 5
	// TCP keep-alive probes detect a dead connection within 2.5 seconds, also
	// while the backend server is processing a request.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3
)

// Error is a request that failed before its response arrived.
type Error struct {
	// Sent reports whether any bytes of the request may have reached the backend
	// server. If none did, the request has not run and never will.
	Sent bool
	// Withheld reports that the request was not sent because its context had ended
	// or BeforeSend failed. The backend server has no part in it.
	Withheld bool
	Err      error
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Sent {
		return "request sent, but no response: " + e.Err.Error()
	}
	return "request not sent: " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Request is a request to a backend server.
type Request struct {
	Method string
	URI    string // request target, unchanged from the caller's request
	Host   string
	Header http.Header
	Body   []byte
	// IDHeader is the name of the header that the backend server echoes, and ID
	// its value. With an empty ID, every response on a new connection is accepted.
	IDHeader, ID string
	// BeforeSend is called when the request is about to be written, if not nil. If
	// it fails, nothing is sent.
	BeforeSend func() error
}

// Config configures a [Pool].
type Config struct {
	Clock awclock.Clock
	Dial  func(ctx context.Context, addr string) (net.Conn, error) // TCP if nil
	// LimitBuffer reports whether the receive buffer of a new TCP connection should be
	// small; nil means never. The kernel sizes it otherwise.
	LimitBuffer func() bool
}

// Pool keeps idle connections for reuse, by a key that identifies the backend
// server. It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool(cfg Config) *Pool {
	if cfg.Dial == nil {
		d := &net.Dialer{Timeout: dialTimeout, Control: cfg.limitReceiveBuffer, KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		}}
		cfg.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
	}
	return &Pool{cfg: cfg, idle: map[string][]*conn{}}
}

type conn struct {
	*awhttp.Conn
	br      *bufio.Reader
	header  *headerReader
	expires time.Time
	// requests is the number of requests that were sent on the connection.
	requests int
	aborted  atomic.Bool
}

func newConn(raw net.Conn) *conn {
	c := awhttp.NewConn(raw)
	header := &headerReader{r: c}
	return &conn{Conn: c, br: bufio.NewReaderSize(header, bufferBytes), header: header}
}

// abort withdraws the request on the connection. If the backend server may not get
// all of it, the connection is reset: after an ordinary close the kernel still
// delivers the rest, which may be after the end of a partition. Otherwise the
// connection is closed, because the kernel repeats a close that is lost, but not a
// reset.
func (c *conn) abort() {
	if !c.aborted.CompareAndSwap(false, true) {
		return
	}
	tcp, ok := c.NetConn().(*net.TCPConn)
	if !ok {
		_ = c.Close()
		return
	}
	_ = tcp.SetDeadline(time.Unix(1, 0)) // ends reads and writes; fails only if the connection is closed
	if !c.IsWritten() {
		reset(tcp)
		return
	}
	closeDelivered(tcp, acknowledgementChecks)
}

// closeDelivered closes a connection when all bytes are acknowledged, or resets it
// after the given number of checks.
func closeDelivered(c *net.TCPConn, checks int) {
	switch {
	case isAcknowledged(c):
		_ = c.Close()
	case checks == 0:
		reset(c)
	default:
		time.AfterFunc(acknowledgementInterval, func() { closeDelivered(c, checks-1) })
	}
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // fails only if the connection is closed already
	_ = c.Close()
}

// Response is the response of a backend server. The caller must call Close.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Unframed reports that the response has neither a length nor chunks. Its body
	// ends with the connection, so its end does not show that it is complete.
	Unframed bool

	pool         *Pool
	key          string
	conn         *conn
	resp         *http.Response
	bodyWritten  chan error // result of writing a long body concurrently; nil for a short one
	stopCancel   func() bool
	bodyComplete bool
	single       bool // the connection is not used again
}

// Do sends a request over an idle connection of the key, or over a new one to
// addr, and returns the response as soon as its header has arrived. Cancelling
// ctx closes the connection, which makes the backend server abort the request.
// Its errors are of type [Error].
func (p *Pool) Do(ctx context.Context, key, addr string, req Request) (*Response, error) {
	for req.ID != "" { // otherwise only a new connection shows whose answer arrives
		c := p.takeIdle(key)
		if c == nil {
			break
		}
		resp, err := p.exchange(ctx, key, c, req)
		var e *Error
		if err == nil || !errors.As(err, &e) || e.Sent || e.Withheld {
			return resp, err
		}
		// The connection was closed before anything was sent.
	}
	raw, err := p.dial(ctx, addr)
	if err != nil {
		return nil, &Error{Err: eris.Wrapf(err, "connect to %s", addr)}
	}
	return p.exchange(ctx, key, newConn(raw), req)
}

// dial connects to addr. It leaves half of the time until the deadline of ctx for
// another backend server.
func (p *Pool) dial(ctx context.Context, addr string) (net.Conn, error) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, deadline.Sub(p.cfg.Clock.Now())/2)
		defer cancel()
	}
	return p.cfg.Dial(ctx, addr)
}

// takeIdle removes an idle connection that is still usable from the pool and
// returns it, or returns nil. It closes those that are not usable.
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

// Prune closes the idle connections of keys for which keep returns false, and
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
	if err := req.confirm(ctx); err != nil {
		p.keep(key, c)
		return nil, &Error{Withheld: true, Err: err}
	}
	c.BeginRequest()
	c.requests++
	// On cancellation, closing the connection unblocks reads and writes.
	stop := context.AfterFunc(ctx, c.abort)
	r := &Response{pool: p, key: key, conn: c, stopCancel: stop}
	sent, err := r.sendRequest(req)
	if err == nil {
		err = r.readResponse(req)
	}
	if err != nil {
		stop()
		c.abort()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{Sent: sent, Err: err}
	}
	return r, nil
}

// confirm returns an error if the request must not be sent any more.
func (r *Request) confirm(ctx context.Context) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if r.BeforeSend == nil {
		return nil
	}
	return r.BeforeSend()
}

// keep adds a connection to the pool on which no request is running.
func (p *Pool) keep(key string, c *conn) {
	if c.expires.IsZero() {
		c.expires = p.cfg.Clock.Now().Add(idleTimeout)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[key] = append(p.idle[key], c)
}

// sendRequest writes the request, a long body concurrently. It reports whether
// any bytes may have been sent.
func (r *Response) sendRequest(req Request) (bool, error) {
	head := appendHead(make([]byte, 0, bufferBytes), req)
	if len(req.Body) <= maxInlineBodyBytes {
		n, err := r.conn.Write(append(head, req.Body...))
		r.conn.EndRequest(err)
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
		r.conn.EndRequest(err)
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

type bodyReader struct{ r *Response }

// Read implements [io.Reader]. It records that the body was read to its end.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.r.resp.Body.Read(p)
	if errors.Is(err, io.EOF) {
		b.r.bodyComplete = true
	}
	return n, err
}

// Close returns the connection to the pool if the request was written and the
// response read completely, and the server keeps the connection open. Otherwise
// it closes the connection. A request whose response was not read to its end is
// given up.
func (r *Response) Close() {
	stopped := r.stopCancel()
	if !r.bodyComplete {
		r.conn.abort()
		return
	}
	if !stopped || !r.reusable() {
		_ = r.conn.Close()
		return
	}
	r.conn.expires = r.pool.cfg.Clock.Now().Add(idleTimeoutFor(r.Header))
	r.pool.keep(r.key, r.conn)
}

func (r *Response) reusable() bool {
	if r.single || r.resp.Close || r.conn.br.Buffered() > 0 {
		return false
	}
	if r.bodyWritten == nil {
		return true
	}
	select {
	case err := <-r.bodyWritten:
		return err == nil
	default:
		return false // the server would take the rest of the body for a request
	}
}

// idleTimeoutFor returns how long a connection may stay idle after a response
// with the given header.
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

// receiveBufferBytes limits what the kernel buffers of a response that the caller does
// not read. The kernel doubles it. One connection then carries 25 Mbit/s at a
// round-trip time of 20 ms.
const receiveBufferBytes = 64 << 10

// limitReceiveBuffer is the Control function of the pool's dialer.
func (cfg Config) limitReceiveBuffer(_, _ string, c syscall.RawConn) error {
	if cfg.LimitBuffer == nil || !cfg.LimitBuffer() {
		return nil
	}
	return c.Control(func(fd uintptr) {
		// A failure only costs kernel memory.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
	})
}
