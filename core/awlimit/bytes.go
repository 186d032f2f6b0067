package awlimit

// ByteBudget bounds the bytes that an entry holds for callers: bodies, windows of
// streams and answers that are collected. It is not safe for concurrent use.
type ByteBudget struct {
	Limit int
	held  int
}

// Reserve takes n bytes; it returns false when the limit would be exceeded.
func (b *ByteBudget) Reserve(n int) bool {
	if n > b.Limit-b.held {
		return false
	}
	b.held += n
	return true
}

// Release returns n bytes.
func (b *ByteBudget) Release(n int) { b.held -= n }

// Held returns the bytes reserved.
func (b *ByteBudget) Held() int { return b.held }

// StreamWindow returns the window of a new stream: wide while most of the limit is
// free, and narrow after that, so that many slow callers fit.
func (b *ByteBudget) StreamWindow(wide, narrow int) int {
	if b.held <= b.Limit/2 {
		return wide
	}
	return min(wide, narrow)
}
