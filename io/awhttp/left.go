package awhttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

type connKey struct{}

// withConn is the ConnContext of servers whose connections are tracked.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*trackedConn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// connOf returns the tracked connection of a request, or nil.
func connOf(ctx context.Context) *trackedConn {
	c, _ := ctx.Value(connKey{}).(*trackedConn)
	return c
}

// HasLeft reports whether the client of the request with the given context has
// closed its connection. It asks the socket, whereas the end of the context follows
// only when a read has returned. It returns false if the server was not passed to
// [TrackConnections].
func HasLeft(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*trackedConn)
	return ok && c.peerClosed()
}

// watchInterval is the time between two checks whether a client has left. Work for
// it must end within half a second.
const watchInterval = 200 * time.Millisecond

// WatchClient returns a context that also ends when the client has closed its
// connection behind further bytes: net/http reads only one byte after a request. The
// returned function must be called at the end of the request.
func WatchClient(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Value(connKey{}).(*trackedConn); !ok {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	w := &clientWatch{ctx: ctx, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(watchInterval, w.check)
	return ctx, w.stop
}

// clientWatch checks again and again whether a client has left.
type clientWatch struct {
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (w *clientWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
	case HasLeft(w.ctx):
		w.cancel()
	default:
		w.timer.Reset(watchInterval)
	}
}

// stop ends the watch. The connection may serve the next request afterwards.
func (w *clientWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	w.cancel()
}

// CloseAge returns the time since the client's last packet arrived. Once the client
// has left, that is about the time for which it has been gone. It returns false if
// the kernel doesn't tell, or if the server was not passed to [TrackConnections].
func CloseAge(ctx context.Context) (time.Duration, bool) {
	c, ok := ctx.Value(connKey{}).(*trackedConn)
	if !ok {
		return 0, false
	}
	var info *unix.TCPInfo
	var infoErr error
	err := c.raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || infoErr != nil {
		return 0, false
	}
	return time.Duration(info.Last_ack_recv) * time.Millisecond, true
}

// peerClosed reports whether the peer has closed or reset the connection.
func (c *trackedConn) peerClosed() bool {
	closed := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch err {
		case nil:
			closed = n == 0 || isHungUp(int(fd)) // unread data stands before the end of the stream
		case syscall.EAGAIN, syscall.EINTR:
		default:
			closed = true
		}
	})
	return closed || err != nil
}

// isHungUp reports whether the peer has closed its side of a connection, whether or
// not data before that is unread.
func isHungUp(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// TrackConnections makes srv report the state of its connections to their
// [Listener], and lets [HasLeft] find them.
func TrackConnections(srv *http.Server) {
	srv.ConnContext = withConn
	srv.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*trackedConn); ok {
			c.setState(state)
		}
	}
}
