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

// BurstResult tells what callers get while three times the capacity is
// offered. Ratios are medians of Runs bursts, counts are sums.
type BurstResult struct {
	Experiment        string
	Runs              int
	CapacityPerSecond float64 // whole answers of the engines without entries and agents
	OfferedPerSecond  float64
	GoodputRatio      float64 // whole answers within their deadline over capacity
	SmallServedRatio  float64 // of the small team, which offers less than its share
	LargeServedRatio  float64
	WholeP99Ms        float64
	Whole             int
	NotRun            int
	Failed            int            // neither whole nor not-run
	Faults            map[string]int // of the failed, by what the caller saw
	FalseNotRun       int            // called not-run and started at an engine
	Doubled           int            // starts of a prompt beyond the first
	ColdOverloads     int
}

const (
	burstRuns     = 3
	burstTime     = 5 * time.Second
	burstSlots    = 8 // of each engine
	burstTokens   = 20
	burstDeadline = time.Second
	burstFactor   = 3
	burstSmall    = 10 // every tenth request comes from the small team
	burstSheet    = "Model,Version,Replicas,Domains,TeamShares,Fencing\n" +
		"rota,v1,3,merrimack narragansett champlain,kitchen=2 parish=1,checked\n"
	warmTime    = 4 * time.Second
	directTime  = 3 * time.Second
	burstWeight = 1 << 20
)

// Burst offers three times the capacity of three engines through three
// entries.
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
	warm(ctx, c, burstSlots*len(c.Agents), warmTime)
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
		goodput = append(goodput, float64(b.inTime)/burstTime.Seconds()/res.CapacityPerSecond)
		small = append(small, b.served("parish"))
		large = append(large, b.served("kitchen"))
		p99 = append(p99, percentile(b.whole, 0.99))
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

// engineFleet starts an entry and perSite engines for each site and waits
// until the first version of the sheet is served. It returns the digest of
// the weights.
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
	m, err := c.Publish("rota", "v1", RandomWeights(1, burstWeight), burstWeight/4)
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

// refusedPause keeps a closed loop from spinning on refusals.
const refusedPause = 20 * time.Millisecond

// warm runs a closed loop through the entries until every engine is warm.
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
					time.Sleep(refusedPause)
				}
			}
		})
	}
	wg.Wait()
}

// directCapacity returns the whole answers a second of all engines with every
// slot in use, without entries and agents.
func directCapacity(ctx context.Context, c *Cluster) float64 {
	ctx, cancel := context.WithTimeout(ctx, directTime)
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
	return float64(whole) / directTime.Seconds()
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

// burst is one run of offered load.
type burst struct {
	c      *Cluster
	run    int
	digest string
	caller *Caller

	mu      sync.Mutex
	whole   []float64 // milliseconds
	offered map[string]int
	good    map[string]int
	notRun  []string // prompts
	prompts []string
	failed  int
	faults  map[string]int
	inTime  int // whole answers that ended while load was offered
	began   time.Time
}

// offer sends requests at a fixed rate, whatever becomes of them.
func (b *burst) offer(ctx context.Context, perSecond float64) {
	b.offered, b.good, b.faults = map[string]int{}, map[string]int{}, map[string]int{}
	var wg sync.WaitGroup
	b.began = time.Now()
	for i := 0; ; i++ {
		due := time.Duration(float64(i) / perSecond * float64(time.Second))
		if due >= burstTime || ctx.Err() != nil {
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
	if i%burstSmall == 0 {
		call.Team = "parish"
	}
	a, err := b.caller.Stream(ctx, b.c.Entries[i%len(b.c.Entries)].Callers, call)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prompts = append(b.prompts, call.Prompt)
	b.offered[call.Team]++
	switch {
	case err == nil && a.Whole && a.Text == call.ExpectedText(b.digest) && a.Total <= burstDeadline:
		b.whole = append(b.whole, float64(a.Total.Microseconds())/1000)
		b.good[call.Team]++
		if time.Since(b.began) <= burstTime {
			b.inTime++ // the queue drains after the load has ended
		}
	case err == nil && a.Outcome == "not-run":
		b.notRun = append(b.notRun, call.Prompt)
	default:
		b.failed++
		b.faults[fault(a, err)]++
	}
}

// fault names what a caller saw of a request that failed.
func fault(a Answer, err error) string {
	if err != nil {
		return "broken connection"
	}
	if a.Whole {
		return "whole after the deadline"
	}
	var p awhttp.Problem
	_ = json.Unmarshal(a.Body, &p) // an empty reason is shown as such
	return fmt.Sprintf("%d %s %s: %s", a.Status, a.Outcome, p.Reason, p.Detail)
}

func (b *burst) served(team string) float64 {
	return float64(b.good[team]) / float64(max(1, b.offered[team]))
}

// audit compares what callers were told with what the engines ran.
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
	res.Whole += len(b.whole)
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

// percentile returns the value below which the share p of the values lies; 0
// for none.
func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}
