package awhttp

import (
	"net"

	"github.com/rotisserie/eris"
)

// callerBufferBytes bounds what the kernel holds for a caller that reads
// slowly. Without a bound it grows to several megabytes for each connection,
// and the answer is produced long before anyone reads it.
const callerBufferBytes = 16 << 10

// Listen opens a listener whose connections have bounded send buffers.
func Listen(addr string) (net.Listener, error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", addr)
	}
	return boundedListener{lis}, nil
}

type boundedListener struct{ net.Listener }

// Accept bounds the send buffer of each connection.
func (l boundedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		_ = tcp.SetWriteBuffer(callerBufferBytes) // failing costs kernel memory only
	}
	return conn, err
}
