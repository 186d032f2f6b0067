package awweights

import (
	"math/rand/v2"
	"slices"
	"time"

	"arbutuswind/core/awclock"
)

// SourceKind is the kind of source that a chunk is fetched from.
type SourceKind int

// The kinds of source.
const (
	FromPeer        SourceKind = iota // an agent of the same region
	FromOtherRegion                   // an agent of another region
	FromOrigin
)

// Source is an agent that is placed for the version.
type Source struct {
	ID            string
	Region        string
	RegionFetcher bool // fetches from outside its region
}

// Config configures an [Exchange]. Durations and limits of fetches that are zero
// get defaults.
type Config struct {
	Self        Source
	StoreRegion string // region of the store
	Digest      string // digest of the manifest
	Manifest    Manifest
	LinkRate    float64 // bytes a second into this instance; 0 means unlimited
	RegionRate  float64 // bytes a second from other regions, for the whole region; 0 means unlimited

	Parallel        int           // concurrent fetches from peers of the region
	OutsideParallel int           // concurrent fetches from the origin or other regions
	PerPeer         int           // concurrent fetches from one peer
	TakeoverAfter   time.Duration // time without progress of a fetcher until the next rank takes over
	StallAfter      time.Duration // duration of a fetch until a second source is tried
	Backoff         time.Duration // pause after a corrupt chunk or a stall, doubled for each in a row
	MapRefresh      time.Duration // age of a peer's chunk map until the peer is polled again
	StartGrace      time.Duration // maximum wait for the first chunk maps before fetches from outside
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

	// busyBackoff is the mean pause before the next fetch from a peer without a
	// free upload slot: about the time until a slot is free.
	busyBackoff = 40 * time.Millisecond
	// failureBackoff is the pause after the first failed call. It doubles with
	// each further failure.
	failureBackoff = 250 * time.Millisecond
	// distrustAfter is the number of corrupt chunks in a row after which all
	// chunks of a peer are ignored. A link that corrupts one chunk in a hundred
	// causes this once in a million chunks.
	distrustAfter = 3
	// otherPeersPolled is the number of peers polled at a time that are not
	// fetchers of their region.
	otherPeersPolled = 5
	// maxMissedPolls is the number of unanswered polls in a row after which a
	// peer counts as unreachable. A single reply can be late on a busy machine.
	maxMissedPolls = 2
	// maxDoublings limits the exponential growth of pauses.
	maxDoublings = 5
	// maxOriginDoublings is the limit for the origin. It is lower because the
	// origin is the only source of chunks that no peer holds, and normally only
	// the fetchers of one region read from it.
	maxOriginDoublings = 1
	// maxLinkDelay is the time in which the link must be able to carry all
	// chunks in flight. On a link that has become slow fewer chunks are fetched
	// at once, so that other traffic does not queue behind them.
	maxLinkDelay = 250 * time.Millisecond
	// initialFetches is the number of concurrent fetches while the speed of the
	// link is unknown.
	initialFetches = 2
	// speedSmoothing is the divisor of the moving average over the speed of
	// finished fetches.
	speedSmoothing = 4
	// scanLimit is the number of missing chunks that are considered for one
	// fetch, so that the cost does not grow with the size of the version.
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

// Fetch is a fetch of one chunk that the caller carries out.
type Fetch struct {
	ID    uint64
	Index int // of the chunk
	Kind  SourceKind
	Peer  string // empty for the origin
}

// Result is the result of a fetch.
type Result int

// The results.
const (
	Verified  Result = iota // the chunk has the expected digest
	Corrupt                 // the chunk has another digest
	Busy                    // the peer has no free upload slot
	Missing                 // the peer does not hold the chunk
	Failed                  // the call failed or timed out
	Cancelled               // another fetch got the chunk first
)

// Stats holds the progress and the counters of a transfer.
type Stats struct {
	Held, Chunks                        int
	Peers                               int // peers that are neither distrusted nor backed off from
	CorruptChunks                       int
	OriginBytes, RegionBytes, PeerBytes uint64
	ETA                                 time.Duration // 0 when unknown or complete
}

type activeFetch struct {
	Fetch
	started time.Time
	stalled bool // counted as stalled; its chunk may be fetched from elsewhere
}

// Exchange decides for one agent and one version which chunk to fetch next
// and from where. It is not safe for concurrent use.
type Exchange struct {
	cfg            Config
	clock          awclock.Clock
	rng            *rand.Rand
	held           Bitmap
	missing        []int // chunks not held, in no particular order
	holderCounts   []int // by chunk: number of peers of the same region that hold it
	peers          map[string]*peer
	peerIDs        []string // sorted, so that runs with the same seed are equal
	assignment     ChunkAssignment
	homeRegion     string
	regionFetchers []string

	active         map[uint64]*activeFetch
	fetchesByChunk map[int]int // by chunk: number of active fetches that have not stalled
	nextID         uint64
	linkBucket     *Bucket
	regionBucket   *Bucket
	origin         peer // only its pauses and failures are used

	started, lastProgress time.Time
	fallbackJitter        float64   // 1 to 2; spreads the start of the fallback over agents
	fallbackSince         time.Time // start of the fallback, see pickFallback; zero before
	stats                 Stats
	speed                 float64 // bytes a second, averaged over finished fetches; 0 if unknown
}

// NewExchange returns an exchange for a version. The chunks in held are held
// already.
func NewExchange(cfg Config, clock awclock.Clock, rng *rand.Rand, held Bitmap) *Exchange {
	now := clock.Now()
	cfg = cfg.withDefaults()
	n := len(cfg.Manifest.Chunks)
	x := &Exchange{
		cfg: cfg, clock: clock, rng: rng, held: NewBitmap(n), holderCounts: make([]int, n),
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

// SetPeers replaces the list of peers and sets whether this agent is a fetcher
// of its region. It keeps the state of peers that are still listed.
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
	x.regionFetchers = slices.Compact(x.regionFetchers) // a restarted process may be listed twice
	x.assignment = AssignChunks(x.cfg.Digest, x.stats.Chunks, x.regionFetchers)
	x.chooseHomeRegion()
	for i := range x.holderCounts {
		x.holderCounts[i] = 0
		for _, p := range x.peers {
			if p.Region == x.cfg.Self.Region && p.held.Has(i) {
				x.holderCounts[i]++
			}
		}
	}
}

// chooseHomeRegion sets the home region, out of this agent's region and those with
// a reachable peer. If the home region is lost, another one replaces it.
func (x *Exchange) chooseHomeRegion() {
	regions := []string{x.cfg.Self.Region}
	for _, p := range x.peers {
		if !p.unreachable {
			regions = append(regions, p.Region)
		}
	}
	x.homeRegion = HomeRegion(x.cfg.StoreRegion, regions)
}

// HandleChunkMap records the chunk map of a peer. A nil map means that the peer
// did not reply.
func (x *Exchange) HandleChunkMap(id string, held Bitmap) {
	p := x.peers[id]
	if p == nil {
		return
	}
	p.polled = true
	if held == nil {
		if p.missedPolls++; p.missedPolls >= maxMissedPolls && !p.unreachable {
			p.unreachable = true
			x.removeAllChunks(p) // chunks that only this peer held are fetched from outside again
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
				x.holderCounts[i]++
			}
		}
	}
}

// SetShare sets the share of the links, from 0 to 1, that the transfer may use.
// Live requests get the rest.
func (x *Exchange) SetShare(share float64) {
	now := x.clock.Now()
	x.linkBucket.SetShare(now, share)
	x.regionBucket.SetShare(now, share)
}

// Complete reports whether every chunk is held.
func (x *Exchange) Complete() bool { return len(x.missing) == 0 }

// PeersToPoll returns the peers to ask for their chunk map now: the region
// fetchers that this agent may fetch from, the peers that missed the last poll,
// and a few others. It leaves out peers with a recent map, such as one that came
// with a chunk. Polling every peer each time would take more processor time than
// the chunks do.
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

// Next returns the next fetch and counts it as active. It returns false if no
// fetch can start now.
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

// countActive returns the number of active fetches from peers of the region if
// inside is true, else that of the others. Stalled fetches do not count; the
// caller's number of workers limits them.
func (x *Exchange) countActive(inside bool) int {
	n := 0
	for _, f := range x.active {
		if (f.Kind == FromPeer) == inside && !f.stalled {
			n++
		}
	}
	return n
}

// Done records the result of a fetch. It returns the IDs of other fetches of the
// same chunk; the caller must cancel them and report them with Done as well.
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

// observeSpeed updates the average speed. bytes is the estimated size of all
// chunks that were in flight together.
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

// fetchLimit returns the number of fetches that may run at once, at most limit.
// If the rate of the link is not limited, it returns limit.
func (x *Exchange) fetchLimit(limit int) int {
	if x.cfg.LinkRate <= 0 {
		return limit
	}
	if x.speed == 0 {
		return min(limit, initialFetches)
	}
	return min(limit, max(1, int(x.speed*maxLinkDelay.Seconds()/float64(x.cfg.Manifest.ChunkBytes))))
}

// releaseChunk removes one fetch from the count of a chunk.
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

// Held returns the chunks held. The caller must not modify the result.
func (x *Exchange) Held() Bitmap { return x.held }

// Stats returns the current progress and counters of the transfer.
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
