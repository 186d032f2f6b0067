package awgateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awretry"
	"arbutuswind/internal/awgate"
	"arbutuswind/io/awbackend"
	"arbutuswind/io/awhttp"
	"arbutuswind/io/awwatch"
)

// leavingCallers is the number of callers that leave at the same time.
const leavingCallers = 60

// threadCounts are the numbers of threads with which tests of departures run.
var threadCounts = []int{1, 2, 8}

// setThreads sets the number of threads until the test ends.
func setThreads(t *testing.T, n int) {
	old := runtime.GOMAXPROCS(n)
	t.Cleanup(func() { runtime.GOMAXPROCS(old) })
}

// departures is a gateway before one backend server that works on each request until
// its connection closes. It answers those whose path begins with /warm as soon as as
// many have arrived as there are callers.
type departures struct {
	address string
	gate    *awgate.Listener
	handled atomic.Int64  // requests that the gateway has dealt with
	begun   atomic.Int64  // requests that the backend server has begun
	ended   chan struct{} // one element for each request that the backend server has given up
}

func newDepartures(t *testing.T) *departures {
	t.Helper()
	d := &departures{ended: make(chan struct{}, leavingCallers)}
	var warm sync.WaitGroup
	warm.Add(leavingCallers)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/once/warm" {
			warm.Done()
			warm.Wait()
			return
		}
		d.begun.Add(1)
		<-r.Context().Done()
		d.ended <- struct{}{}
	}))
	t.Cleanup(backend.Close)
	t.Cleanup(backend.CloseClientConnections)
	g := New(Config{
		Clock: awclock.System{}, Logger: log.NewNopLogger(), Headers: plainHeaders{}, Domain: "d", Region: "r",
		Pool: awbackend.NewPool(awbackend.Config{Clock: awclock.System{}}), Retry: awretry.WindowConfig{MinRetries: 100, Window: 10 * time.Second},
	})
	route := func(kind awdirectory.RequestKind, prefix string) awdirectory.Route {
		return awdirectory.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Resumable: kind == awdirectory.Stream, Public: true, MaxAttempts: 3,
			Timeout: 20 * time.Second, LatencyObjective: 20 * time.Second, Targets: []awdirectory.Target{{Service: "s", Weight: 1}},
		}
	}
	c := &awdirectory.Config{
		Version: 1, Services: []awdirectory.Service{{Name: "s", ColdRate: 2}},
		Routes: []awdirectory.Route{route(awdirectory.Idempotent, "/once/"), route(awdirectory.Stream, "/events/")},
	}
	require.True(t, g.Configure(c.Index()))
	g.Apply(awwatch.State{
		Servers: []awdirectory.Server{{ID: "a", Service: "s", Address: backend.Listener.Addr().String(), Slots: 2 * leavingCallers, Domain: "d", Region: "r"}},
		Entries: []awdirectory.Entry{{Name: "e"}},
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go g.Run(ctx)
	lis, err := awhttp.Listen("127.0.0.1:0")
	require.NoError(t, err)
	d.address, d.gate = lis.Addr().String(), &awgate.Listener{Listener: lis}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer d.handled.Add(1)
		g.ServeHTTP(w, r)
	})}
	awhttp.TrackConnections(srv)
	go func() { _ = srv.Serve(d.gate) }()
	t.Cleanup(func() { _ = srv.Close() })
	return d
}

// warm fills the gateway's pool of connections to the backend server.
func (d *departures) warm(t *testing.T) {
	t.Helper()
	var group sync.WaitGroup
	for range leavingCallers {
		group.Go(func() {
			c := d.write(t, "GET", "/once/warm")
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		})
	}
	group.Wait()
	require.Eventually(t, func() bool { return d.handled.Load() == leavingCallers }, 10*time.Second, time.Millisecond)
}

// write connects to the gateway and writes a request.
func (d *departures) write(t *testing.T, method, path string) net.Conn {
	c, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Error(err)
		return nil
	}
	body, length := "", ""
	if method == http.MethodPost {
		body, length = "x", "Content-Length: 1\r\n"
	}
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\n%s\r\n%s", method, path, length, body); err != nil {
		t.Error(err)
	}
	return c
}

// Guards against GONE: a request whose caller has left while the gateway did not run
// must not be sent.
func TestRequestOfCallerThatHasLeftIsNotSent(t *testing.T) {
	for _, threads := range threadCounts {
		for _, path := range []string{"/once/x", "/events/x"} {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				for _, idle := range []bool{false, true} {
					t.Run(fmt.Sprintf("%d threads/%s %s/idle connections=%t", threads, method, path, idle), func(t *testing.T) {
						setThreads(t, threads)
						d := newDepartures(t)
						if idle {
							d.warm(t)
						}
						before := d.handled.Load()
						d.gate.Hold()
						for range leavingCallers {
							_ = d.write(t, method, path).Close()
						}
						time.Sleep(50 * time.Millisecond) // the last close arrives
						d.gate.Release()
						require.Eventually(t, func() bool { return d.handled.Load() == before+leavingCallers }, 10*time.Second, time.Millisecond)
						require.Zero(t, d.begun.Load(), "requests reached the backend server")
					})
				}
			}
		}
	}
}

// Guards against GONE: net/http reads no further than the first byte after a request,
// so it misses a close behind it.
func TestCloseBehindFurtherBytesEndsWork(t *testing.T) {
	for _, threads := range threadCounts {
		for _, path := range []string{"/once/x", "/events/x"} {
			for _, further := range []string{"\r\n", "GET /once/y HTTP/1.1\r\nHost: h\r\n\r\n"} {
				t.Run(fmt.Sprintf("%d threads/%s/%d bytes", threads, path, len(further)), func(t *testing.T) {
					setThreads(t, threads)
					d := newDepartures(t)
					c := d.write(t, http.MethodPost, path)
					require.Eventually(t, func() bool { return d.begun.Load() == 1 }, 10*time.Second, time.Millisecond)
					_, err := io.WriteString(c, further)
					require.NoError(t, err)
					time.Sleep(50 * time.Millisecond) // net/http has read a byte
					_ = c.Close()
					select {
					case <-d.ended:
					case <-time.After(5 * time.Second):
						t.Fatal("the backend server is still at work")
					}
				})
			}
		}
	}
}
