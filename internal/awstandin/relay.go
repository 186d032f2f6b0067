package awstandin

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// RegionLinks stands in for the links between regions. Each ordered pair of
// regions shares one rate for all connections in that direction.
type RegionLinks struct {
	mbit    float64
	corrupt atomic.Int64 // blocks of corruptBlock bytes changed, in percent
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
	relayBuffer  = 16 << 10
	corruptBlock = 64 << 10
)

// NewRegionLinks returns links of the rate in Mbit/s each way.
func NewRegionLinks(mbit float64) *RegionLinks {
	ctx, stop := context.WithCancel(context.Background())
	return &RegionLinks{mbit: mbit, ctx: ctx, stop: stop, links: map[[2]string]*regionLink{}}
}

func (r *RegionLinks) link(from, to string) *regionLink {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := [2]string{from, to}
	if r.links[key] == nil {
		r.links[key] = &regionLink{limit: rate.NewLimiter(rate.Limit(r.mbit*1e6/8), relayBuffer)}
	}
	return r.links[key]
}

// Open returns a loopback address through which processes of region from
// reach the target in region to.
func (r *RegionLinks) Open(from, to, target string) (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	r.mu.Lock()
	r.lis = append(r.lis, lis)
	r.mu.Unlock()
	there, back := r.link(from, to), r.link(to, from)
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go r.join(conn, target, there, back)
		}
	}()
	return lis.Addr().String(), nil
}

func (r *RegionLinks) join(conn net.Conn, target string, there, back *regionLink) {
	defer conn.Close()
	far, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer far.Close()
	done := make(chan struct{}, 2)
	go func() { r.forward(far, conn, there); done <- struct{}{} }()
	go func() { r.forward(conn, far, back); done <- struct{}{} }()
	select {
	case <-done: // a half-closed connection is of no use to the protocol
	case <-r.ctx.Done():
	}
}

func (r *RegionLinks) forward(to, from net.Conn, l *regionLink) {
	buf := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if l.limit.WaitN(r.ctx, n) != nil {
				return
			}
			l.bytes.Add(int64(n))
			if rand.Int64N(100*corruptBlock) < r.corrupt.Load()*int64(n) {
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

// Corrupt changes one byte in that percentage of blocks of 64 KiB.
func (r *RegionLinks) Corrupt(percent int) { r.corrupt.Store(int64(percent)) }

// Bytes returns what each link carried so far, by from and to.
func (r *RegionLinks) Bytes() map[[2]string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[[2]string]int64{}
	for k, l := range r.links {
		out[k] = l.bytes.Load()
	}
	return out
}

// Close ends every connection.
func (r *RegionLinks) Close() {
	r.stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lis {
		_ = l.Close()
	}
}
