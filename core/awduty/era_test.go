package awduty_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awduty"
)

// Guards against a holder that loses the duty, or what it has committed, because the
// store came back from an older copy, and against one that acts on a write that was
// performed for the older era.
func TestHolderWritesAgainInNewEra(t *testing.T) {
	need := awduty.Need{Orders: orderOfReplicas, Overdue: true}
	inEra := func(row, store, version uint64) awduty.Stored {
		return awduty.Stored{Position: awdirectory.Position{Era: row, Version: version}, Era: store}
	}
	for _, result := range []awduty.WriteResult{awduty.WriteDone, awduty.WriteConflict, awduty.WriteOutdated} {
		a := newCandidate("a")
		now := time.Hour
		a.NextStoreCall(now, need)
		a.ReadDone(now, awduty.Row{}, inEra(0, 1, 0), nil)
		now += time.Second
		first, ok := a.NextStoreCall(now, need)
		require.True(t, ok)
		require.Equal(t, awdirectory.Position{Era: 1}, first.Precondition)
		a.WriteDone(now, awduty.WriteDone, inEra(1, 1, 7))
		_, ok = a.NextStoreCall(now, need)
		require.True(t, ok)
		require.False(t, a.WriteDone(now, result, inEra(1, 2, 7)))
		require.True(t, a.LeaseValid(now))
		again, ok := a.NextStoreCall(now, need)
		require.True(t, ok && again.Write)
		require.Equal(t, awdirectory.Position{Era: 2}, again.Precondition)
		require.Zero(t, again.Replaces, "the older row may be gone")
		require.Len(t, again.Row.Pending, 2)
		require.True(t, a.WriteDone(now, awduty.WriteDone, inEra(2, 2, 7)))
		require.True(t, a.LeaseValid(now))

		// After the lease, another instance may have written first.
		a.Hear(now, awduty.Claim{Holder: "a", Incarnation: 1, Token: 1, Position: awdirectory.Position{Era: 3}, Through: 2})
		now += testLease
		read, ok := a.NextStoreCall(now, need)
		require.True(t, ok)
		require.False(t, read.Write)
	}
}

// Guards against a challenger that writes what it read before the store came back from
// an older copy, or that does not wait for the holder's lease then.
func TestChallengerReadsInNewEra(t *testing.T) {
	need := awduty.Need{Orders: orderOfReplicas, Overdue: true}
	row := awduty.Row{Holder: "a", Incarnation: 1, Token: 5, Through: 3}
	for _, token := range []uint64{3, 5} { // of the row in the new era, which is gone again
		b := newCandidate("b")
		found := awduty.Stored{Position: awdirectory.Position{Era: 1, Version: 9}, Era: 1}
		now := time.Hour
		b.NextStoreCall(now, need)
		b.ReadDone(now, row, found, nil)
		now += testLease
		claim := awduty.Claim{Holder: "a", Incarnation: 1, Token: token, Position: awdirectory.Position{Era: 2, Version: 4}, Through: 3}
		b.Hear(now, claim)
		now += testLease
		call, ok := b.NextStoreCall(now, need)
		require.True(t, ok)
		require.False(t, call.Write)
		found.Era = 2
		b.ReadDone(now, row, found, nil)
		claim = awduty.Claim{Holder: "a", Incarnation: 1, Token: 5, Position: found.Position, Through: 3, Age: testLease}
		b.Hear(now, claim)
		_, ok = b.NextStoreCall(now+testLease, need)
		require.False(t, ok)
		call, ok = b.NextStoreCall(now+testLease+testMargin, need)
		require.True(t, ok && call.Write)
		require.Equal(t, awdirectory.Position{Era: 2}, call.Precondition)
		require.Equal(t, found.Position, call.Replaces)
	}
}
