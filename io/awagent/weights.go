package awagent

import (
	"io"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awweights"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awsettings"
)

// weightStore holds the checked chunks of the versions that this agent
// serves, fetches or passes on. A version is known by the digest of its
// manifest, so chunks of two versions never mix. It is safe for concurrent
// use.
type weightStore struct {
	clock awclock.Clock

	mu       sync.Mutex
	versions map[string]*heldVersion
	loaded   string // version last confirmed at the engine
	transfer awproto.TransferReport
	slots    *awweights.Slots
	uplink   *awweights.Bucket
}

type heldVersion struct {
	raw      []byte // the manifest as published
	manifest awweights.Manifest
	chunks   [][]byte
	held     awweights.Bitmap
	count    int
}

const bitsPerMbit = 1e6

// bytesPerSecond converts a rate of the settings.
func bytesPerSecond(mbit float64) float64 { return mbit * bitsPerMbit / 8 }

func newWeightStore(cfg awsettings.Weights, clock awclock.Clock) *weightStore {
	return &weightStore{
		clock: clock, versions: map[string]*heldVersion{}, slots: awweights.NewSlots(cfg.UploadSlots),
		uplink: awweights.NewBucket(bytesPerSecond(cfg.LinkMbit), 0, clock.Now()),
	}
}

// add starts to hold a version. The manifest must be the one with the digest.
func (w *weightStore) add(digest string, raw []byte) (awweights.Manifest, error) {
	m, err := awweights.DecodeManifest(raw, digest)
	if err != nil {
		return m, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if v := w.versions[digest]; v != nil {
		return v.manifest, nil
	}
	n := len(m.Chunks)
	w.versions[digest] = &heldVersion{raw: raw, manifest: m, chunks: make([][]byte, n), held: awweights.NewBitmap(n)}
	return m, nil
}

// manifest returns the manifest of a version and its published form.
func (w *weightStore) manifest(digest string) (awweights.Manifest, []byte, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.versions[digest]
	if v == nil {
		return awweights.Manifest{}, nil, false
	}
	return v.manifest, v.raw, true
}

// put checks a chunk and keeps it; false means that it is corrupt.
func (w *weightStore) put(digest string, i int, want string, chunk []byte) bool {
	if awweights.Digest(chunk) != want {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if v := w.versions[digest]; v != nil && v.chunks[i] == nil {
		v.chunks[i] = chunk
		v.held.Set(i)
		v.count++
	}
	return true
}

// chunk returns a checked chunk and the map of those held.
func (w *weightStore) chunk(digest string, i int) ([]byte, awweights.Bitmap) {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.versions[digest]
	if v == nil {
		return nil, nil
	}
	if i < 0 || i >= len(v.chunks) {
		return nil, slices.Clone(v.held)
	}
	return v.chunks[i], slices.Clone(v.held)
}

func (w *weightStore) held(digest string) awweights.Bitmap {
	_, held := w.chunk(digest, -1)
	return held
}

// complete reports whether every chunk of a version is held.
func (w *weightStore) complete(digest string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.versions[digest]
	return v != nil && v.count == len(v.chunks)
}

// writeTo sends the whole version. It returns an error without having
// written anything when the version is not complete.
func (w *weightStore) writeTo(out io.Writer, digest string) error {
	w.mu.Lock()
	v := w.versions[digest]
	if v == nil || v.count != len(v.chunks) {
		w.mu.Unlock()
		return eris.New("weights are not complete")
	}
	chunks := v.chunks
	w.mu.Unlock()
	for _, c := range chunks {
		if _, err := out.Write(c); err != nil {
			return eris.Wrap(err, "send weights")
		}
	}
	return nil
}

// retain drops every version that is not named, other than the one loaded
// last: the fleet goes back to that one when the new one does not load.
func (w *weightStore) retain(digests ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(digests) == 0 {
		w.drop(nil) // nothing is placed here
		return
	}
	w.drop(append(slices.Clone(digests), w.loaded))
	if slices.Contains(digests, w.transfer.VersionDigest) {
		return
	}
	// The report of a version that is no longer wanted gives way.
	w.transfer = awproto.TransferReport{VersionDigest: digests[0]}
	if v := w.versions[digests[0]]; v != nil {
		w.transfer.Chunks, w.transfer.ChunksHeld = uint32(len(v.chunks)), uint32(v.count)
	}
}

// retainOnly drops every other version.
func (w *weightStore) retainOnly(digest string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drop([]string{digest})
}

func (w *weightStore) drop(keep []string) {
	for digest := range w.versions {
		if !slices.Contains(keep, digest) {
			delete(w.versions, digest)
		}
	}
}

// setLoaded notes the version that the engine was confirmed to serve.
func (w *weightStore) setLoaded(digest string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loaded = digest
}

// otherBytes returns the memory held by versions other than digest.
func (w *weightStore) otherBytes(digest string) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var n uint64
	for d, v := range w.versions {
		if d != digest {
			n += uint64(v.count) * v.manifest.ChunkBytes
		}
	}
	return n
}

// begin starts the report of a transfer. The same version again keeps its
// figures.
func (w *weightStore) begin(digest string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.transfer.VersionDigest != digest {
		w.transfer = awproto.TransferReport{VersionDigest: digest}
	}
}

// progress reports the state of a transfer on top of what was taken before.
func (w *weightStore) progress(before *awproto.TransferReport, s awweights.Stats) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := &w.transfer
	t.Chunks, t.ChunksHeld, t.Peers = uint32(s.Chunks), uint32(s.Held), uint32(s.Peers)
	t.BadChunks = before.BadChunks + uint32(s.Bad)
	t.OriginBytes = before.OriginBytes + s.OriginBytes
	t.RegionBytes = before.RegionBytes + s.RegionBytes
	t.PeerBytes = before.PeerBytes + s.PeerByte
	t.EtaMs = uint32(s.ETA.Milliseconds())
}

// fail reports why a version cannot be served here; empty text clears it.
func (w *weightStore) fail(digest, text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if text == "" && w.transfer.VersionDigest != digest {
		return
	}
	if w.transfer.VersionDigest != digest {
		w.transfer = awproto.TransferReport{VersionDigest: digest}
	}
	w.transfer.Error = text
}

func (w *weightStore) setNoRoom(noRoom bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.transfer.NoRoom = noRoom
}

func (w *weightStore) report() *awproto.TransferReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := &w.transfer
	return &awproto.TransferReport{
		VersionDigest: t.VersionDigest, Chunks: t.Chunks, ChunksHeld: t.ChunksHeld, Peers: t.Peers,
		BadChunks: t.BadChunks, OriginBytes: t.OriginBytes, RegionBytes: t.RegionBytes, PeerBytes: t.PeerBytes,
		EtaMs: t.EtaMs, Error: t.Error, NoRoom: t.NoRoom,
	}
}

// acquireUpload takes an upload slot and returns the time to wait before n
// bytes may be sent; false means that no slot is free.
func (w *weightStore) acquireUpload(sameRegion bool, n int, share float64) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.slots.Acquire(sameRegion) {
		return 0, false
	}
	now := w.clock.Now()
	w.uplink.SetShare(now, share)
	return w.uplink.Take(now, uint64(n)), true
}

func (w *weightStore) releaseUpload(sameRegion bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slots.Release(sameRegion)
}

func (w *weightStore) freeSlots() uint32 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return uint32(max(0, w.slots.Free()))
}
