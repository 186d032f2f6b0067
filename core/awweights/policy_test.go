package awweights_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutuswind/core/awweights"
)

// Guards against one designated fetcher with more than its share, which
// decides when its region is complete, and against ranks that differ between
// agents.
func TestDutiesAreEvenAndAgreed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, awweights.PanelSize).Draw(t, "panel")
		chunks := rapid.IntRange(1, 300).Draw(t, "chunks")
		var panel []string
		for i := range n {
			panel = append(panel, fmt.Sprintf("agent-%d", i))
		}
		d := awweights.AssignDuties("digest", chunks, panel)
		first := map[string]int{}
		for i := range chunks {
			ranks := map[int]bool{}
			for _, id := range panel {
				before, ok := d.Before(i, id)
				require.True(t, ok)
				ranks[len(before)] = true
				if len(before) == 0 {
					first[id]++
				}
			}
			require.Len(t, ranks, n, "each rank belongs to one agent")
		}
		for id, k := range first {
			require.LessOrEqual(t, k, (chunks+n-1)/n, id)
		}
		_, ok := d.Before(0, "stranger")
		require.False(t, ok)
	})
}

// Guards against a transfer that starts although the memory cannot take it.
func TestMemoryPlan(t *testing.T) {
	for _, c := range []struct {
		m    awweights.Memory
		want awweights.MemoryPlan
	}{
		{awweights.Memory{Total: 100, Old: 40, New: 40, Running: 20}, awweights.Beside},
		{awweights.Memory{Total: 100, Old: 41, New: 40, Running: 20}, awweights.Drained},
		{awweights.Memory{Total: 100, Old: 0, New: 81, Running: 20}, awweights.NoRoom},
	} {
		require.Equal(t, c.want, c.m.Plan(), "%+v", c.m)
	}
}

// Guards against weights that starve live requests, against uploads without
// a bound, and against a region that waits behind another one's exchange.
func TestYieldAndSlots(t *testing.T) {
	require.Equal(t, 1.0, awweights.YieldShare(0, 64))
	require.Equal(t, 0.25, awweights.YieldShare(64, 64))
	require.Less(t, awweights.YieldShare(48, 64), awweights.YieldShare(16, 64))
	s := awweights.NewSlots(2)
	require.True(t, s.Acquire(true))
	require.True(t, s.Acquire(true))
	require.False(t, s.Acquire(true))
	require.True(t, s.Acquire(false))
	s.Release(true)
	require.True(t, s.Acquire(true))
}

// Guards against regions that each read the origin when the store's region
// has no replica.
func TestHomeRegion(t *testing.T) {
	require.Equal(t, "north", awweights.HomeRegion("north", []string{"south", "north"}))
	require.Equal(t, "middle", awweights.HomeRegion("north", []string{"south", "middle"}))
}
