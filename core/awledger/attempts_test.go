package awledger

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awoutcome"
)

func attemptOf(incarnation, seq uint64) AttemptID {
	return AttemptID{Entry: "entry", Incarnation: incarnation, Sequence: seq}
}

// Guards against an attempt that runs twice, and against a refusal that a
// delayed copy of the attempt overturns.
func TestAttemptsRunOnceAndRememberRefusals(t *testing.T) {
	a := NewAttemptTable()
	require.Nil(t, a.Begin(attemptOf(1, 1)))
	require.Equal(t, awoutcome.Unknown, a.Begin(attemptOf(1, 1)).Outcome, "running")
	require.Equal(t, Running, a.Refuse(attemptOf(1, 1)), "too late to refuse")
	a.Finish(attemptOf(1, 1), &Result{Status: 200})
	require.Equal(t, awoutcome.Unknown, a.Begin(attemptOf(1, 1)).Outcome, "finished")
	require.Equal(t, 200, a.Result(attemptOf(1, 1)).Status)
	require.Equal(t, NotRun, a.Refuse(attemptOf(1, 2)))
	require.Equal(t, awoutcome.NotRun, a.Begin(attemptOf(1, 2)).Outcome)
	require.Nil(t, a.Begin(attemptOf(1, 3)))
	a.MarkNotRun(attemptOf(1, 3))
	require.Equal(t, NotRun, a.State(attemptOf(1, 3)))
}

// Guards against memory that grows with the attempts, and against forgetting
// that turns a known attempt into a new one.
func TestAttemptsForgetByWatermarkOnly(t *testing.T) {
	a := NewBoundedAttemptTable(AttemptTableConfig{MaxSources: 2, MaxRecords: 8, MaxResultBytes: 10})
	require.Nil(t, a.Begin(attemptOf(1, 1)))
	for seq := uint64(2); seq <= 100; seq++ {
		require.Nil(t, a.Begin(attemptOf(1, seq)))
		a.Finish(attemptOf(1, seq), &Result{Body: []byte("12345")})
		records, bytes := a.Size()
		require.LessOrEqual(t, records, 8)
		require.LessOrEqual(t, bytes, 10)
	}
	require.Equal(t, Running, a.State(attemptOf(1, 1)), "a running attempt stays known")
	require.Equal(t, Forgotten, a.Refuse(attemptOf(1, 2)))
	require.Equal(t, awoutcome.Unknown, a.Begin(attemptOf(1, 2)).Outcome)
	a.AdvanceWatermark("entry", 1, 100)
	records, bytes := a.Size()
	require.Equal(t, []int{1, 0}, []int{records, bytes})
	a.FinishWithoutResult(attemptOf(1, 1))
	require.Equal(t, Forgotten, a.State(attemptOf(1, 1)))

	require.Nil(t, a.Begin(attemptOf(2, 1)))
	require.Nil(t, a.Begin(attemptOf(3, 1)), "the first source gives way")
	require.Equal(t, Forgotten, a.Refuse(attemptOf(1, 500)))
	require.Equal(t, awoutcome.Unknown, a.Begin(attemptOf(1, 500)).Outcome)
}

// Guards against a watermark that passes an attempt somebody may ask about.
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

// Guards against two pairs of team and key that share a row.
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
