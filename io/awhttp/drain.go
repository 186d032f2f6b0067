package awhttp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// idleLinger is how long Drain leaves a connection open after a response,
	// because the next request may be on its way.
	idleLinger = 500 * time.Millisecond
	// drainPollInterval is the time between two searches for idle connections.
	drainPollInterval = 20 * time.Millisecond
)

// Drain closes the listener and then waits until all requests on its
// connections are answered. Idle connections are closed; unlike
// [http.Server.Shutdown] it closes none from which a part of a request has been
// read or could be. srv must have been passed to TrackConnections. The handler
// should respond with Connection: close.
//
// Drain returns the error of ctx if that ends first. It may then be called again.
func (l *Listener) Drain(ctx context.Context, srv *http.Server) error {
	l.draining.Store(true)
	if err := l.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return eris.Wrap(err, "close the listener")
	}
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for l.conns.closeIdle(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	_ = srv.Close() // fails because the listener is closed
	return nil
}

// connSet holds the open connections of a listener.
type connSet struct {
	mu    sync.Mutex
	conns map[*trackedConn]struct{}
}

// add returns the connection, or nil if the guard has no room for it.
func (s *connSet) add(tcp *net.TCPConn, guard *Guard) (*trackedConn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, eris.Wrap(err, "access the socket")
	}
	c := &trackedConn{TCPConn: tcp, raw: raw, set: s}
	c.account = guard.Account(c.abort, c.unread)
	if guard != nil {
		if size := guard.receiveBuffer(); size > 0 {
			_ = tcp.SetReadBuffer(size) // a failure only costs kernel memory
		}
	}
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[*trackedConn]struct{}{}
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	if !c.account.Admit() {
		return nil, nil
	}
	return c, nil
}

func (s *connSet) remove(c *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// closeIdle closes the idle connections and returns the number of others.
func (s *connSet) closeIdle(now time.Time) int {
	s.mu.Lock()
	list := make([]*trackedConn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	s.mu.Unlock()
	open := 0
	for _, c := range list {
		if !c.closeIdle(now) {
			open++
		}
	}
	return open
}

// trackedConn is a connection that can be closed safely while it is idle.
type trackedConn struct {
	*net.TCPConn
	raw     syscall.RawConn
	set     *connSet
	account *Account
	body    guardedBody // of the current request, if it has one

	mu        sync.Mutex
	idleSince time.Time // zero unless the last request was answered and nothing has been read since
	waiting   bool      // the server waits for data, so it holds none that it has not used
	closed    bool
}

// Read implements [io.Reader]. It reads from the socket under mu, so that no
// data is on its way to the server while closeIdle decides.
func (c *trackedConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	var n int
	var readErr error
	err := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.closed {
			readErr = net.ErrClosed
			return true
		}
		for {
			n, readErr = syscall.Read(int(fd), p)
			if !errors.Is(readErr, syscall.EINTR) {
				break
			}
		}
		c.waiting = errors.Is(readErr, syscall.EAGAIN)
		if n > 0 {
			c.idleSince = time.Time{}
		}
		return !c.waiting
	})
	switch {
	case err != nil:
		return 0, err // keeps the deadline recognizable to net/http
	case errors.Is(readErr, net.ErrClosed):
		return 0, net.ErrClosed
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", readErr)}
	case n == 0:
		return 0, io.EOF
	}
	c.account.Read(n)
	return n, nil
}

// Write implements [io.Writer]. A long response is written in pieces, so that the
// account shows whether the client takes it.
func (c *trackedConn) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(len(p), written+sendBufferBytes)]
		c.account.beginWrite()
		n, err := c.TCPConn.Write(piece)
		c.account.endWrite(n)
		if written += n; err != nil || written == len(p) {
			return written, err
		}
	}
}

// ReadFrom implements [io.ReaderFrom] by Write.
func (c *trackedConn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(struct{ io.Writer }{c}, r) }

// Close implements [io.Closer].
func (c *trackedConn) Close() error {
	c.set.remove(c)
	c.account.Close()
	return c.TCPConn.Close()
}

// abort closes the connection and drops what the kernel holds for it.
func (c *trackedConn) abort() {
	_ = c.SetLinger(0) // otherwise the kernel keeps what the client does not read
	_ = c.Close()      // nobody waits for the result
}

// unread returns the bytes that the kernel has received and the server has not read.
func (c *trackedConn) unread() int64 {
	n := 0
	_ = c.raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }) // 0 if it is closed
	return int64(n)
}

func (c *trackedConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Time{}
	if state == http.StateIdle {
		c.account.finish()
		c.idleSince = time.Now()
		c.waiting = false // the server may hold data that it read with the last request
	}
}

// closeIdle closes the connection if it has been idle for idleLinger and no data
// has arrived. It reports whether the connection is closed.
func (c *trackedConn) closeIdle(now time.Time) bool {
	if !c.markClosed(now) {
		return false
	}
	_ = c.Close() // waits until the reader has left its callback, which takes mu
	return true
}

// markClosed has reads fail if the connection has been idle for idleLinger and no data
// has arrived. It reports whether it does.
func (c *trackedConn) markClosed(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = c.closed || !c.idleSince.IsZero() && c.waiting && now.Sub(c.idleSince) >= idleLinger && !c.dataArrived()
	return c.closed
}

// dataArrived reports whether the socket holds data that was not read; mu must
// be held.
func (c *trackedConn) dataArrived() bool {
	arrived := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		arrived = n > 0 && err == nil
	})
	return err == nil && arrived
}
