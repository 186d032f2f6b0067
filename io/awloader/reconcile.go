package awloader

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awevidence"
	"arbutuswind/core/awweights"
	"arbutuswind/io/awtransfer"
	"arbutuswind/io/awwatch"
)

const (
	// maxCorruptChunks is the number of chunks with a wrong digest in one
	// transfer after which the manifest is read again. The manifest carries no
	// digest of its own and may be the corrupt part.
	maxCorruptChunks = 3
	// maxStageRounds is the number of times that staged chunks are compared,
	// and staged again where they differ, before a load fails.
	maxStageRounds = 4
	// loadReserve is the time from a load order until the engine serves the new
	// version. The engine finishes its running requests first.
	loadReserve = 3500 * time.Millisecond
	// transferTimeFactor is the time until the first loaders hold a version, as
	// a multiple of the time that one copy takes on a link.
	transferTimeFactor = 1.2
	// peersInterval is the shortest time between two reads of the list of backend
	// servers during a transfer, and maxPeersInterval the longest, which applies
	// while chunks arrive. The duties of an engine that has died are taken over
	// when the list no longer has it.
	peersInterval    = time.Second
	maxPeersInterval = 2 * time.Second
	// loadTimeout limits the wait for an engine to complete a load order.
	loadTimeout = 6 * time.Second
	loadPoll    = 60 * time.Millisecond
	// stallTimeout is how long a transfer may go without a new chunk before
	// another version is tried. A chunk takes about 30 ms on an instance's link.
	stallTimeout = time.Second
	// chunkLinkShare is the fraction of the instance's link that chunks may use.
	// The engine sends its responses over the same link.
	chunkLinkShare = 0.85
	// Limits on parallel fetches. More of them would only queue on the link and
	// delay the engine's responses.
	parallelFetches = 4
	outsideFetches  = 2
	fetchesPerPeer  = 2
	// failureDelay is the pause after a failed reconciliation.
	failureDelay = 200 * time.Millisecond
)

// reconcileLoop brings the engine to the desired version until ctx ends.
func (l *Loader) reconcileLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if list := l.targets(); len(list) > 0 {
			if err := l.reconcile(ctx, list); err != nil && ctx.Err() == nil {
				l.log("version not loaded", "Newest", list[0].version, "Error", err.Error())
				awwatch.Sleep(ctx, failureDelay)
			}
		}
		wait := time.NewTimer(reconcilePeriod)
		select {
		case <-l.changed:
		case <-wait.C:
		case <-ctx.Done():
		}
		wait.Stop()
	}
}

// reconcile tries to switch the engine to the newest version of the list. If
// the origin can't provide that version, the engine is switched to the one
// before it, which peers may hold completely, so that it can serve for as long
// as that version is allowed.
func (l *Loader) reconcile(ctx context.Context, list []target) error {
	status, err := l.cfg.Engine.Status(ctx)
	if err != nil {
		return nil // logged by reportLoop; an unreachable engine needs no weights
	}
	held := status.Versions[list[0].model.Name]
	var firstErr error
	for i, t := range list {
		if !l.isNewest(list[0].version) {
			return nil
		}
		done, err := l.advance(ctx, t, list[0].version, held, i+1 < len(list) && held < list[i+1].version)
		if done {
			return err
		}
		if firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// advance tries to switch the engine from the version it holds to the target.
// It returns true if older targets need not be tried.
func (l *Loader) advance(ctx context.Context, t target, newest, held int64, fallback bool) (bool, error) {
	m, digest, err := l.manifest(ctx, t)
	if err != nil {
		return held >= t.version, err
	}
	if (held == t.version || held == 0) && l.store.Held(digest).Count() == 0 {
		l.importStaged(ctx, m, digest)
	}
	if held >= t.version {
		return true, nil
	}
	if !l.store.Complete(digest) {
		l.transfer(ctx, transferHost{loader: l, target: t, newest: newest, digest: digest, stopOnStall: fallback || t.version < newest}, m)
	}
	if !l.store.Complete(digest) {
		return false, nil
	}
	if !l.awaitLoadDelay(ctx, t, newest, held) {
		return true, nil
	}
	return true, l.load(ctx, t, m, digest)
}

// manifest returns the manifest of the target and its version digest. It is
// read only once, because it is as large as a quarter of a chunk.
func (l *Loader) manifest(ctx context.Context, t target) (Manifest, string, error) {
	if m, ok := l.manifests[t.version]; ok {
		return m, m.versionDigest(), nil
	}
	m, ok := l.manifestFromPeers(ctx, t)
	if !ok {
		var err error
		if m, err = l.cfg.Origin.Manifest(ctx, t.origin.Address, t.model.Name, t.version); err != nil {
			return m, "", err
		}
	}
	if t.model.Chunks > 0 && len(m.Digests) != t.model.Chunks {
		return m, "", eris.Errorf("manifest of version %d lists %d chunks, want %d", t.version, len(m.Digests), t.model.Chunks)
	}
	digest := m.versionDigest()
	l.addVersion(t, m, digest)
	return m, digest, nil
}

// addVersion prepares the store for the chunks of a version and drops versions
// more than one below it. Other loaders may still need the adjacent versions.
func (l *Loader) addVersion(t target, m Manifest, digest string) {
	l.store.Add(digest, m.weightsManifest(), nil)
	l.manifests[t.version] = m
	l.offerManifest(m)
	var keep []string
	for version, held := range l.manifests {
		if version < t.version-1 {
			l.dropManifest(held)
			continue
		}
		keep = append(keep, held.versionDigest())
	}
	l.store.Retain(keep...)
}

// importStaged copies chunks that are still staged at the engine into the
// store, as after a restart of this process or of the engine.
func (l *Loader) importStaged(ctx context.Context, m Manifest, digest string) {
	imported := 0
	for i, want := range m.Digests {
		chunk, err := l.cfg.Engine.ReadStaged(ctx, m.Model, i)
		if err != nil {
			break // nothing is staged, or the engine is gone
		}
		if l.store.Put(digest, i, want, chunk) {
			imported++
		}
	}
	if imported > 0 {
		l.log("imported chunks staged at the engine", "Version", m.Version, "Pieces", imported, "Of", len(m.Digests))
	}
}

// transfer fetches the missing chunks until the version is complete or no
// longer wanted by the host.
func (l *Loader) transfer(ctx context.Context, h transferHost, m Manifest) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.pollPeers(ctx, h.digest)
	h.startedAt = l.cfg.Clock.Now()
	h.progressedAt = h.startedAt
	held := l.store.Held(h.digest)
	h.stats.Held = held.Count()
	awtransfer.New(awtransfer.Config{
		Clock: l.cfg.Clock, Rand: l.rng, Host: &h, Dialer: l.dialer, Identity: l.cfg.Identity, Held: held,
		Exchange: awweights.Config{
			Self:        awweights.Source{ID: l.cfg.Backend, Region: l.cfg.Identity.Region},
			StoreRegion: l.cfg.Regions[h.target.origin.Domain], Digest: h.digest, Manifest: m.weightsManifest(),
			LinkRate: l.linkRate() * chunkLinkShare, Parallel: parallelFetches, OutsideParallel: outsideFetches, PerPeer: fetchesPerPeer,
		},
	}).Run(ctx)
	s := h.stats
	if s.CorruptChunks >= maxCorruptChunks && s.Held < s.Chunks {
		l.log("too many corrupt chunks; the manifest will be read again", "Version", h.target.version, "Bad", s.CorruptChunks)
		l.dropManifest(m)
		l.corruptManifests[h.target.version] = true
	}
	l.log("transfer ended", "Version", h.target.version, "Pieces", s.Held, "Of", s.Chunks, "Bad", s.CorruptChunks,
		"OriginBytes", s.OriginBytes, "RegionBytes", s.RegionBytes, "PeerBytes", s.PeerBytes,
		"Seconds", l.cfg.Clock.Now().Sub(h.startedAt).Seconds())
}

// pollPeers reads the list of backend servers until ctx ends: each peersInterval
// while no chunk arrives, and each maxPeersInterval otherwise.
func (l *Loader) pollPeers(ctx context.Context, digest string) {
	read := func() {
		if err := l.readPeers(ctx, digest); err != nil && ctx.Err() == nil {
			l.log("failed to read the list of backend servers", "Error", err.Error())
		}
	}
	read()
	go func() {
		readAt, held := l.cfg.Clock.Now(), 0
		for {
			awwatch.Sleep(ctx, peersInterval)
			if ctx.Err() != nil {
				return
			}
			before := held
			held = l.store.Held(digest).Count()
			if now := l.cfg.Clock.Now(); held == before || now.Sub(readAt) >= maxPeersInterval {
				readAt = now
				read()
			}
		}
	}()
}

func (l *Loader) readPeers(ctx context.Context, digest string) error {
	list, err := l.listServers(ctx)
	if err != nil {
		return err
	}
	l.setPeers(digest, list)
	return nil
}

// listServers returns the list of backend servers, at most peersInterval old.
func (l *Loader) listServers(ctx context.Context) ([]awdirectory.Server, error) {
	ctx, cancel := context.WithTimeout(ctx, peersInterval)
	defer cancel()
	return l.servers.read(ctx, l.cfg.Source, l.cfg.Clock.Now(), peersInterval-peersInterval/10)
}

// awaitLoadDelay waits until this engine may stop serving the older version, so
// that not all engines load at once. It returns false if the version is no
// longer wanted afterwards.
func (l *Loader) awaitLoadDelay(ctx context.Context, t target, newest, held int64) bool {
	if held == 0 {
		return true
	}
	l.mu.Lock()
	all := []string{l.cfg.Backend}
	for _, p := range l.peers {
		all = append(all, p.ID)
	}
	limit := l.usableUntil(held).Sub(t.desiredSince)
	l.mu.Unlock()
	slices.Sort(all)
	copies := float64(t.model.Chunks*t.model.ChunkBytes) / max(1, l.linkRate())
	earliest := time.Duration(copies * transferTimeFactor * float64(time.Second))
	delay := awweights.LoadDelay(slices.Index(all, l.cfg.Backend), len(all), earliest, limit, loadReserve)
	awwatch.Sleep(ctx, t.desiredSince.Add(delay).Sub(l.cfg.Clock.Now()))
	return ctx.Err() == nil && l.isNewest(newest)
}

// usableUntil returns the time from which no request may start on a version: the
// limit of the first later one. mu must be held.
func (l *Loader) usableUntil(version int64) time.Time {
	until := l.cfg.Clock.Now().Add(l.cfg.MaxStaleness)
	for _, d := range l.desired {
		if at := d.desiredSince.Add(l.cfg.MaxStaleness); d.version > version && at.Before(until) {
			until = at
		}
	}
	return until
}

// load stages the chunks and orders the engine to load them.
func (l *Loader) load(ctx context.Context, t target, m Manifest, digest string) error {
	status, err := l.stage(ctx, m, digest)
	if err != nil {
		return err
	}
	orderErr := l.cfg.Engine.Load(ctx, t.model.Name, t.version, status.AcceptedOrders)
	// The engine may have accepted the order even if its reply was lost, so the
	// outcome is read from the engine's status.
	startedAt := l.cfg.Clock.Now()
	for l.cfg.Clock.Now().Sub(startedAt) < loadTimeout && ctx.Err() == nil {
		current, err := l.cfg.Engine.Status(ctx)
		switch {
		case err != nil:
		case current.Versions[t.model.Name] >= t.version && !current.Busy:
			l.log("version loaded", "Version", t.version, "Seconds", l.cfg.Clock.Now().Sub(startedAt).Seconds(),
				"SinceNamed", l.cfg.Clock.Now().Sub(t.desiredSince).Seconds())
			return nil
		case current.StartUnixMs != status.StartUnixMs:
			return eris.New("engine restarted during the load")
		case orderErr != nil && !current.Busy && current.AcceptedOrders == status.AcceptedOrders:
			return eris.Wrap(orderErr, "send load order")
		}
		awwatch.Sleep(ctx, loadPoll)
	}
	return eris.New("engine did not load the version in time")
}

// stage uploads the chunks to the engine and compares them there until all match
// in one round that is recent enough for a load order. It returns the engine's
// status at that time. The order must follow at once.
func (l *Loader) stage(ctx context.Context, m Manifest, digest string) (Status, error) {
	for range maxStageRounds {
		before, err := l.cfg.Engine.Status(ctx)
		if err != nil {
			return before, err
		}
		compared := awevidence.Observation{Began: l.cfg.Clock.Now()}
		mismatched, err := l.stageMismatched(ctx, m, digest)
		if err != nil {
			return before, err
		}
		if mismatched > 0 {
			continue
		}
		after, err := l.cfg.Engine.Status(ctx)
		if err != nil {
			return after, err
		}
		if after.StartUnixMs == before.StartUnixMs && compared.Supports(l.cfg.Clock.Now(), awweights.MaxComparisonAge) {
			return after, nil
		}
		l.log("staged chunks are compared again", "Version", m.Version, "Seconds", l.cfg.Clock.Now().Sub(compared.Began).Seconds())
	}
	return Status{}, eris.Errorf("staged chunks differ, or were compared too slowly, in %d rounds", maxStageRounds)
}

// stageMismatched compares all staged chunks and uploads those that differ. It
// returns their number.
func (l *Loader) stageMismatched(ctx context.Context, m Manifest, digest string) (int, error) {
	mismatched := 0
	for i := range m.Digests {
		want, _ := l.store.Chunk(digest, i)
		staged, err := l.cfg.Engine.ReadStaged(ctx, m.Model, i)
		if err == nil && bytes.Equal(staged, want) {
			continue
		}
		mismatched++
		if err := l.cfg.Engine.Stage(ctx, m.Model, i, want); err != nil {
			return mismatched, err
		}
	}
	return mismatched, nil
}

// transferHost implements [awtransfer.Host] for the transfer of one version.
type transferHost struct {
	loader      *Loader
	target      target
	newest      int64 // version that was the newest when the transfer began
	digest      string
	stopOnStall bool // stop when no chunk arrives for stallTimeout, to try another version

	startedAt    time.Time
	progressedAt time.Time
	stats        awweights.Stats
}

// View implements [awtransfer.Host].
func (h *transferHost) View(string) awtransfer.View {
	l := h.loader
	wanted := l.isNewest(h.newest)
	if (h.stopOnStall || h.stats.CorruptChunks >= maxCorruptChunks) && l.cfg.Clock.Now().Sub(h.progressedAt) > stallTimeout {
		wanted = false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return awtransfer.View{Peers: l.peers, RegionFetcher: l.regionFetcher, Revision: l.peersRevision, Wanted: wanted}
}

// LinkShare implements [awtransfer.Host]. It is always 1, because chunkLinkShare
// already reserves bandwidth for the engine's responses.
func (h *transferHost) LinkShare() float64 { return 1 }

// FetchFromOrigin implements [awtransfer.Host].
func (h *transferHost) FetchFromOrigin(ctx context.Context, index int, _ string) ([]byte, error) {
	return h.loader.cfg.Origin.Chunk(ctx, h.target.origin.Address, h.target.model.Name, h.target.version, index)
}

// Put implements [awtransfer.Host].
func (h *transferHost) Put(index int, want string, data []byte) bool {
	return h.loader.store.Put(h.digest, index, want, data)
}

// Has implements [awtransfer.Host].
func (h *transferHost) Has(index int) bool {
	data, _ := h.loader.store.Chunk(h.digest, index)
	return data != nil
}

// Progress implements [awtransfer.Host].
func (h *transferHost) Progress(s awweights.Stats) {
	if s.Held > h.stats.Held {
		h.progressedAt = h.loader.cfg.Clock.Now()
	}
	h.stats = s
}
