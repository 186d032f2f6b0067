package awentry

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
	"arbutuswind/io/awhttp"
	"arbutuswind/io/awproto"
)

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
	e.sync.recordStoreRead(awclock.System{}.Now(), nil)
	require.NoError(t, e.ready())
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := awhttp.NewServer(e.callerHandler())
	go func() { _ = serveHTTP(srv, lis) }()

	resp, err := http.Post("http://"+lis.Addr().String()+"/v1/completions", "application/json",
		strings.NewReader(`{"model":"m","prompt":"p","max_tokens":3,"stream":true}`))
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	before := cutRequests.Get()
	drained := make(chan struct{})
	go func() {
		e.drain(srv)
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
	_, err = net.Dial("tcp", lis.Addr().String())
	require.Error(t, err, "the listener is closed")
}
