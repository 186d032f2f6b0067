package awdirectory

import (
	"cmp"
	"slices"
	"time"
)

// Floor is a version of a model's weights and the time from which no request
// may begin on an older one.
type Floor struct {
	Version int64
	From    time.Time
}

// VersionTracker knows which weights operators want and until when older ones may
// begin requests. It is not safe for concurrent use.
type VersionTracker struct {
	// MaxStaleness is the time from the naming of a version until no request may
	// begin on an older one.
	MaxStaleness time.Duration
	models       map[string][]Floor // in the order of their versions
}

const (
	// beginMargin covers the wait of a request inside an engine before it
	// begins and the time after which this process learned of the version.
	beginMargin = time.Second
	// keepFloors is how many versions of a model are remembered.
	keepFloors = 4
)

// SetDesired notes a version that operators have named. It returns false for one
// that is known or older than the last. Each version has a bound of its own:
// a later one does not extend that of the one before.
func (v *VersionTracker) SetDesired(model string, version int64, now time.Time) bool {
	if version <= v.Desired(model) {
		return false
	}
	if v.models == nil {
		v.models = map[string][]Floor{}
	}
	list := append(v.models[model], Floor{Version: version, From: now.Add(max(0, v.MaxStaleness-beginMargin))})
	v.models[model] = list[max(0, len(list)-keepFloors):]
	return true
}

// SetDesiredSince corrects the time at which a version was named. An older version
// than the one wanted may be new to this process, which started after it was
// replaced; its bound still holds.
func (v *VersionTracker) SetDesiredSince(model string, version int64, at time.Time) {
	if version > v.Desired(model) {
		return
	}
	list := v.models[model]
	i, known := slices.BinarySearchFunc(list, version, func(f Floor, version int64) int { return cmp.Compare(f.Version, version) })
	if !known {
		list = slices.Insert(list, i, Floor{Version: version})
	}
	list[i].From = at.Add(max(0, v.MaxStaleness-beginMargin))
	v.models[model] = list[max(0, len(list)-keepFloors):]
}

// Floors returns the floors of each model, in the order of their versions.
func (v *VersionTracker) Floors() map[string][]Floor {
	out := make(map[string][]Floor, len(v.models))
	for model, list := range v.models {
		out[model] = append([]Floor(nil), list...)
	}
	return out
}

// Desired returns the version of a model that operators have named last, or 0.
func (v *VersionTracker) Desired(model string) int64 {
	list := v.models[model]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].Version
}

// FloorAt returns the oldest version that may begin a request at a time.
func FloorAt(list []Floor, now time.Time) int64 {
	floor := int64(0)
	for _, f := range list {
		if !now.Before(f.From) {
			floor = f.Version
		}
	}
	return floor
}
