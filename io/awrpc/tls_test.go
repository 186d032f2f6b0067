package awrpc_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"arbutuswind/core/awclock"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
	"arbutuswind/io/awsettings"
)

// authority issues certificates.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
	n    int64
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{t: t, cert: cert, key: key, n: 1, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue writes a certificate for the instance and returns the settings.
func (a *authority) issue(dir, instance string, notAfter time.Time) awsettings.TLS {
	a.n++
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.n), Subject: pkix.Name{CommonName: instance}, DNSNames: []string{instance},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: notAfter, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(a.t, err)
	files := awsettings.TLS{
		Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem"),
	}
	require.NoError(a.t, os.WriteFile(files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	require.NoError(a.t, os.WriteFile(files.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600))
	require.NoError(a.t, os.WriteFile(files.CA, a.pem, 0o600))
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

// Guards against a process that talks to, or is talked to by, one without a
// certificate of the system or with that of another instance.
func TestMutualTLS(t *testing.T) {
	ours, theirs, clock := newAuthority(t), newAuthority(t), awclock.System{}
	later, past := time.Now().Add(time.Hour), time.Now().Add(-time.Minute)
	lis := serve(t, "entry-0", ours.issue(t.TempDir(), "entry-0", later), clock)
	plain := serve(t, "entry-1", awsettings.TLS{Plain: true}, clock)
	good := ours.issue(t.TempDir(), "entry-9", later)

	require.NoError(t, pull(t, lis, "entry-0", awrpc.NewTLS(good, clock)))
	require.NoError(t, pull(t, plain, "entry-1", awrpc.NewTLS(awsettings.TLS{Plain: true}, clock)))
	for name, c := range map[string]struct {
		lis      net.Listener
		instance string
		client   awsettings.TLS
	}{
		"no certificate":        {lis, "entry-0", awsettings.TLS{Plain: true}},
		"other authority":       {lis, "entry-0", theirs.issue(t.TempDir(), "entry-9", later)},
		"expired":               {lis, "entry-0", ours.issue(t.TempDir(), "entry-9", past)},
		"server has other name": {lis, "entry-5", good},
		"server without TLS":    {plain, "entry-1", good},
	} {
		require.Error(t, pull(t, c.lis, c.instance, awrpc.NewTLS(c.client, clock)), name)
	}
	_, err := awrpc.NewTLS(awsettings.TLS{Certificate: "missing", Key: "missing", CA: "missing"}, clock).Listen("127.0.0.1:0")
	require.Error(t, err)
}

// Guards against renewed certificates that need a restart, and against a
// half-written file that takes a process off the network.
func TestTLSReload(t *testing.T) {
	old, renewed := newAuthority(t), newAuthority(t)
	clock, later := awclock.NewFake(time.Now()), time.Now().Add(time.Hour)
	serverDir, clientDir := t.TempDir(), t.TempDir()
	files := old.issue(serverDir, "entry-0", later)
	lis := serve(t, "entry-0", files, clock)
	client := awrpc.NewTLS(old.issue(clientDir, "entry-9", later), clock)
	require.NoError(t, pull(t, lis, "entry-0", client))

	require.NoError(t, os.WriteFile(files.Certificate, []byte("-----BEGIN"), 0o600))
	clock.Advance(time.Minute)
	require.NoError(t, pull(t, lis, "entry-0", client), "the old certificate stays in use")

	renewed.issue(serverDir, "entry-0", later)
	renewed.issue(clientDir, "entry-9", later)
	require.NoError(t, pull(t, lis, "entry-0", client), "both sides still use what they read")
	clock.Advance(time.Minute)
	require.NoError(t, pull(t, lis, "entry-0", client))
	require.Error(t, pull(t, lis, "entry-0", awrpc.NewTLS(old.issue(t.TempDir(), "entry-9", later), clock)))
}
