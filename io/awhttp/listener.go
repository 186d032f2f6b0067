package awhttp

import (
	"net"
	"net/http"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// sendBufferBytes limits what the kernel buffers for a client that reads slowly.
// Without a limit the buffer grows to several megabytes per connection, and the
// response is produced long before the client reads it.
const sendBufferBytes = 16 << 10

// Listener is a TCP listener whose connections have limited send buffers.
type Listener struct {
	net.Listener
	guard    *Guard // nil for a listener without bounds
	conns    connSet
	draining atomic.Bool // Drain has been called
}

// Listen returns a listener on addr that bounds nothing but the send buffers.
func Listen(addr string) (*Listener, error) { return (*Guard)(nil).Listen(addr) }

// Listen returns a listener on addr whose connections g bounds. The server must have
// been passed to [Guard.Protect].
func (g *Guard) Listen(addr string) (*Listener, error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", addr)
	}
	return &Listener{Listener: lis, guard: g}, nil
}

// Accept returns the next connection. It returns [http.ErrServerClosed] once
// Drain has been called.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil && l.draining.Load() {
			return nil, http.ErrServerClosed
		}
		tcp, ok := accepted.(*net.TCPConn)
		if err != nil || !ok {
			return accepted, err
		}
		_ = tcp.SetWriteBuffer(sendBufferBytes) // a failure only costs kernel memory
		c, err := l.conns.add(tcp, l.guard)
		if c != nil || err != nil {
			return c, err
		}
	}
}
