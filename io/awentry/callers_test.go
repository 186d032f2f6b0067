package awentry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
	"arbutuswind/io/awhttp"
)

// Guards against refusals that callers do not get because they have not sent
// their whole body yet, or write it before they read.
func TestRefusalReachesCallerThatStillWrites(t *testing.T) {
	e := withAgents(t)
	notReady := withAgents(t)
	e.sync.recordStoreRead(awclock.System{}.Now(), nil)
	go e.sync.pauseCheckLoop(t.Context()) // otherwise the entry takes itself for paused after two seconds
	require.NoError(t, e.accepting())
	require.Error(t, notReady.accepting())
	for _, tc := range []struct {
		name   string
		entry  *Entry
		path   string
		header string
		status int
	}{
		{"unknown path", e, "/elsewhere", "", http.StatusNotFound},
		{"wrong header", e, "/v1/completions", awhttp.HeaderPriority + ": 77\r\n", http.StatusBadRequest},
		{"entry that is not ready", notReady, "/v1/completions", "", http.StatusServiceUnavailable},
		{"body above the limit", e, "/v1/completions", "", http.StatusRequestEntityTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			srv := httptest.NewServer(tc.entry.callerHandler())
			t.Cleanup(srv.Close)
			t.Cleanup(srv.CloseClientConnections)
			const whole, stalled = 7 << 20, 100 << 10 // above the limit, and below it
			for _, size := range []int{whole, stalled} {
				if size == stalled && tc.status == http.StatusRequestEntityTooLarge {
					continue
				}
				request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n", tc.path, tc.header, size)
				if size == whole {
					request += strings.Repeat("x", size)
				}
				conn, err := net.Dial("tcp", srv.Listener.Addr().String())
				require.NoError(t, err)
				defer conn.Close()
				require.NoError(t, conn.SetDeadline(time.Now().Add(bodyTimeout/2)))
				_, err = io.WriteString(conn, request)
				require.NoError(t, err)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				require.Equal(t, tc.status, resp.StatusCode)
			}
		})
	}
}
