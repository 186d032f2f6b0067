// Package awweights decides how the weights of a version spread.
//
// A version is a manifest: the digests of its chunks. The digest of the
// manifest is the identity of the version, so weights that change under the
// same name are another version and never mix.
//
// Each agent runs an [Exchange] of its own; no process plans for others. In
// each region a panel of agents brings the chunks in, each chunk by the member
// that [AssignChunks] names and, when that makes no progress, by the next in
// rank. The panel of the home region, that of the store where agents live
// there, reads the origin; the panels of other regions read agents of other
// regions, first those of the home region. All others fetch inside their
// region, the rarest chunks first. Agents that disagree about panels or maps
// fetch a chunk twice, which costs bytes and nothing else.
package awweights

import (
	"encoding/hex"
	"encoding/json"

	"github.com/rotisserie/eris"
	"lukechampine.com/blake3"
)

// MaxChunks bounds the manifest a process accepts.
const MaxChunks = 1 << 16

// MaxChunkBytes bounds one chunk, so that a chunk fits into one message of
// the internal protocol.
const MaxChunkBytes = 2 << 20

// Manifest lists the chunks of one version.
type Manifest struct {
	Model      string
	Version    string
	SizeBytes  uint64
	ChunkBytes uint64   // size of every chunk but the last
	Chunks     []string // BLAKE3 digests in hexadecimal, in order
	FileDigest string   // BLAKE3 digest of the whole, which engines report
}

// Digest returns the BLAKE3 digest of data in hexadecimal.
func Digest(data []byte) string {
	sum := blake3.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// NewManifest cuts data into chunks of chunkBytes and describes them.
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

// DecodeManifest reads a manifest and checks it against its identity. An
// empty digest accepts any manifest.
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
