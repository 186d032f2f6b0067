package awbench

import (
	"strings"

	"github.com/rotisserie/eris"
)

// targets collects the names of the results that missed their target.
type targets struct{ missed []string }

// expect records figure as missed unless ok.
func (t *targets) expect(ok bool, figure string) {
	if !ok {
		t.missed = append(t.missed, figure)
	}
}

// err returns an error that lists the missed figures, or nil if there are none.
func (t *targets) err() error {
	if len(t.missed) == 0 {
		return nil
	}
	return eris.New("targets missed: " + strings.Join(t.missed, ", "))
}

func (r *BurstResult) check() error {
	var t targets
	t.expect(r.GoodputRatio >= 0.9, "GoodputRatio")
	t.expect(r.FalseNotRun == 0, "FalseNotRun")
	t.expect(r.Doubled == 0, "Doubled")
	t.expect(r.ColdOverloads == 0, "ColdOverloads")
	// The small team sends less than its share, so nearly all of its requests
	// should be served.
	t.expect(r.SmallServedRatio >= 0.9, "SmallServedRatio")
	return t.err()
}

func (r *OverheadResult) check() error {
	var t targets
	t.expect(r.AddedP50Us <= 300, "AddedP50Us")
	t.expect(r.AddedP99Us <= 2000, "AddedP99Us")
	return t.err()
}

func (r *SlowReadersResult) check() error {
	var t targets
	t.expect(r.EntryPeakRSS <= 128<<20, "EntryPeakRSS")
	t.expect(r.Truncated == 0, "Truncated")
	t.expect(r.NormalFailed == 0, "NormalFailed")
	t.expect(r.P99Ratio <= 1.2, "P99Ratio")
	return t.err()
}

func (r *DomainResult) check() error {
	var t targets
	t.expect(r.Failed == 0, "Failed")
	t.expect(r.Cut == 0, "Cut")
	t.expect(r.Wrong == 0, "Wrong")
	t.expect(r.LastNewWorkMs <= 2000, "LastNewWorkMs")
	t.expect(r.TtftP99Ratio <= 2, "TtftP99Ratio")
	t.expect(r.ColdOverloads == 0, "ColdOverloads")
	t.expect(r.KillFailed == 0, "KillFailed")
	t.expect(r.KillCut == 0, "KillCut")
	t.expect(r.BackendFailed == 0, "BackendFailed")
	return t.err()
}
