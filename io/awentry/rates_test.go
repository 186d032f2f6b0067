package awentry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awconfig"
	"arbutuswind/io/awstore"
)

// A team's rate is divided between entries by demand, and the shares must not
// exceed the rate in total.
func TestRatesAreShared(t *testing.T) {
	b := newTestbed(t)
	var entries []*Entry
	for i := range 3 {
		entries = append(entries, b.entry(fmt.Sprintf("entry-%d", i), "north", b.url, awclock.System{}))
	}
	s := awconfig.NewState()
	s.Revision = 1
	s.Teams["kitchen"] = awconfig.Team{RequestsPerSecond: 300}
	for _, e := range entries {
		require.NoError(t, e.holder.Replace(s))
		b.run(e)
	}
	share := func(i int) float64 {
		entries[i].mu.Lock()
		defer entries[i].mu.Unlock()
		return entries[i].rates.Share("kitchen")
	}
	// Only the first entry has demand, above the limit of the team.
	demand := func() {
		for range 20 {
			_ = entries[0].admitTeam("kitchen")
		}
		_, _ = entries[1].admitTeam("kitchen"), entries[2].admitTeam("kitchen")
	}
	require.Eventually(t, func() bool {
		demand()
		return share(0) > 0.75*300 && share(0)+share(1)+share(2) < 1.1*300
	}, testTimeout, 10*time.Millisecond)
}

// Guards against pairs of entries that never exchange counters, and against an
// unbounded number of exchanges.
func TestRateExchangeCoversEveryPair(t *testing.T) {
	for _, n := range []int{2, 3, 17, 60} {
		pairs := map[[2]string]bool{}
		for i := range n {
			self := fmt.Sprintf("e%02d", i)
			var peers []awstore.Instance
			for j := range n {
				if j != i {
					peers = append(peers, awstore.Instance{ID: fmt.Sprintf("e%02d", j)})
				}
			}
			for round := range n {
				called := rateExchangePeers(peers, self, round)
				require.LessOrEqual(t, len(called), rateExchangeFanout)
				for _, p := range called {
					pairs[[2]string{min(self, p.ID), max(self, p.ID)}] = true
				}
			}
		}
		require.Len(t, pairs, n*(n-1)/2)
	}
}
