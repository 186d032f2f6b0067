// Package awload sends load reports over UDP from the processes next to backend
// servers to the entries, and what the loaders need to know of the store the other
// way.
//
// An entry subscribes to the reports of a process and renews the subscription
// before it expires. If a datagram is lost, the load is merely less recent until
// the next report. Datagrams are encoded in the wire format of protocol buffers
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

	"arbutuswind/core/awbalance"
	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
)

const (
	// subscriptionTTL is how long an entry gets reports after its last request.
	subscriptionTTL  = 3 * time.Second
	maxDatagramBytes = 1200 // fits into one packet on all common links
)

// Field numbers of a datagram. A datagram with fieldSubscribe is a request for
// reports. It carries a [Fleet] if the entry is connected to the store.
const (
	fieldSubscribe protowire.Number = iota + 1
	fieldAddress
	fieldStartUnixMs
	fieldActive
	fieldQueued
	fieldBusy
	fieldCacheUsed
	fieldCacheTotal
	fieldSlowdownPercent
	fieldModel
	fieldVersion // of the model in the preceding fieldModel
	fieldChunks
	fieldChunkBytes
	fieldOrigin
	fieldOriginDomain
	fieldFacts
	fieldNotices
	fieldDuties
	fieldShareAsk    // name of the entry that asks
	fieldShareReadMs // of the answer, as are those that follow
	fieldShareWrittenMs
	fieldShareCount
	fieldShareCounted // in each answer
)

// Report is the load of a backend server as reported by itself.
type Report struct {
	Address     string // of the backend server, IP:port
	StartUnixMs int64  // start of the backend server, Unix milliseconds
	Active      int
	Queued      int
	Busy        bool             // accepts no requests because a load order is in progress
	CacheUsed   int              // tokens in the KV cache
	CacheTotal  int              // capacity of the KV cache, tokens
	Slowdown    float64          // over 1 when the backend server runs slower than usual
	Versions    map[string]int64 // loaded version of each model
	// Shared is whether the report holds the receiver's share of the free slots. The
	// loader sets it for subscribers that send a [Claim].
	Shared bool
	Share  int
	Draw   float64 // uniform in [0, 1); rounds the shares and is not sent
}

// encode returns the datagram of a report.
func (r *Report) encode() []byte {
	b := protowire.AppendTag(nil, fieldAddress, protowire.BytesType)
	b = protowire.AppendString(b, r.Address)
	appendInt := func(f protowire.Number, v int64) {
		b = protowire.AppendTag(b, f, protowire.VarintType)
		b = protowire.AppendVarint(b, uint64(v))
	}
	appendInt(fieldStartUnixMs, r.StartUnixMs)
	appendInt(fieldActive, int64(r.Active))
	appendInt(fieldQueued, int64(r.Queued))
	if r.Busy {
		appendInt(fieldBusy, 1)
	}
	appendInt(fieldCacheUsed, int64(r.CacheUsed))
	appendInt(fieldCacheTotal, int64(r.CacheTotal))
	appendInt(fieldSlowdownPercent, int64(r.Slowdown*100))
	return appendVersions(b, r.Versions)
}

func appendVersions(b []byte, versions map[string]int64) []byte {
	for model, version := range versions {
		b = protowire.AppendTag(b, fieldModel, protowire.BytesType)
		b = protowire.AppendString(b, model)
		b = protowire.AppendTag(b, fieldVersion, protowire.VarintType)
		b = protowire.AppendVarint(b, uint64(version))
	}
	return b
}

// Values of fieldSubscribe.
const (
	subscribeOnly      = 1
	subscribeConnected = 2 // the datagram holds a Fleet
)

// datagram is a decoded datagram: a report, or a subscription if subscribe is
// not 0.
type datagram struct {
	report    Report
	subscribe uint64
	fleet     Fleet
	claim     awbalance.Claim
	facts     []byte // nil unless the datagram is one between entries
	notices   []byte // likewise
	duties    []byte // likewise
	shareAsk  string
	answer    awdirectory.Answer
	answered  bool // the datagram is an answer
}

// decode decodes a datagram.
func decode(b []byte) (d datagram, err error) {
	for len(b) > 0 {
		f, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return d, eris.Wrap(protowire.ParseError(n), "datagram")
		}
		b = b[n:]
		switch kind {
		case protowire.BytesType:
			v, n := protowire.ConsumeString(b)
			if n < 0 {
				return d, eris.Wrap(protowire.ParseError(n), "datagram")
			}
			b = b[n:]
			d.setString(f, v)
		case protowire.VarintType:
			v, n := protowire.ConsumeVarint(b)
			if n < 0 {
				return d, eris.Wrap(protowire.ParseError(n), "datagram")
			}
			b = b[n:]
			d.setInt(f, v)
		default:
			n := protowire.ConsumeFieldValue(f, kind, b)
			if n < 0 {
				return d, eris.Wrap(protowire.ParseError(n), "datagram")
			}
			b = b[n:]
		}
	}
	d.fleet.Versions = d.report.Versions
	return d, nil
}

func (d *datagram) setString(f protowire.Number, v string) {
	switch f {
	case fieldAddress:
		d.report.Address = v
	case fieldModel:
		d.fleet.Model = v
	case fieldOrigin:
		d.fleet.Origin = v
	case fieldOriginDomain:
		d.fleet.OriginDomain = v
	case fieldFacts:
		d.facts = []byte(v)
	case fieldNotices:
		d.notices = []byte(v)
	case fieldDuties:
		d.duties = []byte(v)
	case fieldShareAsk:
		d.shareAsk = v
	}
}

func (d *datagram) setInt(f protowire.Number, v uint64) {
	switch f {
	case fieldSubscribe:
		d.subscribe = v
	case fieldChunks:
		d.fleet.Chunks = int(v)
	case fieldChunkBytes:
		d.fleet.ChunkBytes = int(v)
	case fieldDemand:
		d.claim.Demand = float64(v) / demandUnit
	case fieldSlots:
		d.claim.Slots = int(v)
	case fieldSharers:
		d.claim.Sharers = int(v)
	case fieldShareReadMs:
		d.answer.ReadFor = time.Duration(min(v, maxReadMs)) * time.Millisecond
	case fieldShareWrittenMs:
		d.answer.WrittenAgo = time.Duration(min(v, maxReadMs)) * time.Millisecond
	case fieldShareCount:
		d.answer.Count = int(min(v, maxEntries))
	case fieldShareCounted:
		d.answered, d.answer.Counted = true, v == shareCounted
	default:
		d.report.set(f, int64(v), d.fleet.Model)
	}
}

// set sets the integer field f. model is the model to which a version belongs.
func (r *Report) set(f protowire.Number, v int64, model string) {
	switch f {
	case fieldShare:
		r.Shared, r.Share = true, int(v)
	case fieldStartUnixMs:
		r.StartUnixMs = v
	case fieldActive:
		r.Active = int(v)
	case fieldQueued:
		r.Queued = int(v)
	case fieldBusy:
		r.Busy = v != 0
	case fieldCacheUsed:
		r.CacheUsed = int(v)
	case fieldCacheTotal:
		r.CacheTotal = int(v)
	case fieldSlowdownPercent:
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
	clock        awclock.Clock
	conn         *net.UDPConn
	badDatagrams *metrics.Counter

	mu          sync.Mutex
	subscribers map[netip.AddrPort]subscriber
	firstClaim  time.Time // zero while no subscriber has sent a claim
}

// Listen opens a UDP socket at addr, IP:port.
func Listen(addr string, clock awclock.Clock) (*Socket, error) {
	at, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "resolve address %s", addr)
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", addr)
	}
	return &Socket{clock: clock, conn: conn, subscribers: map[netip.AddrPort]subscriber{}, badDatagrams: metrics.GetOrCreateCounter("arbutuswind_load_bad_datagrams_total")}, nil
}

// Handlers handle the content of datagrams. Each may be nil.
type Handlers struct {
	Report func(Report)
	Fleet  func(Fleet)
	// Facts handles what another entry has sent with [Socket.SendFacts] and
	// returns what to send back.
	Facts func(payload []byte) [][]byte
	// Notices handles what another entry has sent with [Socket.SendNotices].
	Notices func(from netip.AddrPort, payload []byte)
	// Duties handles what another entry has sent with [Socket.SendDuties].
	Duties func(from netip.AddrPort, payload []byte)
	// ShareAsked returns what to answer an entry that has asked with
	// [Socket.AskShare], and ShareAnswer handles such an answer.
	ShareAsked  func(entry string) awdirectory.Answer
	ShareAnswer func(awdirectory.Answer)
}

// Run receives datagrams until ctx ends and then closes the socket. It records
// subscribers and passes the content of datagrams to the handlers.
func (s *Socket) Run(ctx context.Context, h Handlers) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			continue // an unreachable peer or the end of ctx; the loop condition checks ctx
		}
		d, err := decode(buf[:n])
		if err != nil {
			s.badDatagrams.Inc()
			continue
		}
		s.handle(from, &d, &h)
	}
}

// handle passes the content of a datagram to its handler, if there is one.
func (s *Socket) handle(from netip.AddrPort, d *datagram, h *Handlers) {
	switch {
	case d.subscribe != 0:
		s.subscribe(from, d.claim)
		if d.subscribe == subscribeConnected && h.Fleet != nil {
			h.Fleet(d.fleet)
		}
	case d.facts != nil:
		if h.Facts != nil {
			for _, answer := range h.Facts(d.facts) {
				s.SendFacts(from, answer)
			}
		}
	case d.notices != nil:
		if h.Notices != nil {
			h.Notices(from, d.notices)
		}
	case d.duties != nil:
		if h.Duties != nil {
			h.Duties(from, d.duties)
		}
	case d.shareAsk != "" || d.answered:
		s.handleShare(from, d, h)
	case h.Report != nil:
		h.Report(d.report)
	}
}

// Fleet is what an entry that is connected to the store tells the process next to
// an engine about the engine's service.
type Fleet struct {
	Versions     map[string]int64 // versions that operators have named, by model
	Model        string           // model that the engines of the service serve
	Chunks       int              // of the model's weights
	ChunkBytes   int
	Origin       string // address of the weight origin, IP:port
	OriginDomain string
}

// Subscription returns the datagram that requests load reports. An entry that is
// not connected to the store passes nil.
func Subscription(f *Fleet) []byte {
	b := protowire.AppendTag(nil, fieldSubscribe, protowire.VarintType)
	if f == nil {
		return protowire.AppendVarint(b, subscribeOnly)
	}
	b = protowire.AppendVarint(b, subscribeConnected)
	appendString := func(field protowire.Number, v string) {
		b = protowire.AppendTag(b, field, protowire.BytesType)
		b = protowire.AppendString(b, v)
	}
	appendInt := func(field protowire.Number, v int) {
		b = protowire.AppendTag(b, field, protowire.VarintType)
		b = protowire.AppendVarint(b, uint64(v))
	}
	appendInt(fieldChunks, f.Chunks)
	appendInt(fieldChunkBytes, f.ChunkBytes)
	appendString(fieldOrigin, f.Origin)
	appendString(fieldOriginDomain, f.OriginDomain)
	b = appendVersions(b, f.Versions)
	// The last model is that of the service. The receiver takes those before it
	// for models with named versions only.
	appendString(fieldModel, f.Model)
	return b
}

// Subscribe sends a subscription to the process at addr, which reports its load
// for subscriptionTTL.
func (s *Socket) Subscribe(addr netip.AddrPort, subscription []byte) {
	_, _ = s.conn.WriteToUDPAddrPort(subscription, addr) // the caller renews the subscription every second
}

// SendFacts sends facts between entries. The payload must leave room for the
// header of a datagram of 1200 bytes; a lost datagram is not sent again.
func (s *Socket) SendFacts(addr netip.AddrPort, payload []byte) {
	s.sendPayload(addr, fieldFacts, payload) // digests follow
}

// SendNotices sends notices about backend servers between entries, as SendFacts
// does.
func (s *Socket) SendNotices(addr netip.AddrPort, payload []byte) {
	s.sendPayload(addr, fieldNotices, payload) // asks are repeated
}

// SendDuties sends a message about duties between entries, as SendFacts does.
func (s *Socket) SendDuties(addr netip.AddrPort, payload []byte) {
	s.sendPayload(addr, fieldDuties, payload) // sent again every second
}

func (s *Socket) sendPayload(addr netip.AddrPort, field protowire.Number, payload []byte) {
	b := protowire.AppendTag(nil, field, protowire.BytesType)
	_, _ = s.conn.WriteToUDPAddrPort(protowire.AppendBytes(b, payload), addr)
}
