package awengine_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/io/awengine"
)

// Guards against net/http sending a call with an idempotency key twice, after a
// reused connection is closed before the response or after a redirect.
func TestCallIsSentOnce(t *testing.T) {
	for name, fail := range map[string]http.HandlerFunc{
		"connection lost": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"redirect": func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
		},
	} {
		for _, body := range []string{"", "body"} {
			t.Run(name+" "+body, func(t *testing.T) {
				var runs atomic.Int64
				srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if runs.Add(1) > 1 {
						fail(w, r)
					}
				}))
				defer srv.Close()
				c := awengine.New(srv.URL)
				for range 2 { // the second call reuses the connection of the first
					resp, err := c.Call(context.Background(), awengine.ServiceRequest{
						Method: http.MethodPost, Path: "/x", IdempotencyKey: "k", Body: []byte(body),
					})
					if err == nil {
						require.NoError(t, resp.Body.Close())
					}
				}
				require.Equal(t, int64(2), runs.Load())
			})
		}
	}
}
