package awgateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awdispatch"
	"arbutuswind/core/awretry"
	"arbutuswind/io/awbackend"
	"arbutuswind/io/awwatch"
)

// resumeHeaders is a codec that passes the ID of the last event on.
type resumeHeaders struct{ plainHeaders }

func (resumeHeaders) ForwardHeaders(h http.Header, info ForwardInfo) http.Header {
	h.Set("Last-Event-Id", info.ResumeAfter)
	return h
}

// Guards against events that are lost or doubled, grants that are not returned and
// too many runs when servers fall silent, fail and go on, and callers are slow or leave.
func TestHedgedStreamsUnderRandomFaults(t *testing.T) {
	const events, streams, servers, slots, attempts = 10, 40, 4, 30, 3
	var mu sync.Mutex
	running, most, runs := map[string]int{}, map[string]int{}, uint64(0)
	serve := func(w http.ResponseWriter, req *http.Request) {
		id := req.URL.Path
		mu.Lock()
		runs++
		rng := rand.New(rand.NewPCG(1, runs))
		running[id]++
		most[id] = max(most[id], running[id])
		mu.Unlock()
		defer func() {
			mu.Lock()
			defer mu.Unlock()
			running[id]--
		}()
		from := 0
		_, _ = fmt.Sscan(req.Header.Get("Last-Event-Id"), &from) // without the header, starts at the first event
		silentAt, failAt := rng.IntN(2*events), rng.IntN(4*events)
		for i := from + 1; i <= events; i++ {
			pause := time.Duration(rng.IntN(60)) * time.Millisecond
			if i == silentAt {
				pause = time.Duration(1150+rng.IntN(300)) * time.Millisecond
			}
			select {
			case <-time.After(pause):
			case <-req.Context().Done():
				return
			}
			if i == failAt {
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
			w.(http.Flusher).Flush()
		}
	}
	g := New(Config{
		Clock: awclock.System{}, Logger: log.NewNopLogger(), Headers: resumeHeaders{}, Domain: "d", Region: "r",
		Pool: awbackend.NewPool(awbackend.Config{Clock: awclock.System{}}), Retry: awretry.WindowConfig{MinRetries: 1000, Window: 10 * time.Second},
	})
	c := &awdirectory.Config{
		Version: 1, Services: []awdirectory.Service{{Name: "s"}},
		Routes: []awdirectory.Route{{
			Name: "events", Host: "h", Prefix: "/", Kind: awdirectory.Stream, Resumable: true, Public: true, MaxAttempts: attempts,
			Timeout: 20 * time.Second, LatencyObjective: time.Second, Targets: []awdirectory.Target{{Service: "s", Weight: 1}},
		}},
	}
	require.True(t, g.Configure(c.Index()))
	var list []awdirectory.Server
	for n := range servers {
		backend := httptest.NewServer(http.HandlerFunc(serve))
		t.Cleanup(backend.Close)
		list = append(list, awdirectory.Server{
			ID: fmt.Sprint(n), Service: "s", Address: backend.Listener.Addr().String(), Slots: slots, Domain: "d", Region: "r",
		})
	}
	g.Apply(awwatch.State{Servers: list, Entries: []awdirectory.Entry{{Name: "e"}}})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go g.Run(ctx)
	front := httptest.NewServer(g)
	t.Cleanup(front.Close)

	var want strings.Builder
	for i := 1; i <= events; i++ {
		_, _ = fmt.Fprintf(&want, "id: %d\ndata: %d\n\n", i, i)
	}
	var whole, cut atomic.Int64
	var callers sync.WaitGroup
	for n := range streams {
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(2, uint64(n)))
			for round := range 3 {
				callCtx, leave := context.WithCancel(ctx)
				if rng.IntN(4) == 0 {
					time.AfterFunc(time.Duration(rng.IntN(2500))*time.Millisecond, leave)
				}
				req, err := http.NewRequestWithContext(callCtx, http.MethodGet, fmt.Sprintf("%s/%d-%d", front.URL, n, round), nil)
				if err != nil {
					panic(err)
				}
				req.Host = "h"
				if resp, err := http.DefaultClient.Do(req); err == nil {
					body, err := io.ReadAll(resp.Body)
					_ = resp.Body.Close() // the error of reading is checked
					switch {
					case err == nil && resp.StatusCode == http.StatusOK && string(body) == want.String():
						whole.Add(1)
					case resp.StatusCode == http.StatusOK && (err == nil || !strings.HasPrefix(want.String(), string(body))):
						t.Errorf("%d-%d: invalid stream (%v): %q", n, round, err, body)
					default:
						cut.Add(1)
					}
				}
				leave()
			}
		})
	}
	callers.Wait()
	front.Close() // waits for the requests of callers who have left
	t.Logf("%d whole, %d cut or refused, %d hedged", whole.Load(), cut.Load(), g.metrics.silentSends.Get())
	require.Positive(t, g.metrics.silentSends.Get())
	mu.Lock()
	defer mu.Unlock()
	for id, n := range most {
		require.LessOrEqual(t, n, attempts, id)
	}
	require.Eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.exchange.unproven) == 0 && g.dispatch.Waiting() == 0
	}, time.Second, time.Millisecond)
	// An ejected server is chosen again after a success, which does not change its requests.
	var grants []*awdispatch.Grant
	for granted := true; granted; {
		granted = false
		g.mu.Lock()
		tk := g.dispatch.Submit(awdispatch.Request{Service: "s", Deadline: time.Now().Add(time.Minute)}, func(d awdispatch.Decision) {
			if d.Grant != nil {
				granted = true
				grants = append(grants, d.Grant)
			}
		})
		g.dispatch.Cancel(tk)
		g.mu.Unlock()
	}
	perServer := map[string]int{}
	for _, grant := range grants {
		perServer[grant.Server.ID]++
	}
	for id, n := range perServer {
		require.Equal(t, 2*slots, n, "server %s", id)
	}
}
