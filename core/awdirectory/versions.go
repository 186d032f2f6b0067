package awdirectory

import "time"

// named is a version of a model's weights that operators have named.
type named struct {
	version int64
	at      time.Time // when this process learned of it
	floor   int64     // oldest version that may still begin a request
}

// Versions knows which weights operators want and until when older ones may
// begin requests. It is not safe for concurrent use.
type Versions struct {
	// Bound is the time from the naming of a version until no request may
	// begin on an older one.
	Bound  time.Duration
	models map[string]*named
}

// beginMargin covers the wait of a request inside an engine before it begins
// and the time after which this process learned of the version.
const beginMargin = 1500 * time.Millisecond

// Name notes a version that operators have named; an older one than known is
// ignored.
func (v *Versions) Name(model string, version int64, now time.Time) {
	if v.models == nil {
		v.models = map[string]*named{}
	}
	n := v.models[model]
	if n == nil {
		n = &named{}
		v.models[model] = n
	}
	if version > n.version {
		n.floor = n.expired(now, v.Bound)
		n.version, n.at = version, now
	}
}

func (n *named) expired(now time.Time, bound time.Duration) int64 {
	if n.version > 0 && now.Sub(n.at) >= bound-beginMargin {
		return n.version
	}
	return n.floor
}

// Floor returns the oldest version of each model that may begin a request now.
func (v *Versions) Floor(now time.Time) map[string]int64 {
	out := make(map[string]int64, len(v.models))
	for model, n := range v.models {
		n.floor = n.expired(now, v.Bound)
		out[model] = n.floor
	}
	return out
}

// Wanted returns the version of a model that operators have named last, or 0.
func (v *Versions) Wanted(model string) int64 {
	if n := v.models[model]; n != nil {
		return n.version
	}
	return 0
}
