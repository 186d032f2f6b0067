package awbench

import (
	"io"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// Link forwards TCP connections to a target and can be cut.
type Link struct {
	lis    net.Listener
	target string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

// NewLink starts a link on a free loopback address.
func NewLink(target string) (*Link, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	l := &Link{lis: lis, target: target, conns: map[net.Conn]bool{}}
	go l.accept()
	return l, nil
}

// Address returns the address of the link, IP:port.
func (l *Link) Address() string { return l.lis.Addr().String() }

// Cut breaks every connection and refuses new ones until it is called with
// false.
func (l *Link) Cut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut {
		for c := range l.conns {
			_ = c.Close()
		}
	}
}

// Close ends the link.
func (l *Link) Close() {
	l.Cut(true)
	_ = l.lis.Close()
}

func (l *Link) accept() {
	for {
		in, err := l.lis.Accept()
		if err != nil {
			return
		}
		go l.forward(in)
	}
}

func (l *Link) forward(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer out.Close()
	if !l.keep(in, out) {
		return
	}
	done := make(chan struct{}, 2)
	pipe := func(to, from net.Conn) {
		_, _ = io.Copy(to, from) // an error ends the connection either way
		done <- struct{}{}
	}
	go pipe(out, in)
	go pipe(in, out)
	<-done
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, in)
	delete(l.conns, out)
}

func (l *Link) keep(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		l.conns[c] = true
	}
	return !l.cut
}
