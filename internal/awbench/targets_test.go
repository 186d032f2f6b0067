package awbench

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a check that passes although a result misses its target.
func TestTargetsCanBeMissed(t *testing.T) {
	good := &BurstResult{GoodputRatio: 0.95, SmallServedRatio: 1}
	require.NoError(t, good.check())
	require.ErrorContains(t, (&BurstResult{GoodputRatio: 0.5, SmallServedRatio: 1}).check(), "GoodputRatio")
	require.NoError(t, (&OverheadResult{AddedP50Us: 300, AddedP99Us: 2000}).check())
	require.ErrorContains(t, (&OverheadResult{AddedP50Us: 301}).check(), "AddedP50Us")
	require.NoError(t, (&SlowReadersResult{EntryPeakRSS: 128 << 20, P99Ratio: 1.2}).check())
	require.ErrorContains(t, (&SlowReadersResult{Truncated: 1}).check(), "Truncated")
	require.NoError(t, (&DomainResult{TtftP99Ratio: 2, LastNewWorkMs: 2000}).check())
	require.ErrorContains(t, (&DomainResult{KillFailed: 1}).check(), "KillFailed")
}

// Guards against a wrong least-squares fit, on which the slopes in
// docs/CAPACITY.md depend.
func TestFitSlope(t *testing.T) {
	s := FitSlope([]Point{{1, 5}, {2, 7}, {4, 11}})
	require.InDelta(t, 3, s.Base, 1e-9)
	require.InDelta(t, 2, s.PerUnit, 1e-9)
	require.InDelta(t, 0, s.Spread, 1e-9)
	// The line is 0.6 + 1.6x. The largest distance is 1.8 and the largest y is 6.
	require.InDelta(t, 0.3, FitSlope([]Point{{0, 0}, {1, 4}, {2, 2}, {3, 6}}).Spread, 1e-9)
}

// Guards against numbers missing from the report and text that isn't escaped.
func TestWriteReport(t *testing.T) {
	var page bytes.Buffer
	sections := []Section{{Name: "burst", Result: &BurstResult{GoodputRatio: 0.95}, Err: "a <reason>"}}
	require.NoError(t, WriteReport(&page, sections))
	require.Contains(t, page.String(), "GoodputRatio")
	require.Contains(t, page.String(), "0.95")
	require.Contains(t, page.String(), "a &lt;reason&gt;", "text is escaped")
}
