package awhttp

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// closeGrace is how long writes may go on after the end of the input. A server that has
	// closed both directions resets them within a round trip, while one that reads on does
	// not.
	closeGrace = 200 * time.Millisecond
	// writeGap is the longest time between two writes of one request. Requests are written
	// from memory.
	writeGap = 5 * time.Millisecond
)

// Conn is a connection of a client. Its reads return [io.EOF] only after the server has
// closed it in order, so that a response whose end is that of the connection is whole.
//
// The kernel reports the reset of a connection once, to a read or to a write. If a write
// gets it, reads return what has arrived before and then io.EOF. The same shows if a server
// closes the connection while the request is being written, because it ended or broke off.
// An orderly server that does not need the rest of a request first closes only its sending
// direction, and reads on (RFC 9112, section 9.6).
type Conn struct {
	net.Conn

	mu       sync.Mutex // held during writes
	writeErr error      // of the first write that failed
	wrote    time.Time  // when the last write ended
}

// NewConn returns a connection that reads from and writes to c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements [io.Writer].
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	c.wrote = time.Now()
	return n, err
}

// Read implements [io.Reader]. At the end of the input it waits for up to 200 ms until the
// request has been written. If a write has failed, it returns the error of that write in
// place of [io.EOF]. Writes fail from then on.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		if writeErr := c.awaitWrites(); writeErr != nil {
			return n, writeErr
		}
	}
	return n, err
}

// awaitWrites waits for the end of the writes that are going on, at most for closeGrace, and
// returns the error of the first write that failed.
func (c *Conn) awaitWrites() error {
	deadline := time.Now().Add(closeGrace)
	_ = c.SetWriteDeadline(deadline) // fails only if the connection is closed
	for {
		c.mu.Lock()
		err, idle := c.writeErr, time.Since(c.wrote)
		c.mu.Unlock()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(deadline):
			return nil // the server has not reset the connection
		case err != nil || idle >= writeGap:
			return err
		}
		time.Sleep(writeGap - idle)
	}
}
