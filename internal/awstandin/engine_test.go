package awstandin_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/internal/awstandin"
)

func postJSON(t *testing.T, url, body string) *http.Response {
	t.Helper()
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	require.NoError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	require.Equal(t, http.StatusOK, resp.StatusCode)
	return resp
}

// Guards against a silent engine that loses a stream, or that answers anything
// but its control API while it is silent.
func TestEngineFallsSilentAndGoesOn(t *testing.T) {
	const tokens, silence = 40, 500 * time.Millisecond
	weights := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "weights") }))
	defer weights.Close()
	engine := httptest.NewServer(awstandin.NewEngine(awstandin.EngineConfig{TokenInterval: 5 * time.Millisecond, MaxRunning: 4}).Handler())
	defer engine.Close()
	postJSON(t, engine.URL+"/commands/load", fmt.Sprintf(`{"model":"m","version":"1","url":%q}`, weights.URL))

	stream := bufio.NewReader(postJSON(t, engine.URL+"/v1/completions", fmt.Sprintf(`{"model":"m","prompt":"p","max_tokens":%d}`, tokens)).Body)
	first, err := stream.ReadString('\n')
	require.NoError(t, err)
	begin := time.Now()
	postJSON(t, engine.URL+"/fault", fmt.Sprintf(`{"SilentMs":%d}`, silence.Milliseconds()))
	status, err := http.Get(engine.URL + "/status")
	require.NoError(t, err)
	require.NoError(t, status.Body.Close())
	require.GreaterOrEqual(t, time.Since(begin), silence, "status while silent")

	rest, err := io.ReadAll(stream)
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(begin), silence)
	text := first + string(rest)
	require.Equal(t, tokens+1, strings.Count(text, "data: "))
	require.True(t, strings.HasSuffix(text, "data: [DONE]\n\n"), text)
}
