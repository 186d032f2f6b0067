package awbackend

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"syscall"
	"testing"
	"time"

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

// Guards rules EVAC, DRAIN and GONE: the backend server must learn that a request
// which it has got is given up.
func TestRequestThatIsGivenUpIsClosed(t *testing.T) {
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
			if err := <-ended; err != nil {
				require.ErrorIs(t, err, syscall.ECONNRESET)
			}
		})
	}
}

// Guards rules EVAC and DRAIN: the bytes of a request that is given up behind a
// partition must not reach the backend server after it. Only a reset takes them back
// from the kernel.
func TestUndeliveredRequestIsReset(t *testing.T) {
	for _, size := range []int{maxInlineBodyBytes, 8 << 20} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer lis.Close()
			raw, err := lis.(*net.TCPListener).SyscallConn()
			require.NoError(t, err)
			require.NoError(t, raw.Control(func(fd uintptr) { // connections inherit the size
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1)
			}))
			require.NoError(t, err)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			c, done := make(chan net.Conn, 1), make(chan struct{})
			go func() {
				conn, err := lis.Accept()
				if err != nil {
					t.Error(err)
				}
				c <- conn
			}()
			go func() {
				defer close(done)
				_, err := NewPool(Config{Clock: awclock.System{}}).Do(ctx, "a", lis.Addr().String(), Request{Method: "POST", URI: "/", Body: make([]byte, size)})
				if !errors.Is(err, context.Canceled) {
					t.Error(err)
				}
			}()
			conn := <-c
			defer conn.Close()
			time.Sleep(50 * time.Millisecond) // the receive buffer is full
			cancel()
			<-done
			time.Sleep(2 * acknowledgementChecks * acknowledgementInterval) // a partition that lasts
			_, err = io.Copy(io.Discard, conn)
			require.ErrorIs(t, err, syscall.ECONNRESET)
		})
	}
}

// Guards against GONE: a reset that is lost is not repeated, and the backend server
// works on.
func TestLostResetDoesNotHideThatRequestIsGivenUp(t *testing.T) {
	address, arrived, ended := serveUntilClosed(t, "")
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer lis.Close()
	go func() {
		client, err := lis.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		if _, err := io.Copy(server, client); err == nil {
			_ = server.Close() // a close arrives in the end, a reset does not
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		time.Sleep(50 * time.Millisecond) // the request is acknowledged
		cancel()
	}()
	_, err = NewPool(Config{Clock: awclock.System{}}).Do(ctx, "a", lis.Addr().String(), Request{Method: "GET", URI: "/"})
	require.ErrorIs(t, err, context.Canceled)
	require.Eventually(t, func() bool { return len(ended) == 1 }, 5*time.Second, time.Millisecond, "the backend server is still at work")
}
