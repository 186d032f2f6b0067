package awdirectory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards rule DRAIN when the store comes back from an older copy: its entries must not
// take a start back into use that is leaving or has left.
func TestOlderListTakesNothingBack(t *testing.T) {
	ready := func(id string, started int64) Server { return Server{ID: id, StartUnixMs: started} }
	draining := ready("leaving", 1)
	draining.Draining = true
	table := NewTable()
	table.Replace([]Server{draining, ready("left", 1), ready("staying", 1), ready("new", 1)}, start)
	table.Remove("left", start)

	until := start.Add(10 * time.Second)
	table.Distrust(start, until)
	table.Replace([]Server{ready("leaving", 1), ready("left", 1), ready("staying", 1)}, start)
	state := func() map[string]bool {
		usable := map[string]bool{}
		for _, s := range table.Servers() {
			usable[s.ID] = !s.Draining
		}
		return usable
	}
	require.Equal(t, map[string]bool{"leaving": false, "left": false, "staying": true, "new": true}, state(), "the copy lacks the newest one")
	table.Put(ready("new", 1)) // written again
	table.Put(ready("left", 2))
	table.Expire(until.Add(-time.Millisecond))
	require.Equal(t, map[string]bool{"leaving": false, "left": true, "staying": true, "new": true}, state(), "a new start is another server")
	require.True(t, table.Expire(until))
	require.True(t, state()["leaving"], "it still says that it is ready")
	table.Put(draining)
	table.Put(ready("leaving", 1))
	require.True(t, state()["leaving"], "otherwise the newest entry counts")
}
