// Package awgate has a listener for tests of servers that do not run for a time.
package awgate

import (
	"net"
	"sync"
)

// Listener accepts no connection while it is held. Connections wait with the kernel
// meanwhile, with all that their clients do.
type Listener struct {
	net.Listener
	mu sync.Mutex
}

// Accept implements [net.Listener].
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	return c, err
}

// Hold keeps the listener from accepting connections until Release is called.
func (l *Listener) Hold() { l.mu.Lock() }

// Release ends Hold.
func (l *Listener) Release() { l.mu.Unlock() }
