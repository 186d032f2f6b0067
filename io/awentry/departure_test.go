package awentry

import (
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
	"arbutuswind/internal/awgate"
	"arbutuswind/io/awhttp"
	"arbutuswind/io/awproto"
)

// Guards against GONE: a request whose caller has left while the entry did not run
// must reach no agent, and a close behind further bytes must end its work.
func TestCallerThatHasLeftCausesNoWork(t *testing.T) {
	const callers = 60
	for _, threads := range []int{1, 2, 8} {
		t.Run(fmt.Sprintf("%d threads", threads), func(t *testing.T) {
			old := runtime.GOMAXPROCS(threads)
			t.Cleanup(func() { runtime.GOMAXPROCS(old) })
			ended := make(chan struct{}, callers)
			agent := &scriptedAgent{digest: "d", serve: func(_ *scriptedAgent, stream awproto.DRPCAgent_ServeStream, _ *awproto.ServeStart) error {
				<-stream.Context().Done()
				ended <- struct{}{}
				return stream.Context().Err()
			}}
			e := withAgents(t, agent)
			e.sync.recordStoreRead(awclock.System{}.Now(), nil)
			go e.sync.pauseCheckLoop(t.Context())
			lis, err := awhttp.Listen("127.0.0.1:0")
			require.NoError(t, err)
			gate := &awgate.Listener{Listener: lis}
			srv := e.newCallerServer(nil)
			go func() { _ = serveHTTP(srv, gate) }()
			t.Cleanup(func() { _ = srv.Close() })
			addr := lis.Addr().String()
			completion := rawRequest("/v1/completions", "", `{"model":"m","prompt":"p","max_tokens":3,"stream":true}`)
			begun := func() int {
				agent.mu.Lock()
				defer agent.mu.Unlock()
				return len(agent.starts)
			}

			c := dialEntry(t, addr)
			c.write(t, completion)
			require.Eventually(t, func() bool { return begun() == 1 }, testTimeout, time.Millisecond)
			c.write(t, "\r\n")
			time.Sleep(50 * time.Millisecond) // net/http has read a byte
			_ = c.Close()
			select {
			case <-ended:
			case <-time.After(testTimeout):
				t.Fatal("the agent is still at work")
			}

			gate.Hold()
			for range callers {
				c := dialEntry(t, addr)
				_, err := io.WriteString(c, completion)
				require.NoError(t, err)
				_ = c.Close()
			}
			time.Sleep(50 * time.Millisecond) // the last close arrives
			gate.Release()
			last := dialEntry(t, addr)
			last.write(t, completion)
			require.Eventually(t, func() bool { return begun() > 1 }, testTimeout, time.Millisecond)
			require.Eventually(t, func() bool { return e.running.Load() == 1 }, testTimeout, time.Millisecond)
			require.Equal(t, 2, begun(), "requests reached the agent")
		})
	}
}
