package awbackend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
)

const idHeader = "X-Id"

// startServer starts a server that sends the next of responses for each request
// of a connection and then closes the connection. It counts connections in dials.
func startServer(t *testing.T, responses ...string) (addr string, dials *int) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	dials = new(int)
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			*dials++
			go serveConn(conn, responses)
		}
	}()
	return lis.Addr().String(), dials
}

func serveConn(conn net.Conn, responses []string) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	for _, text := range responses {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

func get(t *testing.T, p *Pool, addr, id string) (string, int, error) {
	t.Helper()
	resp, err := p.Do(context.Background(), "k", addr, Request{Method: "GET", URI: "/x", Host: "h", IDHeader: idHeader, ID: id})
	if err != nil {
		return "", 0, err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), resp.Status, err
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// Guards against returning the response to another request: one that arrives
// before the expected one, one that follows it unrequested, and one without an
// id.
func TestResponseToOtherRequest(t *testing.T) {
	t.Run("earlier request first", func(t *testing.T) {
		addr, _ := startServer(t, response("old", "bad")+response("a", "good"))
		body, _, err := get(t, NewPool(Config{Clock: awclock.System{}}), addr, "a")
		require.NoError(t, err)
		require.Equal(t, "good", body)
	})
	t.Run("unrequested response after", func(t *testing.T) {
		addr, dials := startServer(t, response("a", "one")+response("a", "one"))
		p := NewPool(Config{Clock: awclock.System{}})
		_, _, err := get(t, p, addr, "a")
		require.NoError(t, err)
		_, _, err = get(t, p, addr, "b")
		require.Error(t, err, "the second connection has only responses to a")
		require.Equal(t, 2, *dials, "a connection with unread data must not be reused")
	})
	t.Run("without an id", func(t *testing.T) {
		addr, _ := startServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
		_, _, err := get(t, NewPool(Config{Clock: awclock.System{}}), addr, "a")
		require.Error(t, err)
	})
}

// Guards against treating a truncated response as complete, for each way in
// which HTTP delimits the body, and against rejecting a body that is delimited
// by the end of the connection.
func TestTruncatedResponse(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n"
	for _, tc := range []struct {
		name, response string
		complete       bool
	}{
		{"with a length", head + "Content-Length: 9\r\n\r\nshort", false},
		{"in chunks", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", false},
		{"in the head", head, false},
		{"no response at all", "", false},
		{"not HTTP", "hello there\r\n\r\n", false},
		{"up to the end of the connection", head + "\r\nshort", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr, _ := startServer(t, tc.response)
			_, _, err := get(t, NewPool(Config{Clock: awclock.System{}}), addr, "a")
			require.Equal(t, tc.complete, err == nil, "%v", err)
			var e *Error
			if errors.As(err, &e) {
				require.True(t, e.Sent, "the request may have run")
			}
		})
	}
}

// Guards against reporting a request as possibly run that was never sent, and
// against sending a request over a connection that the server has closed.
func TestRequestNotSent(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closedAddr := lis.Addr().String()
	require.NoError(t, lis.Close())
	p := NewPool(Config{Clock: awclock.System{}})
	_, _, err = get(t, p, closedAddr, "a")
	var e *Error
	require.ErrorAs(t, err, &e)
	require.False(t, e.Sent)

	addr, dials := startServer(t, response("a", "one"))
	for range 3 {
		body, _, err := get(t, p, addr, "a")
		require.NoError(t, err)
		require.Equal(t, "one", body)
		for _, c := range p.idle["k"] { // wait until the close by the server is visible
			_, _ = c.br.Peek(1)
		}
	}
	require.Equal(t, 3, *dials)
}

// acceptRequest accepts one connection and reads the header of its request.
func acceptRequest(lis net.Listener) (net.Conn, *bufio.Reader, error) {
	conn, err := lis.Accept()
	if err != nil {
		return nil, nil, err
	}
	br := bufio.NewReader(conn)
	_, err = http.ReadRequest(br)
	return conn, br, err
}

// Guards against reusing a connection to a server that responds before it has
// read a long body: it would take the rest of the body for the next request.
func TestResponseBeforeBodyIsRead(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer lis.Close()
	done := make(chan struct{})
	go func() {
		conn, _, err := acceptRequest(lis)
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, response("a", "no")); err != nil {
			return
		}
		<-done // never reads the rest of the body
		_ = conn.Close()
	}()
	defer close(done)
	p := NewPool(Config{Clock: awclock.System{}})
	resp, err := p.Do(context.Background(), "k", lis.Addr().String(), Request{
		Method: "POST", URI: "/", Host: "h", Body: []byte(strings.Repeat("x", 32<<20)), IDHeader: idHeader, ID: "a",
	})
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	resp.Close()
	require.Empty(t, p.idle["k"])
}

// Guards against a backend server that continues to work on a request that was
// cancelled.
func TestCancelClosesConnection(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer lis.Close()
	ctx, cancel := context.WithCancelCause(context.Background())
	errCallerLeft := errors.New("gone")
	closed := make(chan error, 1)
	go func() {
		_, br, err := acceptRequest(lis)
		if err != nil {
			return
		}
		cancel(errCallerLeft)
		_, err = br.ReadByte()
		closed <- err
	}()
	p := NewPool(Config{Clock: awclock.System{}})
	_, err = p.Do(ctx, "k", lis.Addr().String(), Request{Method: "GET", URI: "/", Host: "h"})
	require.ErrorIs(t, err, errCallerLeft)
	require.Error(t, <-closed)
}

// Guards against memory that grows without limit, and requests that never end,
// when a backend server sends bytes that are no response until the client closes
// the connection. The request may have run.
func TestBytesWithoutEnd(t *testing.T) {
	for name, start := range map[string]string{
		"junk":                  "",
		"header line":           "HTTP/1.1 200 OK\r\nX-Filler: ",
		"informational":         "HTTP/1.1 100 Continue\r\nX-Filler: ",
		"earlier request":       "HTTP/1.1 200 OK\r\n" + idHeader + ": old\r\n\r\n",
		"chunk of earlier one":  "HTTP/1.1 200 OK\r\n" + idHeader + ": old\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n",
		"line of a chunk":       "HTTP/1.1 200 OK\r\n" + idHeader + ": old\r\nTransfer-Encoding: chunked\r\n\r\n",
		"headers without a gap": "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: b\r\n", 20_000),
	} {
		t.Run(name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer lis.Close()
			sent, closed := 0, make(chan struct{})
			go func() {
				defer close(closed)
				conn, err := lis.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, err = io.WriteString(conn, start)
				filler := []byte(strings.Repeat("x", 16<<10))
				for err == nil {
					var n int
					n, err = conn.Write(filler)
					sent += n
				}
			}()
			_, _, err = get(t, NewPool(Config{Clock: awclock.System{}}), lis.Addr().String(), "a")
			var e *Error
			require.ErrorAs(t, err, &e)
			require.True(t, e.Sent)
			<-closed // the client has closed the connection
			require.Less(t, sent, 64<<20)
		})
	}
}
