// Package awload carries load reports from the processes beside backend
// servers to the entries, in datagrams.
//
// An entry asks for reports; whoever has been asked lately gets them. A lost
// datagram costs nothing but freshness. The format is that of protocol buffers
// without a schema, so that fields can be added.
package awload

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protowire"

	"arbutuswind/core/awclock"
)

const (
	// subscription is how long reports go to an entry that has asked for them.
	subscription = 3 * time.Second
	maxDatagram  = 1200 // bytes; fits into one packet on every usual link
)

// The fields of a datagram. One with only fieldAsk asks for reports.
const (
	fieldAsk protowire.Number = iota + 1
	fieldAddress
	fieldBorn
	fieldActive
	fieldQueued
	fieldBusy
	fieldCacheUsed
	fieldCacheAll
	fieldPacePercent
	fieldModel
	fieldVersion // of the model named before it
)

// Report is what a backend server says of itself.
type Report struct {
	Address     string // of the backend server, IP:port
	StartUnixMs int64
	Active      int
	Queued      int
	Busy        bool // accepts nothing because of an order
	CacheUsed   int  // tokens
	CacheTotal  int
	Slowdown    float64
	Versions    map[string]int64
}

// encode returns the datagram of a report.
func (r *Report) encode() []byte {
	b := protowire.AppendTag(nil, fieldAddress, protowire.BytesType)
	b = protowire.AppendString(b, r.Address)
	number := func(f protowire.Number, v int64) {
		b = protowire.AppendTag(b, f, protowire.VarintType)
		b = protowire.AppendVarint(b, uint64(v))
	}
	number(fieldBorn, r.StartUnixMs)
	number(fieldActive, int64(r.Active))
	number(fieldQueued, int64(r.Queued))
	if r.Busy {
		number(fieldBusy, 1)
	}
	number(fieldCacheUsed, int64(r.CacheUsed))
	number(fieldCacheAll, int64(r.CacheTotal))
	number(fieldPacePercent, int64(r.Slowdown*100))
	for model, version := range r.Versions {
		b = protowire.AppendTag(b, fieldModel, protowire.BytesType)
		b = protowire.AppendString(b, model)
		number(fieldVersion, version)
	}
	return b
}

// decode reads a datagram; ask is true for one that asks for reports.
func decode(b []byte) (r Report, ask bool, err error) {
	model := ""
	for len(b) > 0 {
		f, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return r, false, eris.Wrap(protowire.ParseError(n), "datagram")
		}
		b = b[n:]
		switch kind {
		case protowire.BytesType:
			v, n := protowire.ConsumeString(b)
			if n < 0 {
				return r, false, eris.Wrap(protowire.ParseError(n), "datagram")
			}
			b = b[n:]
			if f == fieldAddress {
				r.Address = v
			}
			if f == fieldModel {
				model = v
			}
		case protowire.VarintType:
			v, n := protowire.ConsumeVarint(b)
			if n < 0 {
				return r, false, eris.Wrap(protowire.ParseError(n), "datagram")
			}
			b = b[n:]
			ask = ask || f == fieldAsk
			r.set(f, int64(v), model)
		default:
			n := protowire.ConsumeFieldValue(f, kind, b)
			if n < 0 {
				return r, false, eris.Wrap(protowire.ParseError(n), "datagram")
			}
			b = b[n:]
		}
	}
	return r, ask, nil
}

func (r *Report) set(f protowire.Number, v int64, model string) {
	switch f {
	case fieldBorn:
		r.StartUnixMs = v
	case fieldActive:
		r.Active = int(v)
	case fieldQueued:
		r.Queued = int(v)
	case fieldBusy:
		r.Busy = v != 0
	case fieldCacheUsed:
		r.CacheUsed = int(v)
	case fieldCacheAll:
		r.CacheTotal = int(v)
	case fieldPacePercent:
		r.Slowdown = float64(v) / 100
	case fieldVersion:
		if r.Versions == nil {
			r.Versions = map[string]int64{}
		}
		r.Versions[model] = v
	}
}

// Socket sends and receives datagrams. It is safe for concurrent use.
type Socket struct {
	clock awclock.Clock
	conn  *net.UDPConn
	bad   *metrics.Counter

	mu    sync.Mutex
	asked map[netip.AddrPort]time.Time
}

// Listen opens a socket at an address, IP:port.
func Listen(addr string, clock awclock.Clock) (*Socket, error) {
	at, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "address %s", addr)
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", addr)
	}
	return &Socket{clock: clock, conn: conn, asked: map[netip.AddrPort]time.Time{}, bad: metrics.GetOrCreateCounter("arbutuswind_load_bad_datagrams_total")}, nil
}

// Run receives until ctx ends. Questions are noted; onReport, which may be
// nil, gets the reports.
func (s *Socket) Run(ctx context.Context, onReport func(Report)) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			continue // an unreachable peer is reported here, and the end of ctx
		}
		r, ask, err := decode(buf[:n])
		switch {
		case err != nil:
			s.bad.Inc()
		case ask:
			s.mu.Lock()
			s.asked[from] = s.clock.Now()
			s.mu.Unlock()
		case onReport != nil:
			onReport(r)
		}
	}
}

// Subscribe asks a process for reports.
func (s *Socket) Subscribe(addr netip.AddrPort) {
	b := protowire.AppendTag(nil, fieldAsk, protowire.VarintType)
	_, _ = s.conn.WriteToUDPAddrPort(protowire.AppendVarint(b, 1), addr) // asked again every second
}

// Send sends a report to all that have asked lately and returns their number.
func (s *Socket) Send(r Report) int {
	now := s.clock.Now()
	s.mu.Lock()
	to := make([]netip.AddrPort, 0, len(s.asked))
	for addr, at := range s.asked {
		if now.Sub(at) > subscription {
			delete(s.asked, addr)
			continue
		}
		to = append(to, addr)
	}
	s.mu.Unlock()
	b := r.encode()
	for _, addr := range to {
		_, _ = s.conn.WriteToUDPAddrPort(b, addr) // the next report makes up for a lost one
	}
	return len(to)
}
