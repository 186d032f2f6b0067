package awbench

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"arbutuswind/core/awweights"
)

// RandomWeights returns n pseudorandom bytes derived from the seed.
func RandomWeights(seed uint64, n int) []byte {
	var key [32]byte
	for i := range 8 {
		key[i] = byte(seed >> (8 * i))
	}
	data := make([]byte, n)
	_, _ = rand.NewChaCha8(key).Read(data) // never fails
	return data
}

// Publish uploads a version of a model to the weight origin. The manifest is
// uploaded after all chunks, so that a listed version is always complete.
func (c *Cluster) Publish(model, version string, data []byte, chunkBytes int) (awweights.Manifest, error) {
	m := awweights.NewManifest(model, version, data, chunkBytes)
	for i, digest := range m.Chunks {
		chunk := data[i*chunkBytes : min((i+1)*chunkBytes, len(data))]
		if err := send(http.MethodPut, c.Platform+"/chunks/"+digest, chunk); err != nil {
			return m, err
		}
	}
	body, err := json.Marshal(m)
	if err != nil {
		return m, eris.Wrap(err, "encode manifest")
	}
	return m, send(http.MethodPut, c.Platform+"/weights/"+url.PathEscape(model)+"/"+url.PathEscape(version), body)
}
