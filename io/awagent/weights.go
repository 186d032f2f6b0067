package awagent

import (
	"slices"
	"sync"

	"arbutuswind/core/awweights"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awtransfer"
)

// weightStore holds the versions that this agent loads, fetches or uploads, and
// the report of the current transfer. It is safe for concurrent use.
type weightStore struct {
	*awtransfer.Store

	mu       sync.Mutex
	loaded   string // version that the engine was last confirmed to serve
	transfer awproto.TransferReport
}

const bitsPerMbit = 1e6

// bytesPerSecond converts a rate in Mbit/s, as in the settings.
func bytesPerSecond(mbit float64) float64 { return mbit * bitsPerMbit / 8 }

func newWeightStore() *weightStore { return &weightStore{Store: awtransfer.NewStore(awweights.Digest)} }

// addVersion adds a version without chunks. It returns an error if the manifest
// is invalid or does not have the given digest.
func (w *weightStore) addVersion(digest string, raw []byte) (awweights.Manifest, error) {
	m, err := awweights.DecodeManifest(raw, digest)
	if err != nil {
		return m, err
	}
	w.Add(digest, m, raw)
	return m, nil
}

// retain drops every version that is not listed, except the one loaded last,
// which a rollback needs if the new version does not load. Without arguments it
// drops all versions.
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
	// Replace the report of a version that is no longer required.
	w.transfer = awproto.TransferReport{VersionDigest: digests[0]}
	if m, _, ok := w.Manifest(digests[0]); ok {
		w.transfer.Chunks, w.transfer.ChunksHeld = uint32(len(m.Chunks)), uint32(w.Held(digests[0]).Count())
	}
}

// setLoaded records the version that the engine was confirmed to serve.
func (w *weightStore) setLoaded(digest string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loaded = digest
}

// beginTransfer starts the report of a transfer. If the report is already for
// this version, it is kept.
func (w *weightStore) beginTransfer(digest string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.transfer.VersionDigest != digest {
		w.transfer = awproto.TransferReport{VersionDigest: digest}
	}
}

// setProgress updates the report of a transfer. Byte and error counts are added
// to those of the previous report.
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

// setError reports why a version cannot be served here. An empty text clears
// the error.
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
		EtaMs: t.EtaMs, Error: awproto.Text(t.Error), NoRoom: t.NoRoom,
	}
}
