package awroute

import "github.com/cespare/xxhash/v2"

// PrefixBlockBytes is the size of one block of a prompt prefix. Engines cache
// whole blocks, and a shared system prompt spans several blocks.
const PrefixBlockBytes = 256

// maxPrefixBlocks limits the number of hashes computed per prompt.
const maxPrefixBlocks = 16

// PrefixHashes returns one hash for each prefix of the prompt that consists of
// whole blocks, shortest first, up to maxPrefixBlocks blocks. The hashes depend
// on the model. It returns nil for prompts shorter than one block.
func PrefixHashes(model string, prompt []byte) []uint64 {
	n := min(len(prompt)/PrefixBlockBytes, maxPrefixBlocks)
	if n == 0 {
		return nil
	}
	d := xxhash.New()
	_, _ = d.WriteString(model) // never fails
	hashes := make([]uint64, 0, n)
	for i := range n {
		_, _ = d.Write(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// prefixCapacity is the maximum number of prefixes in a [PrefixTable].
const prefixCapacity = 1024

// PrefixTable records which prefixes a backend server has cached, as known from
// its reports, which may be late or incomplete, and from the requests sent by
// this entry. It evicts the oldest prefixes first. It is not safe for
// concurrent use.
type PrefixTable struct {
	known map[uint64]bool
	order []uint64
}

// Add records prefixes as cached.
func (t *PrefixTable) Add(hashes ...uint64) {
	if t.known == nil {
		t.known = map[uint64]bool{}
	}
	for _, h := range hashes {
		if t.known[h] {
			continue
		}
		if len(t.order) == prefixCapacity {
			delete(t.known, t.order[0])
			t.order = t.order[1:]
		}
		t.known[h] = true
		t.order = append(t.order, h)
	}
}

// Hit reports whether any of the prefixes is known to be cached. hashes is the
// result of [PrefixHashes] for a prompt.
func (t *PrefixTable) Hit(hashes []uint64) bool {
	for i := len(hashes) - 1; i >= 0; i-- {
		if t.known[hashes[i]] {
			return true
		}
	}
	return false
}

// Reset removes all prefixes. It is used when the engine has restarted.
func (t *PrefixTable) Reset() { t.known, t.order = nil, nil }
