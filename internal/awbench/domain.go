package awbench

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"arbutuswind/core/awconfig"
	"arbutuswind/io/awcontrol"
)

// DomainResult is the result of [Domain] as callers saw it. The planned phase
// takes a failure domain out and brings it back.
type DomainResult struct {
	Experiment    string
	Requests      int
	Failed        int   // planned phase: requests without a complete, correct response
	Cut           int   // planned phase: failed requests that had received a token
	Wrong         int   // all phases: ended without an error, but with an unexpected text
	LastNewWorkMs int64 // from the accepted change until the domain last started a completion
	TtftP99Ms     float64
	TtftP99OutMs  float64 // from the time the domain is taken out until it has returned
	TtftP99Ratio  float64
	ColdOverloads int

	KillRequests  int
	KillFailed    int // requests without a complete, correct response even after retries
	KillCut       int
	KillEntryLost int // requests that were retried because their entry died
	KillTtftP99Ms float64

	BackendRequests  int // after the backend servers and agents of a domain are killed, but not its entry
	BackendFailed    int
	BackendCut       int
	BackendTtftP99Ms float64
	Details          []string // of the first failed requests, at most maxDetails
}

const (
	domainEngines  = 3 // per failure domain
	domainInterval = 10 * time.Millisecond
	domainTokens   = 60 // at a token interval of 10 ms, a stream takes about 0.6 s
	domainSteady   = 8 * time.Second
	domainOut      = 20 * time.Second
	domainReturn   = 8 * time.Second
	domainKill     = 8 * time.Second
	domainWarmUp   = 10 * time.Second // the engines start cold under the full load
	maxDetails     = 5
)

// Domain takes a failure domain out under steady load and brings it back with
// cold engines. It then kills the agents and backend servers of that domain, and
// later all processes of another domain.
func Domain(ctx context.Context, binDir string) (any, error) {
	c, err := NewCluster(binDir)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	digest, err := domainFleet(ctx, c)
	if err != nil {
		return nil, err
	}
	load := &Load{
		Cluster: c, Digest: digest, Interval: domainInterval,
		Call: Call{Model: "rota", Prompt: "roster for kitchen", MaxTokens: domainTokens, Team: "kitchen"},
	}
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		load.Run(loadCtx)
		close(done)
	}()
	res := &DomainResult{Experiment: "domain"}
	time.Sleep(domainWarmUp)
	steady := time.Now()
	time.Sleep(phase(ctx, domainSteady))
	out := time.Now()
	if err := takeDomainOutAndBack(ctx, c, res); err != nil {
		return res, err
	}
	time.Sleep(phase(ctx, domainReturn))
	if res.ColdOverloads, err = overloads(c, Sites); err != nil {
		return res, err
	}
	backends := time.Now()
	killSite(c, Sites[2], false)
	time.Sleep(phase(ctx, domainKill))
	kill := time.Now()
	killSite(c, Sites[1], true)
	time.Sleep(phase(ctx, domainKill))
	stop()
	<-done
	survivors, err := overloads(c, Sites[:1])
	if err != nil {
		return res, err
	}
	res.ColdOverloads = max(res.ColdOverloads, survivors)
	summarizeDomain(res, load, steady, out, backends, kill)
	return res, res.check()
}

func domainFleet(ctx context.Context, c *Cluster) (string, error) {
	if err := c.StartPlatform(ctx); err != nil {
		return "", err
	}
	for i, site := range Sites {
		if _, err := c.StartEntry(fmt.Sprintf("entry-%d", i), site, nil); err != nil {
			return "", err
		}
		for k := range domainEngines {
			if _, err := c.StartEngine(fmt.Sprintf("engine-%d-%d", i, k), site, nil, "--token-interval", "10ms"); err != nil {
				return "", err
			}
		}
	}
	for _, e := range c.Entries {
		if err := WaitHTTP(ctx, e.Operators+"/readyz"); err != nil {
			return "", err
		}
	}
	m, err := c.Publish("rota", "v1", RandomWeights(1, demoWeightBytes), demoChunkBytes)
	if err != nil {
		return "", err
	}
	n := domainEngines * len(Sites)
	sheet := fmt.Sprintf("Model,Version,Replicas,Domains,TeamShares,Fencing\n"+
		"rota,v1,%d,merrimack narragansett champlain,kitchen=2 parish=1,checked\n", n)
	if _, err := c.Entries[0].Operator().Apply(ctx, []byte(sheet), "bench", 0); err != nil {
		return "", err
	}
	for _, e := range c.Entries {
		if err := c.WaitServing(ctx, e, "rota", "v1", n); err != nil {
			return "", err
		}
	}
	return m.FileDigest, nil
}

// takeDomainOutAndBack takes the last domain out for domainOut and brings it
// back with cold engines.
func takeDomainOutAndBack(ctx context.Context, c *Cluster, res *DomainResult) error {
	site := Sites[2]
	op := c.Entries[0].Operator()
	if _, err := op.Change(ctx, awcontrol.ChangeRequest{Kind: awconfig.KindDomainOut, Target: site.Domain, Actor: "bench"}); err != nil {
		return err
	}
	accepted := time.Now()
	started, err := startedIn(c, site)
	if err != nil {
		return err
	}
	for time.Since(accepted) < domainOut {
		n, err := startedIn(c, site)
		if err != nil {
			return err
		}
		if n > started {
			started, res.LastNewWorkMs = n, time.Since(accepted).Milliseconds()
		}
		time.Sleep(pollPeriod)
	}
	for _, n := range c.Agents {
		if n.Site == site {
			if err := Fault(n.Backend, map[string]bool{"GoCold": true}); err != nil {
				return err
			}
		}
	}
	_, err = op.Change(ctx, awcontrol.ChangeRequest{Kind: awconfig.KindDomainIn, Target: site.Domain, Actor: "bench"})
	return err
}

// startedIn returns the number of completions that the engines of a site have
// started.
func startedIn(c *Cluster, site Site) (int, error) {
	total := 0
	for _, n := range c.Agents {
		if n.Site != site {
			continue
		}
		counts := map[string]int{}
		if err := GetJSON(n.Backend+"/admin/counts", &counts); err != nil {
			return 0, err
		}
		total += counts["Started"]
	}
	return total, nil
}

// killSite kills the agents and backend servers of a failure domain, and also
// its entries if entries is set.
func killSite(c *Cluster, site Site, entries bool) {
	nodes := append([]*Node{}, c.Agents...)
	if entries {
		nodes = append(nodes, c.Entries...)
	}
	for _, n := range nodes {
		if n.Site != site {
			continue
		}
		_ = n.Process.Signal(syscall.SIGKILL) // fails only if the process has already ended
		if n.Server != nil {
			_ = n.Server.Signal(syscall.SIGKILL)
		}
	}
}

// overloads returns how many overloads the engines in the sites have counted.
func overloads(c *Cluster, sites []Site) (int, error) {
	total := 0
	for _, n := range c.Agents {
		if !slices.Contains(sites, n.Site) {
			continue
		}
		counts := map[string]int{}
		if err := GetJSON(n.Backend+"/admin/counts", &counts); err != nil {
			return 0, err
		}
		total += counts["Overloads"]
	}
	return total, nil
}

func summarizeDomain(res *DomainResult, load *Load, steady, out, backends, kill time.Time) {
	before, during := load.Between(steady, steady, out), load.Between(steady, out, backends)
	backendsKilled, siteKilled := load.Between(steady, backends, kill), load.Between(steady, kill, time.Now())
	for _, s := range append(append([]Sample{}, before...), during...) {
		if s.EntryLost {
			res.Failed++ // no entry is killed in this phase, so a lost connection is a failure
		}
	}
	for _, phase := range []struct {
		samples               []Sample
		requests, failed, cut *int
	}{
		{before, &res.Requests, &res.Failed, &res.Cut},
		{during, &res.Requests, &res.Failed, &res.Cut},
		{backendsKilled, &res.BackendRequests, &res.BackendFailed, &res.BackendCut},
		{siteKilled, &res.KillRequests, &res.KillFailed, &res.KillCut},
	} {
		*phase.requests += len(phase.samples)
		for _, s := range phase.samples {
			res.addSample(s, phase.failed, phase.cut)
		}
	}
	for _, s := range siteKilled {
		if s.EntryLost {
			res.KillEntryLost++
		}
	}
	p99 := quantile(firstTokens(before), 0.99)
	p99Out := quantile(firstTokens(during), 0.99)
	res.TtftP99Ms, res.TtftP99OutMs = ms(p99), ms(p99Out)
	res.KillTtftP99Ms = ms(quantile(firstTokens(siteKilled), 0.99))
	res.BackendTtftP99Ms = ms(quantile(firstTokens(backendsKilled), 0.99))
	if p99 > 0 {
		res.TtftP99Ratio = float64(p99Out) / float64(p99)
	}
}

func (r *DomainResult) addSample(s Sample, failed, cut *int) {
	if s.Wrong {
		r.Wrong++
	}
	if s.Cut {
		*cut++
	}
	if !s.Whole {
		*failed++
		r.addDetail(s)
	}
}

func (r *DomainResult) addDetail(s Sample) {
	if len(r.Details) < maxDetails {
		r.Details = append(r.Details, s.Detail)
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
