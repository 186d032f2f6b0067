package awgateway

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awdispatch"
	"arbutuswind/io/awbackend"
)

// brokenCaller is a response writer that fails after the buffered part.
type brokenCaller struct {
	*httptest.ResponseRecorder
	left int
}

var errCallerGone = errors.New("connection of the caller is gone")

func (b *brokenCaller) Write(p []byte) (int, error) {
	if b.left -= len(p); b.left < 0 {
		return 0, errCallerGone
	}
	return len(p), nil
}

// Guards against a backend server that loses its place because a caller has gone
// away while a long body was written to it.
func TestCallerThatLeavesIsNoFailureOfTheServer(t *testing.T) {
	forward := func(left int, body io.Reader) awdispatch.Outcome {
		g := New(Config{Clock: awclock.System{}, Logger: log.NewNopLogger()})
		q := &request{
			g: g, w: &brokenCaller{ResponseRecorder: httptest.NewRecorder(), left: left}, route: &awdirectory.Route{}, start: time.Now(),
		}
		s, ctx := q.newSend(context.Background(), &awdispatch.Grant{})
		return s.forwardWhole(ctx, &awbackend.Response{Status: 200, Body: body}).outcome
	}
	long := strings.Repeat("x", 2*maxBufferedBody)
	require.Equal(t, awdispatch.Abandoned, forward(maxBufferedBody, strings.NewReader(long)))
	require.Equal(t, awdispatch.Succeeded, forward(len(long), strings.NewReader(long)))
	broken := io.MultiReader(strings.NewReader(long), iotest.ErrReader(io.ErrUnexpectedEOF))
	require.Equal(t, awdispatch.Failed, forward(len(long), broken))
}
