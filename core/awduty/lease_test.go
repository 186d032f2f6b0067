package awduty_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awduty"
)

const testLease, testMargin = 5500 * time.Millisecond, 500 * time.Millisecond

func newCandidate(name string) *awduty.Candidate {
	return awduty.NewCandidate(awduty.Config{Self: name, Incarnation: 1, Lease: testLease, Margin: testMargin, MaxPending: 10})
}

// orderOfReplicas is what a duty with orders of its own would ask for.
func orderOfReplicas(through int64, _ bool) []awduty.Order {
	return []awduty.Order{{ID: through + 1, Body: []byte(`{"desired":3}`)}}
}

// at returns where a row of a store without eras is.
func at(version uint64) awduty.Stored {
	return awduty.Stored{Position: awdirectory.Position{Version: version}}
}

// Guards against two instances that are sure of the lease at once: it counts from
// before the write, however late the response is or the write is found, and a
// challenger waits for the margin too, but not longer than it must.
func TestLeaseDoesNotOverlap(t *testing.T) {
	need := awduty.Need{Orders: orderOfReplicas, Overdue: true}
	for _, lost := range []bool{false, true} {
		a, b := newCandidate("a"), newCandidate("b")
		begin := time.Hour
		_, ok := a.NextStoreCall(begin, need)
		require.True(t, ok)
		a.ReadDone(begin, awduty.Row{}, at(0), nil)
		begin += time.Second
		write, ok := a.NextStoreCall(begin, need)
		require.True(t, ok && write.Write && write.Precondition.IsZero() && write.Row.Token == 1)
		answered := begin + 1900*time.Millisecond
		if lost {
			a.WriteDone(answered, awduty.WriteUnknown, at(0))
			answered += time.Second
			read, ok := a.NextStoreCall(answered, need)
			require.True(t, ok && !read.Write)
			a.ReadDone(answered, write.Row, at(1), nil)
		} else {
			a.WriteDone(answered, awduty.WriteDone, at(1))
		}
		require.True(t, a.LeaseValid(answered))
		require.True(t, a.LeaseValid(begin+testLease-1))
		require.False(t, a.LeaseValid(begin+testLease))

		// The other one reads the row, and is told later when it was written.
		_, ok = b.NextStoreCall(begin+time.Second, need)
		require.True(t, ok)
		b.ReadDone(begin+time.Second, write.Row, at(1), nil)
		_, ok = b.NextStoreCall(begin+testLease+testMargin, need)
		require.False(t, ok, "first seen less than the lease and the margin ago")
		b.Hear(answered, a.Claim(answered))
		_, ok = b.NextStoreCall(begin+testLease+testMargin-1, need)
		require.False(t, ok)
		takeOver, ok := b.NextStoreCall(begin+testLease+testMargin, need)
		require.True(t, ok && takeOver.Write && takeOver.TakeOver)
		require.Equal(t, at(1).Position, takeOver.Precondition)
		require.Equal(t, uint64(2), takeOver.Row.Token)
		require.Equal(t, write.Row.Pending[0], takeOver.Row.Pending[0], "committed orders are kept")
		b.WriteDone(begin+testLease+testMargin, awduty.WriteDone, at(2))
		a.Hear(begin+testLease+testMargin, b.Claim(begin+testLease+testMargin))
		_, held := a.NextCall(begin)
		require.False(t, held, "the first holder knows of the second")
	}
}

// Guards against a holder that ends and is still waited for, or that acts again.
func TestReleasedLease(t *testing.T) {
	need := awduty.Need{Orders: orderOfReplicas, Overdue: true}
	a, b := newCandidate("a"), newCandidate("b")
	now := time.Hour
	_, _ = a.NextStoreCall(now, need)
	a.ReadDone(now, awduty.Row{}, at(0), nil)
	now += time.Second
	write, _ := a.NextStoreCall(now, need)
	a.WriteDone(now, awduty.WriteDone, at(1))
	a.Release()
	_, acts := a.NextCall(now)
	require.False(t, acts)
	_, acts = a.NextStoreCall(now+time.Minute, need)
	require.False(t, acts)
	b.Hear(now, a.Claim(now))
	_, _ = b.NextStoreCall(now, need)
	b.ReadDone(now, write.Row, at(1), nil)
	takeOver, ok := b.NextStoreCall(now+time.Second, need)
	require.True(t, ok && takeOver.Write)
	require.Equal(t, "scale/s/z0", awduty.Subject{Duty: "scale", Name: "s/z0"}.Key())
}

// Guards against a token that falls after the store was set back.
func TestTokenIsAboveAllHeardOf(t *testing.T) {
	need := awduty.Need{Orders: orderOfReplicas, Overdue: true}
	b, now := newCandidate("b"), time.Hour
	b.Hear(now, awduty.Claim{Holder: "a", Token: 9, Position: at(50).Position, Through: 8})
	now += time.Second
	_, ok := b.NextStoreCall(now, need)
	require.True(t, ok)
	b.ReadDone(now, awduty.Row{Holder: "a", Token: 2, Through: 3}, at(20), nil)
	now += testLease + testMargin
	write, ok := b.NextStoreCall(now, need)
	require.True(t, ok && write.Write)
	require.Equal(t, uint64(10), write.Row.Token)
	require.Equal(t, int64(9), write.Row.Through, "orders up to 8 may have been sent")
}

// Guards against a challenger that, after the store was set back, does not wait for
// the lease of a commit that it has heard of since, while orders are open.
func TestNewestCommitIsWaitedForAfterSetBack(t *testing.T) {
	need := awduty.Need{Orders: orderOfReplicas, Overdue: true}
	old := awduty.Row{Holder: "a", Incarnation: 1, Token: 2, Through: 3, Pending: []awduty.Order{{ID: 3}}}
	for _, released := range []bool{false, true} {
		b, begin := newCandidate("b"), time.Hour
		_, ok := b.NextStoreCall(begin, need)
		require.True(t, ok)
		b.ReadDone(begin, old, at(20), nil)
		late := begin + 4*time.Second
		b.Hear(late, awduty.Claim{Holder: "a", Incarnation: 1, Token: 2, Position: at(51).Position, Through: 9, Released: released})
		read, ok := b.NextStoreCall(late, need)
		require.True(t, ok && !read.Write)
		b.ReadDone(late, old, at(20), nil)
		end := late + testLease + testMargin
		if released {
			end = begin + testLease + testMargin
		}
		_, ok = b.NextStoreCall(end-1, need)
		require.False(t, ok, "the commit that was heard of may still be acted on")
		write, ok := b.NextStoreCall(end, need)
		require.True(t, ok && write.Write)
		require.Equal(t, int64(10), write.Row.Through)
		// Order 3 may have been replaced by a late write since; its body is not certain.
		require.Len(t, write.Row.Pending, 1)
		require.Equal(t, int64(10), write.Row.Pending[0].ID)
		b.WriteDone(end, awduty.WriteDone, at(52))
		require.Empty(t, b.TakeDropped())
		require.Equal(t, []int64{3}, b.TakeUnsure())
	}
}

// Guards against taking the row of another holder for the one that was seen before,
// because a store that was set back has given it the same version.
func TestSameVersionOfAnotherRow(t *testing.T) {
	need := awduty.Need{Orders: orderOfReplicas, Overdue: true, Suspect: true}
	for _, other := range []awduty.Row{
		{Holder: "c", Incarnation: 1, Token: 2, Through: 3},
		{Holder: "a", Incarnation: 2, Token: 2, Through: 3},
		{Holder: "a", Incarnation: 1, Token: 3, Through: 3},
	} {
		b, now := newCandidate("b"), time.Hour
		_, _ = b.NextStoreCall(now, need)
		b.ReadDone(now, awduty.Row{Holder: "a", Incarnation: 1, Token: 2, Through: 3}, at(20), nil)
		now += testLease
		need.SuspectSince = now
		_, ok := b.NextStoreCall(now, need)
		require.True(t, ok)
		b.ReadDone(now, other, at(20), nil)
		_, ok = b.NextStoreCall(now+testLease+testMargin-1, need)
		require.False(t, ok, "%+v was first seen less than the lease and the margin ago", other)
		write, ok := b.NextStoreCall(now+testLease+testMargin, need)
		require.True(t, ok && write.Write)
	}
}

// Guards against a holder that gives up against itself: the store names its newest
// version in the response to a write, which another writer may have raised.
func TestVersionOfResponseIsLater(t *testing.T) {
	need := awduty.Need{Orders: orderOfReplicas, Overdue: true}
	a, now := newCandidate("a"), time.Hour
	_, _ = a.NextStoreCall(now, need)
	a.ReadDone(now, awduty.Row{}, at(0), nil)
	now += time.Second
	begin := now
	first, _ := a.NextStoreCall(now, need)
	a.WriteDone(now, awduty.WriteDone, at(8)) // the row has version 7
	now += time.Second
	second, ok := a.NextStoreCall(now, need)
	require.True(t, ok && second.Write)
	a.WriteDone(now, awduty.WriteConflict, at(0))
	read, ok := a.NextStoreCall(now, need)
	require.True(t, ok && !read.Write)
	a.ReadDone(now, first.Row, at(7), nil)
	held, _, token := a.Holding()
	require.True(t, held)
	require.Equal(t, uint64(1), token)
	require.True(t, a.LeaseValid(begin+testLease-1))
	require.False(t, a.LeaseValid(begin+testLease))
	a.Hear(now, awduty.Claim{Holder: "a", Incarnation: 1, Token: 1, Position: at(8).Position, Through: 1}) // from another instance
	now += time.Second
	third, ok := a.NextStoreCall(now, need)
	require.True(t, ok && third.Write)
	require.Equal(t, at(7).Position, third.Precondition)
	require.Equal(t, uint64(1), third.Row.Token)

	// A row of its own that it has replaced since shows that the store was set back.
	a.WriteDone(now, awduty.WriteDone, at(9))
	now += time.Second
	_, _ = a.NextStoreCall(now, need)
	a.WriteDone(now, awduty.WriteConflict, at(0))
	_, _ = a.NextStoreCall(now, need)
	a.ReadDone(now, first.Row, at(7), nil)
	held, _, _ = a.Holding()
	require.False(t, held)
}

// Guards against orders that are shown as dropped before a write without them is
// performed, or again for each attempt.
func TestDroppedOnceWritten(t *testing.T) {
	need := awduty.Need{Orders: orderOfReplicas, Overdue: true}
	for _, lost := range []bool{false, true} {
		a := awduty.NewCandidate(awduty.Config{Self: "a", Incarnation: 1, Lease: testLease, Margin: testMargin, MaxPending: 1})
		now := time.Hour
		_, _ = a.NextStoreCall(now, need)
		a.ReadDone(now, awduty.Row{}, at(0), nil)
		now += time.Second
		first, _ := a.NextStoreCall(now, need)
		a.WriteDone(now, awduty.WriteDone, at(1))
		require.Empty(t, a.TakeDropped())
		now += time.Second
		_, ok := a.NextStoreCall(now, need)
		require.True(t, ok)
		require.Empty(t, a.TakeDropped(), "the write has not been performed")
		a.WriteDone(now, awduty.WriteUnknown, at(0))
		require.Empty(t, a.TakeDropped(), "the write may not have been performed")
		now += time.Second
		_, _ = a.NextStoreCall(now, need)
		a.ReadDone(now, first.Row, at(1), nil)
		require.Empty(t, a.TakeDropped(), "the write has not been performed yet")
		now += time.Second
		again, ok := a.NextStoreCall(now, need)
		require.True(t, ok && again.Write)
		if lost {
			a.WriteDone(now, awduty.WriteUnknown, at(0))
			now += time.Second
			_, _ = a.NextStoreCall(now, need)
			a.ReadDone(now, again.Row, at(2), nil)
		} else {
			a.WriteDone(now, awduty.WriteDone, at(2))
		}
		require.Equal(t, []int64{1}, a.TakeDropped())
		require.Empty(t, a.TakeDropped())
	}
}

// Guards against calls of holders in the order A, B, A within the lease, where B has
// released the row soon after it had taken it over from A.
func TestReleasedRowIsNotTakenBackAtOnce(t *testing.T) {
	need := awduty.Need{Orders: orderOfReplicas, Overdue: true}
	a, b := newCandidate("a"), newCandidate("b")
	begin := time.Hour
	_, _ = a.NextStoreCall(begin, need)
	a.ReadDone(begin, awduty.Row{}, at(0), nil)
	begin += time.Second
	write, _ := a.NextStoreCall(begin, need)
	a.WriteDone(begin, awduty.WriteDone, at(1))
	last := begin + testLease - time.Millisecond
	call, ok := a.NextCall(last)
	require.True(t, ok)
	last += 200 * time.Millisecond // the call may arrive as late as this
	a.Answered(last, call.Order.ID, awduty.Retry, 0)

	b.Hear(begin, a.Claim(begin))
	_, _ = b.NextStoreCall(begin, need)
	b.ReadDone(begin, write.Row, at(1), nil)
	now := begin + testLease + testMargin
	write, ok = b.NextStoreCall(now, need)
	require.True(t, ok && write.Write)
	b.WriteDone(now, awduty.WriteDone, at(2))
	_, ok = b.NextCall(now)
	require.True(t, ok)
	b.Answered(now, 1, awduty.Accepted, 0)
	b.Release()

	a.Hear(now, b.Claim(now))
	_, ok = a.NextStoreCall(now, need)
	require.True(t, ok)
	a.ReadDone(now, write.Row, at(2), nil)
	_, ok = a.NextStoreCall(last+testLease-1, need)
	require.False(t, ok)
	write, ok = a.NextStoreCall(last+testLease, need)
	require.True(t, ok && write.Write)
}

// Guards against a token that falls because another writer has spoilt the row before
// this instance knew its token.
func TestTokenAfterSpoiltRow(t *testing.T) {
	need := awduty.Need{Orders: orderOfReplicas, Overdue: true}
	b, now := newCandidate("b"), time.Hour
	_, _ = b.NextStoreCall(now, need)
	b.ReadDone(now, awduty.Row{}, at(70), nil) // the version of any row is at least its token
	_, ok := b.NextStoreCall(now+testLease+testMargin-1, need)
	require.False(t, ok, "the holder may still act")
	write, ok := b.NextStoreCall(now+testLease+testMargin, need)
	require.True(t, ok && write.Write)
	require.Equal(t, uint64(71), write.Row.Token)
}

// Guards against committed orders that are lost with their holder because its
// messages name the version of the store's response instead of the row's own.
func TestOrdersAreKeptIfVersionIsLower(t *testing.T) {
	need := awduty.Need{Orders: orderOfReplicas, Overdue: true}
	b, now := newCandidate("b"), time.Hour
	b.Hear(now, awduty.Claim{Holder: "a", Incarnation: 1, Token: 2, Position: at(51).Position, Through: 3})
	_, _ = b.NextStoreCall(now, need)
	b.ReadDone(now, awduty.Row{Holder: "a", Incarnation: 1, Token: 2, Through: 3, Pending: []awduty.Order{{ID: 3}}}, at(50), nil)
	now += testLease + testMargin
	write, ok := b.NextStoreCall(now, need)
	require.True(t, ok && write.Write)
	require.Equal(t, at(50).Position, write.Precondition)
	require.Len(t, write.Row.Pending, 2)
	require.Equal(t, int64(3), write.Row.Pending[0].ID)
}
