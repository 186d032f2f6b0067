package awbackend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
)

const strayRejection = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

// serveScript accepts connections and answers the n-th request of each with the n-th
// response.
func serveScript(t *testing.T, responses ...string) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				br := bufio.NewReader(conn)
				for _, text := range responses {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					_, _ = io.WriteString(conn, text)
				}
				_, _ = io.Copy(io.Discard, br) // stays open
			}()
		}
	}()
	return lis.Addr().String()
}

// Guards against TWICE and REFUSED: a response without an id, which belongs to no
// request, is taken for the answer to the request that waits, and its statement that the
// request did not run is believed.
func TestResponseWithoutIDIsNoAnswer(t *testing.T) {
	strays := map[string]string{
		"rejection":  strayRejection,
		"redirected": "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
		"failure":    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 1\r\n\r\nx",
		"success":    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
	}
	for name, stray := range strays {
		t.Run(name+" before the answer", func(t *testing.T) {
			addr := serveScript(t, response("a", "one"), stray+response("b", "two"))
			p := NewPool(Config{Clock: awclock.System{}})
			_, _, err := get(t, p, addr, "a")
			require.NoError(t, err)
			body, status, err := get(t, p, addr, "b")
			require.NoError(t, err)
			require.Equal(t, 200, status)
			require.Equal(t, "two", body)
			require.Empty(t, p.idle["k"], "the connection carries what belongs to no request")
		})
		t.Run(name+" alone", func(t *testing.T) {
			addr := serveScript(t, response("a", "one"), stray)
			p := NewPool(Config{Clock: awclock.System{}})
			_, _, err := get(t, p, addr, "a")
			require.NoError(t, err)
			_, _, err = get(t, p, addr, "b")
			requireUnidentified(t, err)
		})
		t.Run(name+" on a new connection", func(t *testing.T) {
			start := time.Now()
			_, _, err := get(t, NewPool(Config{Clock: awclock.System{}}), serveScript(t, stray), "a")
			requireUnidentified(t, err)
			require.Less(t, time.Since(start), unidentifiedWait, "nothing else can follow")
		})
	}
}

func requireUnidentified(t *testing.T, err error) {
	t.Helper()
	var e *Error
	require.ErrorAs(t, err, &e)
	require.True(t, e.Sent, "the request may have run")
	var unidentified *UnidentifiedError
	require.ErrorAs(t, err, &unidentified)
}

// Guards against an answer to another request that is taken for the one to a request
// without an id.
func TestRequestWithoutIDGetsNewConnection(t *testing.T) {
	addr, dials := startServer(t, response("a", "one")+response("a", "two"), response("a", "bad"))
	p := NewPool(Config{Clock: awclock.System{}})
	_, _, err := get(t, p, addr, "a")
	require.NoError(t, err)
	body, _, err := get(t, p, addr, "")
	require.NoError(t, err)
	require.Equal(t, "one", body)
	require.Equal(t, 2, *dials)
}

// Guards against GONE: a request whose caller leaves while its answer is awaited behind a
// response without an id.
func TestCancelWhileAnswerIsAwaited(t *testing.T) {
	addr := serveScript(t, response("a", "one"), strayRejection)
	p := NewPool(Config{Clock: awclock.System{}})
	_, _, err := get(t, p, addr, "a")
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), unidentifiedWait/4)
	defer cancel()
	_, err = p.Do(ctx, "k", addr, Request{Method: "GET", URI: "/x", Host: "h", IDHeader: idHeader, ID: "b"})
	require.ErrorIs(t, err, context.DeadlineExceeded)
}
