package awsettings

// Claims configures the claim rows of calls with an idempotency key and how
// fast they are written and deleted.
type Claims struct {
	Keep            Duration // how long the result of a key is kept
	DispatchTime    Duration // time to dispatch after a claim; later another entry may have the attempt refused and claim the key again
	MaxResultBytes  int      // size limit of a recorded result; a larger one is recorded as run, without its body
	MaxGroup        int      // maximum claims in one transaction; 1 disables grouping
	MaxQueue        int      // maximum writes waiting for a transaction
	WritesPerSecond float64  // limit on transactions for claims and their sweep, shared by all entries
	RecordTime      Duration // how long to retry recording a result that the store did not accept
	SweepPeriod     Duration // interval between sweeps that delete expired claims
	SweepRows       int      // maximum rows read in one sweep
}

// With three entries, the default WritesPerSecond leaves half the capacity of a
// store that takes 300 writes per second to other uses.
func defaultClaims() Claims {
	return Claims{
		Keep: seconds(24 * 3600), DispatchTime: seconds(2), MaxResultBytes: 64 << 10, MaxGroup: 32, MaxQueue: 1024,
		WritesPerSecond: 150, RecordTime: seconds(300), SweepPeriod: seconds(5), SweepRows: 256,
	}
}

func (c *Claims) check(ps *problemList, maxDeadline Duration) {
	ps.require(c.Keep > 2*maxDeadline, "Claims.Keep",
		"%s is not allowed; want more than twice Limits.MaxDeadline, so that no row expires under a running call", c.Keep.Std())
	ps.duration("Claims.DispatchTime", c.DispatchTime)
	ps.require(c.MaxResultBytes > 0 && c.MaxResultBytes <= 256<<10, "Claims.MaxResultBytes",
		"%d is not allowed; want 1 to 262144", c.MaxResultBytes)
	ps.require(c.MaxGroup > 0 && c.MaxGroup <= 256, "Claims.MaxGroup", "%d is not allowed; want 1 to 256", c.MaxGroup)
	ps.positive("Claims.MaxQueue", float64(c.MaxQueue))
	ps.positive("Claims.WritesPerSecond", c.WritesPerSecond)
	ps.duration("Claims.RecordTime", c.RecordTime)
	ps.duration("Claims.SweepPeriod", c.SweepPeriod)
	ps.require(c.SweepRows > 0 && c.SweepRows <= 4096, "Claims.SweepRows", "%d is not allowed; want 1 to 4096", c.SweepRows)
}
