package awquarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards rule BUDGET: a request under which three engines have crashed is blocked
// itself, at whichever entry its caller sends it again, and the part that it shares
// with sound requests is not.
func TestRequestThatCrashesEnginesIsBlocked(t *testing.T) {
	f, other := newFixture(), newFixture()
	for n := range 3 {
		require.False(t, f.blocked("shared", "deadly"))
		engine := fmt.Sprint("e", n)
		f.crash(engine, "deadly", "shared")
		f.crash(engine, fmt.Sprint("sound", n), "shared")
	}
	require.True(t, f.blocked("shared", "deadly"))
	require.True(t, f.blocked("deadly"), "also without other parts")
	require.False(t, f.blocked("shared", "another"))
	other.Merge(f.TakePending())
	require.True(t, other.blocked("shared", "deadly"))
	started := newFixture()
	started.Merge(f.Digest())
	require.True(t, started.blocked("shared", "deadly"), "at an entry that has started since")
}

// Guards against a deadly request that goes on because its other parts have been
// shown to be sound.
func TestSoundPartsDoNotClearRequest(t *testing.T) {
	f := newFixture()
	for n := range 3 {
		f.crash(fmt.Sprint("e", n), "deadly", "shared")
		f.RecordSound("sound", []string{"shared"})
	}
	require.True(t, f.blocked("shared", "deadly"))
}

// Guards against sessions that are refused because their requests ran on several
// engines that crashed for other reasons.
func TestSoundRequestIsNotBlocked(t *testing.T) {
	for name, play := range map[string]func(f *fixture){
		"answered between the crashes": func(f *fixture) {
			for n := range 6 {
				f.crash(fmt.Sprint("e", n), "session", "a")
				if n%2 == 1 {
					f.clock.Advance(time.Second)
					f.RecordSound("session", []string{"a"})
				}
			}
		},
		"answered after them": func(f *fixture) {
			for n := range 3 {
				f.crash(fmt.Sprint("e", n), "session")
			}
			f.clock.Advance(time.Second)
			f.RecordSound("session", nil)
		},
		"several engines at once": func(f *fixture) {
			now := f.clock.Now()
			for n := range 5 {
				f.RecordCrash(Crash{Engine: fmt.Sprint("e", n), Request: "session", Sent: now.Add(-time.Second), At: now})
			}
		},
		"beside a deadly part": func(f *fixture) {
			for n := range 3 {
				f.crash(fmt.Sprint("e", n), "session", "a")
				f.crash(fmt.Sprint("e", n), fmt.Sprint("dead", n), "dead")
			}
			f.crash("e3", "dead3", "dead")
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			play(f)
			require.False(t, f.blocked("a", "session"))
		})
	}
}

// Guards rule BUDGET: while messages between entries are lost, engines crash for
// other reasons and entries start anew, a deadly request reaches no engine later
// than some messages after its fifth crash, and sound ones are served.
func TestLoadWithDeadlyRequest(t *testing.T) {
	const settle = 3 * time.Second // digests replace the messages that are lost
	for name, disturb := range disturbances {
		for _, fleet := range []struct {
			entries, engines int
			perSecond, share float64
			seeds            uint64
		}{{5, 9, 60, 0.03, 10}, {5, 9, 60, 0.2, 10}, {14, 30, 200, 0.03, 2}} {
			t.Run(fmt.Sprintf("%s/%d/%g", name, fleet.engines, fleet.share), func(t *testing.T) {
				t.Parallel()
				for seed := range fleet.seeds {
					l := newLoad(seed, fleet.entries, fleet.engines, fleet.perSecond, fleet.share)
					l.deadlyRequest = "deadly"
					l.play(settle, disturb)
					t.Logf("seed %d: %d crashes, %d late, %d sound ones refused", seed, len(l.crashes["deadly"]), l.late["deadly"], l.soundRefused)
					require.Zero(t, l.late["deadly"], "seed %d", seed)
					require.LessOrEqual(t, l.soundRefused, 5+l.sent/500, "seed %d", seed)
				}
			})
		}
	}
}
