package awweights

import "math/bits"

// Bitmap is a chunk map: bit i is set if chunk i is held and verified.
type Bitmap []byte

// NewBitmap returns an empty map of n chunks.
func NewBitmap(n int) Bitmap { return make(Bitmap, (n+7)/8) }

// Has reports whether bit i is set. It returns false for bits beyond the end.
func (b Bitmap) Has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// Set sets bit i. It panics if bit i is beyond the end.
func (b Bitmap) Set(i int) { b[i/8] |= 1 << (i % 8) }

// Clear clears bit i. It panics if bit i is beyond the end.
func (b Bitmap) Clear(i int) { b[i/8] &^= 1 << (i % 8) }

// Count returns the number of set bits.
func (b Bitmap) Count() int {
	n := 0
	for _, v := range b {
		n += bits.OnesCount8(v)
	}
	return n
}
