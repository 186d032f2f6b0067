package awhttp

import (
	"syscall"

	"github.com/rotisserie/eris"
)

// ResetOnClose is the Control function of a [net.Dialer] whose connections are reset
// when they are closed. An HTTP client closes a connection when it gives up the
// request on it; an ordinary close leaves the bytes that have not been acknowledged
// with the kernel, which delivers them after the end of a partition.
func ResetOnClose(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptLinger(int(fd), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	})
	if err == nil {
		err = optErr
	}
	return eris.Wrap(err, "set linger time")
}
