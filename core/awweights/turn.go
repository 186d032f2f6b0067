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
