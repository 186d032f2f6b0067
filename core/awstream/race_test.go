package awstream

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func numbered(id uint64) Event { return Event{ID: id, HasID: true} }

func TestRaceLetsSilentSendGoOn(t *testing.T) {
	var r Race
	first := r.Begin()
	require.NoError(t, r.Offer(first, numbered(1)))
	second := r.Begin()
	require.NoError(t, r.Offer(first, numbered(2)))
	require.ErrorIs(t, r.Offer(second, numbered(2)), ErrOvertaken)
	require.ErrorIs(t, r.Finish(second), ErrOvertaken)
	require.NoError(t, r.Finish(first))
}

func TestRaceLetsFasterSendTakeOver(t *testing.T) {
	var r Race
	first := r.Begin()
	require.NoError(t, r.Offer(first, numbered(1)))
	second := r.Begin()
	require.Equal(t, 2, r.Running())
	require.NoError(t, r.Offer(second, numbered(2)))
	require.ErrorIs(t, r.Offer(first, numbered(2)), ErrOvertaken)
	require.ErrorIs(t, r.Offer(second, numbered(2)), ErrEventOrder)
	require.Equal(t, uint64(2), r.LastID())
}

func TestStreamWithoutEventIDsIsNotResumed(t *testing.T) {
	var r Race
	require.True(t, r.CanResume())
	require.NoError(t, r.Offer(r.Begin(), Event{}))
	require.False(t, r.CanResume())
}

// Guards against events that are lost, doubled or out of order while sends
// begin, go silent, go on and fail in any order.
func TestRaceForwardsEachEventOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const events = 6
		var r Race
		next := map[int]uint64{} // event that each send delivers next
		var forwarded []uint64
		begin := func() {
			after := r.LastID()
			next[r.Begin()] = after + 1
		}
		begin()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			send := rapid.IntRange(1, len(next)).Draw(t, "send")
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action == 0:
				begin()
			case action == 1:
				r.Fail(send)
			case next[send] > events:
				if r.Finish(send) == nil {
					r.Fail(send)
					require.Len(t, forwarded, events)
				}
			default:
				if r.Offer(send, numbered(next[send])) == nil {
					forwarded = append(forwarded, next[send])
				}
				next[send]++
			}
		}
		for i, id := range forwarded {
			require.Equal(t, uint64(i+1), id)
		}
	})
}
