package awhttp

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lateRaw has a byte arrive right after the connection was found to have none, and waits
// until the reader handles it.
type lateRaw struct {
	syscall.RawConn
	arrive  func()
	reading chan struct{} // receives an element when the reader's callback is called
}

// Read implements [syscall.RawConn].
func (l *lateRaw) Read(f func(fd uintptr) bool) error {
	return l.RawConn.Read(func(fd uintptr) bool {
		l.reading <- struct{}{}
		return f(fd)
	})
}

// Control implements [syscall.RawConn].
func (l *lateRaw) Control(f func(fd uintptr)) error {
	err := l.RawConn.Control(f)
	l.arrive()
	<-l.reading
	return err
}

// Guards rule LOST and planned stops: a request that arrives between the check for data
// and the close of an idle connection held up the stop for good.
func TestCloseOfIdleConnectionDoesNotWaitForReader(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer lis.Close()
	client, err := net.Dial("tcp", lis.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	server, err := lis.Accept()
	require.NoError(t, err)
	set := &connSet{}
	c, err := set.add(server.(*net.TCPConn), nil)
	require.NoError(t, err)
	c.raw = &lateRaw{RawConn: c.raw, reading: make(chan struct{}), arrive: func() { _, _ = io.WriteString(client, "x") }}

	ended := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		ended <- err
	}()
	<-c.raw.(*lateRaw).reading // the reader waits for data
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.waiting
	}, time.Minute, time.Millisecond)
	c.mu.Lock()
	c.idleSince = time.Now().Add(-time.Hour)
	c.mu.Unlock()
	closed := make(chan bool, 1)
	go func() { closed <- c.closeIdle(time.Now()) }()
	select {
	case ok := <-closed:
		require.True(t, ok)
	case <-time.After(10 * time.Second):
		t.Fatal("the close waits for the reader, which waits for the close")
	}
	require.ErrorIs(t, <-ended, net.ErrClosed)
}
