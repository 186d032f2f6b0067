package awroute

import "github.com/cespare/xxhash/v2"

// PrefixBlockBytes is the length of one block of a prompt prefix. Engines
// cache whole blocks, and a shared system prompt spans several.
const PrefixBlockBytes = 256

// maxPrefixBlocks bounds the hashes computed per prompt.
const maxPrefixBlocks = 16

// PrefixHashes returns the hashes of the prompt's first 1, 2, 3... blocks for
// a model, shortest first. Prompts shorter than a block have none.
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

// prefixCapacity bounds the prefixes remembered per agent.
const prefixCapacity = 1024

// PrefixTable remembers which prefixes a backend server holds, from reports
// that come late and with gaps and from what this entry sent. It forgets the
// oldest entries first. It is not safe for concurrent use.
type PrefixTable struct {
	known map[uint64]bool
	order []uint64
}

// Add remembers prefixes.
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

// Hit reports whether the longest prefix that any table could hold is known:
// hashes come as from [PrefixHashes].
func (t *PrefixTable) Hit(hashes []uint64) bool {
	for i := len(hashes) - 1; i >= 0; i-- {
		if t.known[hashes[i]] {
			return true
		}
	}
	return false
}

// Reset forgets everything, as after a restart of the engine.
func (t *PrefixTable) Reset() { t.known, t.order = nil, nil }
