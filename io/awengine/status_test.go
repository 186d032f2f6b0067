package awengine_test

import (
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
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			awstandin.RespondRaw(w, r, status, "", "")
		}))
		defer server.Close()
		c := awengine.New(server.URL)
		_, err := c.Call(t.Context(), awengine.ServiceRequest{Method: http.MethodPost, Path: "/x"})
		require.ErrorIs(t, err, awhttp.ErrInvalidStatus, status)
		_, err = c.Complete(t.Context(), awengine.Completion{Model: "m"})
		require.ErrorIs(t, err, awhttp.ErrInvalidStatus, status)
		require.ErrorIs(t, c.Load(t.Context(), awengine.LoadCommand{Model: "m"}), awhttp.ErrInvalidStatus, status)
	}
}
