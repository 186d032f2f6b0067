package awweights

import "time"

// LoadDelay returns how long after a version was named the process at the given
// rank of n gives its engine the order to load, so that the engines do not
// stop all at once. The turns are spread between earliest, when the first
// processes hold the version, and the time that leaves reserve until bound.
func LoadDelay(rank, n int, earliest, limit, reserve time.Duration) time.Duration {
	window := limit - reserve - earliest
	if window <= 0 || n <= 1 {
		return min(earliest, max(0, limit-reserve))
	}
	return earliest + window*time.Duration(rank)/time.Duration(n-1)
}
