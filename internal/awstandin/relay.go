package awstandin

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// RegionLinks stands in for the network links between regions. All connections
// from one region to another share one rate per direction.
type RegionLinks struct {
	mbit    float64
	corrupt atomic.Int64 // share of blocks of corruptBlockBytes in which one byte is changed, in percent
	ctx     context.Context
	stop    context.CancelFunc

	mu    sync.Mutex
	links map[[2]string]*regionLink
	lis   []net.Listener
}

type regionLink struct {
	limit *rate.Limiter
	bytes atomic.Int64
}

const (
	relayBufferBytes  = 16 << 10
	corruptBlockBytes = 64 << 10
)

// NewRegionLinks returns links with a rate of mbit Mbit/s in each direction.
func NewRegionLinks(mbit float64) *RegionLinks {
	ctx, stop := context.WithCancel(context.Background())
	return &RegionLinks{mbit: mbit, ctx: ctx, stop: stop, links: map[[2]string]*regionLink{}}
}

func (r *RegionLinks) link(from, to string) *regionLink {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := [2]string{from, to}
	if r.links[key] == nil {
		r.links[key] = &regionLink{limit: rate.NewLimiter(rate.Limit(r.mbit*1e6/8), relayBufferBytes)}
	}
	return r.links[key]
}

// Open starts a relay for processes in region from to the address target in
// region to. It returns the loopback address of the relay, IP:port.
func (r *RegionLinks) Open(from, to, target string) (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	r.mu.Lock()
	r.lis = append(r.lis, lis)
	r.mu.Unlock()
	outbound, inbound := r.link(from, to), r.link(to, from)
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go r.relay(conn, target, outbound, inbound)
		}
	}()
	return lis.Addr().String(), nil
}

func (r *RegionLinks) relay(conn net.Conn, target string, outbound, inbound *regionLink) {
	defer conn.Close()
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer server.Close()
	done := make(chan struct{}, 2)
	go func() { r.forward(server, conn, outbound); done <- struct{}{} }()
	go func() { r.forward(conn, server, inbound); done <- struct{}{} }()
	select {
	case <-done: // the protocol does not use half-closed connections
	case <-r.ctx.Done():
	}
}

func (r *RegionLinks) forward(to, from net.Conn, l *regionLink) {
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if l.limit.WaitN(r.ctx, n) != nil {
				return
			}
			l.bytes.Add(int64(n))
			if rand.Int64N(100*corruptBlockBytes) < r.corrupt.Load()*int64(n) {
				buf[n/2] ^= 0xff
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Corrupt changes one byte in the given percentage of blocks of 64 KiB.
func (r *RegionLinks) Corrupt(percent int) { r.corrupt.Store(int64(percent)) }

// Bytes returns the bytes that each link has carried, by source and destination
// region.
func (r *RegionLinks) Bytes() map[[2]string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[[2]string]int64{}
	for k, l := range r.links {
		out[k] = l.bytes.Load()
	}
	return out
}

// Close stops all relays and ends their connections.
func (r *RegionLinks) Close() {
	r.stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lis {
		_ = l.Close()
	}
}
