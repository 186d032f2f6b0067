package awbackend

import (
	"net"
	"syscall"

	"arbutuswind/io/awhttp"
)

// isAcknowledged reports whether the peer's kernel has got all bytes that were
// written.
func isAcknowledged(c *net.TCPConn) bool {
	unacknowledged, err := awhttp.Unacknowledged(c)
	return err == nil && unacknowledged == 0
}

// usable reports whether an idle connection is still open and has no unread
// data. Data that arrived without a request makes it unusable, as does a close
// by the server.
func (c *conn) usable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.NetConn().(syscall.Conn)
	if !ok {
		return true // a fake connection in a test
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	openAndEmpty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		openAndEmpty = err == syscall.EAGAIN
		return true
	})
	return err == nil && openAndEmpty
}
