package awcommand

import (
	"time"

	"github.com/go-kit/log"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
	"arbutuswind/io/awduties"
	"arbutuswind/io/awsettings"
	"arbutuswind/platform"
)

// dutySettling is the time from the start of a gateway until it has read the list
// of entries with all that have started at the same time.
const dutySettling = entriesInterval + 1500*time.Millisecond

// newDuties returns what performs the duties of a gateway, or nil if the settings
// name none.
func newDuties(cfg awsettings.Fleet, self awdirectory.Entry, store *platform.Store, logger log.Logger) *awduties.Runner {
	d := cfg.Duties
	if d.Address == "" || !platform.HasUsageReport(d.Names) {
		return nil
	}
	return awduties.New(awduties.Config{
		Logger: logger, Wall: awclock.System{}, Boot: awclock.Boot{}, Store: platform.DutyStore{Store: store},
		Platform: platform.DutyCaller{Address: d.Address, Holder: self.Name}, Instance: self.Name, Domain: cfg.Process.Domain,
		Incarnation: self.Incarnation, Lease: d.Lease.Std(), Window: d.Window.Std(), Late: d.UsageLate.Std(), Tolerance: d.Tolerance,
		PerSecond: d.PerSecond, Settling: dutySettling,
	})
}
