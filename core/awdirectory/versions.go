package awdirectory

import (
	"cmp"
	"slices"
	"time"
)

// Floor is a version of a model's weights together with the time from which no
// request may start on an older version.
type Floor struct {
	Version int64
	From    time.Time
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
	// startMargin is subtracted from MaxStaleness. It covers the time for which a
	// request waits inside an engine before it starts, and the delay until this
	// process learns of the version.
	startMargin = time.Second
	// maxFloors is the maximum number of versions kept per model.
	maxFloors = 4
)

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
	list := append(v.models[model], Floor{Version: version, From: now.Add(max(0, v.MaxStaleness-startMargin))})
	v.models[model] = list[max(0, len(list)-maxFloors):]
	return true
}

// SetDesiredSince corrects the time at which a version became the desired one. It
// also adds versions older than the desired one, which this process does not
// know if it started after they were replaced; their deadlines still apply. It
// ignores versions newer than the desired one.
func (v *VersionTracker) SetDesiredSince(model string, version int64, at time.Time) {
	if version > v.Desired(model) {
		return
	}
	list := v.models[model]
	i, known := slices.BinarySearchFunc(list, version, func(f Floor, version int64) int { return cmp.Compare(f.Version, version) })
	if !known {
		list = slices.Insert(list, i, Floor{Version: version})
	}
	list[i].From = at.Add(max(0, v.MaxStaleness-startMargin))
	v.models[model] = list[max(0, len(list)-maxFloors):]
}

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

// FloorAt returns the oldest version on which a request may start at the given
// time, or 0 if all versions are allowed. list must be sorted by version.
func FloorAt(list []Floor, now time.Time) int64 {
	floor := int64(0)
	for _, f := range list {
		if !now.Before(f.From) {
			floor = f.Version
		}
	}
	return floor
}
