package awhttp

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// closeGrace is how long the delivery of a request may go on after the end of the input.
	// A server that has closed both directions resets the connection within a round trip,
	// while one that reads on does not.
	closeGrace = 200 * time.Millisecond
	// deliveryInterval is the time between two looks at what has been delivered.
	deliveryInterval = 2 * time.Millisecond
)

// Conn is a connection of a client. Its reads return [io.EOF] only after the server has
// closed it in order, so that a response whose end is that of the connection is whole.
//
// The kernel reports the reset of a connection once, to a read or to a write. If a write
// gets it, reads return what has arrived before and then io.EOF. They also do if a server
// closes the connection before it has got the whole request, as when its process ends; the
// reset then comes after the end of the input. An orderly server that does not need the rest
// of a request first closes only its sending direction, and reads on (RFC 9112, section 9.6).
type Conn struct {
	net.Conn

	mu       sync.Mutex // held during writes
	writeErr error      // of the first write that failed

	unwritten atomic.Bool // the last request has not been written completely
}

// NewConn returns a connection that reads from and writes to c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// BeginRequest records that a request will be written, in one write or several.
func (c *Conn) BeginRequest() { c.unwritten.Store(true) }

// EndRequest records that writing the request has ended, and the error if it failed.
func (c *Conn) EndRequest(err error) { c.unwritten.Store(err != nil) }

// IsWritten reports whether the last request has been written completely.
func (c *Conn) IsWritten() bool { return !c.unwritten.Load() }

// Write implements [io.Writer].
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements [io.Reader]. At the end of the input it waits for up to 200 ms until the
// request has been delivered. If the connection breaks before that, it returns the error of
// the write, or of the connection, in place of [io.EOF]. Writes fail from then on.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		if breakErr := c.awaitDelivery(); breakErr != nil {
			return n, breakErr
		}
	}
	return n, err
}

// awaitDelivery waits until the server has got all that was written, at most for closeGrace,
// and returns the error with which writing failed.
func (c *Conn) awaitDelivery() error {
	deadline := time.Now().Add(closeGrace)
	_ = c.SetWriteDeadline(deadline) // fails only if the connection is closed
	for {
		delivered, err := c.delivery()
		inTime := time.Now().Before(deadline)
		switch {
		case !inTime && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)):
			return nil // the server has not reset the connection
		case err != nil || delivered:
			return err
		}
		time.Sleep(deliveryInterval)
	}
}

// delivery waits for a write that is going on. It reports whether the request has been written
// and the server's kernel has got all of it, and returns the error with which writing failed.
func (c *Conn) delivery() (delivered bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	socket, ok := c.Conn.(syscall.Conn)
	if ok && c.writeErr == nil {
		c.writeErr = pendingError(socket)
	}
	if !ok || c.writeErr != nil {
		return c.IsWritten(), c.writeErr
	}
	unacknowledged, _ := Unacknowledged(socket) // where the kernel does not tell, what was written counts as delivered
	return c.IsWritten() && unacknowledged == 0, nil
}

// pendingError returns and clears the error that a socket holds for its next operation.
func pendingError(socket syscall.Conn) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	code := 0
	if err := raw.Control(func(fd uintptr) { code, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR) }); err != nil {
		return err
	}
	if code != 0 {
		return syscall.Errno(code)
	}
	return nil
}

// Unacknowledged returns the number of bytes written to a socket that the peer's kernel has
// not acknowledged.
func Unacknowledged(socket syscall.Conn) (int, error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, eris.Wrap(err, "get socket")
	}
	n := 0
	var queryErr error
	if err := raw.Control(func(fd uintptr) { n, queryErr = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) }); err != nil {
		return 0, eris.Wrap(err, "query send queue")
	}
	return n, eris.Wrap(queryErr, "query send queue")
}
