package awentry

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awoutcome"
	"arbutuswind/io/awhttp"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awsettings"
)

// serveCallers serves callers until stop is called, which stops the entry as
// Run does. It returns the address.
func serveCallers(t *testing.T, e *Entry) (addr string, stop func()) {
	e.sync.recordStoreRead(awclock.System{}.Now(), nil)
	require.NoError(t, e.ready())
	go e.sync.pauseCheckLoop(t.Context())
	lis, err := awhttp.Listen("127.0.0.1:0")
	require.NoError(t, err)
	srv := e.newCallerServer(nil)
	go func() { _ = serveHTTP(srv, lis) }()
	return lis.Addr().String(), func() {
		e.drain(lis, srv)
		_ = srv.Close()
	}
}

// holdStream sends one token and then blocks until the entry ends the stream.
func holdStream(s *scriptedAgent, stream awproto.DRPCAgent_ServeStream, _ *awproto.ServeStart) error {
	_ = stream.Send(&awproto.ServeDown{Body: &awproto.ServeDown_Accepted{Accepted: &awproto.Accepted{VersionDigest: s.digest}}})
	_ = stream.Send(&awproto.ServeDown{Body: &awproto.ServeDown_Frame{Frame: &awproto.Frame{
		Tokens: 1, Data: []byte("a"), VersionDigest: s.digest,
	}}})
	<-stream.Context().Done()
	return stream.Context().Err()
}

// Guards GracefulStop: readiness is false before the listener closes, and a
// request that a second signal terminates is counted and ends with an error
// event, never as if it were complete.
func TestSecondSignalCutsVisibly(t *testing.T) {
	e := withAgents(t, &scriptedAgent{digest: "d", serve: holdStream})
	forced := make(chan struct{})
	e.cfg.Forced = forced
	addr, stop := serveCallers(t, e)

	resp, err := http.Post("http://"+addr+"/v1/completions", "application/json",
		strings.NewReader(`{"model":"m","prompt":"p","max_tokens":3,"stream":true}`))
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	before := cutRequests.Get()
	drained := make(chan struct{})
	go func() {
		stop()
		close(drained)
	}()
	require.Eventually(t, func() bool { return e.ready() != nil }, testTimeout, time.Millisecond)
	require.NoError(t, e.accepting(), "requests that still arrive are served")
	close(forced)
	<-drained
	body, _ := io.ReadAll(resp.Body) // the connection may be closed
	require.Contains(t, string(body), "event: error")
	require.NotContains(t, string(body), "[DONE]")
	require.Equal(t, before+1, cutRequests.Get())
	_, err = net.Dial("tcp", addr)
	require.Error(t, err, "the listener is closed")
}

// openConn is one connection of a caller.
type openConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialEntry(t *testing.T, addr string) *openConn {
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return &openConn{Conn: conn, reader: bufio.NewReader(conn)}
}

func (c *openConn) write(t *testing.T, data string) {
	_, err := io.WriteString(c, data)
	require.NoError(t, err)
}

func (c *openConn) read(t *testing.T, name string) (*http.Response, string) {
	resp, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err, name)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err, name)
	return resp, string(body)
}

func rawRequest(path, header, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s", path, header, len(body), body)
}

// Guards GracefulStop: a stopping entry must answer requests that it reads from
// connections that are open when the listener closes.
func TestStopAnswersRequestsOnOpenConnections(t *testing.T) {
	release := make(chan struct{})
	e := withAgents(t, &scriptedAgent{digest: "d", serve: func(s *scriptedAgent, stream awproto.DRPCAgent_ServeStream, start *awproto.ServeStart) error {
		if string(start.Body) == "long" {
			_ = stream.Send(&awproto.ServeDown{Body: &awproto.ServeDown_Frame{Frame: &awproto.Frame{Tokens: 1, Data: []byte("a"), VersionDigest: s.digest}}})
			<-release
			return stream.Send(&awproto.ServeDown{Body: &awproto.ServeDown_End{End: &awproto.End{Frames: 1, Tokens: 1}}})
		}
		return sendTokens(3)(s, stream, start)
	}})
	addr, stop := serveCallers(t, e)
	short := rawRequest("/v1/completions", "", `{"model":"m","prompt":"short","max_tokens":3}`)
	long := rawRequest("/v1/completions", "", `{"model":"m","prompt":"long","max_tokens":3,"stream":true}`)
	requireShort := func(c *openConn, name string, closes bool) {
		resp, body := c.read(t, name)
		require.Contains(t, body, `"text":"abc"`, name)
		require.Equal(t, closes, resp.Close, name)
	}

	unused, kept, partial, streaming, pipelined := dialEntry(t, addr), dialEntry(t, addr), dialEntry(t, addr), dialEntry(t, addr), dialEntry(t, addr)
	for _, c := range []*openConn{kept, partial} {
		c.write(t, short)
		requireShort(c, "before the stop", false)
	}
	streaming.write(t, long)
	pipelined.write(t, long+short)
	for _, c := range []*openConn{streaming, pipelined} { // their response headers are sent before the stop
		_, err := c.reader.Peek(1)
		require.NoError(t, err)
	}
	stopped := make(chan struct{})
	go func() {
		stop()
		close(stopped)
	}()
	require.Eventually(t, func() bool { return e.ready() != nil }, testTimeout, time.Millisecond)
	partial.write(t, short[:20])
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", addr)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	}, testTimeout, time.Millisecond)
	time.Sleep(50 * time.Millisecond)

	unused.write(t, short)
	partial.write(t, short[20:])
	requireShort(unused, "unused", true)
	requireShort(partial, "partial", true)
	_, err := kept.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF, "an idle connection is closed")
	close(release)
	for name, c := range map[string]*openConn{"streaming": streaming, "pipelined": pipelined} {
		resp, body := c.read(t, name)
		require.Contains(t, body, "[DONE]", name)
		require.False(t, resp.Close, name)
		if c == streaming {
			c.write(t, short)
		}
		requireShort(c, name, true)
	}
	<-stopped
}

// Guards GracefulStop: requests that still run at the end of the grace period,
// wherever they wait, must be refused with their outcome, not cut off.
func TestEndOfGraceRefusesRequests(t *testing.T) {
	arrived := make(chan struct{}, 9)
	serve := func(_ *scriptedAgent, stream awproto.DRPCAgent_ServeStream, _ *awproto.ServeStart) error {
		arrived <- struct{}{}
		<-stream.Context().Done()
		return stream.Context().Err()
	}
	e := withAgents(t, &scriptedAgent{digest: "d", serve: serve, hung: true}, &scriptedAgent{digest: "d"})
	busy := e.fleet.agents["B"].report
	busy.State, busy.InFlight, busy.Models = awproto.AgentState_COLD, busy.Limit, []*awproto.ReadyModel{{Model: "busy", VersionDigest: "d"}}
	e.cfg.Settings.Timing.Drain = awsettings.Duration(time.Millisecond)
	go e.claims.writeLoop(t.Context())
	addr, stop := serveCallers(t, e)
	completion := rawRequest("/v1/completions", "", `{"model":"m","prompt":"p","max_tokens":3}`)
	requests := map[string]struct {
		data    string
		outcome awoutcome.Outcome
	}{
		"running":        {completion, awoutcome.Unknown},
		"keyed":          {rawRequest("/v1/services/s/x", awhttp.HeaderTeam+": t\r\n"+awhttp.HeaderKey+": k\r\n", "b"), awoutcome.Unknown},
		"waiting":        {rawRequest("/v1/completions", "", `{"model":"busy","prompt":"p"}`), awoutcome.NotRun},
		"body arrives":   {completion[:len(completion)-1], awoutcome.NotRun},
		"header arrives": {completion[:20], awoutcome.NotRun},
	}
	conns := map[string]*openConn{}
	for name, r := range requests {
		conns[name] = dialEntry(t, addr)
		conns[name].write(t, r.data)
	}
	<-arrived
	<-arrived
	stopped := make(chan struct{})
	go func() {
		stop()
		close(stopped)
	}()
	<-e.stopped.Done()
	conns["header arrives"].write(t, completion[20:])
	for name, c := range conns {
		resp, body := c.read(t, name)
		status := http.StatusServiceUnavailable
		if requests[name].outcome != awoutcome.NotRun {
			status = http.StatusBadGateway // 503 would promise that the request did not run
		}
		require.Equal(t, status, resp.StatusCode, name+body)
		var p awhttp.Problem
		require.NoError(t, json.Unmarshal([]byte(body), &p), name)
		require.Equal(t, string(awoutcome.Leaving), p.Reason, name+body)
		require.Equal(t, requests[name].outcome.String(), p.Outcome, name+body)
	}
	<-stopped
}
