package awengine_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace"

	"arbutuswind/io/awengine"
)

// Guards against traces that end at the agent: the backend server must receive
// the trace context of the request.
func TestTraceContextReachesBackendServer(t *testing.T) {
	got := make(chan string, 2)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header.Get("Traceparent")
		_, _ = w.Write([]byte("{}"))
	}))
	defer srv.Close()
	ctx := trace.ContextWithSpanContext(t.Context(), trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: trace.TraceID{1}, SpanID: trace.SpanID{2}, TraceFlags: trace.FlagsSampled,
	}))
	c := awengine.New(srv.URL)
	_, err := c.Status(ctx)
	require.NoError(t, err)
	resp, err := c.Call(ctx, awengine.ServiceRequest{Method: http.MethodPost, Path: "/x"})
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	const want = "00-01000000000000000000000000000000-0200000000000000-01"
	require.Equal(t, want, <-got)
	require.Equal(t, want, <-got)
}
