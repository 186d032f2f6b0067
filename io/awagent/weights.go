package awagent

import (
	"bytes"
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"arbutuswind/core/awweights"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awstore"
)

// weightStore holds the checked chunks of one version.
type weightStore struct {
	store *awstore.Client

	mu       sync.Mutex
	digest   string
	manifest awweights.Manifest
	chunks   [][]byte
	transfer awproto.TransferReport
}

func newWeightStore(store *awstore.Client) *weightStore { return &weightStore{store: store} }

// ensure fetches every chunk of a version that is not held yet.
func (w *weightStore) ensure(ctx context.Context, digest string) error {
	data, err := w.store.ManifestByDigest(ctx, digest)
	if err != nil {
		return eris.Wrap(err, "fetch manifest")
	}
	m, err := awweights.DecodeManifest(data, digest)
	if err != nil {
		return err
	}
	w.start(digest, m)
	for i, want := range m.Chunks {
		if w.held(i) {
			continue
		}
		chunk, err := w.store.Chunk(ctx, want)
		if err != nil {
			return eris.Wrapf(err, "fetch chunk %d", i)
		}
		if err := w.put(i, want, chunk); err != nil {
			return err
		}
	}
	return nil
}

func (w *weightStore) start(digest string, m awweights.Manifest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.digest == digest {
		return
	}
	w.digest, w.manifest, w.chunks = digest, m, make([][]byte, len(m.Chunks))
	w.transfer = awproto.TransferReport{VersionDigest: digest, Chunks: uint32(len(m.Chunks))}
}

func (w *weightStore) held(i int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.chunks[i] != nil
}

// put checks a chunk from the origin and keeps it.
func (w *weightStore) put(i int, want string, chunk []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.transfer.OriginBytes += uint64(len(chunk))
	if awweights.Digest(chunk) != want {
		w.transfer.BadChunks++
		return eris.Errorf("chunk %d is corrupt", i)
	}
	w.chunks[i] = chunk
	w.transfer.ChunksHeld++
	return nil
}

// whole returns the weights of a version if every chunk is held.
func (w *weightStore) whole(digest string) ([]byte, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.digest != digest || digest == "" || int(w.transfer.ChunksHeld) != len(w.chunks) {
		return nil, false
	}
	return bytes.Join(w.chunks, nil), true
}

func (w *weightStore) fileDigest() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.manifest.FileDigest
}

func (w *weightStore) report() *awproto.TransferReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	return &awproto.TransferReport{
		VersionDigest: w.transfer.VersionDigest, Chunks: w.transfer.Chunks, ChunksHeld: w.transfer.ChunksHeld,
		BadChunks: w.transfer.BadChunks, OriginBytes: w.transfer.OriginBytes,
	}
}
