package awdirectory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// Guards against extending the deadline of a version when a newer version is set
// before the previous one is in use everywhere.
func TestEachVersionHasItsOwnDeadline(t *testing.T) {
	v := VersionTracker{MaxStaleness: 8 * time.Second}
	require.True(t, v.SetDesired("m", 2, start))
	require.True(t, v.SetDesired("m", 3, start.Add(3*time.Second)))
	require.False(t, v.SetDesired("m", 2, start.Add(4*time.Second)), "setting an older version again has no effect")
	require.Equal(t, int64(3), v.Desired("m"))
	floors := v.Floors()["m"]
	for _, tc := range []struct {
		after time.Duration
		floor int64
	}{{6 * time.Second, 0}, {8 * time.Second, 2}, {11 * time.Second, 3}} {
		require.Equal(t, tc.floor, FloorAt(floors, start.Add(tc.after)), "after %s", tc.after)
	}
}

// Guards against ignoring the deadline of the previous version in a process that
// started after that version was replaced and knows only the current one.
func TestDeadlineOfPreviousVersion(t *testing.T) {
	v := VersionTracker{MaxStaleness: 8 * time.Second}
	require.True(t, v.SetDesired("m", 3, start))
	v.SetDesiredSince("m", map[int64]time.Time{2: start.Add(-9 * time.Second)}, start)
	require.Equal(t, int64(3), v.Desired("m"))
	floors := v.Floors()["m"]
	require.Equal(t, int64(2), FloorAt(floors, start))
	require.Equal(t, int64(3), FloorAt(floors, start.Add(8*time.Second)))
	v.SetDesiredSince("m", map[int64]time.Time{3: start.Add(-time.Second)}, start)
	require.Equal(t, int64(3), FloorAt(v.Floors()["m"], start.Add(6*time.Second)))
}

// Checks servers whose registrations lapsed during an outage of the store: they
// are kept until they have had time to register again, and removed if they have
// not done so.
func TestServersThatLapseDuringStoreOutage(t *testing.T) {
	table := NewTable()
	table.Put(Server{ID: "a"})
	table.Put(Server{ID: "b"})
	table.Put(Server{ID: "c", Draining: true})
	table.MarkStoreUnavailable(start)
	now := start.Add(4 * time.Second)
	table.MarkStoreAvailable(now)
	table.Replace(nil, now)
	require.Len(t, table.Servers(), 2, "a draining backend server is removed immediately")
	table.Put(Server{ID: "a"})
	require.True(t, table.Expire(now.Add(ReregistrationGrace)))
	require.Equal(t, []Server{{ID: "a"}}, table.Servers())
}

// Checks the DRAIN property: a backend server that leaves without notice must
// receive no requests two seconds after its registration is removed, even if the
// store was unreachable shortly before. The list is read every 750 ms.
func TestRemovedServersAreDropped(t *testing.T) {
	const maxDelay, readInterval = 2 * time.Second, 750 * time.Millisecond
	for name, outage := range map[string]time.Duration{"no outage": 0, "one failed read": minLapsingOutage / 2, "outage": 10 * time.Second} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			table.Put(Server{ID: "a"})
			now := start
			if outage > 0 {
				table.MarkStoreUnavailable(now)
				now = now.Add(outage)
			}
			table.MarkStoreAvailable(now) // this read still included the server
			removedAt := now
			table.Remove("a", now.Add(readInterval))
			if outage < minLapsingOutage {
				require.Empty(t, table.Servers(), "not removed immediately")
			}
			table.Expire(removedAt.Add(maxDelay - readInterval))
			require.Empty(t, table.Servers())
		})
	}
}

// Guards against matching a route with a shorter prefix, with another host, or
// with a prefix that ends inside a path segment.
func TestRouteMatchesLongestPrefixOfHost(t *testing.T) {
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

// Guards against sending all requests of a split route to one service.
func TestSplitFollowsWeights(t *testing.T) {
	r := Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	require.Equal(t, "a", r.PickService(0.89))
	require.Equal(t, "b", r.PickService(0.91))
}
