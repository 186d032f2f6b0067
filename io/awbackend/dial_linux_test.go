package awbackend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
)

// Guards against a connection that fails although only its first packet was lost.
func TestLostFirstPacketOfConnection(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer lis.Close()
	raw, err := lis.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }))
	require.NoError(t, err)
	// The kernel drops further SYNs while the backlog is full.
	waiting, err := net.Dial("tcp", lis.Addr().String())
	require.NoError(t, err)
	defer waiting.Close()
	time.AfterFunc(300*time.Millisecond, func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, response("a", "ok"))
				}
			}()
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	start := time.Now()
	resp, err := NewPool(Config{Clock: awclock.System{}}).Do(ctx, "k", lis.Addr().String(), Request{Method: "GET", URI: "/", Host: "h", IDHeader: idHeader, ID: "a"})
	require.NoError(t, err)
	resp.Close()
	require.Greater(t, time.Since(start), 300*time.Millisecond, "the first packet must be lost")
}
