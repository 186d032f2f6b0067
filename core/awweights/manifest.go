// Package awweights decides how the weights of a version are distributed to the
// agents.
//
// A version is described by a manifest, which lists the digests of its chunks.
// The digest of the manifest identifies the version. Weights that change under
// the same name are therefore another version, and chunks of the two never mix.
//
// Each agent runs its own [Exchange]; there is no central plan. In each region a
// few agents, the region fetchers, fetch chunks from outside the region.
// [AssignChunks] ranks them for each chunk: the first is the designated fetcher,
// and if it makes no progress, the next in rank takes over. The fetchers of the
// home region, see [HomeRegion], read from the origin. The fetchers of other
// regions read from agents of other regions, preferably those of the home
// region. All other agents fetch from peers of their region, the rarest chunks
// first. If agents disagree about the fetchers or have outdated chunk maps, a
// chunk may be transferred twice, which costs bandwidth but not correctness.
package awweights

import (
	"encoding/hex"
	"encoding/json"

	"github.com/rotisserie/eris"
	"lukechampine.com/blake3"
)

// MaxChunks is the maximum number of chunks in a manifest.
const MaxChunks = 1 << 16

// MaxChunkBytes is the maximum size of a chunk, so that a chunk fits into one
// message of the internal protocol.
const MaxChunkBytes = 2 << 20

// Manifest lists the chunks of one version.
type Manifest struct {
	Model      string
	Version    string
	SizeBytes  uint64
	ChunkBytes uint64   // size of every chunk except the last
	Chunks     []string // BLAKE3 digests of the chunks in hexadecimal, in order
	FileDigest string   // BLAKE3 digest of all weights, which engines report
}

// Digest returns the BLAKE3 digest of data in hexadecimal.
func Digest(data []byte) string {
	sum := blake3.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// NewManifest returns the manifest of data split into chunks of chunkBytes.
func NewManifest(model, version string, data []byte, chunkBytes int) Manifest {
	m := Manifest{
		Model: model, Version: version, FileDigest: Digest(data),
		SizeBytes: uint64(len(data)), ChunkBytes: uint64(chunkBytes),
	}
	for off := 0; off < len(data); off += chunkBytes {
		m.Chunks = append(m.Chunks, Digest(data[off:min(off+chunkBytes, len(data))]))
	}
	return m
}

// Encode returns the manifest as JSON.
func (m Manifest) Encode() ([]byte, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "encode manifest")
	}
	return data, nil
}

// DecodeManifest decodes a manifest and checks it for consistency. It returns an
// error if data does not have the given digest; an empty digest accepts any data.
func DecodeManifest(data []byte, digest string) (Manifest, error) {
	var m Manifest
	if digest != "" && Digest(data) != digest {
		return m, eris.Errorf("manifest has digest %s, want %s", Digest(data), digest)
	}
	if err := json.Unmarshal(data, &m); err != nil {
		return m, eris.Wrap(err, "decode manifest")
	}
	return m, m.check()
}

func (m Manifest) check() error {
	if m.ChunkBytes == 0 || m.ChunkBytes > MaxChunkBytes || len(m.Chunks) == 0 || len(m.Chunks) > MaxChunks {
		return eris.Errorf("manifest of %s %s: %d chunks of %d bytes; allowed are 1 to %d chunks of 1 to %d bytes",
			m.Model, m.Version, len(m.Chunks), m.ChunkBytes, MaxChunks, MaxChunkBytes)
	}
	full := uint64(len(m.Chunks)-1) * m.ChunkBytes
	if m.SizeBytes <= full || m.SizeBytes-full > m.ChunkBytes {
		return eris.Errorf("manifest of %s %s: size %d does not fit %d chunks of %d bytes",
			m.Model, m.Version, m.SizeBytes, len(m.Chunks), m.ChunkBytes)
	}
	return nil
}

// ChunkSize returns the size of chunk i in bytes.
func (m Manifest) ChunkSize(i int) uint64 {
	return min(m.ChunkBytes, m.SizeBytes-uint64(i)*m.ChunkBytes)
}
