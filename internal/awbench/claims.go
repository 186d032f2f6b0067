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
// keyed calls whose claims are written one at a time.
type ClaimsResult struct {
	Experiment      string
	WritesPerSecond float64 // write limit of the table service
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
	FaultyPerSecond float64 // answered with 200, during outages and lost replies
	FaultyNotRun    int
	FaultyUnknown   int
	Repeated        int // calls that repeat a key after its first call failed
	Doubled         int
	FalseNotRun     int // keys sent once and reported as not run, although the call ran
}

const (
	claimsCallers         = 96
	claimsRuns            = 3
	claimsDuration        = 4 * time.Second
	claimsWritesPerSecond = 150 // half of several hundred writes a second
	claimsFaultDuration   = 500 * time.Millisecond
	claimsLostReplies     = 10 // replies lost between outages
)

// Claims measures keyed calls under the write limit of the table service.
func Claims(ctx context.Context, binDir string) (any, error) {
	res := &ClaimsResult{
		Experiment: "claims", WritesPerSecond: claimsWritesPerSecond, Callers: claimsCallers, Seconds: claimsDuration.Seconds(), Runs: repeats(ctx, claimsRuns),
	}
	var ungrouped, grouped []ClaimsRun
	for range res.Runs { // interleaved, so that both see the same load on the machine
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
	clean := &claimsLoad{cluster: c, prefix: "clean", unrepeatedOutcome: map[string]string{}}
	clean.run(ctx, claimsDuration)
	after, err := c.tableWrites()
	if err != nil {
		return run, err
	}
	run.CallsPerSecond = float64(clean.ok) / clean.elapsed.Seconds()
	slices.Sort(clean.latencies)
	if n := len(clean.latencies); n > 0 {
		run.P50Ms, run.P99Ms = clean.latencies[n/2], clean.latencies[n*99/100]
		run.Transactions = float64(after-before) / float64(n)
	}
	faulty := &claimsLoad{cluster: c, prefix: "faulty", repeat: true, unrepeatedOutcome: map[string]string{}}
	stop := c.injectStoreFaults(ctx)
	faulty.run(ctx, claimsDuration)
	stop()
	run.FaultyPerSecond = float64(faulty.ok) / faulty.elapsed.Seconds()
	run.FaultyNotRun, run.FaultyUnknown, run.Repeated = faulty.notRun, faulty.unknown, faulty.repeated
	counts, err := c.ServiceRuns()
	if err != nil {
		return run, err
	}
	for key, n := range counts {
		run.Doubled += n - 1
		if faulty.unrepeatedOutcome[key] == "not-run" {
			run.FalseNotRun++
		}
	}
	return run, nil
}

func claimsFleet(ctx context.Context, c *Cluster, group int) error {
	if err := c.StartPlatform(ctx, "--writes", strconv.Itoa(claimsWritesPerSecond)); err != nil {
		return err
	}
	for i, site := range Sites {
		_, err := c.StartEntry(fmt.Sprintf("entry-%d", i), site, func(s *awsettings.Entry) {
			s.Claims.MaxGroup = group
			s.Claims.WritesPerSecond = claimsWritesPerSecond // the table service sets the limit
		})
		if err != nil {
			return err
		}
		if _, err := c.StartService(fmt.Sprintf("roster-%d", i), "roster", site); err != nil {
			return err
		}
	}
	caller := NewCaller()
	for i, e := range c.Entries { // an entry is ready once it answers a keyed call
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

// injectStoreFaults alternates lost replies and outages of the table service
// until stop is called.
func (c *Cluster) injectStoreFaults(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			for _, f := range []awstandin.PlatformFault{{LoseReplies: claimsLostReplies}, {StoreDown: true}} {
				_ = Fault(c.Platform, f) // an error only means fewer faults
				select {
				case <-ctx.Done():
				case <-time.After(claimsFaultDuration):
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

// ServiceRuns returns how often each key ran, summed over all plain services.
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

// claimsLoad is closed-loop load: each caller has one call in flight.
type claimsLoad struct {
	cluster *Cluster
	prefix  string
	repeat  bool // half of the calls that fail are sent again through another entry

	elapsed                       time.Duration
	mu                            sync.Mutex
	ok, notRun, unknown, repeated int
	latencies                     []float64         // ms
	unrepeatedOutcome             map[string]string // outcomes of failed calls whose key was sent once
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
	l.elapsed = time.Since(began) // includes the calls that ended after d
}

func (l *claimsLoad) call(ctx context.Context, caller *Caller, key string, i int) {
	began := time.Now()
	a, ok := l.send(ctx, caller, key, i)
	if ok {
		l.mu.Lock()
		l.latencies = append(l.latencies, float64(time.Since(began).Microseconds())/1000)
		l.mu.Unlock()
		return
	}
	if !l.repeat || rand.IntN(2) == 0 {
		l.mu.Lock()
		l.unrepeatedOutcome[key] = a.Outcome
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

// retryPause keeps callers from spinning during an outage.
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
