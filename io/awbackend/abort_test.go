package awbackend

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
)

// serveUntilClosed accepts one connection, sends a response and returns the error
// with which the connection ends.
func serveUntilClosed(t *testing.T, response string) (address string, arrived chan struct{}, ended chan error) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	arrived, ended = make(chan struct{}), make(chan error, 1)
	go func() {
		c, err := lis.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer c.Close()
		if _, err := c.Read(make([]byte, 4096)); err != nil {
			ended <- err
			return
		}
		if _, err := io.WriteString(c, response); err != nil {
			ended <- err
			return
		}
		close(arrived)
		_, err = io.Copy(io.Discard, c)
		ended <- err
	}()
	return lis.Addr().String(), arrived, ended
}

// Guards rules EVAC, DRAIN and GONE: the bytes of a request that is given up behind
// a partition must not reach the backend server after it. Only a reset takes them
// back from the kernel.
func TestRequestThatIsGivenUpIsReset(t *testing.T) {
	const streamStart = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nid: \r\n"
	for _, tc := range []struct {
		name, response string
		cancelled      bool
	}{
		{"cancelled before the response", "", true},
		{"cancelled in mid-stream", streamStart, true},
		{"closed in mid-stream", streamStart, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address, arrived, ended := serveUntilClosed(t, tc.response)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() {
				<-arrived
				if tc.cancelled {
					cancel()
				}
			}()
			resp, err := NewPool(Config{Clock: awclock.System{}}).Do(ctx, "a", address, Request{Method: "GET", URI: "/"})
			if err == nil {
				resp.Close()
			}
			err = <-ended
			require.ErrorIs(t, err, syscall.ECONNRESET)
		})
	}
}
