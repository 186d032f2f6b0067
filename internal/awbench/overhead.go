package awbench

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"arbutuswind/io/awengine"
)

// OverheadResult compares calls through an entry and an agent with direct
// calls to the engine. Added times are to the first token unless noted.
type OverheadResult struct {
	Experiment        string
	Requests          int // per path: direct and through the system
	DirectP50Us       int64
	DirectP99Us       int64
	AddedP50Us        int64 // difference of the quantiles
	AddedP99Us        int64
	WholeP50AddedUs   int64 // until the end of the answer
	LoadRequests      int
	RequestsPerSecond float64
	RequestsPerCore   float64 // requests per CPU second used by entry and agent
}

const (
	overheadPairs    = 1500
	overheadTokens   = 8
	overheadRuns     = 3 // the result holds their medians
	overheadParallel = 32
	overheadLoad     = 4 * time.Second
)

// Overhead measures the added latency by alternating direct engine calls with
// calls through the system, and then the throughput per core.
func Overhead(ctx context.Context, binDir string) (any, error) {
	c, err := NewCluster(binDir)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	agent, err := overheadFleet(ctx, c)
	if err != nil {
		return nil, err
	}
	call := Call{Model: "rota", Prompt: "roster for the kitchen", MaxTokens: overheadTokens, Team: "kitchen"}
	caller, direct := NewCaller(), awengine.New(agent.Backend)
	var runs [][5]time.Duration
	for range repeats(ctx, overheadRuns) {
		run, err := overheadPairsRun(ctx, c, caller, direct, call)
		if err != nil {
			return nil, err
		}
		runs = append(runs, run)
	}
	medianOf := func(i int) int64 {
		var d []time.Duration
		for _, r := range runs {
			d = append(d, r[i])
		}
		return quantile(d, 0.5).Microseconds()
	}
	res := &OverheadResult{
		Experiment: "overhead", Requests: overheadPairs, DirectP50Us: medianOf(0), DirectP99Us: medianOf(1),
		AddedP50Us: medianOf(2), AddedP99Us: medianOf(3), WholeP50AddedUs: medianOf(4),
	}
	if err := overheadThroughput(ctx, c, agent, caller, call, res); err != nil {
		return res, err
	}
	return res, res.check()
}

func overheadFleet(ctx context.Context, c *Cluster) (*Node, error) {
	if err := c.StartPlatform(ctx); err != nil {
		return nil, err
	}
	e, err := c.StartEntry("entry-0", Sites[0], nil)
	if err != nil {
		return nil, err
	}
	agent, err := c.StartEngine("engine-0", Sites[0], nil, "--first-token", "0s", "--token-interval", "0s")
	if err != nil {
		return nil, err
	}
	if err := WaitHTTP(ctx, e.Operators+"/readyz"); err != nil {
		return nil, err
	}
	if _, err := c.Publish("rota", "v1", RandomWeights(1, demoWeightBytes), demoChunkBytes); err != nil {
		return nil, err
	}
	sheet := "Model,Version,Replicas,Domains,TeamShares,Fencing\nrota,v1,1,merrimack,kitchen=1,checked\n"
	if _, err := e.Operator().Apply(ctx, []byte(sheet), "bench", 0); err != nil {
		return nil, err
	}
	return agent, c.WaitServing(ctx, e, "rota", "v1", 1)
}

// overheadPairsRun returns the direct p50 and p99 and the added p50 and p99, all
// to the first token, and the added p50 to the end of the answer.
func overheadPairsRun(
	ctx context.Context, c *Cluster, caller *Caller, direct *awengine.Client, call Call,
) ([5]time.Duration, error) {
	var first, whole, firstVia, wholeVia []time.Duration
	const warmUp = 50
	for i := range overheadPairs + warmUp {
		f, w, err := directCall(ctx, direct, call)
		if err != nil {
			return [5]time.Duration{}, err
		}
		a, err := caller.Stream(ctx, c.Entries[0].Callers, call)
		if err != nil {
			return [5]time.Duration{}, err
		}
		if !a.Whole {
			return [5]time.Duration{}, eris.Errorf("answer is incomplete: status %d, %s", a.Status, a.Body)
		}
		if i >= warmUp {
			first, whole = append(first, f), append(whole, w)
			firstVia, wholeVia = append(firstVia, a.FirstToken), append(wholeVia, a.Total)
		}
	}
	p50, p99 := quantile(first, 0.5), quantile(first, 0.99)
	return [5]time.Duration{
		p50, p99, quantile(firstVia, 0.5) - p50, quantile(firstVia, 0.99) - p99,
		quantile(wholeVia, 0.5) - quantile(whole, 0.5),
	}, nil
}

func directCall(ctx context.Context, direct *awengine.Client, call Call) (first, whole time.Duration, err error) {
	began := time.Now()
	s, err := direct.Complete(ctx, awengine.Completion{Model: call.Model, Prompt: call.Prompt, MaxTokens: uint32(call.MaxTokens)})
	if err != nil {
		return 0, 0, err
	}
	defer s.Close()
	for range call.MaxTokens {
		if _, err := s.Next(); err != nil {
			return 0, 0, eris.Wrap(err, "direct call")
		}
		if first == 0 {
			first = time.Since(began)
		}
	}
	return first, time.Since(began), nil
}

func overheadThroughput(ctx context.Context, c *Cluster, agent *Node, caller *Caller, call Call, res *OverheadResult) error {
	pids := []int{c.Entries[0].Process.PID(), agent.Process.PID()}
	cpu, err := cpuSeconds(pids)
	if err != nil {
		return err
	}
	began := time.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	for range overheadParallel {
		wg.Go(func() {
			for time.Since(began) < overheadLoad {
				a, err := caller.Stream(ctx, c.Entries[0].Callers, call)
				mu.Lock()
				switch {
				case err != nil:
					failed = err
				case !a.Whole:
					failed = eris.Errorf("answer is incomplete: status %d, %s", a.Status, a.Body)
				default:
					res.LoadRequests++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if failed != nil {
		return failed
	}
	after, err := cpuSeconds(pids)
	if err != nil {
		return err
	}
	res.RequestsPerSecond = float64(res.LoadRequests) / time.Since(began).Seconds()
	res.RequestsPerCore = float64(res.LoadRequests) / (after - cpu)
	return nil
}

// clockTicks is the number of ticks a second in which /proc counts CPU time.
const clockTicks = 100

// cpuSeconds returns the total CPU time that the processes have used.
func cpuSeconds(pids []int) (float64, error) {
	ticks := 0
	for _, pid := range pids {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			return 0, eris.Wrap(err, "cpu time")
		}
		// The process name in parentheses may contain spaces, so fields are
		// counted after it.
		_, rest, _ := strings.Cut(string(data), ") ")
		fields := strings.Fields(rest)
		const utime, stime = 11, 12
		for _, i := range []int{utime, stime} {
			n, err := strconv.Atoi(fields[i])
			if err != nil {
				return 0, eris.Wrap(err, "cpu time")
			}
			ticks += n
		}
	}
	return float64(ticks) / clockTicks, nil
}
