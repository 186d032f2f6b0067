package awloader

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"arbutuswind/core/awweights"
	"arbutuswind/io/awtransfer"
	"arbutuswind/io/awwatch"
)

const (
	// distrustBad is the number of pieces with a wrong digest in one transfer
	// after which the manifest is read again: it carries no digest of its own
	// and may itself be spoilt.
	distrustBad = 3
	// stageRounds bounds how often pieces that went bad are staged again
	// before one load.
	stageRounds = 4
	// loadReserve is the time that an engine needs from the order until it
	// serves the new version: what runs is finished first.
	loadReserve = 3500 * time.Millisecond
	// transferSlack is the time in which the first loaders hold a version, in
	// units of the time in which one copy fits through a link.
	transferSlack = 1.2
	// peersEvery is the time between two reads of the list of backend servers
	// during a transfer.
	peersEvery = time.Second
	// loadTimeout bounds the wait for an engine that accepted an order.
	loadTimeout = 6 * time.Second
	loadPoll    = 60 * time.Millisecond
	// stallAfter is how long a transfer may bring nothing in before another
	// version is looked at; a piece takes about 30 ms on an instance's link.
	stallAfter = time.Second
	// linkShare is the part of the instance's link that pieces use. The engine
	// beside this process answers requests over the same link.
	linkShare = 0.85
	// The fetches at once: more of them only wait for each other on the link,
	// and the answers of the engine behind them.
	peerFetches    = 4
	dutyFetches    = 2
	fetchesPerPeer = 2
	// failurePause follows a failed step.
	failurePause = 200 * time.Millisecond
)

func (l *Loader) reconcileLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if list := l.targets(); len(list) > 0 {
			if err := l.reconcile(ctx, list); err != nil && ctx.Err() == nil {
				l.log("version not loaded", "Newest", list[0].version, "Error", err.Error())
				awwatch.Sleep(ctx, failurePause)
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

// reconcile takes the next steps towards the newest version of the list. When
// the origin does not give it, the engine is brought to the version before, of
// which peers may hold all, so that it serves for as long as that one may.
func (l *Loader) reconcile(ctx context.Context, list []target) error {
	status, err := l.cfg.Engine.Status(ctx)
	if err != nil {
		return nil // reported by reportLoop; a dead engine needs no weights
	}
	held := status.Versions[list[0].model.Name]
	var first error
	for i, t := range list {
		if !l.newest(list[0].version) {
			return nil
		}
		done, err := l.advance(ctx, t, list[0].version, held, i+1 < len(list) && held < list[i+1].version)
		if done {
			return err
		}
		if first == nil {
			first = err
		}
	}
	return first
}

// advance brings the engine, which holds a version, nearer to the target. It
// returns true if there is nothing to do for an older version.
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
		l.transfer(ctx, transferHost{loader: l, target: t, newest: newest, digest: digest, yields: fallback || t.version < newest}, m)
	}
	if !l.store.Complete(digest) {
		return false, nil
	}
	if !l.awaitTurn(ctx, t, newest, held > 0) {
		return true, nil
	}
	return true, l.load(ctx, t, m, digest)
}

// manifest returns the manifest of the target. It is read from the origin
// once, because it takes as much of the origin's link as a quarter of a piece.
func (l *Loader) manifest(ctx context.Context, t target) (Manifest, string, error) {
	if m, ok := l.manifests[t.version]; ok {
		return m, m.identity(), nil
	}
	m, err := l.cfg.Origin.Manifest(ctx, t.origin.Address, t.model.Name, t.version)
	if err != nil {
		return m, "", err
	}
	if t.model.Chunks > 0 && len(m.Digests) != t.model.Chunks {
		return m, "", eris.Errorf("manifest of version %d lists %d pieces, want %d", t.version, len(m.Digests), t.model.Chunks)
	}
	digest := m.identity()
	l.hold(t, m, digest)
	return m, digest, nil
}

// hold makes room for the pieces of a version. The versions next to it stay:
// other loaders may still need them.
func (l *Loader) hold(t target, m Manifest, digest string) {
	l.store.Add(digest, m.exchange(), nil)
	l.manifests[t.version] = m
	var keep []string
	for version, held := range l.manifests {
		if version < t.version-1 {
			delete(l.manifests, version)
			continue
		}
		keep = append(keep, held.identity())
	}
	l.store.Retain(keep...)
}

// importStaged takes over pieces that lie at the engine from before: after a
// restart of this process or of the engine.
func (l *Loader) importStaged(ctx context.Context, m Manifest, digest string) {
	taken := 0
	for i, want := range m.Digests {
		piece, err := l.cfg.Engine.ReadStaged(ctx, m.Model, i)
		if err != nil {
			break // nothing is staged, or the engine is gone
		}
		if l.store.Put(digest, i, want, piece) {
			taken++
		}
	}
	if taken > 0 {
		l.log("staged pieces taken over", "Version", m.Version, "Pieces", taken, "Of", len(m.Digests))
	}
}

// transfer brings the missing pieces in, until the host no longer wants them.
func (l *Loader) transfer(ctx context.Context, h transferHost, m Manifest) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.followPeers(ctx, h.digest)
	h.began = l.cfg.Clock.Now()
	h.progressed = h.began
	held := l.store.Held(h.digest)
	h.stats.Held = held.Count()
	awtransfer.New(awtransfer.Config{
		Clock: l.cfg.Clock, Rand: l.rng, Host: &h, Dialer: l.dialer, Identity: l.cfg.Identity, Held: held,
		Exchange: awweights.Config{
			Self:        awweights.Source{ID: l.cfg.Backend, Region: l.cfg.Identity.Region},
			StoreRegion: l.cfg.Regions[h.target.origin.Domain], Digest: h.digest, Manifest: m.exchange(),
			LinkRate: l.linkRate() * linkShare, Parallel: peerFetches, OutsideParallel: dutyFetches, PerPeer: fetchesPerPeer,
		},
	}).Run(ctx)
	s := h.stats
	if s.CorruptChunks >= distrustBad && s.Held < s.Chunks {
		l.log("manifest is read again", "Version", h.target.version, "Bad", s.CorruptChunks)
		delete(l.manifests, h.target.version)
	}
	l.log("transfer ended", "Version", h.target.version, "Pieces", s.Held, "Of", s.Chunks, "Bad", s.CorruptChunks,
		"OriginBytes", s.OriginBytes, "RegionBytes", s.RegionBytes, "PeerBytes", s.PeerBytes,
		"Seconds", l.cfg.Clock.Now().Sub(h.began).Seconds())
}

// followPeers reads the list of backend servers now and then until ctx ends.
func (l *Loader) followPeers(ctx context.Context, digest string) {
	read := func() {
		if err := l.readPeers(ctx, digest); err != nil && ctx.Err() == nil {
			l.log("list of backend servers not read", "Error", err.Error())
		}
	}
	read()
	go func() {
		for ctx.Err() == nil {
			awwatch.Sleep(ctx, peersEvery)
			read()
		}
	}()
}

func (l *Loader) readPeers(ctx context.Context, digest string) error {
	ctx, cancel := context.WithTimeout(ctx, peersEvery)
	defer cancel()
	rows, err := l.cfg.Source.Servers(ctx, 0)
	if err != nil {
		return err
	}
	l.setPeers(digest, rows.Put)
	return nil
}

// awaitTurn waits until this engine may stop serving the older version. It
// returns false if the version is no longer wanted then.
func (l *Loader) awaitTurn(ctx context.Context, t target, newest int64, serving bool) bool {
	if !serving {
		return true
	}
	l.mu.Lock()
	all := []string{l.cfg.Backend}
	for _, p := range l.peers {
		all = append(all, p.ID)
	}
	l.mu.Unlock()
	slices.Sort(all)
	copies := float64(t.model.Chunks*t.model.ChunkBytes) / max(1, l.linkRate())
	earliest := time.Duration(copies * transferSlack * float64(time.Second))
	turn := awweights.LoadDelay(slices.Index(all, l.cfg.Backend), len(all), earliest, l.cfg.MaxStaleness, loadReserve)
	awwatch.Sleep(ctx, t.named.Add(turn).Sub(l.cfg.Clock.Now()))
	return ctx.Err() == nil && l.newest(newest)
}

// load stages the pieces, checks them where they lie and orders the load.
func (l *Loader) load(ctx context.Context, t target, m Manifest, digest string) error {
	if err := l.stage(ctx, m, digest); err != nil {
		return err
	}
	status, err := l.cfg.Engine.Status(ctx)
	if err != nil {
		return err
	}
	orderErr := l.cfg.Engine.Load(ctx, t.model.Name, t.version, status.AcceptedOrders)
	// The order may have been accepted although its answer is lost: what the
	// engine says afterwards decides.
	began := l.cfg.Clock.Now()
	for l.cfg.Clock.Now().Sub(began) < loadTimeout && ctx.Err() == nil {
		now, err := l.cfg.Engine.Status(ctx)
		switch {
		case err != nil:
		case now.Versions[t.model.Name] >= t.version && !now.Busy:
			l.log("version loaded", "Version", t.version, "Seconds", l.cfg.Clock.Now().Sub(began).Seconds(),
				"SinceNamed", l.cfg.Clock.Now().Sub(t.named).Seconds())
			return nil
		case now.StartUnixMs != status.StartUnixMs:
			return eris.New("engine restarted during the load")
		case orderErr != nil && !now.Busy && now.AcceptedOrders == status.AcceptedOrders:
			return eris.Wrap(orderErr, "order to load")
		}
		awwatch.Sleep(ctx, loadPoll)
	}
	return eris.New("engine did not load in time")
}

// stage puts the pieces at the engine and reads them back until all are right.
func (l *Loader) stage(ctx context.Context, m Manifest, digest string) error {
	for range stageRounds {
		bad := 0
		for i := range m.Digests {
			want, _ := l.store.Chunk(digest, i)
			piece, err := l.cfg.Engine.ReadStaged(ctx, m.Model, i)
			if err == nil && bytes.Equal(piece, want) {
				continue
			}
			bad++
			if err := l.cfg.Engine.Stage(ctx, m.Model, i, want); err != nil {
				return err
			}
		}
		if bad == 0 {
			return nil
		}
	}
	return eris.Errorf("staged pieces went bad %d times", stageRounds)
}

// transferHost runs the transfer of one version for a loader.
type transferHost struct {
	loader *Loader
	target target
	newest int64 // version that was the newest when the transfer began
	digest string
	yields bool // to another version when nothing comes in

	began      time.Time
	progressed time.Time
	stats      awweights.Stats
}

// View implements [awtransfer.Host].
func (h *transferHost) View(string) awtransfer.View {
	l := h.loader
	wanted := l.newest(h.newest)
	if (h.yields || h.stats.CorruptChunks >= distrustBad) && l.cfg.Clock.Now().Sub(h.progressed) > stallAfter {
		wanted = false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return awtransfer.View{Peers: l.peers, RegionFetcher: l.duty, Revision: l.revision, Wanted: wanted}
}

// LinkShare implements [awtransfer.Host]. What the engine's answers need of the
// link is left free at all times; see linkShare.
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
		h.progressed = h.loader.cfg.Clock.Now()
	}
	h.stats = s
}
