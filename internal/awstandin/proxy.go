package awstandin

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"arbutuswind/io/awhttp"
)

// ProxyFault holds the faults injected into a proxied link.
type ProxyFault struct {
	DelayMs        int     // delay of each block, in each direction
	Stall          bool    // no bytes pass, but connections stay open
	DropToServer   bool    // discard bytes to the server; bytes to the client pass
	DropToClient   bool    // discard bytes to the client; bytes to the server pass
	Refuse         bool    // close new connections immediately
	CorruptPercent int     // share of blocks in which one byte is changed
	LoseReset      bool    // a reset by the client reaches the server only after the server has sent something
	Mbit           float64 // rate of each direction, shared by all connections; 0 means unlimited
}

// Proxy is a TCP relay that injects faults into one link. As in TCP, a direction
// of a connection that has lost bytes passes nothing more, whatever the faults
// are afterwards, and such a connection ends with a reset. A reset by the server reaches
// the client as one.
type Proxy struct {
	faults faultState[ProxyFault]
	target string

	discarded atomic.Int64 // bytes

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	up    *rate.Limiter
	down  *rate.Limiter
	seed  uint32
}

const (
	proxyBlockBytes   = 16 << 10
	stallPollInterval = 10 * time.Millisecond // how often a stalled link reads its faults again
)

// NewProxy returns a proxy to the target address, IP:port.
func NewProxy(target string) *Proxy {
	return &Proxy{
		target: target, conns: map[net.Conn]struct{}{},
		up: rate.NewLimiter(rate.Inf, proxyBlockBytes), down: rate.NewLimiter(rate.Inf, proxyBlockBytes),
	}
}

// Handler returns the control API: POST /fault, POST /reset and GET /healthz.
func (p *Proxy) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/fault", func(w http.ResponseWriter, r *http.Request) {
		p.faults.ServeHTTP(w, r)
		p.setRate(p.faults.get().Mbit)
	})
	r.Post("/reset", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, map[string]int{"Reset": p.reset()}) })
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return r
}

func (p *Proxy) setRate(mbit float64) {
	limit := rate.Inf
	if mbit > 0 {
		limit = rate.Limit(mbit * 1e6 / 8)
	}
	p.up.SetLimit(limit)
	p.down.SetLimit(limit)
}

// reset closes every connection with a TCP reset and returns their number.
func (p *Proxy) reset() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetOnClose(c) // before any is closed, because the relay then closes its peer
	}
	for c := range p.conns {
		_ = c.Close()
	}
	return len(p.conns)
}

func resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// ListenAndServe relays connections to addr, IP:port, until accepting fails.
func (p *Proxy) ListenAndServe(addr string) error {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	defer lis.Close()
	return p.serve(lis)
}

// Set replaces the faults of the link.
func (p *Proxy) Set(f ProxyFault) { p.faults.update(func(now *ProxyFault) { *now = f }) }

// Discarded returns the number of bytes discarded so far.
func (p *Proxy) Discarded() int64 { return p.discarded.Load() }

// Reset closes every connection with a TCP reset.
func (p *Proxy) Reset() { p.reset() }

// Start listens on a free port of a loopback IP and relays connections in the
// background. Closing the returned listener stops it from accepting more.
func (p *Proxy) Start(ip string) (net.Listener, error) {
	lis, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	go func() { _ = p.serve(lis) }() // ends when the listener is closed
	return lis, nil
}

// Cut resets every connection and closes new ones immediately if cut is true.
// Otherwise it allows connections again.
func (p *Proxy) Cut(cut bool) {
	p.faults.update(func(f *ProxyFault) { f.Refuse = cut })
	if cut {
		p.reset()
	}
}

func (p *Proxy) serve(lis net.Listener) error {
	for {
		conn, err := lis.Accept()
		if err != nil {
			return err
		}
		go p.relay(conn)
	}
}

func (p *Proxy) relay(client net.Conn) {
	defer client.Close()
	if p.faults.get().Refuse {
		return
	}
	raw, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer raw.Close()
	server := awhttp.NewConn(raw) // shows a reset by the server to the direction that reads
	p.track(client, raw)
	defer p.untrack(client, raw)
	if p.faults.get().Refuse {
		return // Refuse was set since the first check
	}
	var lost atomic.Bool
	done := make(chan struct{}, 2)
	go func() {
		err := p.pump(server, client, p.up, &lost, func(f ProxyFault) bool { return f.DropToServer })
		if errors.Is(err, syscall.EPIPE) {
			return // the server has ended the connection, and the other direction knows how
		}
		if errors.Is(err, syscall.ECONNRESET) {
			if p.faults.get().LoseReset {
				return
			}
			resetOnClose(client)
		}
		done <- struct{}{}
	}()
	go func() {
		err := p.pump(client, server, p.down, &lost, func(f ProxyFault) bool { return f.DropToClient })
		if !errors.Is(err, io.EOF) {
			resetOnClose(client) // an orderly close would make a response without a length complete
		}
		done <- struct{}{}
	}()
	<-done
	if lost.Load() {
		resetOnClose(client)
		resetOnClose(raw)
	}
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

func (p *Proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}

// pump copies one direction and applies the current faults to each block. It
// sets lost when it discards a block, and discards all later ones. It returns the
// error that ended it.
func (p *Proxy) pump(dst io.Writer, src io.Reader, limit *rate.Limiter, lost *atomic.Bool, drops func(ProxyFault) bool) error {
	buf := make([]byte, proxyBlockBytes)
	broken := false
	for {
		n, err := src.Read(buf)
		if n > 0 {
			f := p.faults.get()
			for f.Stall {
				time.Sleep(stallPollInterval)
				f = p.faults.get()
			}
			time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
			time.Sleep(limit.ReserveN(time.Now(), n).Delay())
			p.corrupt(buf[:n], f.CorruptPercent)
			if broken = broken || drops(f); broken {
				lost.Store(true)
				p.discarded.Add(int64(n))
			} else if _, err := dst.Write(buf[:n]); err != nil {
				return err
			}
		}
		if err != nil {
			return err
		}
	}
}

// corrupt changes one byte in the given percentage of blocks.
func (p *Proxy) corrupt(block []byte, percent int) {
	if percent == 0 {
		return
	}
	p.mu.Lock()
	p.seed = p.seed*1664525 + 1013904223 // linear congruential generator: the same blocks in every run
	hit := int(p.seed>>16)%100 < percent
	p.mu.Unlock()
	if hit {
		block[len(block)/2] ^= 0xff
	}
}
