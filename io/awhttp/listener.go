package awhttp

import (
	"net"

	"github.com/rotisserie/eris"
)

// sendBufferBytes limits what the kernel buffers for a client that reads slowly.
// Without a limit the buffer grows to several megabytes per connection, and the
// response is produced long before the client reads it.
const sendBufferBytes = 16 << 10

// Listen returns a TCP listener whose connections have limited send buffers.
func Listen(addr string) (net.Listener, error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", addr)
	}
	return boundedListener{lis}, nil
}

type boundedListener struct{ net.Listener }

// Accept limits the send buffer of each connection.
func (l boundedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		_ = tcp.SetWriteBuffer(sendBufferBytes) // a failure only costs kernel memory
	}
	return conn, err
}
