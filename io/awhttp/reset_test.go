package awhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against orders to engines and writes to the store that take effect after
// their caller has given them up: their connection must be reset.
func TestCallThatIsGivenUpIsReset(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer lis.Close()
	arrived, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		c, err := lis.Accept()
		if err == nil {
			_, err = c.Read(make([]byte, 4096))
		}
		close(arrived)
		if err == nil {
			_, err = io.Copy(io.Discard, c)
		}
		ended <- err
	}()
	d := &net.Dialer{Control: ResetOnClose}
	client := &http.Client{Transport: &http.Transport{DialContext: d.DialContext}}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+lis.Addr().String()+"/order", nil)
	require.NoError(t, err)
	resp, err := client.Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
	require.ErrorIs(t, err, context.Canceled)
	require.ErrorIs(t, <-ended, syscall.ECONNRESET)
}
