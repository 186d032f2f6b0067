package awweights

import "time"

// LoadDelay returns the time from when a version becomes the desired one until
// the process at the given rank of n tells its engine to load it. The delays differ so that the
// engines do not all stop serving at once. They are spread evenly from earliest,
// when the first processes hold the version, to limit minus reserve, which is
// the time left for the load itself.
func LoadDelay(rank, n int, earliest, limit, reserve time.Duration) time.Duration {
	window := limit - reserve - earliest
	if window <= 0 || n <= 1 {
		return min(earliest, max(0, limit-reserve))
	}
	return earliest + window*time.Duration(rank)/time.Duration(n-1)
}

// minFinishShare is the share of the chunks of an older version that must be held
// for the change to it to be finished.
const minFinishShare = 0.5

// Change is a change of an engine to a version while a newer one has been named.
type Change struct {
	HeldShare float64 // share of the chunks of the older of the two that are held
	// UsableFor is the time for which the engine may still start requests on the
	// weights it has; 0 if it has none.
	UsableFor time.Duration
	// NewerIn is the time after which the engine can serve the newer version.
	NewerIn time.Duration
}

// ShouldFinish reports whether to finish the change to the older version first.
// If all engines skip it, and the newer version comes after the limit of the
// weights they have, none of them serves in between.
func (c Change) ShouldFinish() bool {
	return c.HeldShare >= minFinishShare && c.NewerIn > c.UsableFor
}
