package awdirectory

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards rule VERSION: the deadline of a version that is forgotten before it is due
// because later ones have been named.
func TestDeadlinesOfManyVersions(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		versions int
		interval time.Duration
	}{{5, 1600 * time.Millisecond}, {16, time.Second}, {200, 30 * time.Millisecond}, {5000, time.Millisecond}} {
		v := VersionTracker{MaxStaleness: 8 * time.Second}
		for i := range tc.versions {
			require.True(t, v.SetDesired("m", int64(i+2), start.Add(time.Duration(i)*tc.interval)))
			require.LessOrEqual(t, len(v.Floors()["m"]), maxFloors)
		}
		for i := range tc.versions {
			named := start.Add(time.Duration(i) * tc.interval)
			if last := start.Add(time.Duration(tc.versions-1) * tc.interval); named.Add(v.MaxStaleness).After(last) {
				require.GreaterOrEqual(t, FloorAt(v.Floors()["m"], named.Add(v.MaxStaleness)), int64(i+2), "%d versions", tc.versions)
				require.GreaterOrEqual(t, BeginFloorAt(v.Floors()["m"], named.Add(v.MaxStaleness)), int64(i+2), "%d versions", tc.versions)
			}
		}
		require.Zero(t, FloorAt(v.Floors()["m"], start.Add(v.MaxStaleness-startMargin-time.Second/10)), "not before the first is due")
	}
}

// Guards rule VERSION: whichever versions are named and whichever of their times are
// corrected, the floors that are kept allow what all of them would allow from then on.
func TestKeptFloorsAllowWhatAllWould(t *testing.T) {
	const model = "m"
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 9))
		v := VersionTracker{MaxStaleness: 8 * time.Second}
		all := map[int64]time.Time{} // since when each version is desired
		now := time.Unix(1000, 0)
		for range 60 {
			now = now.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
			if rng.IntN(4) > 0 {
				version := v.Desired(model) + 1 + rng.Int64N(3)
				v.SetDesired(model, version, now)
				all[version] = now
			} else {
				since := map[int64]time.Time{}
				for range rng.IntN(4) {
					version := 1 + rng.Int64N(v.Desired(model)+1)
					at := now.Add(-time.Duration(rng.IntN(12000)) * time.Millisecond)
					if known, ok := all[version]; version <= v.Desired(model) && (!ok || at.Before(known)) {
						since[version], all[version] = at, at
					}
				}
				v.SetDesiredSince(model, since, now)
			}
			for range 10 {
				at := now.Add(time.Duration(rng.IntN(12000)) * time.Millisecond)
				var floor, beginFloor int64
				for version, since := range all {
					f := newFloor(version, since, v.MaxStaleness)
					if !at.Before(f.From) {
						floor = max(floor, version)
					}
					if !at.Before(f.BeginBy) {
						beginFloor = max(beginFloor, version)
					}
				}
				require.Equal(t, floor, FloorAt(v.Floors()[model], at), "seed %d", seed)
				require.Equal(t, beginFloor, BeginFloorAt(v.Floors()[model], at), "seed %d", seed)
			}
		}
	}
}

// Guards rule VERSION at a start: the version that was found counts as desired for long
// until its recorded time is known, and must not hide the deadlines of earlier ones.
func TestRecordedTimesOfAllVersionsApply(t *testing.T) {
	start := time.Unix(1000, 0)
	v := VersionTracker{MaxStaleness: 8 * time.Second}
	v.SetDesired("m", 5, UnknownSince(start, v.MaxStaleness, 3*time.Second))
	v.SetDesiredSince("m", map[int64]time.Time{2: start.Add(-6 * time.Second), 4: start.Add(-3 * time.Second), 5: start.Add(-time.Second)}, start)
	for after, want := range map[time.Duration]int64{0: 0, 2 * time.Second: 2, 4 * time.Second: 4, 6 * time.Second: 5} {
		require.Equal(t, want, FloorAt(v.Floors()["m"], start.Add(after)), after)
	}
}
