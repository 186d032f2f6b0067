package awagent

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/io/awstore"
)

// Guards against all agents announcing themselves to the same few entries.
func TestAnnouncementsSpreadOverEntries(t *testing.T) {
	const entries, agents = 39, 730 // one tenth of the design size
	var list []awstore.Instance
	for i := range entries {
		list = append(list, awstore.Instance{ID: fmt.Sprintf("entry-%d", i), Role: "entry"})
	}
	list = append(list, awstore.Instance{ID: "leaving", Role: "entry", Leaving: true}, awstore.Instance{ID: "other", Role: "agent"})
	got := map[string]int{}
	for i := range agents {
		for _, in := range rankEntries(fmt.Sprintf("agent-%d", i), list)[:maxAnnounceTargets] {
			got[in.ID]++
		}
	}
	require.Len(t, got, entries)
	mean := float64(agents*maxAnnounceTargets) / entries
	for id, n := range got {
		require.Less(t, float64(n), 2*mean, id)
	}
}
