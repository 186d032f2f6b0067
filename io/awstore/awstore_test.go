package awstore_test

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/internal/awstandin"
	"arbutuswind/io/awhttp"
	"arbutuswind/io/awstore"
)

// Guards against reading the full instance list although it has not changed, and
// against returning the cached list after it has changed.
func TestInstancesReadConditionally(t *testing.T) {
	platform := awstandin.NewPlatform(awstandin.PlatformConfig{}).Handler()
	var full atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		platform.ServeHTTP(rec, r)
		if r.Method == http.MethodGet && rec.Code == http.StatusOK {
			full.Add(1)
		}
		for k, v := range rec.Header() {
			w.Header()[k] = v
		}
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	}))
	t.Cleanup(srv.Close)
	put := func(id string) {
		data, err := json.Marshal(awstore.Instance{ID: id, Role: "agent"})
		require.NoError(t, err)
		req, err := http.NewRequest(http.MethodPut, srv.URL+"/instances", bytes.NewReader(data))
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
	c := awstore.New(awstore.Config{InstanceListURL: srv.URL + "/instances"})
	put("a")
	for range 5 {
		list, err := c.Instances(t.Context())
		require.NoError(t, err)
		require.Len(t, list, 1)
		list[0].ID = "changed by the caller"
	}
	require.Equal(t, int64(1), full.Load())
	put("b")
	list, err := c.Instances(t.Context())
	require.NoError(t, err)
	require.Equal(t, "a", list[0].ID)
	require.Len(t, list, 2)
	require.Equal(t, int64(2), full.Load())
}

// Guards against a commit that counts as done because of a response whose status is none
// of HTTP.
func TestInvalidStatusIsNoSuccess(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(awstandin.RawStatus("000", "").Send))
	t.Cleanup(srv.Close)
	c := awstore.New(awstore.Config{TableURL: srv.URL})
	require.ErrorIs(t, c.Commit(t.Context(), awstore.Txn{}), awhttp.ErrInvalidStatus)
}

// Guards against a write that counts as done, and against a part of an object that counts
// as whole, because of a broken response.
func TestBrokenResponseIsNoSuccess(t *testing.T) {
	responses := maps.Clone(awstandin.MalformedHeads)
	maps.Copy(responses, awstandin.BrokenOff)
	for name, raw := range responses {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(raw.Send))
			defer srv.Close()
			c := awstore.New(awstore.Config{ObjectURL: srv.URL, OriginURL: srv.URL})
			for range 5 {
				require.Error(t, c.PutObject(t.Context(), "o", make([]byte, awstandin.LongUpload)))
			}
			if raw.Early {
				return // a read has no body that is still being written
			}
			_, err := c.GetObject(t.Context(), "o")
			require.Error(t, err)
			_, err = c.Chunk(t.Context(), "digest")
			require.Error(t, err)
		})
	}
}
