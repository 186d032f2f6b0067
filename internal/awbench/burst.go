package awbench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"arbutuswind/internal/awstandin"
	"arbutuswind/io/awhttp"
	"arbutuswind/io/awsettings"
)

// BurstResult holds what callers receive while the offered load is three times
// the capacity. Ratios are medians over Runs bursts, counts are sums.
type BurstResult struct {
	Experiment        string
	Runs              int
	CapacityPerSecond float64 // complete answers of the engines when called directly
	OfferedPerSecond  float64
	GoodputRatio      float64 // complete answers within their deadline, divided by capacity
	SmallServedRatio  float64 // of the small team, which sends less than its share
	LargeServedRatio  float64
	WholeP99Ms        float64
	Whole             int
	NotRun            int
	Failed            int            // neither complete within the deadline nor not-run
	Faults            map[string]int // failed requests by what the caller saw
	FalseNotRun       int            // reported as not-run although an engine started them
	Doubled           int            // starts of the same prompt beyond the first
	ColdOverloads     int
}

const (
	burstRuns       = 3
	burstDuration   = 5 * time.Second
	burstSlots      = 8 // requests in flight per engine
	burstTokens     = 20
	burstDeadline   = time.Second
	burstFactor     = 3
	burstSmallEvery = 10 // one in this many requests comes from the small team
	burstSheet      = "Model,Version,Replicas,Domains,TeamShares,Fencing\n" +
		"rota,v1,3,merrimack narragansett champlain,kitchen=2 parish=1,checked\n"
	warmDuration     = 4 * time.Second
	directDuration   = 3 * time.Second
	burstWeightBytes = 1 << 20
)

// Burst sends requests at three times the capacity of three engines through
// three entries.
func Burst(ctx context.Context, binDir string) (any, error) {
	c, err := NewCluster(binDir)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	limit := func(cfg *awsettings.Agent) { cfg.Limits.MaxInFlight = burstSlots }
	digest, err := engineFleet(ctx, c, burstSheet, len(Sites), limit,
		"--max-running", fmt.Sprint(burstSlots), "--first-token", "20ms", "--token-interval", "4ms")
	if err != nil {
		return nil, err
	}
	warm(ctx, c, burstSlots*len(c.Agents), warmDuration)
	res := &BurstResult{Experiment: "burst", Runs: repeats(ctx, burstRuns)}
	res.CapacityPerSecond = directCapacity(ctx, c)
	res.OfferedPerSecond = burstFactor * res.CapacityPerSecond
	var goodput, small, large, p99 []float64
	for run := range res.Runs {
		b := &burst{c: c, run: run, digest: digest, caller: NewCaller()}
		b.offer(ctx, res.OfferedPerSecond)
		if err := b.audit(res); err != nil {
			return nil, err
		}
		goodput = append(goodput, float64(b.inWindow)/burstDuration.Seconds()/res.CapacityPerSecond)
		small = append(small, b.served("parish"))
		large = append(large, b.served("kitchen"))
		p99 = append(p99, percentile(b.latencies, 0.99))
	}
	res.GoodputRatio, res.WholeP99Ms = median(goodput), median(p99)
	res.SmallServedRatio, res.LargeServedRatio = median(small), median(large)
	for _, n := range c.Agents {
		counts := map[string]int{}
		if err := GetJSON(n.Backend+"/admin/counts", &counts); err != nil {
			return nil, err
		}
		res.ColdOverloads += counts["Overloads"]
	}
	return res, res.check()
}

// engineFleet starts an entry for each site and spreads the given number of
// engines over the sites. It applies the sheet, waits until every engine serves
// rota v1 and returns the digest of the weights.
func engineFleet(
	ctx context.Context, c *Cluster, sheet string, engines int, tune func(*awsettings.Agent), args ...string,
) (string, error) {
	if err := c.StartPlatform(ctx); err != nil {
		return "", err
	}
	for i, site := range Sites {
		if _, err := c.StartEntry(fmt.Sprintf("entry-%d", i), site, nil); err != nil {
			return "", err
		}
	}
	for i := range engines {
		if _, err := c.StartEngine(fmt.Sprintf("engine-%d", i), Sites[i%len(Sites)], tune, args...); err != nil {
			return "", err
		}
	}
	for _, e := range c.Entries {
		if err := WaitHTTP(ctx, e.Operators+"/readyz"); err != nil {
			return "", err
		}
	}
	m, err := c.Publish("rota", "v1", RandomWeights(1, burstWeightBytes), burstWeightBytes/4)
	if err != nil {
		return "", err
	}
	if err := applyWhenListed(ctx, c.Entries[0], sheet); err != nil {
		return "", err
	}
	for _, e := range c.Entries {
		if err := c.WaitServing(ctx, e, "rota", "v1", engines); err != nil {
			return "", err
		}
	}
	return m.FileDigest, nil
}

// refusedRetryDelay keeps a closed loop from spinning while its calls are refused.
const refusedRetryDelay = 20 * time.Millisecond

// warm runs closed-loop callers through the entries for d, long enough for
// every engine to finish its cold start.
func warm(ctx context.Context, c *Cluster, workers int, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	caller := NewCaller()
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				call := Call{Model: "rota", Prompt: fmt.Sprintf("warm %d %d", w, i), MaxTokens: burstTokens, Team: "kitchen"}
				if a, err := caller.Stream(ctx, c.Entries[w%len(c.Entries)].Callers, call); err != nil || !a.Whole {
					time.Sleep(refusedRetryDelay)
				}
			}
		})
	}
	wg.Wait()
}

// directCapacity returns the complete answers per second of all engines when
// they are called directly, without entries and agents, with every slot in use.
func directCapacity(ctx context.Context, c *Cluster) float64 {
	ctx, cancel := context.WithTimeout(ctx, directDuration)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	whole, client := 0, NewCaller().HTTP
	for _, n := range c.Agents {
		for w := range burstSlots {
			wg.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					if direct(ctx, client, n.Backend, fmt.Sprintf("direct %s %d %d", n.ID, w, i)) {
						mu.Lock()
						whole++
						mu.Unlock()
					}
				}
			})
		}
	}
	wg.Wait()
	return float64(whole) / directDuration.Seconds()
}

func direct(ctx context.Context, client *http.Client, backend, prompt string) bool {
	body, err := json.Marshal(map[string]any{"model": "rota", "prompt": prompt, "max_tokens": burstTokens, "stream": true})
	if err != nil {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, backend+"/v1/completions", strings.NewReader(string(body)))
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return err == nil && strings.HasSuffix(string(data), "data: [DONE]\n\n")
}

// burst is one run at a fixed request rate.
type burst struct {
	c      *Cluster
	run    int
	digest string
	caller *Caller

	mu        sync.Mutex
	latencies []float64 // milliseconds
	offered   map[string]int
	good      map[string]int
	notRun    []string // prompts
	prompts   []string
	failed    int
	faults    map[string]int
	inWindow  int // complete answers that ended while requests were being sent
	began     time.Time
}

// offer sends requests at a fixed rate and does not wait for answers before
// sending the next one.
func (b *burst) offer(ctx context.Context, perSecond float64) {
	b.offered, b.good, b.faults = map[string]int{}, map[string]int{}, map[string]int{}
	var wg sync.WaitGroup
	b.began = time.Now()
	for i := 0; ; i++ {
		due := time.Duration(float64(i) / perSecond * float64(time.Second))
		if due >= burstDuration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(b.began.Add(due)))
		wg.Go(func() { b.send(ctx, i) })
	}
	wg.Wait()
}

func (b *burst) send(ctx context.Context, i int) {
	call := Call{
		Model: "rota", Prompt: fmt.Sprintf("burst %d %d", b.run, i), MaxTokens: burstTokens, Team: "kitchen", Deadline: burstDeadline,
	}
	if i%burstSmallEvery == 0 {
		call.Team = "parish"
	}
	a, err := b.caller.Stream(ctx, b.c.Entries[i%len(b.c.Entries)].Callers, call)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prompts = append(b.prompts, call.Prompt)
	b.offered[call.Team]++
	switch {
	case err == nil && a.Whole && a.Text == call.ExpectedText(b.digest) && a.Total <= burstDeadline:
		b.latencies = append(b.latencies, float64(a.Total.Microseconds())/1000)
		b.good[call.Team]++
		if time.Since(b.began) <= burstDuration {
			b.inWindow++ // excludes answers from the queue after the load has ended
		}
	case err == nil && a.Outcome == "not-run":
		b.notRun = append(b.notRun, call.Prompt)
	default:
		b.failed++
		b.faults[fault(a, err)]++
	}
}

// fault describes a failed request as the caller saw it.
func fault(a Answer, err error) string {
	if err != nil {
		return "broken connection"
	}
	if a.Whole {
		return "whole after the deadline"
	}
	var p awhttp.Problem
	_ = json.Unmarshal(a.Body, &p) // a body without a problem leaves the reason empty
	return fmt.Sprintf("%d %s %s: %s", a.Status, a.Outcome, p.Reason, p.Detail)
}

func (b *burst) served(team string) float64 {
	return float64(b.good[team]) / float64(max(1, b.offered[team]))
}

// audit compares the outcomes reported to callers with the runs that the
// engines counted, and adds the counts of this burst to res.
func (b *burst) audit(res *BurstResult) error {
	runs := map[uint64]int{}
	for _, n := range b.c.Agents {
		one := map[uint64]int{}
		if err := GetJSON(n.Backend+"/admin/runs", &one); err != nil {
			return eris.Wrap(err, "engine runs")
		}
		for prompt, k := range one {
			runs[prompt] += k
		}
	}
	for _, prompt := range b.notRun {
		if runs[awstandin.PromptHash(prompt)] > 0 {
			res.FalseNotRun++
		}
	}
	for _, prompt := range b.prompts {
		res.Doubled += max(0, runs[awstandin.PromptHash(prompt)]-1)
	}
	res.Whole += len(b.latencies)
	res.NotRun += len(b.notRun)
	res.Failed += b.failed
	if res.Faults == nil {
		res.Faults = map[string]int{}
	}
	for what, n := range b.faults {
		res.Faults[what] += n
	}
	return nil
}

// percentile returns the value below which the fraction p of the values lies,
// or 0 if there are no values.
func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}
