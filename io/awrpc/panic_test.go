package awrpc

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"arbutuswind/io/awproto"
)

// panickingAgent panics in SettleAttempt.
type panickingAgent struct {
	awproto.DRPCAgentUnimplementedServer
}

func (*panickingAgent) Hello(context.Context, *awproto.HelloRequest) (*awproto.HelloReply, error) {
	return &awproto.HelloReply{ProtocolVersion: ProtocolVersion}, nil
}

func (*panickingAgent) SettleAttempt(context.Context, *awproto.SettleRequest) (*awproto.SettleReply, error) {
	panic("bad call")
}

// Guards against a call whose panic ends the process with all other calls.
func TestPanicEndsOnlyItsCall(t *testing.T) {
	lis, err := Listen("127.0.0.1:0", nil)
	require.NoError(t, err)
	mux := drpcmux.New()
	require.NoError(t, awproto.DRPCRegisterAgent(mux, &panickingAgent{}))
	var panics atomic.Int64
	go func() {
		_ = NewServer(mux, func(err error) {
			if errors.Is(err, ErrPanic) {
				panics.Add(1)
			}
		}).Serve(t.Context(), lis)
	}()
	dialer := NewDialer(DialerConfig{})
	defer dialer.Close()
	for range 2 {
		_, err = dialer.Agent(t.Context(), Target{Address: lis.Addr().String()}).SettleAttempt(t.Context(), &awproto.SettleRequest{})
		require.ErrorContains(t, err, "bad call")
	}
	require.GreaterOrEqual(t, panics.Load(), int64(2))
}
