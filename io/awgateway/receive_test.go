package awgateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
	"arbutuswind/io/awbackend"
	"arbutuswind/io/awwatch"
)

// faultyCodec fails in the way of a programming error.
type faultyCodec struct{ HeaderCodec }

// DecodeRequest implements [HeaderCodec].
func (faultyCodec) DecodeRequest(http.Header) RequestInfo { panic("fault in the codec") }

// Guards against a programming error in the gateway that closes the connection
// of a caller without an answer.
func TestPanicIsAnswered(t *testing.T) {
	pool := awbackend.NewPool(awbackend.Config{Clock: awclock.System{}})
	g := New(Config{Clock: awclock.System{}, Logger: log.NewNopLogger(), Headers: faultyCodec{}, Pool: pool})
	require.True(t, g.Configure(&awdirectory.Config{Version: 1}))
	g.Apply(awwatch.State{})
	server := httptest.NewServer(g)
	defer server.Close()
	resp, err := http.Get(server.URL)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
}
