// Package awtransfer transfers versions of weights. It fetches and verifies the
// chunks that [arbutuswind/core/awweights] selects, from the origin or from
// peers, stores them in memory and uploads them to other peers.
package awtransfer

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awweights"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
)

const (
	// schedulePeriod is the time between two checks for fetches that a token
	// bucket or an expired timeout allows.
	schedulePeriod = 20 * time.Millisecond
	// mapPeriod is the time between two requests for chunk maps. The maps of
	// busy peers are more recent, since they also arrive with chunks.
	mapPeriod = 200 * time.Millisecond
	// mapTimeout limits one request for a chunk map.
	mapTimeout = time.Second
	// fetchTimeout limits one fetch. A stalled fetch is hedged long before that.
	fetchTimeout = 10 * time.Second
	fetchWorkers = 16
	mapWorkers   = 8
)

// Peer is a process that chunks may be fetched from.
type Peer struct {
	awweights.Source
	Target awrpc.Target
}

// View is the state of the fleet as the host knows it.
type View struct {
	Peers         []Peer
	RegionFetcher bool   // this process is a region fetcher of its region
	Revision      uint64 // rises when Peers or RegionFetcher changes
	Wanted        bool   // the transfer should continue
}

// Host is implemented by the process that runs a transfer.
type Host interface {
	// View returns the current view for the transfer of the version with the
	// given digest. It is called in every iteration of the scheduling loop and
	// must be cheap.
	View(digest string) View
	// LinkShare returns the fraction of the link that weights may use, 0 to 1.
	LinkShare() float64
	// FetchFromOrigin reads a chunk from the origin. want is its digest.
	FetchFromOrigin(ctx context.Context, index int, want string) ([]byte, error)
	// Put stores a chunk if its digest is want, and otherwise returns false.
	Put(index int, want string, data []byte) bool
	// Has reports whether a chunk is held.
	Has(index int) bool
	// Progress receives the statistics of the transfer periodically and at its end.
	Progress(s awweights.Stats)
}

// Config configures a [Transfer].
type Config struct {
	Clock    awclock.Clock
	Rand     *rand.Rand
	Host     Host
	Dialer   *awrpc.Dialer
	Identity *awproto.ProcessIdentity
	Exchange awweights.Config
	Held     awweights.Bitmap // chunks held before the transfer
}

// Transfer fetches one version. One goroutine schedules fetches and owns the
// exchange. Workers fetch chunks and request chunk maps. They communicate over
// bounded channels.
type Transfer struct {
	cfg      Config
	digest   string
	exchange *awweights.Exchange

	targets     map[string]awrpc.Target
	cancels     map[uint64]context.CancelFunc
	jobs        chan fetchJob
	results     chan fetchResult
	mapRequests chan map[string]awrpc.Target
	maps        chan peerMap
}

// New returns a transfer. It does nothing until [Transfer.Run] is called.
func New(cfg Config) *Transfer {
	return &Transfer{
		cfg: cfg, digest: cfg.Exchange.Digest, exchange: awweights.NewExchange(cfg.Exchange, cfg.Clock, cfg.Rand, cfg.Held),
		cancels: map[uint64]context.CancelFunc{}, jobs: make(chan fetchJob, fetchWorkers),
		results: make(chan fetchResult, fetchWorkers), mapRequests: make(chan map[string]awrpc.Target, 1),
		maps: make(chan peerMap, mapWorkers),
	}
}

type fetchJob struct {
	awweights.Fetch
	ctx    context.Context
	cancel context.CancelFunc
	target awrpc.Target
	want   string // digest of the chunk
}

type fetchResult struct {
	fetch  awweights.Fetch
	result awweights.Result
	held   awweights.Bitmap
}

type peerMap struct {
	id   string
	held awweights.Bitmap // nil if the request failed
}

// Run fetches chunks until the version is complete, the host no longer wants it
// or ctx ends.
func (t *Transfer) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for range fetchWorkers {
		group.Go(func() error { t.fetchLoop(ctx); return nil })
	}
	group.Go(func() error { t.mapLoop(ctx); return nil })
	group.Go(func() error {
		defer cancel()
		t.schedule(ctx)
		return nil
	})
	_ = group.Wait() // no member returns an error
	t.cfg.Host.Progress(t.exchange.Stats())
}

// schedule starts fetches, requests chunk maps and processes their results.
func (t *Transfer) schedule(ctx context.Context) {
	tick := time.NewTicker(schedulePeriod)
	defer tick.Stop()
	var revision uint64
	var lastMapRequest time.Time
	for !t.exchange.Complete() {
		view := t.cfg.Host.View(t.digest)
		if !view.Wanted {
			return
		}
		if view.Revision != revision || revision == 0 {
			revision = view.Revision
			t.setPeers(view)
		}
		t.exchange.SetShare(t.cfg.Host.LinkShare())
		t.startFetches(ctx)
		if now := t.cfg.Clock.Now(); now.Sub(lastMapRequest) >= mapPeriod {
			lastMapRequest = now
			t.requestMaps()
			t.cfg.Host.Progress(t.exchange.Stats())
		}
		select {
		case <-ctx.Done():
			return
		case r := <-t.results:
			t.finish(r)
		case m := <-t.maps:
			t.exchange.HandleChunkMap(m.id, m.held)
		case <-tick.C:
		}
	}
}

func (t *Transfer) setPeers(view View) {
	var list []awweights.Source
	t.targets = map[string]awrpc.Target{}
	for _, p := range view.Peers {
		list = append(list, p.Source)
		t.targets[p.ID] = p.Target
	}
	t.exchange.SetPeers(view.RegionFetcher, list)
}

// startFetches passes fetches to the workers until all are busy.
func (t *Transfer) startFetches(ctx context.Context) {
	for len(t.cancels) < fetchWorkers {
		f, ok := t.exchange.Next()
		if !ok {
			return
		}
		fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		t.cancels[f.ID] = cancel
		t.jobs <- fetchJob{Fetch: f, ctx: fetchCtx, cancel: cancel, target: t.targets[f.Peer], want: t.cfg.Exchange.Manifest.Chunks[f.Index]}
	}
}

func (t *Transfer) finish(r fetchResult) {
	delete(t.cancels, r.fetch.ID)
	if r.fetch.Kind != awweights.FromOrigin && r.held != nil {
		t.exchange.HandleChunkMap(r.fetch.Peer, r.held)
	}
	for _, id := range t.exchange.Done(r.fetch.ID, r.result) {
		if cancel := t.cancels[id]; cancel != nil {
			cancel()
		}
	}
}

func (t *Transfer) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-t.jobs:
			r := t.fetch(job)
			job.cancel()
			select {
			case t.results <- r:
			case <-ctx.Done():
				return
			}
		}
	}
}

// fetch fetches one chunk, which is verified before it is stored.
func (t *Transfer) fetch(job fetchJob) fetchResult {
	r := fetchResult{fetch: job.Fetch, result: awweights.Failed}
	var data []byte
	var err error
	if job.Kind == awweights.FromOrigin {
		data, err = t.cfg.Host.FetchFromOrigin(job.ctx, job.Index, job.want)
	} else {
		var reply *awproto.FetchChunkReply
		reply, err = t.cfg.Dialer.Agent(job.ctx, job.target).FetchChunk(job.ctx, &awproto.FetchChunkRequest{
			VersionDigest: t.digest, Index: uint32(job.Index), Sender: t.cfg.Identity,
		})
		data = reply.GetData()
		if h := reply.GetHeld(); len(h) > 0 {
			r.held = h
		}
		if err == nil && (reply.Busy || reply.Missing) {
			r.result = awweights.Busy
			if reply.Missing {
				r.result = awweights.Missing
			}
			return r
		}
	}
	switch {
	case err != nil && t.cfg.Host.Has(job.Index):
		r.result = awweights.Cancelled
	case err != nil:
	case t.cfg.Host.Put(job.Index, job.want, data):
		r.result = awweights.Verified
	default:
		r.result = awweights.Corrupt
	}
	return r
}

// requestMaps passes the peers to poll for chunk maps to mapLoop. It skips the
// round if mapLoop has not started on the previous one.
func (t *Transfer) requestMaps() {
	list := map[string]awrpc.Target{}
	for _, id := range t.exchange.PeersToPoll() {
		list[id] = t.targets[id]
	}
	select {
	case t.mapRequests <- list:
	default:
	}
}

// mapLoop requests the chunk maps of the peers that it receives.
func (t *Transfer) mapLoop(ctx context.Context) {
	for {
		var list map[string]awrpc.Target
		select {
		case <-ctx.Done():
			return
		case list = <-t.mapRequests:
		}
		group := errgroup.Group{}
		group.SetLimit(mapWorkers)
		for id, target := range maps.All(list) {
			group.Go(func() error {
				reply, err := ChunkMap(ctx, t.cfg.Dialer, target, t.cfg.Identity, t.digest, false)
				m := peerMap{id: id}
				if err == nil {
					m.held = append(awweights.Bitmap{}, reply.Held...)
				}
				select {
				case t.maps <- m:
				case <-ctx.Done():
				}
				return nil
			})
		}
		_ = group.Wait() // no member returns an error
	}
}

// ChunkMap requests the map of the chunks of a version that a peer holds, and
// the manifest too if manifest is true.
func ChunkMap(
	ctx context.Context, d *awrpc.Dialer, target awrpc.Target, sender *awproto.ProcessIdentity, digest string, manifest bool,
) (*awproto.ChunkMapReply, error) {
	ctx, cancel := context.WithTimeout(ctx, mapTimeout)
	defer cancel()
	return d.Agent(ctx, target).ChunkMap(ctx, &awproto.ChunkMapRequest{
		VersionDigest: digest, Sender: sender, WantManifest: manifest,
	})
}
