package awsettings

// Claims bounds the claims of calls that may not be repeated.
type Claims struct {
	Keep            Duration // time for which a key keeps its result
	DispatchTime    Duration // a claimant has this long to dispatch before others may claim again
	MaxResultBytes  int      // of a result in a row; a larger one is recorded as run without its body
	MaxGroup        int      // claims in one transaction; 1 turns grouping off
	MaxQueue        int      // writes that wait for a transaction
	WritesPerSecond float64  // transactions of all entries together for claims and their sweep
	RecordTime      Duration // for how long a result is retried that the store does not take
	SweepPeriod     Duration // between deletions of expired claims
	SweepRows       int      // rows looked at in one sweep
}

// The default budget leaves half of a store of 300 writes a second to other
// uses when three entries run.
func defaultClaims() Claims {
	return Claims{
		Keep: seconds(24 * 3600), DispatchTime: seconds(2), MaxResultBytes: 64 << 10, MaxGroup: 32, MaxQueue: 1024,
		WritesPerSecond: 150, RecordTime: seconds(300), SweepPeriod: seconds(5), SweepRows: 256,
	}
}

func (c *Claims) check(f *faults, maxDeadline Duration) {
	f.require(c.Keep > 2*maxDeadline, "Claims.Keep",
		"%s is not allowed; want more than twice Limits.MaxDeadline, so that no row expires under a running call", c.Keep.Std())
	f.duration("Claims.DispatchTime", c.DispatchTime)
	f.require(c.MaxResultBytes > 0 && c.MaxResultBytes <= 256<<10, "Claims.MaxResultBytes",
		"%d is not allowed; want 1 to 262144", c.MaxResultBytes)
	f.require(c.MaxGroup > 0 && c.MaxGroup <= 256, "Claims.MaxGroup", "%d is not allowed; want 1 to 256", c.MaxGroup)
	f.positive("Claims.MaxQueue", float64(c.MaxQueue))
	f.positive("Claims.WritesPerSecond", c.WritesPerSecond)
	f.duration("Claims.RecordTime", c.RecordTime)
	f.duration("Claims.SweepPeriod", c.SweepPeriod)
	f.require(c.SweepRows > 0 && c.SweepRows <= 4096, "Claims.SweepRows", "%d is not allowed; want 1 to 4096", c.SweepRows)
}
