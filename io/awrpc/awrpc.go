// Package awrpc provides the transport of the internal protocol: listener,
// dialer and connection pool.
//
// Every connection starts with a Hello call, which checks the protocol version
// and, if the caller knows them, the instance and incarnation of the server. A
// connection carries one stream at a time, so TCP flow control applies to that
// stream alone.
package awrpc

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"arbutuswind/io/awproto"
	"arbutuswind/io/awtelemetry"
)

// ProtocolVersion is the version of the internal protocol. It is incremented
// with every incompatible change of inner.proto.
const ProtocolVersion = 1

const (
	// MaxMessageBytes bounds the size of a message of the internal protocol.
	MaxMessageBytes = 4 << 20
	// socketBufferBytes bounds the data that the kernel buffers for a slow stream
	// in each direction.
	socketBufferBytes = 32 << 10

	dialTimeout       = 2 * time.Second
	idleTimeout       = 30 * time.Second
	maxIdlePerPeer    = 64
	maxIdleConns      = 2048
	inactivityTimeout = 2 * time.Minute
	keepAlivePeriod   = 5 * time.Second
)

// IdentityError reports that the process at an address has another instance name
// or incarnation than expected.
type IdentityError struct {
	WantInstance, GotInstance       string
	WantIncarnation, GotIncarnation uint64
}

// Error implements the error interface.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("connected to instance %q incarnation %d, want %q incarnation %d",
		e.GotInstance, e.GotIncarnation, e.WantInstance, e.WantIncarnation)
}

// VersionError reports that two processes use different protocol versions.
type VersionError struct{ Have, Got uint32 }

// Error implements the error interface.
func (e *VersionError) Error() string {
	return fmt.Sprintf("protocol version mismatch: this process uses %d, the peer uses %d", e.Have, e.Got)
}

// Target identifies a process to connect to. An empty Instance or a zero
// Incarnation matches any.
type Target struct {
	Address     string
	Instance    string
	Incarnation uint64
	Agent       bool // call the Agent service instead of Entry
}

// DialerConfig configures a [Dialer].
type DialerConfig struct {
	Identity *awproto.ProcessIdentity
	Revision func() uint64                                            // configuration revision of this process; may be nil
	TLS      func() (*tls.Config, error)                              // configuration of a new connection; nil, or a nil result, for plain TCP
	OnHello  func(t Target, reply *awproto.HelloReply)                // called after each successful Hello; may be nil
	Dial     func(ctx context.Context, addr string) (net.Conn, error) // opens a connection; nil for TCP
}

// Dialer opens and pools connections.
type Dialer struct {
	cfg  DialerConfig
	pool *drpcpool.Pool[Target, drpcpool.Conn]
}

// NewDialer returns a dialer with an empty pool.
func NewDialer(cfg DialerConfig) *Dialer {
	return &Dialer{cfg: cfg, pool: drpcpool.New[Target, drpcpool.Conn](drpcpool.Options{
		Expiration: idleTimeout, Capacity: maxIdleConns, KeyCapacity: maxIdlePerPeer,
	})}
}

// Close closes the idle connections.
func (d *Dialer) Close() error { return d.pool.Close() }

// Agent returns a client of the agent at t. Each call takes a connection from
// the pool or dials a new one.
func (d *Dialer) Agent(ctx context.Context, t Target) awproto.DRPCAgentClient {
	t.Agent = true
	return awproto.NewDRPCAgentClient(d.pool.Get(ctx, t, d.connect))
}

// Entry returns a client of the entry at t. Each call takes a connection from
// the pool or dials a new one.
func (d *Dialer) Entry(ctx context.Context, t Target) awproto.DRPCEntryClient {
	t.Agent = false
	return awproto.NewDRPCEntryClient(d.pool.Get(ctx, t, d.connect))
}

func (d *Dialer) connect(ctx context.Context, t Target) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := d.dial(ctx, t)
	if err != nil {
		return nil, eris.Wrapf(err, "dial %s", t.Address)
	}
	conn := drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()})
	if err := d.hello(ctx, conn, t); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

func (d *Dialer) dial(ctx context.Context, t Target) (net.Conn, error) {
	dial := d.cfg.Dial
	if dial == nil {
		nd := &net.Dialer{KeepAlive: keepAlivePeriod}
		dial = func(ctx context.Context, addr string) (net.Conn, error) { return nd.DialContext(ctx, "tcp", addr) }
	}
	raw, err := dial(ctx, t.Address)
	if err != nil {
		return nil, err
	}
	limitSocketBuffers(raw)
	raw = traffic.Count(raw)
	if d.cfg.TLS == nil {
		return raw, nil
	}
	cfg, err := d.cfg.TLS()
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	if cfg == nil {
		return raw, nil
	}
	cfg.ServerName = serverName(t)
	conn := tls.Client(raw, cfg)
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}

func (d *Dialer) hello(ctx context.Context, conn drpc.Conn, t Target) error {
	req := &awproto.HelloRequest{
		ProtocolVersion: ProtocolVersion, Sender: d.cfg.Identity,
		ExpectedInstance: t.Instance, ExpectedIncarnation: t.Incarnation,
	}
	if d.cfg.Revision != nil {
		req.Revision = d.cfg.Revision()
	}
	var reply *awproto.HelloReply
	var err error
	if t.Agent {
		reply, err = awproto.NewDRPCAgentClient(conn).Hello(ctx, req)
	} else {
		reply, err = awproto.NewDRPCEntryClient(conn).Hello(ctx, req)
	}
	if err != nil {
		return eris.Wrapf(err, "hello to %s", t.Address)
	}
	if err := CheckHello(reply, t); err != nil {
		return err
	}
	if d.cfg.OnHello != nil {
		d.cfg.OnHello(t, reply)
	}
	return nil
}

// CheckHello returns a [VersionError] if the other process uses another protocol
// version, and an [IdentityError] if it is not the one identified by t.
func CheckHello(reply *awproto.HelloReply, t Target) error {
	if reply.ProtocolVersion != ProtocolVersion {
		return &VersionError{Have: ProtocolVersion, Got: reply.ProtocolVersion}
	}
	got := reply.GetSender()
	if (t.Instance != "" && got.GetInstance() != t.Instance) ||
		(t.Incarnation != 0 && got.GetIncarnation() != t.Incarnation) {
		return &IdentityError{
			WantInstance: t.Instance, GotInstance: got.GetInstance(),
			WantIncarnation: t.Incarnation, GotIncarnation: got.GetIncarnation(),
		}
	}
	return nil
}

// ErrPanic is the error of a call that has panicked.
var ErrPanic = errors.New("panic")

// LogPanics returns a function for [NewServer] that logs calls that have panicked, with
// their stacks. Other errors are those of connections that end.
func LogPanics(logger log.Logger) func(error) {
	return func(err error) {
		if errors.Is(err, ErrPanic) {
			_ = logger.Log("Message", "panic", "Error", err.Error())
		}
	}
}

// NewServer returns a server of the internal protocol that dispatches calls to
// the handler and reports its errors to onError. A call that panics fails with an
// error.
func NewServer(handler drpc.Handler, onError func(error)) *drpcserver.Server {
	opts := managerOptions()
	opts.InactivityTimeout = inactivityTimeout
	return drpcserver.NewWithOptions(recoveringHandler{handler, onError}, drpcserver.Options{Manager: opts, Log: onError})
}

// recoveringHandler keeps the panic of one call from ending the process with all others.
type recoveringHandler struct {
	drpc.Handler
	onError func(error)
}

// HandleRPC implements [drpc.Handler].
func (h recoveringHandler) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("%w: call %s: %v", ErrPanic, rpc, fault)
			h.onError(fmt.Errorf("%w\n%s", err, debug.Stack()))
		}
	}()
	return h.Handler.HandleRPC(stream, rpc)
}

// Listen returns a listener for the internal protocol on addr. A nil cfg means
// plain TCP.
func Listen(addr string, cfg *tls.Config) (net.Listener, error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", addr)
	}
	lis = limitedBufferListener{lis}
	if cfg != nil {
		lis = tls.NewListener(lis, cfg)
	}
	return lis, nil
}

// traffic counts the bytes of all internal connections, including TLS overhead.
var traffic = awtelemetry.NewTraffic("rpc")

type limitedBufferListener struct{ net.Listener }

// Accept limits the socket buffers of each accepted connection.
func (l limitedBufferListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	limitSocketBuffers(conn)
	return traffic.Count(conn), nil
}

func limitSocketBuffers(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Ignore errors: a larger buffer only costs memory.
		_ = tcp.SetReadBuffer(socketBufferBytes)
		_ = tcp.SetWriteBuffer(socketBufferBytes)
	}
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		Stream:     drpcstream.Options{MaximumBufferSize: MaxMessageBytes},
		SoftCancel: true,
	}
}
