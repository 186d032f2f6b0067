package awledger

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awoutcome"
)

func testAttemptID(incarnation, seq uint64) AttemptID {
	return AttemptID{Entry: "entry", Incarnation: incarnation, Sequence: seq}
}

// Guards against an attempt that runs twice, and against a refused attempt that
// runs when a delayed copy of it arrives.
func TestAttemptsRunOnceAndRememberRefusals(t *testing.T) {
	table := NewAttemptTable()
	require.Nil(t, table.Begin(testAttemptID(1, 1)))
	require.Equal(t, awoutcome.Unknown, table.Begin(testAttemptID(1, 1)).Outcome, "running")
	require.Equal(t, Running, table.Refuse(testAttemptID(1, 1)), "a running attempt cannot be refused")
	table.Finish(testAttemptID(1, 1), &Result{Status: 200})
	require.Equal(t, awoutcome.Unknown, table.Begin(testAttemptID(1, 1)).Outcome, "finished")
	require.Equal(t, 200, table.Result(testAttemptID(1, 1)).Status)
	require.Equal(t, NotRun, table.Refuse(testAttemptID(1, 2)))
	require.Equal(t, awoutcome.NotRun, table.Begin(testAttemptID(1, 2)).Outcome)
	require.Nil(t, table.Begin(testAttemptID(1, 3)))
	table.MarkNotRun(testAttemptID(1, 3))
	require.Equal(t, NotRun, table.State(testAttemptID(1, 3)))
}

// Guards against memory that grows with the number of attempts, and against a
// forgotten attempt that counts as new.
func TestAttemptsForgetByWatermarkOnly(t *testing.T) {
	table := NewBoundedAttemptTable(AttemptTableConfig{MaxSources: 2, MaxRecords: 8, MaxResultBytes: 10})
	require.Nil(t, table.Begin(testAttemptID(1, 1)))
	for seq := uint64(2); seq <= 100; seq++ {
		require.Nil(t, table.Begin(testAttemptID(1, seq)))
		table.Finish(testAttemptID(1, seq), &Result{Body: []byte("12345")})
		records, bytes := table.Size()
		require.LessOrEqual(t, records, 8)
		require.LessOrEqual(t, bytes, 10)
	}
	require.Equal(t, Running, table.State(testAttemptID(1, 1)), "a running attempt is not forgotten")
	require.Equal(t, Forgotten, table.Refuse(testAttemptID(1, 2)))
	require.Equal(t, awoutcome.Unknown, table.Begin(testAttemptID(1, 2)).Outcome)
	table.AdvanceWatermark("entry", 1, 100)
	records, bytes := table.Size()
	require.Equal(t, []int{1, 0}, []int{records, bytes})
	table.FinishWithoutResult(testAttemptID(1, 1))
	require.Equal(t, Forgotten, table.State(testAttemptID(1, 1)))

	require.Nil(t, table.Begin(testAttemptID(2, 1)))
	require.Nil(t, table.Begin(testAttemptID(3, 1)), "the oldest source is dropped")
	require.Equal(t, Forgotten, table.Refuse(testAttemptID(1, 500)))
	require.Equal(t, awoutcome.Unknown, table.Begin(testAttemptID(1, 500)).Outcome)
}

// Guards against a watermark that advances past an attempt that may still be
// asked about.
func TestWatermarkWaitsForTheOldest(t *testing.T) {
	w := NewWatermark()
	for range 4 {
		w.Next()
	}
	w.Settle(2)
	w.Settle(3)
	w.Settle(9)
	require.Zero(t, w.Low())
	w.Settle(1)
	require.Equal(t, uint64(3), w.Low())
}

// Guards against two different pairs of team and key that share a row.
func TestCheckNames(t *testing.T) {
	require.NoError(t, CheckTeamAndKey("kitchen", "shift-1:2026.07_a@b"))
	for _, bad := range [][2]string{
		{"", "k"},
		{"t", ""},
		{"a/b", "c"},
		{"a", "b/c"},
		{"a", "b c"},
		{"a", "b\x00"},
		{"ä", "k"},
		{strings.Repeat("t", MaxTeamBytes+1), "k"},
		{"t", strings.Repeat("k", MaxKeyBytes+1)},
	} {
		require.Error(t, CheckTeamAndKey(bad[0], bad[1]), "%q", bad)
	}
}
