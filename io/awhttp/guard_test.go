package awhttp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
)

// startGuarded starts a server whose guard has 358 KiB for clients.
func startGuarded(t *testing.T, files int, h http.HandlerFunc) (*Guard, string) {
	t.Helper()
	g := NewGuard(GuardConfig{MemoryBytes: 1 << 20, Files: files, Logger: log.NewNopLogger()})
	return g, serveGuarded(t, g, h)
}

// serveGuarded starts a server with the given guard and returns its address.
func serveGuarded(t *testing.T, g *Guard, h http.HandlerFunc) string {
	t.Helper()
	lis, err := g.Listen("127.0.0.1:0")
	require.NoError(t, err)
	srv := NewServer(h)
	g.Protect(srv)
	go func() { _ = srv.Serve(lis) }() // until the end of the test
	t.Cleanup(func() { _ = srv.Close() })
	return lis.Addr().String()
}

func serveBody(w http.ResponseWriter, r *http.Request) {
	_, err := io.Copy(io.Discard, r.Body)
	switch {
	case errors.Is(err, ErrShort):
		w.WriteHeader(http.StatusServiceUnavailable)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// exchange sends a request with a body of size bytes on a connection of its own and
// returns the status, or 0 if the connection was closed.
func exchange(t *testing.T, addr string, size int) int {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Guards against a client that sends slowly but steadily losing its connection to
// others that stop short of the end of their bodies.
func TestSteadyClientOutlastsStoppedOnes(t *testing.T) {
	g, addr := startGuarded(t, 4096, serveBody)
	steady, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer steady.Close()
	const pieces, piece = 25, 4 << 10
	_, err = fmt.Fprintf(steady, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", pieces*piece)
	require.NoError(t, err)
	for range pieces {
		_, err = steady.Write(make([]byte, piece))
		require.NoError(t, err)
		stopped, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		defer stopped.Close()
		_, _ = fmt.Fprintf(stopped, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n%s", strings.Repeat("x", 150000))
		time.Sleep(5 * time.Millisecond)
	}
	resp, err := http.ReadResponse(bufio.NewReader(steady), nil)
	require.NoError(t, err)
	_ = resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.LessOrEqual(t, g.Held(), g.limits.Bytes)
}

// Guards against the refusal of a request because of bytes whose connection is being
// chosen to be closed.
func TestRequestIsNotRefusedForBytesThatMayBeFreed(t *testing.T) {
	g := NewGuard(GuardConfig{MemoryBytes: 1 << 20, Files: 4096, Logger: log.NewNopLogger()})
	account := func() *Account {
		a := g.Account(func() {}, nil)
		require.True(t, a.Admit())
		return a
	}
	steady, stopped := account(), account()
	steady.Read(100)
	steady.headerRead(nil)
	steady.Read(2 * smallRequest)

	g.choosing.Lock()
	chosen, passed := make(chan struct{}), make(chan error, 1)
	go func() {
		stopped.Read(int(g.limits.Bytes))
		close(chosen)
	}()
	require.Eventually(t, func() bool { return g.Held() > g.limits.Bytes }, 10*time.Second, time.Millisecond)
	go func() { passed <- steady.pass() }()
	time.Sleep(50 * time.Millisecond) // an early refusal shows in this time
	g.choosing.Unlock()
	require.NoError(t, <-passed)
	<-chosen
	require.LessOrEqual(t, g.Held(), g.limits.Bytes)
}

// Guards against large requests that are passed on while those before them hold all
// bytes, and against small ones that are refused then.
func TestLargeRequestIsRefusedWhileOthersHoldAllBytes(t *testing.T) {
	running, release := make(chan struct{}), make(chan struct{})
	g, addr := startGuarded(t, 4096, func(w http.ResponseWriter, r *http.Request) {
		serveBody(w, r)
		if r.ContentLength > 300_000 {
			close(running)
			<-release
		}
	})
	first := make(chan int, 1)
	go func() { first <- exchange(t, addr, 335_000) }()
	<-running
	require.NotEqual(t, http.StatusOK, exchange(t, addr, 30_000))
	require.Equal(t, http.StatusOK, exchange(t, addr, 1000))
	close(release)
	require.Equal(t, http.StatusOK, <-first)
	require.Eventually(t, func() bool { return g.Held() == 0 }, 10*time.Second, time.Millisecond)
	require.Equal(t, http.StatusOK, exchange(t, addr, 30_000))
}

// Guards against idle connections that keep out new ones.
func TestNewConnectionReplacesIdleOne(t *testing.T) {
	g, addr := startGuarded(t, ownFiles, serveBody)
	for range 2 * minFiles {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		defer conn.Close()
	}
	require.Equal(t, http.StatusOK, exchange(t, addr, 100))
	require.LessOrEqual(t, g.files(), g.limits.MaxFiles())
}

// Guards against a refused body that arrives late and is handled as another request:
// net/http must see its own kind of body to end the connection.
func TestLateBodyOfRefusedRequestIsNoRequest(t *testing.T) {
	refused := make(chan struct{})
	_, addr := startGuarded(t, 4096, func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			t.Errorf("the body was handled as a request for %s", r.URL.Path)
			return
		}
		RespondEarly(w, r, 1<<20, 10*time.Second, func() {
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(http.StatusForbidden)
		})
		close(refused)
	})
	const body = "GET /body HTTP/1.1\r\nHost: a\r\n\r\n"
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", len(body))
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_ = resp.Body.Close()
	require.Equal(t, http.StatusForbidden, resp.StatusCode)
	<-refused
	_, _ = conn.Write([]byte(body)) // fails if the connection has ended
	_, err = http.ReadResponse(reader, nil)
	require.Error(t, err, "a second response")
}

// Guards against a request that is decoded from the bytes that come with a refusal.
func TestRefusedBodyYieldsNoLastBytes(t *testing.T) {
	g := NewGuard(GuardConfig{MemoryBytes: 1 << 20, Files: 4096, Logger: log.NewNopLogger()})
	a := g.Account(func() {}, nil)
	require.True(t, a.Admit())
	a.Close()
	body := &guardedBody{ReadCloser: io.NopCloser(iotest.DataErrReader(strings.NewReader("{}"))), account: a}
	n, err := body.Read(make([]byte, 10))
	require.ErrorIs(t, err, net.ErrClosed)
	require.Zero(t, n)
}

// Guards against closing a connection that was chosen while it could be closed and has
// moved since: a peer of the internal protocol whose next message has arrived, and a
// client whose next response is being written.
func TestChosenConnectionThatMovesStaysOpen(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	g := NewGuard(GuardConfig{MemoryBytes: 1 << 20, Files: 4096, Logger: log.NewNopLogger(), Now: func() time.Time { return now }})
	closed := 0
	open := func() *Account {
		a := g.Account(func() { closed++ }, nil)
		require.True(t, a.Admit())
		return a
	}
	peer, client := open(), open()
	peer.WroteMessage(1)
	serve := func() {
		client.Read(10)
		client.headerRead(nil)
		require.NoError(t, client.pass())
		client.beginWrite()
	}
	serve()
	now = now.Add(silentPeer + time.Second)
	require.True(t, peer.state(now, false).MayBeClosed())
	require.True(t, client.state(now, false).MayBeClosed())
	peer.ReadMessage(1, 0, false)
	client.endWrite(10)
	client.finish()
	serve()
	require.False(t, peer.shut(now))
	require.False(t, client.shut(now))
	require.Zero(t, closed)
	now = now.Add(silentPeer + time.Second)
	require.True(t, peer.shut(now))
	require.True(t, client.shut(now))
	require.Equal(t, 2, closed)
}

// Guards against small receive buffers in calm conditions, which slow down large bodies,
// and against buffers that the kernel sizes for a crowd or while clients hold much.
func TestReceiveBufferIsFixedOnlyUnderPressure(t *testing.T) {
	g := NewGuard(GuardConfig{MemoryBytes: 64 << 20, Files: 1000, Logger: log.NewNopLogger()})
	require.Zero(t, g.receiveBuffer())
	var first *Account
	for range g.limits.Files / 4 {
		first = g.Account(func() {}, nil)
		require.True(t, first.Admit())
	}
	require.Equal(t, maxReceiveBuffer, g.receiveBuffer())
	first.Close()
	require.Zero(t, g.receiveBuffer())
	first = g.Account(func() {}, nil)
	first.Hold(int(g.limits.Bytes / 2))
	require.NotZero(t, g.receiveBuffer())
}

// Guards against new connections that are reset, instead of refused with a response,
// while requests that were passed on take all descriptors.
func TestRequestIsRefusedWhileOthersTakeAllDescriptors(t *testing.T) {
	running, release := make(chan struct{}, minFiles), make(chan struct{})
	now := time.Now() // stands still, so that no connection ceases to count as new
	g := NewGuard(GuardConfig{MemoryBytes: 64 << 20, Files: ownFiles, Logger: log.NewNopLogger(), Now: func() time.Time { return now }})
	addr := serveGuarded(t, g, func(w http.ResponseWriter, r *http.Request) {
		serveBody(w, r)
		running <- struct{}{}
		<-release
	})
	const served = (minFiles + minFiles/servedReserve) / 2
	statuses := make(chan int, served)
	for range served {
		go func() { statuses <- exchange(t, addr, 100) }()
		<-running
	}
	for range 5 {
		// The server closes the previous connection after its client has read the refusal.
		require.Eventually(t, func() bool { return g.files() == 2*served }, 10*time.Second, time.Millisecond)
		require.Equal(t, http.StatusServiceUnavailable, exchange(t, addr, 100))
	}
	close(release)
	for range served {
		require.Equal(t, http.StatusOK, <-statuses)
	}
	require.Eventually(t, func() bool { return g.files() == 0 }, 10*time.Second, time.Millisecond)
	require.Equal(t, http.StatusOK, exchange(t, addr, 100))
}

// Guards against a choice among all connections by each of many goroutines that wait for
// the same choice, or again and again while no connection may be closed.
func TestChoiceIsNotRepeated(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	serve := func(g *Guard, n, bytes int) {
		for range n {
			a := g.Account(func() {}, nil)
			a.Admit()
			a.Read(1)
			require.NoError(t, a.pass())
			a.Hold(bytes)
		}
	}
	for name, tc := range map[string]struct{ memory, conns, bytes int }{
		"bytes":       {1 << 20, 5, 100_000},
		"descriptors": {64 << 20, 18, 0},
	} {
		g := NewGuard(GuardConfig{MemoryBytes: int64(tc.memory), Files: ownFiles, Logger: log.NewNopLogger(), Now: func() time.Time { return now }})
		serve(g, tc.conns, tc.bytes)
		g.passed.Add(1) // as by the next request that is passed on
		g.checkFiles()
		require.True(t, g.held.Load() > g.limits.Bytes || g.files() > g.limits.MaxFiles(), name)
		chosen := g.chosen.Load()
		require.NotZero(t, chosen, name)
		now = now.Add(time.Millisecond)
		g.checkFiles()
		g.checkBytes()
		g.reclaim(false) // as a goroutine that has waited
		require.Equal(t, chosen, g.chosen.Load(), name)
		now = now.Add(time.Hour)
	}
}

// Guards against closing connections because the process stood still: a write that is
// under way has then waited for the process and not for its client.
func TestFreezeDoesNotCountAsBlocked(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	g := NewGuard(GuardConfig{MemoryBytes: 1 << 20, Files: 4096, Logger: log.NewNopLogger(), Now: func() time.Time { return now }})
	g.recordTick()
	a := g.Account(func() {}, nil)
	require.True(t, a.Admit())
	a.Read(10)
	require.NoError(t, a.pass())
	a.beginWrite()
	now = now.Add(time.Hour)
	require.False(t, a.state(g.running(), false).MayBeClosed(), "before the first tick")
	g.recordTick()
	require.False(t, a.state(g.running(), false).MayBeClosed(), "after the first tick")
	for range 5 {
		now = now.Add(sampleInterval)
		g.recordTick()
	}
	require.True(t, a.state(g.running(), false).MayBeClosed())
}

// Guards against closing idle connections as if no request were on the way, after a
// freeze in which requests have arrived on them.
func TestArrivedRequestIsSeenOnIdleConnection(t *testing.T) {
	g := NewGuard(GuardConfig{MemoryBytes: 1 << 20, Files: 4096, Logger: log.NewNopLogger()})
	lis, err := g.Listen("127.0.0.1:0")
	require.NoError(t, err)
	defer lis.Close()
	client, err := net.Dial("tcp", lis.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	accepted, err := lis.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	c := accepted.(*trackedConn)
	c.waiting = true // as when the process stands still while the server waits for data
	a := c.account
	a.Read(10)
	require.NoError(t, a.pass())
	a.beginWrite()
	a.endWrite(10)
	a.finish()
	require.False(t, a.state(g.running(), false).Arrived)
	_, err = client.Write([]byte("GET"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return a.state(g.running(), false).Arrived }, 10*time.Second, time.Millisecond)
}
