package awdirectory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// Guards against a version that is named before the last one is everywhere:
// it must not extend the time for which weights older than that may serve.
func TestEachVersionHasItsOwnBound(t *testing.T) {
	v := VersionTracker{MaxStaleness: 8 * time.Second}
	require.True(t, v.SetDesired("m", 2, start))
	require.True(t, v.SetDesired("m", 3, start.Add(3*time.Second)))
	require.False(t, v.SetDesired("m", 2, start.Add(4*time.Second)), "an older version named again changes nothing")
	require.Equal(t, int64(3), v.Desired("m"))
	floors := v.Floors()["m"]
	for _, tc := range []struct {
		after time.Duration
		floor int64
	}{{6 * time.Second, 0}, {8 * time.Second, 2}, {11 * time.Second, 3}} {
		require.Equal(t, tc.floor, FloorAt(floors, start.Add(tc.after)), "after %s", tc.after)
	}
}

// Guards against a process that starts after the naming of a version and knows
// only that one: the bound of the version before must hold for it, too.
func TestBoundOfTheVersionBefore(t *testing.T) {
	v := VersionTracker{MaxStaleness: 8 * time.Second}
	require.True(t, v.SetDesired("m", 3, start))
	v.SetDesiredSince("m", 2, start.Add(-9*time.Second))
	require.Equal(t, int64(3), v.Desired("m"))
	floors := v.Floors()["m"]
	require.Equal(t, int64(2), FloorAt(floors, start))
	require.Equal(t, int64(3), FloorAt(floors, start.Add(8*time.Second)))
	v.SetDesiredSince("m", 3, start.Add(-time.Second))
	require.Equal(t, int64(3), FloorAt(v.Floors()["m"], start.Add(6*time.Second)))
}

// Guards against entries that lapsed while the store was away: a backend
// server that reaches the store is back soon, one that is not must get nothing
// after that.
func TestEntriesThatLapseWithTheStore(t *testing.T) {
	tab := NewTable()
	tab.Put(Server{ID: "a"})
	tab.Put(Server{ID: "b"})
	tab.Put(Server{ID: "c", Draining: true})
	tab.MarkStoreUnavailable(start)
	now := start.Add(4 * time.Second)
	tab.MarkStoreAvailable(now)
	tab.Replace(nil, now)
	require.Len(t, tab.Servers(), 2, "a leaving backend server is gone at once")
	tab.Put(Server{ID: "a"})
	require.True(t, tab.Expire(now.Add(ReregistrationGrace)))
	require.Equal(t, []Server{{ID: "a"}}, tab.Servers())
}

// Guards DRAIN: a backend server that leaves without a notice has its entry
// removed. It must get nothing two seconds after that, although the store, or
// the way to it, was away shortly before; the list is read three quarters of a
// second apart.
func TestEntriesThatAreRemoved(t *testing.T) {
	const bound, read = 2 * time.Second, 750 * time.Millisecond
	for name, away := range map[string]time.Duration{"never away": 0, "one failed read": lapseAfter / 2, "outage": 10 * time.Second} {
		t.Run(name, func(t *testing.T) {
			tab := NewTable()
			tab.Put(Server{ID: "a"})
			now := start
			if away > 0 {
				tab.MarkStoreUnavailable(now)
				now = now.Add(away)
			}
			tab.MarkStoreAvailable(now) // this read still had it
			removed := now
			tab.Remove("a", now.Add(read))
			if away < lapseAfter {
				require.Empty(t, tab.Servers(), "at once")
			}
			tab.Expire(removed.Add(bound - read))
			require.Empty(t, tab.Servers())
		})
	}
}

// Guards against requests that take the route of a shorter prefix, of another
// host, or of a prefix that ends inside a path segment.
func TestLongestPrefixOfTheHost(t *testing.T) {
	c := (&Config{Routes: []Route{
		{Name: "short", Host: "A.example", Prefix: "/x/", Targets: []Target{{Service: "s", Weight: 1}}},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
	}}).Index()
	require.Equal(t, "long", c.Route("a.example", "/x/y/z").Name)
	require.Equal(t, "short", c.Route("a.Example", "/x/yy").Name)
	require.Nil(t, c.Route("a.example", "/x"))
	require.Nil(t, c.Route("b.example", "/x/y/"))
	require.Equal(t, "s", c.Routes[0].PickService(0.99))
}

// Guards against requests of a split route that all go to one service.
func TestSplitFollowsWeights(t *testing.T) {
	r := Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	require.Equal(t, "a", r.PickService(0.89))
	require.Equal(t, "b", r.PickService(0.91))
}
