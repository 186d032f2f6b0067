package awweights

import (
	"math/rand/v2"
	"slices"
	"time"

	"arbutuswind/core/awclock"
)

// SourceKind states where a chunk is fetched from.
type SourceKind int

// The kinds of source.
const (
	FromPeer        SourceKind = iota // an agent of the own region
	FromOtherRegion                   // an agent of another region
	FromOrigin
)

// Source is an agent placed for the version.
type Source struct {
	ID            string
	Region        string
	RegionFetcher bool // on the panel of its region
}

// Config configures an [Exchange]. Zero durations and counts get defaults.
type Config struct {
	Self        Source
	StoreRegion string
	Digest      string // of the manifest
	Manifest    Manifest
	LinkRate    float64 // bytes a second into this instance; 0 means unlimited
	RegionRate  float64 // bytes a second over a region link, for the whole region

	Parallel        int           // fetches inside the region at once
	OutsideParallel int           // fetches from origin or other regions at once
	PerPeer         int           // fetches from one peer at once
	TakeoverAfter   time.Duration // without progress of a designated fetcher
	StallAfter      time.Duration // before a chunk is fetched from a second source
	Backoff         time.Duration // after a bad chunk or a stall; doubled for each in a row
	MapRefresh      time.Duration // age of a chunk map that is asked for again
	StartGrace      time.Duration // for the first chunk maps before duties begin
}

const (
	defaultParallel        = 8
	defaultOutsideParallel = 3
	defaultPerPeer         = 2
	defaultTakeoverAfter   = 2 * time.Second
	defaultStallAfter      = 1500 * time.Millisecond
	defaultBackoff         = 2 * time.Second
	defaultMapRefresh      = 150 * time.Millisecond
	defaultStartGrace      = 300 * time.Millisecond

	// busyBackoff keeps an agent away from a peer whose slots are taken; about
	// the time in which a slot becomes free.
	busyBackoff = 40 * time.Millisecond
	// failureBackoff is the first pause after a failed call; doubled each time.
	failureBackoff = 250 * time.Millisecond
	// distrustAfter is the number of bad chunks in a row after which a peer is
	// taken to hold nothing. A link that corrupts one chunk in a hundred gets
	// there once in a million chunks.
	distrustAfter = 3
	// otherPeersPolled is the number of peers outside the panel asked at a time.
	otherPeersPolled = 5
	// maxMissedPolls is the number of unanswered questions in a row after which a
	// peer is taken for dead; one answer can be late on a busy machine.
	maxMissedPolls = 2
	// maxDoublings bounds the growth of pauses.
	maxDoublings = 5
	// maxOriginDoublings bounds it for the origin: nothing else can bring what no
	// peer holds, and only the panels ask it.
	maxOriginDoublings = 1
	// maxLinkDelay is how long chunks on their way may take on the link together.
	// A link that turned slow carries fewer at once, so that whatever else uses
	// it does not wait behind them.
	maxLinkDelay = 250 * time.Millisecond
	// initialFetches is how many run before that is known.
	initialFetches = 2
	// speedSmoothing smooths the speed that finished fetches show.
	speedSmoothing = 4
	// scanLimit bounds the chunks compared for one choice, so that the cost
	// of a choice does not grow with the size of the version.
	scanLimit = 1024
)

func (c Config) withDefaults() Config {
	setInt := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	setDur := func(v *time.Duration, d time.Duration) {
		if *v == 0 {
			*v = d
		}
	}
	setInt(&c.Parallel, defaultParallel)
	setInt(&c.OutsideParallel, defaultOutsideParallel)
	setInt(&c.PerPeer, defaultPerPeer)
	setDur(&c.TakeoverAfter, defaultTakeoverAfter)
	setDur(&c.StallAfter, defaultStallAfter)
	setDur(&c.Backoff, defaultBackoff)
	setDur(&c.MapRefresh, defaultMapRefresh)
	setDur(&c.StartGrace, defaultStartGrace)
	return c
}

// Fetch is one fetch to start.
type Fetch struct {
	ID    uint64
	Index int
	Kind  SourceKind
	Peer  string // empty for the origin
}

// Result states how a fetch ended.
type Result int

// The results.
const (
	Verified  Result = iota // the chunk has the right digest
	Corrupt                 // it has another digest
	Busy                    // the peer has no free slot
	Missing                 // the peer does not hold the chunk
	Failed                  // the call failed or timed out
	Cancelled               // another fetch brought the chunk first
)

// Stats counts what a transfer took.
type Stats struct {
	Held, Chunks                        int
	Peers                               int // peers not avoided now
	CorruptChunks                       int
	OriginBytes, RegionBytes, PeerBytes uint64
	ETA                                 time.Duration // 0 when unknown or complete
}

type activeFetch struct {
	Fetch
	started time.Time
	stalled bool // its source is avoided already
}

// Exchange decides for one agent and one version which chunk to fetch next
// and from where. It is not safe for concurrent use.
type Exchange struct {
	cfg            Config
	clock          awclock.Clock
	rng            *rand.Rand
	held           Bitmap
	missing        []int // chunks not held, in no order
	holders        []int // peers of the own region that hold chunk i
	peers          map[string]*peer
	peerIDs        []string // peers in the order of their ids, for equal runs of a seed
	assignment     ChunkAssignment
	homeRegion     string
	regionFetchers []string

	active         map[uint64]*activeFetch
	fetchesByChunk map[int]int // active fetches of a chunk that do not stall
	nextID         uint64
	linkBucket     *Bucket
	regionBucket   *Bucket
	origin         peer // pauses of the origin

	started, lastProgress time.Time
	fallbackJitter        float64   // 1 to 2, spreads the last resort over agents
	fallbackSince         time.Time // since when the panel is taken for gone; zero while it works
	stats                 Stats
	speed                 float64 // bytes a second that finished fetches show; 0 if unknown
}

// NewExchange starts the transfer of a version of which held is held already.
func NewExchange(cfg Config, clock awclock.Clock, rng *rand.Rand, held Bitmap) *Exchange {
	now := clock.Now()
	cfg = cfg.withDefaults()
	n := len(cfg.Manifest.Chunks)
	x := &Exchange{
		cfg: cfg, clock: clock, rng: rng, held: NewBitmap(n), holders: make([]int, n),
		peers: map[string]*peer{}, active: map[uint64]*activeFetch{}, fetchesByChunk: map[int]int{},
		linkBucket:   NewBucket(cfg.LinkRate, cfg.Manifest.ChunkBytes, now),
		regionBucket: NewBucket(cfg.RegionRate, cfg.Manifest.ChunkBytes, now),
		started:      now, lastProgress: now, fallbackJitter: 1 + rng.Float64(),
	}
	x.stats.Chunks = n
	for i := range n {
		if held.Has(i) {
			x.held.Set(i)
			x.stats.Held++
		} else {
			x.missing = append(x.missing, i)
		}
	}
	return x
}

// SetPeers replaces the agents that chunks may come from, and tells whether
// this one is on the panel of its region among them. What is known about those
// that remain is kept.
func (x *Exchange) SetPeers(regionFetcher bool, list []Source) {
	now := x.clock.Now()
	x.cfg.Self.RegionFetcher = regionFetcher
	old := x.peers
	x.peers, x.peerIDs = map[string]*peer{}, nil
	x.regionFetchers = nil
	if x.cfg.Self.RegionFetcher {
		x.regionFetchers = append(x.regionFetchers, x.cfg.Self.ID)
	}
	for _, s := range list {
		p := old[s.ID]
		if p == nil {
			p = &peer{held: NewBitmap(x.stats.Chunks), lastProgress: now}
		}
		p.Source = s
		x.peers[s.ID] = p
		x.peerIDs = append(x.peerIDs, s.ID)
		if s.RegionFetcher && s.Region == x.cfg.Self.Region {
			x.regionFetchers = append(x.regionFetchers, s.ID)
		}
	}
	slices.Sort(x.peerIDs)
	slices.Sort(x.regionFetchers)
	x.regionFetchers = slices.Compact(x.regionFetchers) // a list may name a process twice, before and after its restart
	x.assignment = AssignChunks(x.cfg.Digest, x.stats.Chunks, x.regionFetchers)
	x.chooseHomeRegion()
	for i := range x.holders {
		x.holders[i] = 0
		for _, p := range x.peers {
			if p.Region == x.cfg.Self.Region && p.held.Has(i) {
				x.holders[i]++
			}
		}
	}
}

// chooseHomeRegion chooses the region that reads from the origin among those with
// an agent that answers. When the home region is lost, another takes its part.
func (x *Exchange) chooseHomeRegion() {
	regions := []string{x.cfg.Self.Region}
	for _, p := range x.peers {
		if !p.unreachable {
			regions = append(regions, p.Region)
		}
	}
	x.homeRegion = HomeRegion(x.cfg.StoreRegion, regions)
}

// HandleChunkMap takes over the chunk map of a peer; a nil map means that it did not
// answer.
func (x *Exchange) HandleChunkMap(id string, held Bitmap) {
	p := x.peers[id]
	if p == nil {
		return
	}
	p.polled = true
	if held == nil {
		if p.missedPolls++; p.missedPolls >= maxMissedPolls && !p.unreachable {
			p.unreachable = true
			x.removeAllChunks(p) // what it alone held is fetched from outside again
			x.chooseHomeRegion()
		}
		return
	}
	p.missedPolls, p.lastMap = 0, x.clock.Now()
	if p.unreachable {
		p.unreachable = false
		x.chooseHomeRegion()
	}
	if p.distrusted {
		return
	}
	sameRegion := p.Region == x.cfg.Self.Region
	for i := range x.stats.Chunks {
		if held.Has(i) && !p.held.Has(i) {
			p.held.Set(i)
			p.heldCount++
			p.lastProgress = x.clock.Now()
			if sameRegion {
				x.holders[i]++
			}
		}
	}
}

// SetShare yields a part of the links to live requests.
func (x *Exchange) SetShare(share float64) {
	now := x.clock.Now()
	x.linkBucket.SetShare(now, share)
	x.regionBucket.SetShare(now, share)
}

// Complete reports whether every chunk is held.
func (x *Exchange) Complete() bool { return len(x.missing) == 0 }

// PeersToPoll returns the peers to ask for their chunk map now: the panels that
// matter here and a few others of the own region. Peers whose
// map came along with a chunk lately are left out. With every peer asked each
// time, the questions cost more processor time than the chunks.
func (x *Exchange) PeersToPoll() []string {
	now := x.clock.Now()
	var ids, others []string
	for _, id := range x.peerIDs {
		p := x.peers[id]
		sameRegion := p.Region == x.cfg.Self.Region
		switch {
		case p.heldCount == x.stats.Chunks || p.distrusted || now.Sub(p.lastMap) < x.cfg.MapRefresh:
		case !sameRegion && !x.cfg.Self.RegionFetcher && x.fallbackSince.IsZero():
		case p.RegionFetcher || p.missedPolls > 0:
			ids = append(ids, id)
		default:
			others = append(others, id)
		}
	}
	x.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return append(ids, others[:min(otherPeersPolled, len(others))]...)
}

// Next starts the next fetch, or returns false when none can start now.
func (x *Exchange) Next() (Fetch, bool) {
	now := x.clock.Now()
	if x.Complete() || x.linkBucket.Wait(now) > 0 {
		return Fetch{}, false
	}
	x.markStalled(now)
	for _, pick := range []func(time.Time) (Fetch, bool){x.pickAssigned, x.pickPeer, x.pickFallback} {
		if f, ok := pick(now); ok {
			x.start(&f, now)
			return f, true
		}
	}
	return Fetch{}, false
}

func (x *Exchange) start(f *Fetch, now time.Time) {
	x.nextID++
	f.ID = x.nextID
	x.active[f.ID] = &activeFetch{Fetch: *f, started: now}
	x.fetchesByChunk[f.Index]++
	size := x.cfg.Manifest.ChunkSize(f.Index)
	x.linkBucket.Take(now, size)
	if f.Kind == FromOtherRegion {
		x.regionBucket.Take(now, size)
	}
	if p := x.peers[f.Peer]; p != nil {
		p.activeFetches++
	}
}

// countActive returns the active fetches inside the region, or outside of it. Those
// that stall take no place of others; the caller bounds them by its workers.
func (x *Exchange) countActive(inside bool) int {
	n := 0
	for _, f := range x.active {
		if (f.Kind == FromPeer) == inside && !f.stalled {
			n++
		}
	}
	return n
}

// Done records how a fetch ended and returns the other fetches of the same
// chunk, which are to be cancelled and reported as well.
func (x *Exchange) Done(id uint64, res Result) (cancel []uint64) {
	f := x.active[id]
	if f == nil {
		return nil
	}
	now := x.clock.Now()
	delete(x.active, id)
	if !f.stalled {
		x.releaseChunk(f.Index)
	}
	p := x.peers[f.Peer]
	if f.Kind == FromOrigin {
		p = &x.origin
	} else if p != nil {
		p.activeFetches--
	}
	size := x.cfg.Manifest.ChunkSize(f.Index)
	if res == Verified || res == Corrupt {
		x.countBytes(f.Kind, size)
	} else {
		x.linkBucket.Return(now, size)
		if f.Kind == FromOtherRegion {
			x.regionBucket.Return(now, size)
		}
	}
	x.recordResult(p, f, res, now)
	if res == Verified {
		x.observeSpeed(float64(size)*float64(len(x.active)+1), now.Sub(f.started))
	}
	if res != Verified || x.held.Has(f.Index) {
		return nil
	}
	x.held.Set(f.Index)
	x.stats.Held++
	x.lastProgress = now
	at := slices.Index(x.missing, f.Index)
	x.missing[at] = x.missing[len(x.missing)-1]
	x.missing = x.missing[:len(x.missing)-1]
	for other, o := range x.active {
		if o.Index == f.Index {
			cancel = append(cancel, other)
		}
	}
	return cancel
}

// observeSpeed learns how fast the chunks that were on their way together
// arrive.
func (x *Exchange) observeSpeed(bytes float64, took time.Duration) {
	if took <= 0 {
		return
	}
	speed := bytes / took.Seconds()
	if x.speed == 0 {
		x.speed = speed
	}
	x.speed += (speed - x.speed) / speedSmoothing
}

// fetchLimit returns how many of at most limit fetches may run at once. Without a
// known rate of the link all of them may.
func (x *Exchange) fetchLimit(limit int) int {
	if x.cfg.LinkRate <= 0 {
		return limit
	}
	if x.speed == 0 {
		return min(limit, initialFetches)
	}
	return min(limit, max(1, int(x.speed*maxLinkDelay.Seconds()/float64(x.cfg.Manifest.ChunkBytes))))
}

// releaseChunk ends the claim of one fetch on a chunk.
func (x *Exchange) releaseChunk(i int) {
	if x.fetchesByChunk[i]--; x.fetchesByChunk[i] == 0 {
		delete(x.fetchesByChunk, i)
	}
}

func (x *Exchange) countBytes(k SourceKind, n uint64) {
	switch k {
	case FromOrigin:
		x.stats.OriginBytes += n
	case FromOtherRegion:
		x.stats.RegionBytes += n
	default:
		x.stats.PeerBytes += n
	}
}

// Held returns the chunks held; the caller must not change it.
func (x *Exchange) Held() Bitmap { return x.held }

// Stats returns the state of the transfer.
func (x *Exchange) Stats() Stats {
	now := x.clock.Now()
	s := x.stats
	for _, p := range x.peers {
		if !p.distrusted && !p.avoidUntil.After(now) {
			s.Peers++
		}
	}
	if took := now.Sub(x.started); s.Held > 0 && s.Held < s.Chunks {
		s.ETA = took * time.Duration(s.Chunks-s.Held) / time.Duration(s.Held)
	}
	return s
}
