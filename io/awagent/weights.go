package awagent

import (
	"slices"
	"sync"

	"arbutuswind/core/awweights"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awtransfer"
)

// weightStore holds the versions that this agent serves, fetches or passes on,
// and the report of the transfer. It is safe for concurrent use.
type weightStore struct {
	*awtransfer.Store

	mu       sync.Mutex
	loaded   string // version last confirmed at the engine
	transfer awproto.TransferReport
}

const bitsPerMbit = 1e6

// bytesPerSecond converts a rate of the settings.
func bytesPerSecond(mbit float64) float64 { return mbit * bitsPerMbit / 8 }

func newWeightStore() *weightStore { return &weightStore{Store: awtransfer.NewStore(awweights.Digest)} }

// addVersion starts to hold a version. The manifest must be the one with the digest.
func (w *weightStore) addVersion(digest string, raw []byte) (awweights.Manifest, error) {
	m, err := awweights.DecodeManifest(raw, digest)
	if err != nil {
		return m, err
	}
	w.Add(digest, m, raw)
	return m, nil
}

// retain drops every version that is not named, other than the one loaded
// last: the fleet goes back to that one when the new one does not load.
func (w *weightStore) retain(digests ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(digests) == 0 {
		w.Retain() // nothing is placed here
		return
	}
	w.Retain(append(slices.Clone(digests), w.loaded)...)
	if slices.Contains(digests, w.transfer.VersionDigest) {
		return
	}
	// The report of a version that is no longer wanted gives way.
	w.transfer = awproto.TransferReport{VersionDigest: digests[0]}
	if m, _, ok := w.Manifest(digests[0]); ok {
		w.transfer.Chunks, w.transfer.ChunksHeld = uint32(len(m.Chunks)), uint32(w.Held(digests[0]).Count())
	}
}

// setLoaded notes the version that the engine was confirmed to serve.
func (w *weightStore) setLoaded(digest string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loaded = digest
}

// beginTransfer starts the report of a transfer. The same version again keeps its
// figures.
func (w *weightStore) beginTransfer(digest string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.transfer.VersionDigest != digest {
		w.transfer = awproto.TransferReport{VersionDigest: digest}
	}
}

// setProgress reports the state of a transfer on top of what was taken before.
func (w *weightStore) setProgress(previous *awproto.TransferReport, s awweights.Stats) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := &w.transfer
	t.Chunks, t.ChunksHeld, t.Peers = uint32(s.Chunks), uint32(s.Held), uint32(s.Peers)
	t.BadChunks = previous.BadChunks + uint32(s.CorruptChunks)
	t.OriginBytes = previous.OriginBytes + s.OriginBytes
	t.RegionBytes = previous.RegionBytes + s.RegionBytes
	t.PeerBytes = previous.PeerBytes + s.PeerBytes
	t.EtaMs = uint32(s.ETA.Milliseconds())
}

// setError reports why a version cannot be served here; empty text clears it.
func (w *weightStore) setError(digest, text string) {
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
