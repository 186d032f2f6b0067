package awweights

import "math/bits"

// Bitmap is a chunk map: bit i is set when chunk i is held and checked.
type Bitmap []byte

// NewBitmap returns an empty map of n chunks.
func NewBitmap(n int) Bitmap { return make(Bitmap, (n+7)/8) }

// Has reports whether bit i is set; bits beyond the map are not.
func (b Bitmap) Has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// Set sets bit i.
func (b Bitmap) Set(i int) { b[i/8] |= 1 << (i % 8) }

// Clear clears bit i.
func (b Bitmap) Clear(i int) { b[i/8] &^= 1 << (i % 8) }

// Count returns the number of bits set.
func (b Bitmap) Count() int {
	n := 0
	for _, v := range b {
		n += bits.OnesCount8(v)
	}
	return n
}
