// Package awloader runs beside a model engine and keeps the weights that
// operators have named loaded in it.
//
// The weights of a version come in pieces from the origin and from the loaders
// beside other engines of the service. A piece is kept only with the right
// digest. When all are held they are staged at the engine, read back and
// compared, and only then is the engine ordered to load them. An order whose
// answer is lost is settled by asking the engine what it holds.
//
// The loader also reports the load of its engine to the entries.
package awloader

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awweights"
	"arbutuswind/io/awload"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
	"arbutuswind/io/awtransfer"
	"arbutuswind/io/awwatch"
)

// Status is what the engine says of itself.
type Status struct {
	StartUnixMs    int64 // start, Unix milliseconds
	AcceptedOrders int64 // accepted since the start
	Busy           bool  // an order is in progress
	Active         int
	Queued         int
	CacheUsed      int // tokens
	CacheTotal     int
	Slowdown       float64
	Versions       map[string]int64 // of the models loaded
}

// Engine is the model engine on the own instance.
type Engine interface {
	Status(ctx context.Context) (Status, error)
	// ReadStaged returns a staged piece.
	ReadStaged(ctx context.Context, model string, index int) ([]byte, error)
	Stage(ctx context.Context, model string, index int, data []byte) error
	// Load orders the engine to load what is staged, if it has accepted the
	// given number of orders so far.
	Load(ctx context.Context, model string, version, orders int64) error
}

// Manifest lists the pieces of a version.
type Manifest struct {
	Model      string
	Version    int64
	ChunkBytes int
	Digests    []string // SHA-256 in hexadecimal
}

// identity returns what a version is known by among loaders.
func (m Manifest) identity() string {
	return Digest([]byte(m.Model + "/" + strconv.FormatInt(m.Version, 10) + "/" + strings.Join(m.Digests, "")))
}

func (m Manifest) exchange() awweights.Manifest {
	return awweights.Manifest{
		Model: m.Model, Version: strconv.FormatInt(m.Version, 10), ChunkBytes: uint64(m.ChunkBytes),
		SizeBytes: uint64(m.ChunkBytes) * uint64(len(m.Digests)), Chunks: m.Digests,
	}
}

// Digest returns the SHA-256 digest of a piece in hexadecimal.
func Digest(piece []byte) string {
	sum := sha256.Sum256(piece)
	return hex.EncodeToString(sum[:])
}

// Origin is the source of weights at an address.
type Origin interface {
	Manifest(ctx context.Context, address, model string, version int64) (Manifest, error)
	Chunk(ctx context.Context, address, model string, version int64, index int) ([]byte, error)
}

// Config configures a [Loader].
type Config struct {
	Clock     awclock.Clock
	Logger    log.Logger
	Engine    Engine
	Origin    Origin
	Source    awwatch.Source
	Socket    *awload.Socket
	Identity  *awproto.ProcessIdentity
	Backend   string // address of the engine, as the list of backend servers names it
	Service   string
	InnerPort int // of the loaders, the same on every instance
	LinkMbit  float64
	// MaxStaleness is the time from the naming of a version until no request
	// begins on an older one.
	MaxStaleness time.Duration
	Regions      map[string]string // of each failure domain
	Seed         uint64
}

const (
	// reconcilePeriod is the time between two looks at what is wanted and held
	// when nothing changes.
	reconcilePeriod = 150 * time.Millisecond
	// reportPeriod is the time between two load reports; an engine finishes about
	// one request in this time.
	reportPeriod = 80 * time.Millisecond
	// reportsPerSecond bounds the reports to all entries together, about 6 KB a
	// second on the instance's link.
	reportsPerSecond = 60
	// restPeriod replaces it while no entry has asked for reports.
	restPeriod = 500 * time.Millisecond
	// waitShare is the part of the version bound, one half, for which the store holds a
	// read of the operators' rows. A store that went away and came back meanwhile
	// is noticed only then.
	waitShare = 2
	// uploadSlots bounds the pieces that leave at once, which queue on the link
	// in front of the engine's answers.
	uploadSlots = 2
	bitsPerMbit = 1e6
)

// Loader keeps one engine loaded.
type Loader struct {
	cfg     Config
	dialer  *awrpc.Dialer
	store   *awtransfer.Store
	uploads *awtransfer.Uploads
	rng     *rand.Rand
	// manifests is used by reconcileLoop alone.
	manifests map[int64]Manifest

	mu       sync.Mutex
	service  awdirectory.Service
	origin   awdirectory.Origin
	named    []target // versions that operators have named, the newest first
	peers    []awtransfer.Peer
	duty     bool   // on the panel of the region, by the same list
	revision uint64 // of peers
	changed  chan struct{}
	status   Status
}

// New returns a loader that does nothing until [Loader.Run].
func New(cfg Config) *Loader {
	l := &Loader{
		cfg: cfg, store: awtransfer.NewStore(Digest), rng: rand.New(rand.NewPCG(cfg.Seed, awweights.Score("loader", cfg.Backend))),
		manifests: map[int64]Manifest{}, changed: make(chan struct{}, 1), dialer: awrpc.NewDialer(awrpc.DialerConfig{Identity: cfg.Identity}),
	}
	l.uploads = awtransfer.NewUploads(awtransfer.UploadConfig{
		Clock: cfg.Clock, Holder: l.store, Region: cfg.Identity.Region, Slots: uploadSlots, Rate: l.linkRate() * linkShare,
		LinkShare: func() float64 { return 1 },
	})
	return l
}

// linkRate returns the rate of the instance's link in bytes a second.
func (l *Loader) linkRate() float64 { return l.cfg.LinkMbit * bitsPerMbit / 8 }

// Run keeps the engine loaded until ctx ends.
func (l *Loader) Run(ctx context.Context, inner net.Listener) error {
	watcher := awwatch.New(awwatch.Config{
		Clock: l.cfg.Clock, Logger: l.cfg.Logger, Source: l.cfg.Source, MaxStaleness: l.cfg.MaxStaleness,
		OnConfig: l.configure, OnState: l.want, LongPollTimeout: l.cfg.MaxStaleness / waitShare,
	})
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.serve(ctx, inner) })
	group.Go(func() error { watcher.Run(ctx); return nil })
	group.Go(func() error { l.cfg.Socket.Run(ctx, nil); return nil })
	group.Go(func() error { l.reportLoop(ctx); return nil })
	group.Go(func() error { l.reconcileLoop(ctx); return nil })
	return group.Wait()
}

func (l *Loader) configure(c *awdirectory.Config) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := c.Service(l.cfg.Service); s != nil {
		l.service = *s
	}
	for _, s := range c.Services {
		if s.Origin.Address != "" {
			l.origin = s.Origin
		}
	}
	return true
}

// maxTargets is how many versions are considered: the newest, and the one
// before as long as the origin does not give the newest.
const maxTargets = 2

// firstVersion is the version that a model has before operators name one.
const firstVersion = 1

// target is a version that the engine may be brought to.
type target struct {
	model   awdirectory.Model
	origin  awdirectory.Origin
	version int64
	named   time.Time // when this process learned of it
}

func (l *Loader) want(s awwatch.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	floors := s.Floors[l.service.Model.Name]
	if len(l.named) == 0 {
		l.named = []target{{version: firstVersion, named: l.cfg.Clock.Now()}}
	}
	for _, f := range floors {
		if f.Version > l.named[0].version {
			l.named = slices.Insert(l.named, 0, target{version: f.Version, named: l.cfg.Clock.Now()})
			l.wake()
		}
	}
	l.named = l.named[:min(len(l.named), maxTargets)]
}

func (l *Loader) wake() {
	select {
	case l.changed <- struct{}{}:
	default: // a look is due already
	}
}

// targets returns the versions to bring the engine to, the newest first.
func (l *Loader) targets() []target {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.service.Model.Name == "" || l.origin.Address == "" {
		return nil
	}
	list := slices.Clone(l.named)
	for i := range list {
		list[i].model, list[i].origin = l.service.Model, l.origin
	}
	return list
}

// newest reports whether no version has been named after the given one.
func (l *Loader) newest(version int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.named) == 0 || l.named[0].version == version
}

func (l *Loader) log(message string, kv ...any) {
	_ = level.Info(l.cfg.Logger).Log(append([]any{"Message", message}, kv...)...) // a lost log line must not stop the loader
}

// reportLoop asks the engine for its state and passes it on to the entries.
func (l *Loader) reportLoop(ctx context.Context) {
	failing := false
	period := reportPeriod
	for ctx.Err() == nil {
		s, err := l.cfg.Engine.Status(ctx)
		if (err != nil) != failing {
			failing = err != nil
			if failing {
				l.log("engine lost", "Error", err.Error())
			} else {
				l.log("engine regained", "Born", s.StartUnixMs)
			}
		}
		if err == nil {
			period = l.report(s)
		}
		awwatch.Sleep(ctx, period)
	}
}

func (l *Loader) report(s Status) time.Duration {
	l.mu.Lock()
	restarted := l.status.StartUnixMs != s.StartUnixMs
	l.status = s
	l.mu.Unlock()
	if restarted {
		l.wake()
	}
	sent := l.cfg.Socket.Send(awload.Report{
		Address: l.cfg.Backend, StartUnixMs: s.StartUnixMs, Active: s.Active, Queued: s.Queued, Busy: s.Busy,
		CacheUsed: s.CacheUsed, CacheTotal: s.CacheTotal, Slowdown: s.Slowdown, Versions: s.Versions,
	})
	if sent == 0 {
		return restPeriod
	}
	return max(reportPeriod, time.Duration(sent)*time.Second/reportsPerSecond)
}

// serve answers other loaders.
func (l *Loader) serve(ctx context.Context, inner net.Listener) error {
	mux, err := newMux(&innerServer{loader: l})
	if err != nil {
		return err
	}
	err = awrpc.NewServer(mux, func(error) {}).Serve(ctx, inner)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// latest returns the engines of the service, one for each address: the list
// still shows the start before for a while.
func (l *Loader) latest(servers []awdirectory.Server) []awdirectory.Server {
	var out []awdirectory.Server
	for _, s := range servers {
		if s.Service != l.cfg.Service {
			continue
		}
		at := slices.IndexFunc(out, func(o awdirectory.Server) bool { return o.Address == s.Address })
		switch {
		case at < 0:
			out = append(out, s)
		case s.StartUnixMs > out[at].StartUnixMs:
			out[at] = s
		}
	}
	return out
}

// setPeers takes the list of backend servers: beside each engine of the
// service runs a loader.
func (l *Loader) setPeers(digest string, servers []awdirectory.Server) {
	servers = l.latest(servers)
	// The list may not name the engine beside this process yet.
	placed := map[string][]string{l.cfg.Identity.Region: {l.cfg.Backend}}
	for _, s := range servers {
		if s.Address != l.cfg.Backend {
			placed[s.Region] = append(placed[s.Region], s.Address)
		}
	}
	duty := map[string]bool{}
	for _, addresses := range placed {
		for _, a := range awweights.RegionFetchers(digest, addresses) {
			duty[a] = true
		}
	}
	var peers []awtransfer.Peer
	for _, s := range servers {
		if s.Address == l.cfg.Backend {
			continue
		}
		at, err := netip.ParseAddrPort(s.Address)
		if err != nil {
			continue // the list checks addresses
		}
		peers = append(peers, awtransfer.Peer{
			Source: awweights.Source{ID: s.Address, Region: s.Region, RegionFetcher: duty[s.Address]},
			Target: awrpc.Target{Address: netip.AddrPortFrom(at.Addr(), uint16(l.cfg.InnerPort)).String()},
		})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers, l.duty = peers, duty[l.cfg.Backend]
	l.revision++
}
