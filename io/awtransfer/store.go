package awtransfer

import (
	"io"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"arbutuswind/core/awweights"
)

// Store holds the verified chunks of versions in memory. A version is identified
// by the digest of its manifest, so that chunks of two versions never mix. It is
// safe for concurrent use.
type Store struct {
	digest func([]byte) string // computes the digest of a chunk as listed in manifests

	mu       sync.Mutex
	versions map[string]*heldVersion
}

type heldVersion struct {
	raw      []byte // manifest as published
	manifest awweights.Manifest
	chunks   [][]byte
	held     awweights.Bitmap
	count    int
}

// NewStore returns an empty store. The function digest computes the digest of a
// chunk.
func NewStore(digest func([]byte) string) *Store {
	return &Store{digest: digest, versions: map[string]*heldVersion{}}
}

// Add adds a version without chunks. raw is its manifest as published. Add does
// nothing if the store has the version already.
func (s *Store) Add(digest string, m awweights.Manifest, raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.versions[digest] != nil {
		return
	}
	n := len(m.Chunks)
	s.versions[digest] = &heldVersion{raw: raw, manifest: m, chunks: make([][]byte, n), held: awweights.NewBitmap(n)}
}

// Manifest returns the manifest of a version and its published form.
func (s *Store) Manifest(digest string) (awweights.Manifest, []byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.versions[digest]
	if v == nil {
		return awweights.Manifest{}, nil, false
	}
	return v.manifest, v.raw, true
}

// Put stores a chunk of a version that the store has. It returns false if the
// digest of the chunk is not want.
func (s *Store) Put(digest string, i int, want string, chunk []byte) bool {
	if s.digest(chunk) != want {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.versions[digest]; v != nil && v.chunks[i] == nil {
		v.chunks[i] = chunk
		v.held.Set(i)
		v.count++
	}
	return true
}

// Chunk returns a chunk, or nil if it is not held, and the map of the chunks
// held.
func (s *Store) Chunk(digest string, i int) ([]byte, awweights.Bitmap) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.versions[digest]
	if v == nil {
		return nil, nil
	}
	if i < 0 || i >= len(v.chunks) {
		return nil, slices.Clone(v.held)
	}
	return v.chunks[i], slices.Clone(v.held)
}

// Held returns the map of the chunks held.
func (s *Store) Held(digest string) awweights.Bitmap {
	_, held := s.Chunk(digest, -1)
	return held
}

// Complete reports whether every chunk of a version is held.
func (s *Store) Complete(digest string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.versions[digest]
	return v != nil && v.count == len(v.chunks)
}

// SendTo writes all chunks of a version to out in order. If the version is not
// complete, it returns an error and writes nothing.
func (s *Store) SendTo(out io.Writer, digest string) error {
	s.mu.Lock()
	v := s.versions[digest]
	if v == nil || v.count != len(v.chunks) {
		s.mu.Unlock()
		return eris.New("weights are not complete")
	}
	chunks := v.chunks
	s.mu.Unlock()
	for _, c := range chunks {
		if _, err := out.Write(c); err != nil {
			return eris.Wrap(err, "send weights")
		}
	}
	return nil
}

// Retain drops every version that is not in keep.
func (s *Store) Retain(keep ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for digest := range s.versions {
		if !slices.Contains(keep, digest) {
			delete(s.versions, digest)
		}
	}
}

// OtherBytes returns the size in bytes of the chunks held of all versions other
// than digest.
func (s *Store) OtherBytes(digest string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var n uint64
	for d, v := range s.versions {
		if d != digest {
			n += uint64(v.count) * v.manifest.ChunkBytes
		}
	}
	return n
}
