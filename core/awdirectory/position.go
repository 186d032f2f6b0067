package awdirectory

// Position is a place in the history of a store. A store that comes back from an older
// copy begins a new era, in which versions of the one before are given out again, so that
// a version alone does not tell what a reader has seen.
type Position struct {
	Era     uint64 // 0 if it is not known, or the store has none
	Version uint64
}

// IsZero reports whether nothing has been read.
func (p Position) IsZero() bool { return p == Position{} }

// After reports whether p is later than other.
func (p Position) After(other Position) bool {
	if p.Era != other.Era {
		return p.Era > other.Era
	}
	return p.Version > other.Version
}
