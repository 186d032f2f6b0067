package awbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"arbutuswind/internal/awstandin"
	"arbutuswind/io/awsettings"
)

// ClaimsResult compares keyed calls whose claims are written in groups with
// ones that are written one by one.
type ClaimsResult struct {
	Experiment      string
	WritesPerSecond float64 // budget of the table service
	Callers         int
	Seconds         float64 // per run
	Runs            int
	Ungrouped       ClaimsRun // medians
	Grouped         ClaimsRun
	Doubled         int // over all runs
	FalseNotRun     int
}

// ClaimsRun is one run, or the medians of several.
type ClaimsRun struct {
	CallsPerSecond  float64 // answered with 200, without faults
	P50Ms, P99Ms    float64
	Transactions    float64 // per call
	FaultyPerSecond float64 // answered with 200, with outages and lost replies
	FaultyNotRun    int
	FaultyUnknown   int
	Repeated        int // second calls with a key after its first call failed
	Doubled         int
	FalseNotRun     int // refused as not run on the only try, and yet run
}

const (
	claimsCallers = 96
	claimsRuns    = 3
	claimsTime    = 4 * time.Second
	claimsWrites  = 150 // half of several hundred writes a second
	claimsOutage  = 500 * time.Millisecond
	claimsLost    = 10 // replies lost after each outage
)

// Claims measures keyed calls within the write budget of the table service.
func Claims(ctx context.Context, binDir string) (any, error) {
	res := &ClaimsResult{
		Experiment: "claims", WritesPerSecond: claimsWrites, Callers: claimsCallers, Seconds: claimsTime.Seconds(), Runs: repeats(ctx, claimsRuns),
	}
	var ungrouped, grouped []ClaimsRun
	for range res.Runs { // interleaved, so that both meet the same load of the machine
		for group, runs := range map[int]*[]ClaimsRun{1: &ungrouped, 32: &grouped} {
			run, err := claimsRun(ctx, binDir, group)
			if err != nil {
				return nil, err
			}
			*runs = append(*runs, run)
			res.Doubled += run.Doubled
			res.FalseNotRun += run.FalseNotRun
		}
	}
	res.Ungrouped, res.Grouped = medianClaims(ungrouped), medianClaims(grouped)
	if res.Doubled != 0 || res.FalseNotRun != 0 {
		return res, eris.New("a keyed call ran twice, or ran although it was reported as not run")
	}
	return res, nil
}

func claimsRun(ctx context.Context, binDir string, group int) (ClaimsRun, error) {
	var run ClaimsRun
	c, err := NewCluster(binDir)
	if err != nil {
		return run, err
	}
	defer c.Close()
	if err := claimsFleet(ctx, c, group); err != nil {
		return run, err
	}
	before, err := c.tableWrites()
	if err != nil {
		return run, err
	}
	clean := &claimsLoad{cluster: c, prefix: "clean", first: map[string]string{}}
	clean.run(ctx, claimsTime)
	after, err := c.tableWrites()
	if err != nil {
		return run, err
	}
	run.CallsPerSecond = float64(clean.ok) / clean.elapsed.Seconds()
	slices.Sort(clean.took)
	if n := len(clean.took); n > 0 {
		run.P50Ms, run.P99Ms = clean.took[n/2], clean.took[n*99/100]
		run.Transactions = float64(after-before) / float64(n)
	}
	faulty := &claimsLoad{cluster: c, prefix: "faulty", repeat: true, first: map[string]string{}}
	stop := c.faultStore(ctx)
	faulty.run(ctx, claimsTime)
	stop()
	run.FaultyPerSecond = float64(faulty.ok) / faulty.elapsed.Seconds()
	run.FaultyNotRun, run.FaultyUnknown, run.Repeated = faulty.notRun, faulty.unknown, faulty.repeated
	counts, err := c.ServiceRuns()
	if err != nil {
		return run, err
	}
	for key, n := range counts {
		run.Doubled += n - 1
		if faulty.first[key] == "not-run" {
			run.FalseNotRun++
		}
	}
	return run, nil
}

func claimsFleet(ctx context.Context, c *Cluster, group int) error {
	if err := c.StartPlatform(ctx, "--writes", strconv.Itoa(claimsWrites)); err != nil {
		return err
	}
	for i, site := range Sites {
		_, err := c.StartEntry(fmt.Sprintf("entry-%d", i), site, func(s *awsettings.Entry) {
			s.Claims.MaxGroup = group
			s.Claims.WritesPerSecond = claimsWrites // the table service sets the limit
		})
		if err != nil {
			return err
		}
		if _, err := c.StartService(fmt.Sprintf("roster-%d", i), "roster", site); err != nil {
			return err
		}
	}
	caller := NewCaller()
	for i, e := range c.Entries { // ready once a keyed call is answered
		err := WaitFor(ctx, "the service at "+e.ID, func() (bool, error) {
			a, err := caller.Service(ctx, e.Callers, "roster", "assign", fmt.Sprintf("ready-%d-%d", i, time.Now().UnixNano()), nil)
			return a.Status == http.StatusOK, err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// faultStore switches outages and lost replies on until stop is called.
func (c *Cluster) faultStore(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			for _, f := range []awstandin.PlatformFault{{LoseReplies: claimsLost}, {StoreDown: true}} {
				_ = Fault(c.Platform, f) // a missed fault lowers the load of faults only
				select {
				case <-ctx.Done():
				case <-time.After(claimsOutage):
				}
			}
		}
		_ = Fault(c.Platform, awstandin.PlatformFault{})
	})
	return func() { cancel(); wg.Wait() }
}

func (c *Cluster) tableWrites() (int64, error) {
	var counts struct{ Writes int64 }
	err := GetJSON(c.Platform+"/admin/counts", &counts)
	return counts.Writes, err
}

// ServiceRuns returns how often each key ran at all plain services.
func (c *Cluster) ServiceRuns() (map[string]int, error) {
	total := map[string]int{}
	for _, n := range c.Agents {
		if n.Service == "" {
			continue
		}
		runs := map[string]int{}
		if err := GetJSON(n.Backend+"/admin/runs", &runs); err != nil {
			return nil, err
		}
		for key, k := range runs {
			total[key] += k
		}
	}
	return total, nil
}

// claimsLoad is a closed loop of callers, each with one call at a time.
type claimsLoad struct {
	cluster *Cluster
	prefix  string
	repeat  bool // half of the calls that fail are sent again through another entry

	elapsed                       time.Duration
	mu                            sync.Mutex
	ok, notRun, unknown, repeated int
	took                          []float64         // ms
	first                         map[string]string // outcome of keys that were sent once and failed
}

func (l *claimsLoad) run(ctx context.Context, d time.Duration) {
	began := time.Now()
	end := began.Add(d)
	caller := NewCaller()
	var wg sync.WaitGroup
	for i := range claimsCallers {
		wg.Go(func() {
			for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
				l.call(ctx, caller, fmt.Sprintf("%s-%d-%d", l.prefix, i, n), i)
			}
		})
	}
	wg.Wait()
	l.elapsed = time.Since(began) // with the calls that ended after d
}

func (l *claimsLoad) call(ctx context.Context, caller *Caller, key string, i int) {
	began := time.Now()
	a, ok := l.send(ctx, caller, key, i)
	if ok {
		l.mu.Lock()
		l.took = append(l.took, float64(time.Since(began).Microseconds())/1000)
		l.mu.Unlock()
		return
	}
	if !l.repeat || rand.IntN(2) == 0 {
		l.mu.Lock()
		l.first[key] = a.Outcome
		l.mu.Unlock()
		time.Sleep(retryPause)
		return
	}
	for k := range 3 {
		time.Sleep(retryPause)
		l.mu.Lock()
		l.repeated++
		l.mu.Unlock()
		if _, ok := l.send(ctx, caller, key, i+k+1); ok {
			return
		}
	}
}

// retryPause keeps callers from spinning through an outage.
const retryPause = 20 * time.Millisecond

func (l *claimsLoad) send(ctx context.Context, caller *Caller, key string, i int) (Answer, bool) {
	entries := l.cluster.Entries
	a, err := caller.Service(ctx, entries[i%len(entries)].Callers, "roster", "assign", key, []byte(key))
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil && a.Status == http.StatusOK:
		l.ok++
		return a, true
	case err == nil && a.Outcome == "not-run":
		l.notRun++
	default:
		l.unknown++
	}
	return a, false
}

func medianClaims(runs []ClaimsRun) ClaimsRun {
	pick := func(get func(ClaimsRun) float64) float64 {
		var all []float64
		for _, r := range runs {
			all = append(all, get(r))
		}
		slices.Sort(all)
		return all[len(all)/2]
	}
	return ClaimsRun{
		CallsPerSecond:  pick(func(r ClaimsRun) float64 { return r.CallsPerSecond }),
		P50Ms:           pick(func(r ClaimsRun) float64 { return r.P50Ms }),
		P99Ms:           pick(func(r ClaimsRun) float64 { return r.P99Ms }),
		Transactions:    pick(func(r ClaimsRun) float64 { return r.Transactions }),
		FaultyPerSecond: pick(func(r ClaimsRun) float64 { return r.FaultyPerSecond }),
		FaultyNotRun:    int(pick(func(r ClaimsRun) float64 { return float64(r.FaultyNotRun) })),
		FaultyUnknown:   int(pick(func(r ClaimsRun) float64 { return float64(r.FaultyUnknown) })),
		Repeated:        int(pick(func(r ClaimsRun) float64 { return float64(r.Repeated) })),
		Doubled:         int(pick(func(r ClaimsRun) float64 { return float64(r.Doubled) })),
		FalseNotRun:     int(pick(func(r ClaimsRun) float64 { return float64(r.FalseNotRun) })),
	}
}
