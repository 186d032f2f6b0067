package awdirectory

import (
	"cmp"
	"slices"
	"time"
)

// Floor is a version of a model's weights together with the limits for requests on
// older versions.
type Floor struct {
	Version int64
	From    time.Time // from when no request is sent to an older version
	BeginBy time.Time // when a request that an older version has not begun is withdrawn
}

// newFloor returns the floor of a version that became the desired one at a time.
func newFloor(version int64, since time.Time, maxStaleness time.Duration) Floor {
	return Floor{
		Version: version, From: since.Add(max(0, maxStaleness-startMargin)), BeginBy: since.Add(max(0, maxStaleness-withdrawMargin)),
	}
}

// VersionTracker tracks the desired version of each model's weights and how long
// requests may still start on older versions. It is not safe for concurrent use.
type VersionTracker struct {
	// MaxStaleness is the time for which requests may still start on older
	// versions after operators have set a new desired version.
	MaxStaleness time.Duration
	models       map[string][]Floor // by model, sorted by version
}

const (
	// startMargin is subtracted from MaxStaleness for new requests. It covers the
	// time for which most requests wait inside an engine before they start.
	startMargin = time.Second
	// withdrawMargin is subtracted from MaxStaleness for requests that wait inside an
	// engine. It covers the delay until this process learns of the version, and that
	// until the engine learns that a request is withdrawn.
	withdrawMargin = 300 * time.Millisecond
	// maxFloors is the maximum number of floors kept per model. It is reached only if
	// versions are named faster than 30 a second.
	maxFloors = 256
)

// UnknownSince returns since when a version counts as the desired one that a process
// finds at its start. If no other process has recorded it, it may have been set at
// any time while none ran. Its limit must hold as soon as the process must keep to
// any, a time stable after its start.
func UnknownSince(start time.Time, maxStaleness, stable time.Duration) time.Time {
	return start.Add(min(0, stable-maxStaleness))
}

// SetDesired sets the desired version of a model. It returns false, and changes
// nothing, if the version is not newer than the current one. Each version has
// its own deadline; a later version does not extend that of an earlier one.
func (v *VersionTracker) SetDesired(model string, version int64, now time.Time) bool {
	if version <= v.Desired(model) {
		return false
	}
	if v.models == nil {
		v.models = map[string][]Floor{}
	}
	v.models[model] = pruneFloors(append(v.models[model], newFloor(version, now, v.MaxStaleness)), now)
	return true
}

// SetDesiredSince corrects the times at which versions became the desired ones. It
// also adds versions older than the desired one, which this process does not
// know if it started after they were replaced; their deadlines still apply. It
// ignores versions newer than the desired one.
func (v *VersionTracker) SetDesiredSince(model string, since map[int64]time.Time, now time.Time) {
	list, desired := v.models[model], v.Desired(model)
	for version, at := range since {
		if version > desired {
			continue
		}
		i, known := slices.BinarySearchFunc(list, version, func(f Floor, version int64) int { return cmp.Compare(f.Version, version) })
		if !known {
			list = slices.Insert(list, i, Floor{})
		}
		list[i] = newFloor(version, at, v.MaxStaleness)
	}
	if desired > 0 {
		v.models[model] = pruneFloors(list, now)
	}
}

// pruneFloors removes the floors that a newer one makes needless from now on: whenever
// they apply, the newer one does too. No other deadline is given up. If more than
// maxFloors remain, the nearest ones are merged into the newer version with the earlier
// deadline. list must be sorted by version.
func pruneFloors(list []Floor, now time.Time) []Floor {
	later := func(a, b time.Time) time.Time {
		if a.After(b) {
			return a
		}
		return b
	}
	var kept []Floor // newest first
	for _, f := range slices.Backward(list) {
		if n := len(kept); n > 0 && !kept[n-1].From.After(later(f.From, now)) && !kept[n-1].BeginBy.After(later(f.BeginBy, now)) {
			continue
		}
		kept = append(kept, f)
	}
	for len(kept) > maxFloors {
		nearest := 1
		for i := 2; i < len(kept); i++ {
			if gap(kept, i) < gap(kept, nearest) {
				nearest = i
			}
		}
		kept[nearest].Version = kept[nearest-1].Version
		kept = slices.Delete(kept, nearest-1, nearest)
	}
	slices.Reverse(kept)
	return kept
}

// gap returns how much later the floor before i applies; floors are newest first.
func gap(floors []Floor, i int) time.Duration { return floors[i-1].From.Sub(floors[i].From) }

// Floors returns the floors by model, in the order of their versions.
func (v *VersionTracker) Floors() map[string][]Floor {
	out := make(map[string][]Floor, len(v.models))
	for model, list := range v.models {
		out[model] = append([]Floor(nil), list...)
	}
	return out
}

// Desired returns the desired version of a model, or 0 if none has been set.
func (v *VersionTracker) Desired(model string) int64 {
	list := v.models[model]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].Version
}

// FloorAt returns the oldest version to which a request may be sent at the given
// time, or 0 if all versions are allowed. list must be sorted by version.
func FloorAt(list []Floor, now time.Time) int64 {
	return newest(list, func(f Floor) bool { return !now.Before(f.From) })
}

// BeginFloorAt returns the oldest version on which a request that was sent earlier
// may still begin at the given time, or 0 if all versions are allowed. list must be
// sorted by version.
func BeginFloorAt(list []Floor, now time.Time) int64 {
	return newest(list, func(f Floor) bool { return !now.Before(f.BeginBy) })
}

// newest returns the newest version that is in force, or 0 if none is.
func newest(list []Floor, inForce func(Floor) bool) int64 {
	version := int64(0)
	for _, f := range list {
		if inForce(f) {
			version = f.Version
		}
	}
	return version
}
