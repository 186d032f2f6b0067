package awrpc_test

import (
	"context"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"arbutuswind/core/awclock"
	"arbutuswind/internal/awstandin"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
	"arbutuswind/io/awsettings"
)

func newAuthority(t *testing.T) *awstandin.Authority {
	a, err := awstandin.NewAuthority()
	require.NoError(t, err)
	return a
}

func issue(t *testing.T, a *awstandin.Authority, dir, instance string, notAfter time.Time) awsettings.TLS {
	files, err := a.Issue(dir, instance, notAfter)
	require.NoError(t, err)
	return files
}

type helloServer struct {
	awproto.DRPCEntryUnimplementedServer
	instance string
}

func (s *helloServer) Hello(context.Context, *awproto.HelloRequest) (*awproto.HelloReply, error) {
	return &awproto.HelloReply{ProtocolVersion: awrpc.ProtocolVersion, Sender: &awproto.ProcessIdentity{Instance: s.instance}}, nil
}

func (*helloServer) PullConfig(context.Context, *awproto.PullConfigRequest) (*awproto.PullConfigReply, error) {
	return &awproto.PullConfigReply{Revision: 7}, nil
}

func serve(t *testing.T, instance string, files awsettings.TLS, clock awclock.Clock) net.Listener {
	lis, err := awrpc.NewTLS(files, clock).Listen("127.0.0.1:0")
	require.NoError(t, err)
	mux := drpcmux.New()
	require.NoError(t, awproto.DRPCRegisterEntry(mux, &helloServer{instance: instance}))
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = awrpc.NewServer(mux, func(error) {}).Serve(ctx, lis) }()
	return lis
}

func pull(t *testing.T, lis net.Listener, instance string, client *awrpc.TLS) error {
	d := awrpc.NewDialer(awrpc.DialerConfig{TLS: client.Client})
	defer d.Close()
	target := awrpc.Target{Address: lis.Addr().String(), Instance: instance}
	_, err := d.Entry(t.Context(), target).PullConfig(t.Context(), &awproto.PullConfigRequest{})
	return err
}

// Checks that a connection is refused if either side has no certificate of the
// CA or an expired one, or if the server's certificate is for another instance.
func TestMutualTLS(t *testing.T) {
	ours, theirs, clock := newAuthority(t), newAuthority(t), awclock.System{}
	later, past := time.Now().Add(time.Hour), time.Now().Add(-time.Minute)
	lis := serve(t, "entry-0", issue(t, ours, t.TempDir(), "entry-0", later), clock)
	plain := serve(t, "entry-1", awsettings.TLS{Plain: true}, clock)
	good := issue(t, ours, t.TempDir(), "entry-9", later)

	require.NoError(t, pull(t, lis, "entry-0", awrpc.NewTLS(good, clock)))
	require.NoError(t, pull(t, plain, "entry-1", awrpc.NewTLS(awsettings.TLS{Plain: true}, clock)))
	for name, c := range map[string]struct {
		lis      net.Listener
		instance string
		client   awsettings.TLS
	}{
		"no certificate":        {lis, "entry-0", awsettings.TLS{Plain: true}},
		"other authority":       {lis, "entry-0", issue(t, theirs, t.TempDir(), "entry-9", later)},
		"expired":               {lis, "entry-0", issue(t, ours, t.TempDir(), "entry-9", past)},
		"server has other name": {lis, "entry-5", good},
		"server without TLS":    {plain, "entry-1", good},
	} {
		require.Error(t, pull(t, c.lis, c.instance, awrpc.NewTLS(c.client, clock)), name)
	}
	_, err := awrpc.NewTLS(awsettings.TLS{Certificate: "missing", Key: "missing", CA: "missing"}, clock).Listen("127.0.0.1:0")
	require.Error(t, err)
}

// Checks that renewed certificates are used without a restart, and that a partly
// written file does not stop a process from connecting.
func TestTLSReload(t *testing.T) {
	old, renewed := newAuthority(t), newAuthority(t)
	clock, later := awclock.NewFake(time.Now()), time.Now().Add(time.Hour)
	serverDir, clientDir := t.TempDir(), t.TempDir()
	files := issue(t, old, serverDir, "entry-0", later)
	lis := serve(t, "entry-0", files, clock)
	client := awrpc.NewTLS(issue(t, old, clientDir, "entry-9", later), clock)
	require.NoError(t, pull(t, lis, "entry-0", client))

	require.NoError(t, os.WriteFile(files.Certificate, []byte("-----BEGIN"), 0o600))
	clock.Advance(time.Minute)
	require.NoError(t, pull(t, lis, "entry-0", client), "the previous certificate must stay in use")

	issue(t, renewed, serverDir, "entry-0", later)
	issue(t, renewed, clientDir, "entry-9", later)
	require.NoError(t, pull(t, lis, "entry-0", client), "both sides must still use the certificates read before")
	clock.Advance(time.Minute)
	require.NoError(t, pull(t, lis, "entry-0", client))
	require.Error(t, pull(t, lis, "entry-0", awrpc.NewTLS(issue(t, old, t.TempDir(), "entry-9", later), clock)))
}
