package awbench

import (
	"strings"

	"github.com/rotisserie/eris"
)

// targets collects the figures of an experiment that miss their target.
type targets struct{ missed []string }

// want notes the figure unless ok.
func (t *targets) want(ok bool, figure string) {
	if !ok {
		t.missed = append(t.missed, figure)
	}
}

// err names the figures that miss, and is nil when there are none.
func (t *targets) err() error {
	if len(t.missed) == 0 {
		return nil
	}
	return eris.New("missed its target: " + strings.Join(t.missed, ", "))
}

func (r *BurstResult) check() error {
	var t targets
	t.want(r.GoodputRatio >= 0.9, "GoodputRatio")
	t.want(r.FalseNotRun == 0, "FalseNotRun")
	t.want(r.Doubled == 0, "Doubled")
	t.want(r.ColdOverloads == 0, "ColdOverloads")
	// The small team offers less than its share, so nearly all of it is served.
	t.want(r.SmallServedRatio >= 0.9, "SmallServedRatio")
	return t.err()
}

func (r *OverheadResult) check() error {
	var t targets
	t.want(r.AddedP50Us <= 300, "AddedP50Us")
	t.want(r.AddedP99Us <= 2000, "AddedP99Us")
	return t.err()
}

func (r *SlowReadersResult) check() error {
	var t targets
	t.want(r.EntryPeakRSS <= 128<<20, "EntryPeakRSS")
	t.want(r.Truncated == 0, "Truncated")
	t.want(r.NormalFailed == 0, "NormalFailed")
	t.want(r.P99Ratio <= 1.2, "P99Ratio")
	return t.err()
}

func (r *DomainResult) check() error {
	var t targets
	t.want(r.Failed == 0, "Failed")
	t.want(r.Cut == 0, "Cut")
	t.want(r.Wrong == 0, "Wrong")
	t.want(r.LastNewWorkMs <= 2000, "LastNewWorkMs")
	t.want(r.TtftP99Ratio <= 2, "TtftP99Ratio")
	t.want(r.ColdOverloads == 0, "ColdOverloads")
	t.want(r.KillFailed == 0, "KillFailed")
	t.want(r.KillCut == 0, "KillCut")
	t.want(r.BackendFailed == 0, "BackendFailed")
	return t.err()
}
