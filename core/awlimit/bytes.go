package awlimit

// ByteBudget limits the bytes that an entry buffers for callers: request bodies,
// stream windows and responses that are collected before they are sent. It is
// not safe for concurrent use.
type ByteBudget struct {
	Limit int // maximum number of reserved bytes
	held  int
}

// Reserve reserves n bytes. It returns false, and reserves nothing, if that would
// exceed the limit.
func (b *ByteBudget) Reserve(n int) bool {
	if n > b.Limit-b.held {
		return false
	}
	b.held += n
	return true
}

// Release frees n reserved bytes.
func (b *ByteBudget) Release(n int) { b.held -= n }

// Held returns the number of reserved bytes.
func (b *ByteBudget) Held() int { return b.held }

// StreamWindow returns the window size for a new stream: wide while at least half
// of the limit is free, and the smaller of the two after that, so that many
// slow callers fit.
func (b *ByteBudget) StreamWindow(wide, narrow int) int {
	if b.held <= b.Limit/2 {
		return wide
	}
	return min(wide, narrow)
}
