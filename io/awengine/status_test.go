package awengine_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/internal/awstandin"
	"arbutuswind/io/awengine"
	"arbutuswind/io/awhttp"
)

// Guards WholeAnswer: a response whose status is none of HTTP counts as an answer, or a
// load command as accepted.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "600"} {
		server := httptest.NewServer(http.HandlerFunc(awstandin.RawStatus(status, "").Send))
		defer server.Close()
		c := awengine.New(server.URL)
		_, err := c.Call(t.Context(), awengine.ServiceRequest{Method: http.MethodPost, Path: "/x"})
		require.ErrorIs(t, err, awhttp.ErrInvalidStatus, status)
		_, err = c.Complete(t.Context(), awengine.Completion{Model: "m"})
		require.ErrorIs(t, err, awhttp.ErrInvalidStatus, status)
		require.ErrorIs(t, c.Load(t.Context(), awengine.LoadCommand{Model: "m"}), awhttp.ErrInvalidStatus, status)
	}
}

// Guards WholeAnswer: a response with a malformed head, or a part of one that is broken off
// while the call is written, counts as an answer.
func TestBrokenResponseIsNoAnswer(t *testing.T) {
	try := func(t *testing.T, raw awstandin.RawResponse) {
		server := httptest.NewServer(http.HandlerFunc(raw.Send))
		defer server.Close()
		c := awengine.New(server.URL)
		resp, err := c.Call(t.Context(), awengine.ServiceRequest{Method: http.MethodPost, Path: "/x", Body: make([]byte, awstandin.LongUpload)})
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			require.NoError(t, resp.Body.Close())
		}
		require.Error(t, err)
		if !raw.Early {
			_, err = c.Status(t.Context())
			require.Error(t, err)
		}
	}
	for name, head := range awstandin.MalformedHeads {
		t.Run(name, func(t *testing.T) { try(t, head) })
	}
	for name, raw := range awstandin.BrokenOff {
		t.Run(name, func(t *testing.T) {
			for range 5 {
				try(t, raw)
			}
		})
	}
}

// Guards against responses that the protocol allows and that are taken for broken.
func TestOddResponseIsAnswer(t *testing.T) {
	for name, odd := range awstandin.OddResponses {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(odd.Send))
			defer server.Close()
			resp, err := awengine.New(server.URL).Call(t.Context(), awengine.ServiceRequest{Method: http.MethodPost, Path: "/x", Body: make([]byte, awstandin.LongUpload)})
			require.NoError(t, err)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, "odd", string(body))
		})
	}
}
