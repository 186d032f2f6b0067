package awbench

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"arbutuswind/core/awconfig"
	"arbutuswind/internal/awport"
	"arbutuswind/internal/awstandin"
	"arbutuswind/io/awcontrol"
	"arbutuswind/io/awsettings"
)

// ConfigResult is the result of the config experiment. A change is in force
// once every entry and agent that it is measured at has applied it.
type ConfigResult struct {
	Experiment string
	Sizes      []ConfigSize

	// InForceP99Ms is the largest over all sizes, Reverted the sum.
	InForceP99Ms int64
	Reverted     int

	OutageServedOn       bool    // every entry and agent was ready after an outage longer than MaxIsolation
	OutageRefused        bool    // changes were refused while the store was down
	OutageInForceMs      int64   // for the first change after the outage
	CutEntryInForceMs    int64   // at an entry cut off from the platform; -1 if never
	CutEntryReturnMs     int64   // after its link was restored
	PausedEntryAdmitted  bool    // an entry reported ready with an outdated configuration after a pause
	PausedEntryInForceMs int64   // after the entry was resumed
	ResetRefused         bool    // changes were refused after the store was restored to an earlier state
	ResetAcceptedMs      int64   // from accept-reset until its revision was in force everywhere
	EntryCoreSlope       float64 // percent of a core per additional process
	EntryRSSMBSlope      float64
	EntryRPCBytesSlope   float64 // bytes a second per additional process
	EntryStoreBytesSlope float64
	AgentCoreSlope       float64
	AgentRPCBytesSlope   float64
	StoreReadsSlope      float64 // reads a second per additional entry
	StoreWritesSlope     float64
}

// ConfigSize is the result for one number of processes.
type ConfigSize struct {
	Entries, Agents                     int
	Changes                             int
	InForceP50Ms, InForceP99Ms          int64
	Reverted                            int
	Entry, Agent                        Cost
	StoreReadsPerSec, StoreWritesPerSec float64
	CostSeconds                         float64
	CostChanges                         int
}

const (
	configChanges       = 10              // per size, measured one at a time
	configCost          = 5 * time.Second // cost is measured over this time, with configCostChanges changes
	configCostChanges   = 4
	configPollInterval  = 15 * time.Millisecond
	configPauseDuration = 3 * time.Second // longer than the gap after which an entry treats itself as paused
	// configIsolation is the MaxIsolation of all processes. The store outage
	// lasts longer than twice that, because an agent counts its isolation from
	// the last heartbeat of an entry that was up to date.
	configIsolation      = 2 * time.Second
	configOutageDuration = 6 * time.Second

	configStartTimeout = 30 * time.Second // until all processes of one size are ready
	configTimeout      = 8 * time.Second  // limit of the ConfigMonotonic property
)

// configSizes are the numbers of entries and agents.
var configSizes = [][2]int{{3, 15}, {6, 30}, {12, 60}}

// Config measures how long changes take to be in force everywhere and what
// they cost each process.
func Config(ctx context.Context, binDir string) (any, error) {
	res := &ConfigResult{Experiment: "config", CutEntryInForceMs: -1}
	for _, size := range configSizes {
		if err := configRun(ctx, binDir, size[0], size[1], res); err != nil {
			return res, err
		}
	}
	res.slopes()
	switch {
	case res.InForceP99Ms > 2000, res.Reverted > 0, res.CutEntryInForceMs < 0, res.PausedEntryAdmitted:
		return res, eris.New("the config experiment missed a target")
	case !res.OutageServedOn, !res.OutageRefused, !res.ResetRefused:
		return res, eris.New("the configuration did not handle a store fault as required")
	}
	return res, nil
}

func configRun(ctx context.Context, binDir string, entries, agents int, res *ConfigResult) error {
	c, err := NewCluster(binDir)
	if err != nil {
		return err
	}
	defer c.Close()
	link, err := c.configFleet(ctx, entries, agents)
	if err != nil {
		return err
	}
	defer link.Cut(true)
	o := newObserver(c)
	size := ConfigSize{Entries: entries, Agents: agents, Changes: configChanges}
	var took []time.Duration
	for i := range configChanges {
		d, err := o.change(ctx, i)
		if err != nil {
			return err
		}
		took = append(took, d)
	}
	slices.Sort(took)
	size.InForceP50Ms = took[len(took)/2].Milliseconds()
	size.InForceP99Ms = took[(len(took)*99)/100].Milliseconds()
	if err := c.configCost(ctx, &size); err != nil {
		return err
	}
	if entries == configSizes[1][0] {
		if err := c.configFaults(ctx, o, link, res); err != nil {
			return err
		}
	}
	size.Reverted = o.reverted
	res.Sizes = append(res.Sizes, size)
	res.InForceP99Ms = max(res.InForceP99Ms, size.InForceP99Ms)
	res.Reverted += size.Reverted
	return nil
}

// configFleet starts the processes. The last entry reaches the platform
// through the returned proxy, which can cut it off.
func (c *Cluster) configFleet(ctx context.Context, entries, agents int) (*awstandin.Proxy, error) {
	ctx, cancel := context.WithTimeout(ctx, configStartTimeout)
	defer cancel()
	if err := c.StartPlatform(ctx); err != nil {
		return nil, err
	}
	link := awstandin.NewProxy(strings.TrimPrefix(c.Platform, "http://"))
	lis, err := link.Start("127.0.0.1")
	if err != nil {
		return nil, err
	}
	for i := range entries {
		tune := func(s *awsettings.Entry) {
			s.Timing.MaxIsolation = awsettings.Duration(configIsolation)
			if i == entries-1 {
				base := "http://" + lis.Addr().String()
				s.Platform.TableURL, s.Platform.ObjectURL, s.Platform.OriginURL = base, base, base
				s.Platform.InstanceListURL = base + "/instances"
			}
		}
		if _, err := c.StartEntry(fmt.Sprintf("entry-%d", i), Sites[i%len(Sites)], tune); err != nil {
			return link, err
		}
	}
	addr, err := awport.FreeAddress()
	if err != nil {
		return link, err
	}
	// One backend server for all agents: only the control plane is measured.
	if _, err := c.Start("backend", "awstandin", "service", "--listen", addr); err != nil {
		return link, err
	}
	for i := range agents {
		n := &Node{ID: fmt.Sprintf("agent-%02d", i), Site: Sites[i%len(Sites)], Service: "roster", Backend: "http://" + addr}
		tune := func(s *awsettings.Agent) { s.Timing.MaxIsolation = awsettings.Duration(configIsolation) }
		if err := c.StartAgent(n, tune); err != nil {
			return link, err
		}
	}
	for _, e := range c.Entries {
		if err := WaitHTTP(ctx, e.Operators+"/readyz"); err != nil {
			return link, err
		}
	}
	return link, WaitFor(ctx, "agents watched by every entry", func() (bool, error) {
		return c.configWatched(ctx)
	})
}

func (c *Cluster) configWatched(ctx context.Context) (bool, error) {
	seen := map[string]bool{}
	for _, e := range c.Entries {
		st, err := e.Operator().Status(ctx)
		if err != nil {
			return false, err
		}
		for _, a := range st.Agents {
			if a.State != "SILENT" {
				seen[a.Instance] = true
			}
		}
	}
	return len(seen) == len(c.Agents), eris.Errorf("entries see %d agents", len(seen))
}

// observer polls the processes and counts entries whose revision decreases.
type observer struct {
	cluster *Cluster

	mu       sync.Mutex
	entries  map[string]uint64
	reverted int
}

func newObserver(c *Cluster) *observer { return &observer{cluster: c, entries: map[string]uint64{}} }

// change commits the i-th change through an entry and returns the time until
// it is in force at every entry and agent.
func (o *observer) change(ctx context.Context, i int) (time.Duration, error) {
	c := o.cluster
	kinds := []awconfig.Kind{awconfig.KindDomainOut, awconfig.KindDomainIn}
	req := awcontrol.ChangeRequest{Kind: kinds[i%2], Target: Sites[(i/2)%len(Sites)].Domain, Actor: "bench"}
	began := time.Now()
	acc, err := c.Entries[i%(len(c.Entries)-1)].Operator().Change(ctx, req)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	err = o.inForce(ctx, acc.Revision, c.Entries)
	return time.Since(began), eris.Wrapf(err, "revision %d", acc.Revision)
}

// inForce waits until the entries and the agents they watch have applied
// revision.
func (o *observer) inForce(ctx context.Context, revision uint64, entries []*Node) error {
	errs := make(chan error, len(entries))
	for _, e := range entries {
		go func() { errs <- o.entryInForce(ctx, revision, e) }()
	}
	var first error
	for range entries {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (o *observer) entryInForce(ctx context.Context, revision uint64, e *Node) error {
	for {
		st, err := e.Operator().Status(ctx)
		if err == nil {
			o.note(e.ID, st.Revision)
			if st.Revision >= revision && !slices.ContainsFunc(st.Agents, func(a awcontrol.AgentStatus) bool {
				return a.ViewRevision < revision
			}) {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "%s is at revision %d", e.ID, st.Revision)
		case <-time.After(configPollInterval):
		}
	}
}

func (o *observer) note(id string, revision uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if revision < o.entries[id] {
		o.reverted++
	}
	o.entries[id] = max(o.entries[id], revision)
}

type storeCounts struct{ Reads, Writes int64 }

// configCost measures what the processes use while only a few changes are
// committed.
func (c *Cluster) configCost(ctx context.Context, size *ConfigSize) error {
	entries, agents, counts, err := c.configUsage()
	if err != nil {
		return err
	}
	began := time.Now()
	for i := range configCostChanges {
		req := awcontrol.ChangeRequest{Kind: awconfig.KindDomainOut, Target: Sites[0].Domain, Actor: "bench"}
		if i%2 == 1 {
			req.Kind = awconfig.KindDomainIn
		}
		if _, err := c.Entries[0].Operator().Change(ctx, req); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(configCost / configCostChanges):
		}
	}
	size.CostSeconds, size.CostChanges = time.Since(began).Seconds(), configCostChanges
	entries2, agents2, counts2, err := c.configUsage()
	if err != nil {
		return err
	}
	size.Entry, size.Agent = MeanCost(entries, entries2), MeanCost(agents, agents2)
	size.StoreReadsPerSec = float64(counts2.Reads-counts.Reads) / size.CostSeconds
	size.StoreWritesPerSec = float64(counts2.Writes-counts.Writes) / size.CostSeconds
	return nil
}

func (c *Cluster) configUsage() (entries, agents []Reading, counts storeCounts, err error) {
	for _, n := range c.Entries {
		u, err := ReadUsage(n.Process, n.Operators+"/metrics")
		if err != nil {
			return nil, nil, counts, err
		}
		entries = append(entries, u)
	}
	for _, n := range c.Agents {
		u, err := ReadUsage(n.Process, n.Local+"/metrics")
		if err != nil {
			return nil, nil, counts, err
		}
		agents = append(agents, u)
	}
	base, err := url.JoinPath(c.Platform, "admin", "counts")
	if err != nil {
		return nil, nil, counts, err
	}
	return entries, agents, counts, GetJSON(base, &counts)
}

// configFaults takes the store down, cuts one entry off from the platform,
// pauses an entry and restores an earlier state of the store.
func (c *Cluster) configFaults(ctx context.Context, o *observer, link *awstandin.Proxy, res *ConfigResult) error {
	if err := Fault(c.Platform, awstandin.PlatformFault{StoreDown: true}); err != nil {
		return err
	}
	req := awcontrol.ChangeRequest{Kind: awconfig.KindDomainOut, Target: Sites[1].Domain, Actor: "bench"}
	_, err := c.Entries[0].Operator().Change(ctx, req)
	res.OutageRefused = err != nil
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(configOutageDuration):
	}
	res.OutageServedOn = true
	for _, n := range slices.Concat(c.Entries, c.Agents) {
		if CheckHTTP(cmp.Or(n.Operators, n.Local)+"/readyz") != nil {
			res.OutageServedOn = false
		}
	}
	if err := Fault(c.Platform, awstandin.PlatformFault{}); err != nil {
		return err
	}
	took, err := o.change(ctx, 0)
	if err != nil {
		return err
	}
	res.OutageInForceMs = took.Milliseconds()

	link.Cut(true)
	acc, err := c.Entries[0].Operator().Change(ctx, awcontrol.ChangeRequest{
		Kind: awconfig.KindDomainIn, Target: Sites[0].Domain, Actor: "bench",
	})
	if err != nil {
		return err
	}
	began := time.Now()
	cut := c.Entries[len(c.Entries)-1:]
	waitCtx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	if o.inForce(waitCtx, acc.Revision, cut) == nil {
		res.CutEntryInForceMs = time.Since(began).Milliseconds()
	}
	link.Cut(false)
	began = time.Now()
	if err := o.inForce(ctx, acc.Revision, cut); err != nil {
		return err
	}
	res.CutEntryReturnMs = time.Since(began).Milliseconds()
	if err := c.configPause(ctx, o, res); err != nil {
		return err
	}
	return c.configReset(ctx, o, res)
}

// configPause suspends one entry for longer than the allowed gap, commits a
// change meanwhile and checks whether the resumed entry reports ready before it
// has applied the change.
func (c *Cluster) configPause(ctx context.Context, o *observer, res *ConfigResult) error {
	n := c.Entries[1]
	if err := n.Process.Signal(syscall.SIGSTOP); err != nil {
		return eris.Wrap(err, "pause entry")
	}
	req := awcontrol.ChangeRequest{Kind: awconfig.KindDomainOut, Target: Sites[0].Domain, Actor: "bench"}
	acc, err := c.Entries[0].Operator().Change(ctx, req)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(configPauseDuration):
	}
	if err := n.Process.Signal(syscall.SIGCONT); err != nil {
		return eris.Wrap(err, "continue entry")
	}
	began := time.Now()
	for {
		// Readiness is read before the revision: if the revision is still old
		// afterwards, the entry was ready with an outdated configuration.
		ready := CheckHTTP(n.Operators+"/readyz") == nil
		st, err := n.Operator().Status(ctx)
		if err != nil {
			return err
		}
		o.note(n.ID, st.Revision)
		if st.Revision >= acc.Revision {
			break
		}
		res.PausedEntryAdmitted = res.PausedEntryAdmitted || ready
	}
	res.PausedEntryInForceMs = time.Since(began).Milliseconds()
	return nil
}

// configReset restores the store to the state before one change and accepts
// the reset.
func (c *Cluster) configReset(ctx context.Context, o *observer, res *ConfigResult) error {
	if err := send(http.MethodPost, c.Platform+"/admin/save", nil); err != nil {
		return err
	}
	if _, err := o.change(ctx, 2); err != nil { // takes out a domain that is in service
		return err
	}
	if err := send(http.MethodPost, c.Platform+"/admin/restore", nil); err != nil {
		return err
	}
	req := awcontrol.ChangeRequest{Kind: awconfig.KindDomainOut, Target: Sites[2].Domain, Actor: "bench"}
	_, err := c.Entries[0].Operator().Change(ctx, req)
	res.ResetRefused = err != nil
	began := time.Now()
	acc, err := c.Entries[0].Operator().AcceptReset(ctx, "bench", "the bench set it back")
	if err != nil {
		return err
	}
	if err := o.inForce(ctx, acc.Revision, c.Entries); err != nil {
		return err
	}
	res.ResetAcceptedMs = time.Since(began).Milliseconds()
	return nil
}

// slopes fits the cost per process against the number of processes.
func (r *ConfigResult) slopes() {
	fit := func(of func(ConfigSize) float64) float64 {
		var points []Point
		for _, s := range r.Sizes {
			points = append(points, Point{X: float64(s.Entries + s.Agents), Y: of(s)})
		}
		return FitSlope(points).PerUnit
	}
	r.EntryCoreSlope = fit(func(s ConfigSize) float64 { return s.Entry.CorePercent })
	r.EntryRSSMBSlope = fit(func(s ConfigSize) float64 { return s.Entry.RSSMB })
	r.EntryRPCBytesSlope = fit(func(s ConfigSize) float64 { return s.Entry.RPCBytesPerSec })
	r.EntryStoreBytesSlope = fit(func(s ConfigSize) float64 { return s.Entry.StoreBytesPerSec })
	r.AgentCoreSlope = fit(func(s ConfigSize) float64 { return s.Agent.CorePercent })
	r.AgentRPCBytesSlope = fit(func(s ConfigSize) float64 { return s.Agent.RPCBytesPerSec })
	var reads, writes []Point
	for _, s := range r.Sizes {
		reads = append(reads, Point{X: float64(s.Entries), Y: s.StoreReadsPerSec})
		writes = append(writes, Point{X: float64(s.Entries), Y: s.StoreWritesPerSec})
	}
	r.StoreReadsSlope, r.StoreWritesSlope = FitSlope(reads).PerUnit, FitSlope(writes).PerUnit
}
