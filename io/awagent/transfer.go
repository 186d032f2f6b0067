package awagent

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"arbutuswind/core/awconfig"
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

// transfer fetches one version. One goroutine decides and owns the exchange;
// workers fetch chunks and ask for chunk maps. Bounded queues join them.
type transfer struct {
	agent  *Agent
	digest string
	x      *awweights.Exchange
	before *awproto.TransferReport // figures of an earlier part of the transfer

	targets map[string]awrpc.Target
	cancels map[uint64]context.CancelFunc
	jobs    chan fetchJob
	results chan fetchResult
	asks    chan map[string]awrpc.Target
	maps    chan peerMap
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

func (a *Agent) newTransfer(digest string, m awweights.Manifest) *transfer {
	w := a.cfg.Settings.Weights
	a.mu.Lock()
	duty := a.view.Duty
	a.mu.Unlock()
	cfg := awweights.Config{
		Self:        awweights.Source{ID: a.identity.Instance, Region: a.identity.Region, Duty: duty},
		StoreRegion: w.StoreRegion, Digest: digest, Manifest: m,
		LinkRate: bytesPerSecond(w.LinkMbit), RegionRate: bytesPerSecond(w.RegionMbit),
	}
	rng := rand.New(rand.NewPCG(a.cfg.Incarnation, awweights.Score(digest, a.identity.Instance)))
	return &transfer{
		agent: a, digest: digest, before: a.weights.report(),
		x:       awweights.NewExchange(cfg, a.cfg.Clock, rng, a.weights.held(digest)),
		cancels: map[uint64]context.CancelFunc{}, jobs: make(chan fetchJob, fetchWorkers),
		results: make(chan fetchResult, fetchWorkers), asks: make(chan map[string]awrpc.Target, 1),
		maps: make(chan peerMap, mapWorkers),
	}
}

// run fetches until the version is complete, is no longer wanted or ctx ends.
func (t *transfer) run(ctx context.Context) {
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
	t.agent.weights.progress(t.before, t.x.Stats())
}

func (t *transfer) decide(ctx context.Context) {
	tick := time.NewTicker(decidePeriod)
	defer tick.Stop()
	var revision uint64
	var asked time.Time
	for !t.x.Complete() {
		view, wanted := t.agent.wants(t.digest)
		if !wanted {
			return
		}
		if view.Revision != revision || revision == 0 {
			revision = view.Revision
			t.setPeers(view.Peers)
		}
		t.x.SetShare(t.agent.linkShare())
		t.startFetches(ctx)
		if now := t.agent.cfg.Clock.Now(); now.Sub(asked) >= mapPeriod {
			asked = now
			t.ask()
			t.agent.weights.progress(t.before, t.x.Stats())
		}
		select {
		case <-ctx.Done():
			return
		case r := <-t.results:
			t.finish(r)
		case m := <-t.maps:
			t.x.Heard(m.id, m.held)
		case <-tick.C:
		}
	}
}

func (t *transfer) setPeers(peers []awconfig.Peer) {
	var list []awweights.Source
	t.targets = map[string]awrpc.Target{}
	for _, p := range peers {
		list = append(list, awweights.Source{ID: p.Instance, Region: p.Region, Duty: p.Duty})
		t.targets[p.Instance] = awrpc.Target{Address: t.agent.addresses.of(p), Instance: p.Instance}
	}
	t.x.SetPeers(list)
}

// startFetches hands fetches to the workers while one is free.
func (t *transfer) startFetches(ctx context.Context) {
	m, _, _ := t.agent.weights.manifest(t.digest)
	for len(t.cancels) < fetchWorkers {
		f, ok := t.x.Next()
		if !ok {
			return
		}
		fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		t.cancels[f.ID] = cancel
		t.jobs <- fetchJob{Fetch: f, ctx: fetchCtx, cancel: cancel, target: t.targets[f.Peer], want: m.Chunks[f.Index]}
	}
}

func (t *transfer) finish(r fetchResult) {
	delete(t.cancels, r.fetch.ID)
	if r.fetch.Kind != awweights.FromOrigin && r.held != nil {
		t.x.Heard(r.fetch.Peer, r.held)
	}
	for _, id := range t.x.Done(r.fetch.ID, r.result) {
		if cancel := t.cancels[id]; cancel != nil {
			cancel()
		}
	}
}

func (t *transfer) work(ctx context.Context) {
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
func (t *transfer) fetch(job fetchJob) fetchResult {
	r := fetchResult{fetch: job.Fetch, result: awweights.Failed}
	var data []byte
	var err error
	if job.Kind == awweights.FromOrigin {
		data, err = t.agent.store.Chunk(job.ctx, job.want)
	} else {
		var reply *awproto.FetchChunkReply
		reply, err = t.agent.dialer.Agent(job.ctx, job.target).FetchChunk(job.ctx, &awproto.FetchChunkRequest{
			VersionDigest: t.digest, Index: uint32(job.Index), Sender: t.agent.identity,
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
	case err != nil && t.agent.weights.hasChunk(t.digest, job.Index):
		r.result = awweights.Cancelled
	case err != nil:
	case t.agent.weights.put(t.digest, job.Index, job.want, data):
		r.result = awweights.Whole
	default:
		r.result = awweights.Corrupt
	}
	return r
}

func (w *weightStore) hasChunk(digest string, i int) bool {
	data, _ := w.chunk(digest, i)
	return data != nil
}

// ask hands the peers whose chunk maps are wanted to the asking goroutine,
// unless it is still busy with the last ones.
func (t *transfer) ask() {
	list := map[string]awrpc.Target{}
	for _, id := range t.x.Asks() {
		list[id] = t.targets[id]
	}
	select {
	case t.asks <- list:
	default:
	}
}

func (t *transfer) askLoop(ctx context.Context) {
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
				reply, err := t.agent.chunkMap(ctx, target, t.digest, false)
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

func (a *Agent) chunkMap(ctx context.Context, target awrpc.Target, digest string, manifest bool) (*awproto.ChunkMapReply, error) {
	ctx, cancel := context.WithTimeout(ctx, mapTimeout)
	defer cancel()
	return a.dialer.Agent(ctx, target).ChunkMap(ctx, &awproto.ChunkMapRequest{
		VersionDigest: digest, Sender: a.identity, WantManifest: manifest,
	})
}
