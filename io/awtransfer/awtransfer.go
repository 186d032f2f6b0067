// Package awtransfer carries out the transfer of one version of weights:
// [arbutuswind/core/awweights] decides which chunk comes from where, and this
// package fetches it, checks it and hands chunks on to peers.
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
	// decidePeriod bounds the time in which a chunk that became allowed by a
	// token bucket or a timeout is noticed.
	decidePeriod = 20 * time.Millisecond
	// mapPeriod is the time between two looks at the chunk maps of peers.
	// Maps that come with chunks keep busy peers fresher than that.
	mapPeriod = 200 * time.Millisecond
	// mapTimeout bounds one question for a chunk map.
	mapTimeout = time.Second
	// fetchTimeout bounds one fetch; a stall is hedged long before.
	fetchTimeout = 10 * time.Second
	fetchWorkers = 16
	mapWorkers   = 8
)

// Peer is a process that chunks may come from.
type Peer struct {
	awweights.Source
	Target awrpc.Target
}

// View is what a host knows of the fleet.
type View struct {
	Peers         []Peer
	RegionFetcher bool   // this process is on the panel of its region
	Revision      uint64 // rises when one of the others changes
	Wanted        bool   // the version is still wanted
}

// Host is what a transfer needs of the process that runs it.
type Host interface {
	// View is called before each decision; it must be cheap.
	View(digest string) View
	// LinkShare returns the share of the links that weights may use, 0 to 1.
	LinkShare() float64
	// FetchFromOrigin reads a chunk from the origin.
	FetchFromOrigin(ctx context.Context, index int, want string) ([]byte, error)
	// Put checks a chunk and keeps it; false means that it is corrupt.
	Put(index int, want string, data []byte) bool
	Has(index int) bool
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
	Held     awweights.Bitmap // chunks held already
}

// Transfer fetches one version. One goroutine decides and owns the exchange;
// workers fetch chunks and ask for chunk maps. Bounded queues join them.
type Transfer struct {
	cfg    Config
	digest string
	x      *awweights.Exchange

	targets map[string]awrpc.Target
	cancels map[uint64]context.CancelFunc
	jobs    chan fetchJob
	results chan fetchResult
	asks    chan map[string]awrpc.Target
	maps    chan peerMap
}

// New prepares a transfer.
func New(cfg Config) *Transfer {
	return &Transfer{
		cfg: cfg, digest: cfg.Exchange.Digest, x: awweights.NewExchange(cfg.Exchange, cfg.Clock, cfg.Rand, cfg.Held),
		cancels: map[uint64]context.CancelFunc{}, jobs: make(chan fetchJob, fetchWorkers),
		results: make(chan fetchResult, fetchWorkers), asks: make(chan map[string]awrpc.Target, 1),
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
	held awweights.Bitmap // nil when the peer did not answer
}

// Run fetches until the version is complete, is no longer wanted or ctx ends.
func (t *Transfer) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for range fetchWorkers {
		group.Go(func() error { t.work(ctx); return nil })
	}
	group.Go(func() error { t.askLoop(ctx); return nil })
	group.Go(func() error {
		defer cancel()
		t.decide(ctx)
		return nil
	})
	_ = group.Wait() // no member returns an error
	t.cfg.Host.Progress(t.x.Stats())
}

func (t *Transfer) decide(ctx context.Context) {
	tick := time.NewTicker(decidePeriod)
	defer tick.Stop()
	var revision uint64
	var asked time.Time
	for !t.x.Complete() {
		view := t.cfg.Host.View(t.digest)
		if !view.Wanted {
			return
		}
		if view.Revision != revision || revision == 0 {
			revision = view.Revision
			t.setPeers(view)
		}
		t.x.SetShare(t.cfg.Host.LinkShare())
		t.startFetches(ctx)
		if now := t.cfg.Clock.Now(); now.Sub(asked) >= mapPeriod {
			asked = now
			t.ask()
			t.cfg.Host.Progress(t.x.Stats())
		}
		select {
		case <-ctx.Done():
			return
		case r := <-t.results:
			t.finish(r)
		case m := <-t.maps:
			t.x.HandleChunkMap(m.id, m.held)
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
	t.x.SetPeers(view.RegionFetcher, list)
}

// startFetches hands fetches to the workers while one is free.
func (t *Transfer) startFetches(ctx context.Context) {
	for len(t.cancels) < fetchWorkers {
		f, ok := t.x.Next()
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
		t.x.HandleChunkMap(r.fetch.Peer, r.held)
	}
	for _, id := range t.x.Done(r.fetch.ID, r.result) {
		if cancel := t.cancels[id]; cancel != nil {
			cancel()
		}
	}
}

func (t *Transfer) work(ctx context.Context) {
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

// fetch brings one chunk and checks it before anything else sees it.
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

// ask hands the peers whose chunk maps are wanted to the asking goroutine,
// unless it is still busy with the last ones.
func (t *Transfer) ask() {
	list := map[string]awrpc.Target{}
	for _, id := range t.x.PeersToPoll() {
		list[id] = t.targets[id]
	}
	select {
	case t.asks <- list:
	default:
	}
}

func (t *Transfer) askLoop(ctx context.Context) {
	for {
		var list map[string]awrpc.Target
		select {
		case <-ctx.Done():
			return
		case list = <-t.asks:
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

// ChunkMap asks a peer which chunks of a version it holds.
func ChunkMap(
	ctx context.Context, d *awrpc.Dialer, target awrpc.Target, sender *awproto.ProcessIdentity, digest string, manifest bool,
) (*awproto.ChunkMapReply, error) {
	ctx, cancel := context.WithTimeout(ctx, mapTimeout)
	defer cancel()
	return d.Agent(ctx, target).ChunkMap(ctx, &awproto.ChunkMapRequest{
		VersionDigest: digest, Sender: sender, WantManifest: manifest,
	})
}
