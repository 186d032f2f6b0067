// Package awloader runs next to a model engine and keeps it on the version of
// the weights that operators have set.
//
// The weights of a version are fetched in chunks from the origin and from the
// loaders of other engines of the service. A chunk is kept only if its digest
// matches. Once all chunks are held, they are staged at the engine, read back
// and compared; only then is the engine ordered to load them. If the reply to
// a load order is lost, the loader reads the engine's status to find out
// whether the order was accepted.
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

// Status is the state that the engine reports about itself.
type Status struct {
	StartUnixMs    int64 // start of the engine, Unix milliseconds
	AcceptedOrders int64 // load orders accepted since the engine started
	Busy           bool  // a load order is in progress
	Active         int
	Queued         int
	CacheUsed      int              // tokens in the KV cache
	CacheTotal     int              // capacity of the KV cache, tokens
	Slowdown       float64          // over 1 when the engine runs slower than usual
	Versions       map[string]int64 // loaded version of each model
}

// Engine is the model engine on the same instance.
type Engine interface {
	Status(ctx context.Context) (Status, error)
	// ReadStaged returns a staged chunk.
	ReadStaged(ctx context.Context, model string, index int) ([]byte, error)
	// Stage places a chunk at the engine without loading it.
	Stage(ctx context.Context, model string, index int, data []byte) error
	// Load orders the engine to load the staged chunks. The engine rejects the
	// order unless it has accepted exactly the given number of orders so far.
	Load(ctx context.Context, model string, version, orders int64) error
}

// Manifest lists the chunks of a version.
type Manifest struct {
	Model      string
	Version    int64
	ChunkBytes int
	Digests    []string // SHA-256 of each chunk in hexadecimal
}

// versionDigest returns the digest by which loaders identify a version.
func (m Manifest) versionDigest() string {
	return Digest([]byte(m.Model + "/" + strconv.FormatInt(m.Version, 10) + "/" + strings.Join(m.Digests, "")))
}

func (m Manifest) weightsManifest() awweights.Manifest {
	return awweights.Manifest{
		Model: m.Model, Version: strconv.FormatInt(m.Version, 10), ChunkBytes: uint64(m.ChunkBytes),
		SizeBytes: uint64(m.ChunkBytes) * uint64(len(m.Digests)), Chunks: m.Digests,
	}
}

// Digest returns the SHA-256 digest of a chunk in hexadecimal.
func Digest(chunk []byte) string {
	sum := sha256.Sum256(chunk)
	return hex.EncodeToString(sum[:])
}

// Origin reads weights from the origin at an address.
type Origin interface {
	Manifest(ctx context.Context, address, model string, version int64) (Manifest, error)
	Chunk(ctx context.Context, address, model string, version int64, index int) ([]byte, error)
}

// Config configures a [Loader].
type Config struct {
	Clock     awclock.Clock // counts the time for which the machine is suspended
	Logger    log.Logger
	Engine    Engine
	Origin    Origin
	Source    awwatch.Source
	Socket    *awload.Socket
	Identity  *awproto.ProcessIdentity
	Backend   string // address of the engine as in the list of backend servers
	Service   string
	InnerPort int     // port of the loaders, the same on every instance
	LinkMbit  float64 // bandwidth of the instance's link, Mbit/s
	// MaxStaleness is the time after operators set a version from which no
	// request may start on an older one.
	MaxStaleness time.Duration
	Regions      map[string]string // region of each failure domain
	Seed         uint64
}

const (
	// reconcilePeriod is the time between two comparisons of the desired and
	// the loaded version when nothing changes.
	reconcilePeriod = 150 * time.Millisecond
	// reportPeriod is the time between two load reports. An engine finishes
	// about one request in this time.
	reportPeriod = 80 * time.Millisecond
	// maxReportsPerSecond limits the reports to all entries together to about
	// 6 KB a second on the instance's link.
	maxReportsPerSecond = 60
	// idleReportPeriod replaces reportPeriod while no entry subscribes to reports.
	idleReportPeriod = 500 * time.Millisecond
	// longPollDivisor makes a long poll of the operators' rows last half of
	// MaxStaleness. A store that became unavailable and available again in the
	// meantime is noticed only when the poll ends.
	longPollDivisor = 2
	// maxRetryDelay is the longest delay of the watcher after a failed read. It is
	// short, since relayedSource has waited already.
	maxRetryDelay = 200 * time.Millisecond
	// uploadSlots is the maximum number of parallel uploads to peers. Uploads
	// delay the engine's responses, which share the link.
	uploadSlots = 2
	bitsPerMbit = 1e6
)

// Loader keeps one engine on the desired version of its weights.
type Loader struct {
	cfg     Config
	dialer  *awrpc.Dialer
	store   *awtransfer.Store
	uploads *awtransfer.Uploads
	source  *relayedSource
	servers serverList
	rng     *rand.Rand
	// reportRand rounds the shares of entries in the free slots. Only reportLoop uses it.
	reportRand *rand.Rand
	// manifests holds manifests by version, and corruptManifests the versions
	// whose manifest had a wrong digest. Only reconcileLoop uses them.
	manifests        map[int64]Manifest
	corruptManifests map[int64]bool
	manifestWait     time.Duration // how long to ask peers for a manifest

	mu sync.Mutex
	// offeredManifests holds the encoded manifests for other loaders, by key.
	offeredManifests map[string][]byte
	service          awdirectory.Service
	origin           awdirectory.Origin
	desired          []target // versions that operators have set, newest first
	peers            []awtransfer.Peer
	regionFetcher    bool   // whether this loader is a region fetcher, from the same list of servers as peers
	peersRevision    uint64 // rises with every change of peers
	changed          chan struct{}
	status           Status
}

// New returns a loader. It does nothing until [Loader.Run] is called.
func New(cfg Config) *Loader {
	l := &Loader{
		cfg: cfg, source: newRelayedSource(cfg.Source, cfg.Clock, cfg.Logger, cfg.Service), servers: serverList{table: awdirectory.NewTable()},
		store: awtransfer.NewStore(Digest), rng: rand.New(rand.NewPCG(cfg.Seed, awweights.Score("loader", cfg.Backend))),
		reportRand: rand.New(rand.NewPCG(cfg.Seed, awweights.Score("shares", cfg.Backend))),
		manifests:  map[int64]Manifest{}, corruptManifests: map[int64]bool{}, manifestWait: manifestWait, offeredManifests: map[string][]byte{}, changed: make(chan struct{}, 1), dialer: awrpc.NewDialer(awrpc.DialerConfig{Identity: cfg.Identity}),
	}
	l.uploads = awtransfer.NewUploads(awtransfer.UploadConfig{
		Clock: cfg.Clock, Holder: l.store, Region: cfg.Identity.Region, Slots: uploadSlots, Rate: l.linkRate() * chunkLinkShare,
		LinkShare: func() float64 { return 1 },
	})
	return l
}

// linkRate returns the bandwidth of the instance's link in bytes per second.
func (l *Loader) linkRate() float64 { return l.cfg.LinkMbit * bitsPerMbit / 8 }

// Run keeps the engine on the desired version until ctx ends. It serves other
// loaders on inner.
func (l *Loader) Run(ctx context.Context, inner net.Listener) error {
	watcher := awwatch.New(awwatch.Config{
		Clock: l.cfg.Clock, Logger: l.cfg.Logger, Source: l.source, MaxStaleness: l.cfg.MaxStaleness,
		OnConfig: l.applyConfig, OnState: l.applyState, LongPollTimeout: l.cfg.MaxStaleness / longPollDivisor, MaxRetryDelay: maxRetryDelay,
	})
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.serve(ctx, inner) })
	group.Go(func() error { watcher.Run(ctx); return nil })
	group.Go(func() error { l.cfg.Socket.Run(ctx, awload.Handlers{Fleet: l.source.relay}); return nil })
	group.Go(func() error { l.reportLoop(ctx); return nil })
	group.Go(func() error { l.reconcileLoop(ctx); return nil })
	return group.Wait()
}

func (l *Loader) applyConfig(c *awdirectory.Config) bool {
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

// maxTargets is the number of versions considered: the newest one, and the one
// before it in case the origin can't provide the newest.
const maxTargets = 2

// firstVersion is the desired version of a model until operators set one.
const firstVersion = 1

// target is a version that the engine may be switched to.
type target struct {
	model        awdirectory.Model
	origin       awdirectory.Origin
	version      int64
	desiredSince time.Time // when this process learned of the version
}

func (l *Loader) applyState(s awwatch.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	floors := s.Floors[l.service.Model.Name]
	if len(l.desired) == 0 {
		l.desired = []target{{version: firstVersion, desiredSince: l.cfg.Clock.Now()}}
	}
	for _, f := range floors {
		if f.Version > l.desired[0].version {
			l.desired = slices.Insert(l.desired, 0, target{version: f.Version, desiredSince: l.cfg.Clock.Now()})
			l.wake()
		}
	}
	l.desired = l.desired[:min(len(l.desired), maxTargets)]
}

func (l *Loader) wake() {
	select {
	case l.changed <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// targets returns the versions to switch the engine to, newest first. It
// returns nil until the model and the origin are known.
func (l *Loader) targets() []target {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.service.Model.Name == "" || l.origin.Address == "" {
		return nil
	}
	list := slices.Clone(l.desired)
	for i := range list {
		list[i].model, list[i].origin = l.service.Model, l.origin
	}
	return list
}

// isNewest reports whether operators have set no version after the given one.
func (l *Loader) isNewest(version int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.desired) == 0 || l.desired[0].version == version
}

func (l *Loader) log(message string, kv ...any) {
	_ = level.Info(l.cfg.Logger).Log(append([]any{"Message", message}, kv...)...) // a failure to log must not stop the loader
}

// reportLoop polls the status of the engine and reports its load to the entries.
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

// report sends a load report and returns the time until the next one.
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
		Draw: l.reportRand.Float64(),
	})
	if sent == 0 {
		return idleReportPeriod
	}
	return max(reportPeriod, time.Duration(sent)*time.Second/maxReportsPerSecond)
}

// serve handles RPCs of other loaders.
func (l *Loader) serve(ctx context.Context, inner net.Listener) error {
	mux, err := newMux(&innerServer{loader: l})
	if err != nil {
		return err
	}
	err = awrpc.NewServer(mux, awrpc.LogPanics(l.cfg.Logger)).Serve(ctx, inner)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// latestServers returns the engines of the service, only the latest start for
// each address. After a restart the list still has the earlier start for a while.
func (l *Loader) latestServers(servers []awdirectory.Server) []awdirectory.Server {
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

// setPeers derives the peers from the list of backend servers: each engine of
// the service has a loader next to it.
func (l *Loader) setPeers(digest string, servers []awdirectory.Server) {
	servers = l.latestServers(servers)
	// The list may not contain the engine of this loader yet.
	addressesByRegion := map[string][]string{l.cfg.Identity.Region: {l.cfg.Backend}}
	for _, s := range servers {
		if s.Address != l.cfg.Backend {
			addressesByRegion[s.Region] = append(addressesByRegion[s.Region], s.Address)
		}
	}
	fetchers := map[string]bool{}
	for _, addresses := range addressesByRegion {
		for _, a := range awweights.RegionFetchers(digest, addresses) {
			fetchers[a] = true
		}
	}
	var peers []awtransfer.Peer
	for _, s := range servers {
		if s.Address == l.cfg.Backend {
			continue
		}
		target, ok := l.peerTarget(s.Address)
		if !ok {
			continue // addresses are validated when the list is read
		}
		peers = append(peers, awtransfer.Peer{
			Source: awweights.Source{ID: s.Address, Region: s.Region, RegionFetcher: fetchers[s.Address]}, Target: target,
		})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers, l.regionFetcher = peers, fetchers[l.cfg.Backend]
	l.peersRevision++
}

// peerTarget returns the address of the loader next to the engine at an address.
func (l *Loader) peerTarget(engine string) (awrpc.Target, bool) {
	at, err := netip.ParseAddrPort(engine)
	if err != nil {
		return awrpc.Target{}, false
	}
	return awrpc.Target{Address: netip.AddrPortFrom(at.Addr(), uint16(l.cfg.InnerPort)).String()}, true
}
