package awbench

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"arbutuswind/core/awconfig"
	"arbutuswind/io/awsettings"
)

// CapacityResult holds the slopes from which docs/CAPACITY.md extrapolates.
// The sizes at which a group of slopes is measured precede the group.
type CapacityResult struct {
	Experiment string

	Placements          []int
	StateBytes          Slope // of the encoded state, by placement
	ApplyDigestUs       Slope // to apply a change and compute its digest, by placement
	ViewBytes           int   // of one agent's view without peers
	Agents              []int
	EntryRSSByAgent     Slope   // bytes, by agent watched
	EntryCPUByAgent     Slope   // microseconds a second, by agent watched
	EntryRPCByAgent     Slope   // bytes a second sent and received, by agent watched
	EntryStoreBytes     float64 // bytes a second between the largest entry and the platform
	AgentRSSBytes       float64
	AgentCPUUsPerSecond float64 // idle, watched by one entry
	AgentRPCBytes       float64 // bytes a second, idle, watched by one entry
	AgentStoreBytes     float64 // bytes a second between an idle agent and the platform
	Streams             []int
	EntryRSSByStream    Slope // bytes, by open stream
	AgentRSSByStream    Slope
	EntryCPUUsPerToken  float64 // median over the sizes
	AgentCPUUsPerToken  float64
	WeightMB            []int
	AgentRSSByWeightMB  Slope // bytes of an agent, by MB of weights held
	AgentCPUByWeightMB  Slope // microseconds to fetch, check and load, by MB
}

const (
	capacitySettle   = 2 * time.Second // time for a process to become idle
	capacityWindow   = 6 * time.Second // period over which CPU time is measured
	capacityTokens   = 1000
	capacityInterval = "10ms" // between tokens
)

// Capacity measures how costs grow with placements, watched agents, open
// streams and the size of weights.
func Capacity(ctx context.Context, binDir string) (any, error) {
	res := &CapacityResult{
		Experiment: "capacity", Placements: []int{1000, 3000, 7300}, Agents: []int{8, 32, 96}, Streams: []int{50, 200, 400},
		WeightMB: []int{8, 32, 64},
	}
	if err := res.state(); err != nil {
		return nil, err
	}
	if err := res.agents(ctx, binDir); err != nil {
		return nil, err
	}
	if err := res.streams(ctx, binDir); err != nil {
		return nil, err
	}
	return res, res.weights(ctx, binDir)
}

func (r *CapacityResult) state() error {
	var bytes, times []Point
	for _, n := range r.Placements {
		s := stateOf(n)
		data, err := s.Encode()
		if err != nil {
			return err
		}
		const rounds = 20
		began := time.Now()
		for i := range rounds {
			next, err := s.Apply(awconfig.Change{Revision: s.Revision + 1, Kind: awconfig.KindDomainOut, Target: fmt.Sprint(i)})
			if err != nil {
				return err
			}
			_ = next.Digest()
		}
		bytes = append(bytes, Point{float64(n), float64(len(data))})
		times = append(times, Point{float64(n), float64(time.Since(began).Microseconds()) / rounds})
	}
	view, err := stateOf(1).View("instance-00000", "domain-0").Encode()
	if err != nil {
		return err
	}
	r.StateBytes, r.ApplyDigestUs, r.ViewBytes = FitSlope(bytes), FitSlope(times), len(view)
	return nil
}

// stateOf returns a state with one model that has n placements.
func stateOf(n int) *awconfig.State {
	const digest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
	s := awconfig.NewState()
	s.Models["rota"] = awconfig.Model{Name: "rota", Version: "v1", Digest: digest, Replicas: n, Domains: []string{"domain-0"}}
	for i := range n {
		s.Placements[fmt.Sprintf("instance-%05d", i)] = awconfig.Placement{Model: "rota", Version: "v1", Digest: digest, Fence: 1}
	}
	return s
}

// agents measures an entry that watches agents of plain services. They are
// idle and add no cost of their own.
func (r *CapacityResult) agents(ctx context.Context, binDir string) error {
	var rss, cpu, rpc []Point
	for _, n := range r.Agents {
		entry, agent, err := idleFleet(ctx, binDir, n)
		if err != nil {
			return err
		}
		x := float64(n)
		rss = append(rss, Point{x, entry.RSSMB * bytesPerMB})
		cpu = append(cpu, Point{x, entry.CorePercent * usPerPercent})
		rpc = append(rpc, Point{x, entry.RPCBytesPerSec})
		r.EntryStoreBytes = entry.StoreBytesPerSec
		r.AgentRSSBytes, r.AgentCPUUsPerSecond = agent.RSSMB*bytesPerMB, agent.CorePercent*usPerPercent
		r.AgentRPCBytes, r.AgentStoreBytes = agent.RPCBytesPerSec, agent.StoreBytesPerSec
	}
	r.EntryRSSByAgent, r.EntryCPUByAgent, r.EntryRPCByAgent = FitSlope(rss), FitSlope(cpu), FitSlope(rpc)
	return nil
}

const (
	bytesPerMB   = 1 << 20
	usPerPercent = 10_000 // microseconds a second in one percent of a core
)

// idleFleet returns what an entry and one of its n agents use over
// capacityWindow without requests.
func idleFleet(ctx context.Context, binDir string, n int) (entry, agent Cost, err error) {
	c, err := NewCluster(binDir)
	if err != nil {
		return entry, agent, err
	}
	defer c.Close()
	if err := c.StartPlatform(ctx); err != nil {
		return entry, agent, err
	}
	e, err := c.StartEntry("entry-0", Sites[0], nil)
	if err != nil {
		return entry, agent, err
	}
	backend, err := c.StartService("service-0", "roster", Sites[0])
	if err != nil {
		return entry, agent, err
	}
	for i := 1; i < n; i++ {
		// Each agent has its own service, because an entry watches only some of
		// the agents of one service.
		node := &Node{ID: fmt.Sprintf("service-%d", i), Site: Sites[i%len(Sites)], Backend: backend.Backend, Service: fmt.Sprintf("roster-%d", i)}
		if err := c.StartAgent(node, nil); err != nil {
			return entry, agent, err
		}
	}
	if err := waitAgents(ctx, e, n); err != nil {
		return entry, agent, err
	}
	time.Sleep(capacitySettle)
	return costOver(ctx, e, backend)
}

// costOver returns what an entry and an agent use over capacityWindow.
func costOver(ctx context.Context, e, a *Node) (entry, agent Cost, err error) {
	read := func() (both [2]Reading, err error) {
		if both[0], err = ReadUsage(e.Process, e.Operators+"/metrics"); err != nil {
			return both, err
		}
		both[1], err = ReadUsage(a.Process, a.Local+"/metrics")
		return both, err
	}
	before, err := read()
	if err != nil {
		return entry, agent, err
	}
	time.Sleep(phase(ctx, capacityWindow))
	after, err := read()
	if err != nil {
		return entry, agent, err
	}
	return MeanCost(before[:1], after[:1]), MeanCost(before[1:], after[1:]), nil
}

// weights measures an agent that fetches and loads a version from the origin.
func (r *CapacityResult) weights(ctx context.Context, binDir string) error {
	var rss, cpu []Point
	for _, mb := range r.WeightMB {
		u, err := weightCost(ctx, binDir, mb)
		if err != nil {
			return err
		}
		rss = append(rss, Point{float64(mb), float64(u.RSSBytes)})
		cpu = append(cpu, Point{float64(mb), float64(u.CPU.Microseconds())})
	}
	r.AgentRSSByWeightMB, r.AgentCPUByWeightMB = FitSlope(rss), FitSlope(cpu)
	return nil
}

func weightCost(ctx context.Context, binDir string, mb int) (Usage, error) {
	c, err := NewCluster(binDir)
	if err != nil {
		return Usage{}, err
	}
	defer c.Close()
	_, a, err := oneEngine(ctx, c, 1, mb<<20)
	if err != nil {
		return Usage{}, err
	}
	return a.Process.Usage()
}

func waitAgents(ctx context.Context, e *Node, n int) error {
	return WaitFor(ctx, fmt.Sprintf("%d agents", n), func() (bool, error) {
		st, err := e.Operator().Status(ctx)
		if err != nil {
			return false, err
		}
		ready := 0
		for _, a := range st.Agents {
			if a.State == "READY" || a.State == "COLD" {
				ready++
			}
		}
		return ready >= n, eris.Errorf("%d agents are ready", ready)
	})
}

// streams measures one entry and one agent with open streams.
func (r *CapacityResult) streams(ctx context.Context, binDir string) error {
	var entryRSS, agentRSS []Point
	var entryCPU, agentCPU []float64
	for _, n := range r.Streams {
		entry, agent, err := busyFleet(ctx, binDir, n)
		if err != nil {
			return err
		}
		tokens := float64(n) * 100 // per second: each stream sends one every capacityInterval
		entryRSS = append(entryRSS, Point{float64(n), entry.RSSMB * bytesPerMB})
		agentRSS = append(agentRSS, Point{float64(n), agent.RSSMB * bytesPerMB})
		entryCPU = append(entryCPU, entry.CorePercent*usPerPercent/tokens)
		agentCPU = append(agentCPU, agent.CorePercent*usPerPercent/tokens)
	}
	r.EntryRSSByStream, r.AgentRSSByStream = FitSlope(entryRSS), FitSlope(agentRSS)
	r.EntryCPUUsPerToken, r.AgentCPUUsPerToken = median(entryCPU), median(agentCPU)
	return nil
}

func busyFleet(ctx context.Context, binDir string, n int) (entry, agent Cost, err error) {
	c, err := NewCluster(binDir)
	if err != nil {
		return entry, agent, err
	}
	defer c.Close()
	e, a, err := oneEngine(ctx, c, n, 1<<20)
	if err != nil {
		return entry, agent, err
	}
	callCtx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	caller := NewCaller()
	for i := range n {
		wg.Go(func() {
			call := Call{Model: "rota", Prompt: fmt.Sprintf("capacity %d", i), MaxTokens: capacityTokens, Team: "kitchen"}
			_, _ = caller.Stream(callCtx, e.Callers, call) // canceled when the measurement ends
		})
	}
	err = WaitFor(ctx, "open streams", func() (bool, error) {
		counts := map[string]int{}
		if err := GetJSON(a.Backend+"/admin/counts", &counts); err != nil {
			return false, err
		}
		return counts["Running"] >= n, eris.Errorf("%d streams are open", counts["Running"])
	})
	if err != nil {
		return entry, agent, err
	}
	return costOver(ctx, e, a)
}

// oneEngine starts an entry and a warm engine that takes n streams at once
// and has weights of the given size.
func oneEngine(ctx context.Context, c *Cluster, n, weightBytes int) (*Node, *Node, error) {
	if err := c.StartPlatform(ctx); err != nil {
		return nil, nil, err
	}
	e, err := c.StartEntry("entry-0", Sites[0], nil)
	if err != nil {
		return nil, nil, err
	}
	a, err := c.StartEngine("engine-0", Sites[0], func(cfg *awsettings.Agent) {
		cfg.Limits.MaxInFlight, cfg.Limits.ColdInFlight, cfg.Limits.MaxQueue = n, n, n
		cfg.Limits.BytesPerToken = 1
	}, "--token-interval", capacityInterval, "--cold-requests", "1", "--cold-limit", "0",
		"--max-running", fmt.Sprint(n), "--bytes-per-token", "1")
	if err != nil {
		return nil, nil, err
	}
	if _, err := c.Publish("rota", "v1", RandomWeights(1, weightBytes), min(1<<20, weightBytes/8)); err != nil {
		return nil, nil, err
	}
	if err := WaitHTTP(ctx, e.Operators+"/readyz"); err != nil {
		return nil, nil, err
	}
	sheet := "Model,Version,Replicas,Domains,TeamShares,Fencing\nrota,v1,1," + Sites[0].Domain + ",,checked\n"
	if err := applyWhenListed(ctx, e, sheet); err != nil {
		return nil, nil, err
	}
	if err := c.WaitServing(ctx, e, "rota", "v1", 1); err != nil {
		return nil, nil, err
	}
	// One short call completes the cold start of the engine.
	a0, err := NewCaller().Stream(ctx, e.Callers, Call{Model: "rota", Prompt: "warm", MaxTokens: 1, Team: "kitchen"})
	if err != nil || !a0.Whole {
		return nil, nil, eris.Errorf("warm-up call failed: status %d, %v", a0.Status, err)
	}
	return e, a, waitWarm(ctx, e)
}

func applyWhenListed(ctx context.Context, e *Node, sheet string) error {
	return WaitFor(ctx, "the sheet to be accepted", func() (bool, error) {
		_, err := e.Operator().Apply(ctx, []byte(sheet), "bench", 0)
		return err == nil, err
	})
}

func waitWarm(ctx context.Context, e *Node) error {
	return WaitFor(ctx, "a warm engine", func() (bool, error) {
		st, err := e.Operator().Status(ctx)
		if err != nil {
			return false, err
		}
		for _, a := range st.Agents {
			if a.State != "READY" {
				return false, eris.Errorf("%s is %s", a.Instance, a.State)
			}
		}
		return true, nil
	})
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
