package awproof

import (
	"bufio"
	"bytes"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	kitlog "github.com/go-kit/log"
	"storj.io/drpc/drpcwire"

	"arbutuswind/io/awhttp"
	"arbutuswind/io/awrpc"
)

// guardedServer is a server whose handler keeps the bodies that it has read whole.
type guardedServer struct {
	guard *awhttp.Guard
	lis   *awhttp.Listener

	mu     sync.Mutex
	bodies [][]byte
}

func newGuard() *awhttp.Guard {
	return awhttp.NewGuard(awhttp.GuardConfig{MemoryBytes: 1 << 30, Files: 4096, Logger: kitlog.NewNopLogger()})
}

func newGuardedServer(f *testing.F) *guardedServer {
	s := &guardedServer{guard: newGuard()}
	lis, err := s.guard.Listen("127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	s.lis = lis
	srv := awhttp.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if body, err := io.ReadAll(r.Body); err == nil {
			s.mu.Lock()
			s.bodies = append(s.bodies, body)
			s.mu.Unlock()
		}
	}))
	srv.ErrorLog = log.New(io.Discard, "", 0)
	s.guard.Protect(srv)
	go func() { _ = srv.Serve(lis) }() // until the end of the test
	f.Cleanup(func() {
		for s.guard.Held() != 0 { // hangs if something stays accounted
			time.Sleep(time.Millisecond)
		}
		_ = srv.Close()
	})
	return s
}

// send sends data on one connection and returns the bodies that the handler has read.
func (s *guardedServer) send(t *testing.T, data []byte) [][]byte {
	s.bodies = nil
	conn, err := net.Dial("tcp", s.lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = conn.Write(data) // the server may close the connection before the end
	_ = conn.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bodies
}

// check sends data and compares the bodies with those that a plain reader finds. The
// server stops earlier than that reader at requests that it refuses.
func (s *guardedServer) check(t *testing.T, data []byte) {
	got := s.send(t, data)
	reader := bufio.NewReader(bytes.NewReader(data))
	afterPost := false
	for i, body := range got {
		if afterPost { // net/http ignores line ends there
			start, _ := reader.Peek(4)
			_, _ = reader.Discard(len(start) - len(bytes.TrimLeft(start, "\r\n")))
		}
		req, err := http.ReadRequest(reader)
		if err != nil {
			t.Fatalf("request %d of %d: %v", i, len(got), err)
		}
		afterPost = req.Method == http.MethodPost
		want, err := io.ReadAll(req.Body)
		if err != nil || !bytes.Equal(want, body) {
			t.Fatalf("body %d: got %q, want %q, %v", i, body, want, err)
		}
	}
}

// The fuzz targets below guard against input of clients that makes a server panic,
// that leaves bytes or connections accounted, or that changes a body.

func FuzzRequestHeaders(f *testing.F) {
	s := newGuardedServer(f)
	f.Add([]byte("A: b\r\nContent-Length: 2\r\n\r\nxy"))
	f.Add(append(bytes.Repeat([]byte("a:\r\n"), 4000), "\r\n"...))
	f.Add([]byte("Expect: 100-continue\r\nContent-Length: 3\r\n\r\nab"))
	f.Add([]byte("Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"))
	f.Fuzz(func(t *testing.T, data []byte) { s.check(t, append([]byte("POST / HTTP/1.1\r\nHost: a\r\n"), data...)) })
}

func FuzzRequestChunks(f *testing.F) {
	s := newGuardedServer(f)
	f.Add([]byte("3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("3;x=y\r\nabc\r\n0\r\nTrailer: z\r\n\r\n"))
	f.Add([]byte("ffffffffffffffff\r\nabc"))
	f.Add(bytes.Repeat([]byte("1\r\nx\r\n"), 1000))
	f.Fuzz(func(t *testing.T, data []byte) {
		s.check(t, append([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"), data...))
	})
}

func FuzzPipelinedRequests(f *testing.F) {
	s := newGuardedServer(f)
	one := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nxy"
	f.Add([]byte(one + one + one))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n" + one + "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\n" + one))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + one))
	f.Fuzz(func(t *testing.T, data []byte) { s.check(t, data) })
}

// oneConn is a listener with one connection.
type oneConn struct {
	net.Listener
	conn net.Conn
}

// Accept implements [net.Listener].
func (l oneConn) Accept() (net.Conn, error) { return l.conn, nil }

type bytesConn struct {
	net.Conn
	io.Reader
}

// Read implements [net.Conn].
func (c bytesConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

// Close implements [net.Conn].
func (c bytesConn) Close() error { return nil }

// FuzzFrames guards against frames of the internal protocol that the account of a
// connection reads otherwise than the protocol's reader.
func FuzzFrames(f *testing.F) {
	packet := func(kind drpcwire.Kind, size int, done bool) []byte {
		return drpcwire.AppendFrame(nil, drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: kind, Done: done, Data: make([]byte, size)})
	}
	f.Add(packet(drpcwire.KindInvoke, 10, true))
	f.Add(append(packet(drpcwire.KindMessage, 300, false), packet(drpcwire.KindMessage, 5, true)...))
	f.Add(packet(drpcwire.KindMessage, 0, true))
	f.Fuzz(func(t *testing.T, data []byte) {
		var size, largest int64
		for rest := data; len(rest) > 0; {
			next, frame, ok, err := drpcwire.ParseFrame(rest)
			if err != nil || !ok {
				return // the protocol's reader ends the connection, or waits for more
			}
			rest = next
			size += int64(len(frame.Data))
			largest = max(largest, size)
			if frame.Done {
				size = 0
			}
		}
		guard := newGuard()
		conn, err := awrpc.Guard(oneConn{conn: bytesConn{Reader: bytes.NewReader(data)}}, guard).Accept()
		if err != nil {
			t.Fatal(err)
		}
		before := guard.Held()
		if _, err := io.Copy(io.Discard, conn); err != nil {
			t.Fatal(err)
		}
		if got := guard.Held() - before; got != 2*largest {
			t.Fatalf("%d bytes are accounted for a message of %d", got, largest)
		}
		if err := conn.Close(); err != nil || guard.Held() != 0 {
			t.Fatalf("%d bytes are accounted after the end, %v", guard.Held(), err)
		}
	})
}
