package awbench

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"arbutuswind/core/awweights"
	"arbutuswind/internal/awstandin"
	"arbutuswind/io/awcontrol"
	"arbutuswind/io/awengine"
	"arbutuswind/io/awsettings"
)

// RolloutOptions are the options of the rollout experiment. The default rates
// keep the proportions of the design page: while one copy crosses the weights'
// share of a region link, the origin can send about four copies and an
// instance's link can carry about two.
type RolloutOptions struct {
	Replicas   int     `long:"replicas" default:"24" description:"agents that are to serve the version"`
	SizeMiB    int     `long:"size-mib" default:"8" description:"size of the weights"`
	OriginMbit float64 `long:"origin-mbit" default:"32" description:"rate of the weight origin"`
	LinkMbit   float64 `long:"link-mbit" default:"16" description:"rate of each instance's link, each way"`
	LinksMbit  float64 `long:"region-mbit" default:"20" description:"rate of each region link, each way"`
	RegionMbit float64 `long:"share-mbit" default:"10" description:"share of a region link for weights"`
	Only       string  `long:"only" value-name:"VARIANT" description:"run one variant: exchange, upgrade, baseline or faults"`
}

// RolloutResult is one variant of the experiment.
type RolloutResult struct {
	Experiment        string
	Variant           string
	Replicas          int
	SizeBytes         int
	SecondsToN        float64
	SecondsToHalf     float64
	BoundSeconds      float64
	Ratio             float64 // SecondsToN / BoundSeconds
	OriginCopies      float64
	RegionLinkCopies  float64 // largest number carried by one region link
	BadChunks         uint32
	BadServed         int
	Killed, Stalled   int     `json:",omitempty"`
	MinServing        int     `json:",omitempty"` // smallest number of replicas serving the model during an upgrade
	ScaledFromBytes   int     `json:",omitempty"` // smaller size that the baseline runs with and is scaled up from
	LoadAverage       string  // of the machine at the end
	SecondsUnscaled   float64 `json:",omitempty"`
	SecondsAllFetched float64 `json:",omitempty"`

	// Latency and failures of callers of the model, before and during an upgrade.
	QuietP99Ms   float64 `json:",omitempty"`
	CallersP99Ms float64 `json:",omitempty"` // until all agents hold the version
	SwitchP99Ms  float64 `json:",omitempty"` // from then on
	P99Ratio     float64 `json:",omitempty"`
	Calls        int     `json:",omitempty"`
	Failed       int     `json:",omitempty"`
	FailedWhy    string  `json:",omitempty"`

	Missed []string `json:",omitempty"` // missed targets
}

const (
	rolloutChunkBytes = 64 << 10
	// baselineShare divides the size of the weights for the baseline, which
	// takes N copies from the origin and would otherwise run too long.
	baselineShare = 16
)

// The targets of section 8 of the design page.
const (
	targetRatio       = 1.25 // at 96 replicas
	targetFaultsRatio = 1.6
	targetOrigin      = 1.1 // copies, without faults
	targetP99Ratio    = 1.2
)

// check records the targets that the variant missed.
func (res *RolloutResult) check() {
	miss := func(missed bool, name string) {
		if missed {
			res.Missed = append(res.Missed, name)
		}
	}
	miss(res.BadServed > 0, "BadServed")
	miss(res.Failed > 0, "Failed")
	switch res.Variant {
	case "exchange", "upgrade":
		miss(res.Variant == "exchange" && res.Ratio > targetRatio, "SecondsToN")
		miss(res.OriginCopies > targetOrigin, "OriginCopies")
		miss(res.P99Ratio > targetP99Ratio, "P99Ratio")
	case "faults":
		miss(res.Ratio > targetFaultsRatio, "SecondsToN")
	}
}

// rollout is the state of a running experiment.
type rollout struct {
	opts    RolloutOptions
	cluster *Cluster
	links   *awstandin.RegionLinks
	engines map[string]string // URL by instance
	stopped map[string]bool   // IDs of killed agents; stalled ones have the prefix "stalled "
	results []any

	onFetched func() // called when every agent holds the version; may be nil
}

// Rollout measures the time from accepting a version until N replicas serve it.
func Rollout(ctx context.Context, binDir string, opts RolloutOptions) (any, error) {
	c, err := NewCluster(binDir)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	r := &rollout{
		opts: opts, cluster: c, links: awstandin.NewRegionLinks(opts.LinksMbit),
		engines: map[string]string{}, stopped: map[string]bool{},
	}
	defer r.links.Close()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	variants := []struct {
		name string
		run  func(context.Context) error
	}{
		{"exchange", func(ctx context.Context) error { return r.placeEverywhere(ctx, "exchange", "alpha") }},
		{"upgrade", r.upgrade},
		{"baseline", r.baseline},
		{"faults", r.faults},
	}
	missed := false
	for _, v := range variants {
		if opts.Only != "" && opts.Only != v.name && (opts.Only != "upgrade" || v.name != "exchange") {
			continue
		}
		if err := v.run(ctx); err != nil {
			return r.results, eris.Wrap(err, v.name)
		}
		last := len(r.results) - 1
		res := r.results[last].(RolloutResult)
		res.check()
		r.results[last] = res
		missed = missed || len(res.Missed) > 0
	}
	if missed {
		return r.results, eris.New("the rollout missed a target")
	}
	return r.results, nil
}

// start starts the platform, an entry per site and the agents. All engines run
// in this process.
func (r *rollout) start(ctx context.Context) error {
	c := r.cluster
	if err := c.StartPlatform(ctx, "--origin-mbit", fmt.Sprint(r.opts.OriginMbit)); err != nil {
		return err
	}
	for i, site := range Sites {
		if _, err := c.StartEntry(fmt.Sprintf("entry-%d", i), site, nil); err != nil {
			return err
		}
	}
	for i := range r.opts.Replicas {
		if err := r.startAgent(i); err != nil {
			return err
		}
	}
	return WaitFor(ctx, "agents at every entry", func() (bool, error) {
		for _, e := range c.Entries {
			st, err := e.Operator().Status(ctx)
			if err != nil {
				return false, err
			}
			seen := 0
			for _, a := range st.Agents {
				if a.State != "SILENT" {
					seen++
				}
			}
			if seen < r.opts.Replicas {
				return false, eris.Errorf("%s sees %d agents", e.ID, seen)
			}
		}
		return true, nil
	})
}

func (r *rollout) startAgent(i int) error {
	site := Sites[i%len(Sites)]
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "engine listener")
	}
	engine := awstandin.NewEngine(awstandin.EngineConfig{
		TokenInterval: 2 * time.Millisecond, FirstToken: 5 * time.Millisecond, MaxRunning: 64,
		LoadTime: 100 * time.Millisecond, Fencing: i%2 == 0,
	})
	srv := &http.Server{Handler: engine.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(lis) }() // runs until this process exits
	n := &Node{ID: fmt.Sprintf("engine-%03d", i), Site: site, Backend: "http://" + lis.Addr().String()}
	r.engines[n.ID] = n.Backend
	err = r.cluster.StartAgent(n, func(s *awsettings.Agent) {
		s.Weights.LinkMbit, s.Weights.RegionMbit = r.opts.LinkMbit, r.opts.RegionMbit
		s.Platform.InstanceListURL += "?For=" + site.Region
	})
	if err != nil {
		return err
	}
	for _, from := range Sites {
		if from.Region == site.Region {
			continue
		}
		addr, err := r.links.Open(from.Region, site.Region, n.Inner)
		if err != nil {
			return eris.Wrap(err, "region link")
		}
		if err := r.cluster.put("/gateways", awstandin.Gateway{For: from.Region, Instance: n.ID, Address: addr}); err != nil {
			return err
		}
	}
	return nil
}

// bound returns the seconds that a copy of size bytes takes over the slowest
// link.
func (r *rollout) bound(size int) float64 {
	mbit := min(r.opts.OriginMbit, r.opts.LinkMbit)
	if r.opts.Replicas > 1 {
		mbit = min(mbit, r.opts.RegionMbit)
	}
	return float64(size) * 8 / (mbit * 1e6)
}

// counts are the bytes sent so far by the origin and over each region link.
type counts struct {
	origin int64
	links  map[[2]string]int64
}

func (r *rollout) counts() (counts, error) {
	var o struct{ OriginBytes int64 }
	err := GetJSON(r.cluster.Platform+"/admin/origin", &o)
	return counts{origin: o.OriginBytes, links: r.links.Bytes()}, err
}

// placeEverywhere places a new model on all agents at once and measures that.
func (r *rollout) placeEverywhere(ctx context.Context, variant, model string) error {
	return r.measure(ctx, variant, model, "v1", nil)
}

func (r *rollout) weights(model, version string) []byte {
	return RandomWeights(awweights.Score(model, version), r.opts.SizeMiB<<20)
}

func (r *rollout) fileDigest(model, version string) string {
	return awweights.Digest(r.weights(model, version))
}

// measure publishes and applies a version, waits until all running agents serve
// it, and appends the result. midway, if not nil, runs after half of the bound.
func (r *rollout) measure(ctx context.Context, variant, model, version string, midway func()) error {
	size := r.opts.SizeMiB << 20
	m, err := r.cluster.Publish(model, version, r.weights(model, version), rolloutChunkBytes)
	if err != nil {
		return err
	}
	before, err := r.counts()
	if err != nil {
		return err
	}
	res := RolloutResult{
		Experiment: "rollout", Variant: variant, Replicas: r.opts.Replicas, SizeBytes: size, BoundSeconds: r.bound(size),
	}
	sheet := fmt.Sprintf("Model,Version,Replicas,Domains,TeamShares,Fencing\n%s,%s,%d,%s,,ignored\n",
		model, version, r.opts.Replicas, strings.Join(siteDomains(), " "))
	// Each variant replaces the model of the previous one.
	options := awcontrol.ApplyOptions{Actor: "bench", AllowRemoval: true}
	began := time.Now()
	if _, err := r.cluster.Entries[0].Operator().ApplyWith(ctx, []byte(sheet), options); err != nil {
		return err
	}
	if midway != nil {
		timer := time.AfterFunc(time.Duration(res.BoundSeconds/2*float64(time.Second)), midway)
		defer timer.Stop()
	}
	raw, err := m.Encode()
	if err != nil {
		return err
	}
	err = r.waitServing(ctx, model, version, awweights.Digest(raw), began, &res)
	res.SecondsToN = time.Since(began).Seconds()
	res.Ratio = res.SecondsToN / res.BoundSeconds
	after, countErr := r.counts()
	if countErr != nil {
		return countErr
	}
	res.OriginCopies = float64(after.origin-before.origin) / float64(size)
	for link, n := range after.links {
		res.RegionLinkCopies = max(res.RegionLinkCopies, float64(n-before.links[link])/float64(size))
	}
	res.BadServed = r.badServed(model, version, m.FileDigest)
	res.LoadAverage = loadAverage()
	for id := range r.stopped {
		if strings.HasPrefix(id, "stalled ") {
			res.Stalled++
		} else {
			res.Killed++
		}
	}
	r.results = append(r.results, res)
	return err
}

func siteDomains() []string {
	var list []string
	for _, s := range Sites {
		list = append(list, s.Domain)
	}
	return list
}

// waitServing waits until every agent that is still running serves the version.
func (r *rollout) waitServing(ctx context.Context, model, version, digest string, began time.Time, res *RolloutResult) error {
	res.MinServing = r.opts.Replicas
	entry := r.cluster.Entries[0]
	return WaitFor(ctx, "replicas of "+model+" "+version, func() (bool, error) {
		st, err := entry.Operator().Status(ctx)
		if err != nil {
			return false, err
		}
		ready, serving, fetched, live := 0, 0, 0, 0
		res.BadChunks = 0
		for _, a := range st.Agents {
			if r.stopped[a.Instance] || r.stopped["stalled "+a.Instance] {
				continue
			}
			live++
			res.BadChunks += a.BadChunks
			if a.TransferDigest == digest && a.Chunks > 0 && a.ChunksHeld == a.Chunks {
				fetched++
			}
			if a.Model == model {
				serving++
				if a.Version == version {
					ready++
				}
			}
		}
		res.MinServing = min(res.MinServing, serving)
		r.trace(began, st)
		if ready*2 >= live && res.SecondsToHalf == 0 {
			res.SecondsToHalf = time.Since(began).Seconds()
		}
		if fetched == live && res.SecondsAllFetched == 0 {
			res.SecondsAllFetched = time.Since(began).Seconds()
			if r.onFetched != nil {
				r.onFetched()
			}
		}
		return ready >= r.opts.Replicas-len(r.stopped), eris.Errorf("%d replicas are ready, %d hold the version", ready, fetched)
	})
}

// badServed counts the engines that report the version but hold other weights.
func (r *rollout) badServed(model, version, fileDigest string) int {
	bad := 0
	for _, url := range r.engines {
		var st awengine.Status
		if err := GetJSON(url+"/status", &st); err != nil {
			continue
		}
		if st.Model == model && st.Version == version && st.Digest != fileDigest {
			bad++
		}
	}
	return bad
}

// faults kills a tenth of the agents midway and stalls one, while 1% of the
// chunks are corrupted at the origin and on the region links.
func (r *rollout) faults(ctx context.Context) error {
	if err := Fault(r.cluster.Platform, awstandin.PlatformFault{CorruptPercent: 1}); err != nil {
		return err
	}
	r.links.Corrupt(1)
	agents := r.cluster.Agents
	kill := max(1, len(agents)/10)
	for i := range kill {
		r.stopped[agents[i*len(agents)/kill].ID] = true
	}
	stalled := agents[len(agents)-1]
	for _, n := range agents {
		if n.Site == Sites[0] && !r.stopped[n.ID] {
			stalled = n // in the store's region, where a stalled agent does the most harm
		}
	}
	r.stopped["stalled "+stalled.ID] = true
	return r.measure(ctx, "faults", "gamma", "v1", func() {
		_ = stalled.Process.Signal(syscall.SIGSTOP)
		for _, n := range agents {
			if r.stopped[n.ID] {
				_ = n.Process.Signal(syscall.SIGKILL)
			}
		}
	})
}

// baseline fetches a smaller version from the origin once per replica, and
// scales the time up to the full size.
func (r *rollout) baseline(ctx context.Context) error {
	size := (r.opts.SizeMiB << 20) / baselineShare
	m, err := r.cluster.Publish("baseline", "v1", RandomWeights(3, size), rolloutChunkBytes)
	if err != nil {
		return err
	}
	before, err := r.counts()
	if err != nil {
		return err
	}
	began := time.Now()
	var wg sync.WaitGroup
	errs := make(chan error, r.opts.Replicas)
	for range r.opts.Replicas {
		wg.Go(func() { errs <- r.fetchAll(ctx, m) })
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	took := time.Since(began).Seconds()
	after, err := r.counts()
	full := r.opts.SizeMiB << 20
	r.results = append(r.results, RolloutResult{
		Experiment: "rollout", Variant: "baseline", Replicas: r.opts.Replicas, SizeBytes: full, ScaledFromBytes: size,
		SecondsUnscaled: took, SecondsToN: took * baselineShare, BoundSeconds: r.bound(full),
		Ratio: took * baselineShare / r.bound(full), OriginCopies: float64(after.origin-before.origin) / float64(size),
		LoadAverage: loadAverage(),
	})
	return err
}

func (r *rollout) fetchAll(ctx context.Context, m awweights.Manifest) error {
	for _, digest := range m.Chunks {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.cluster.Platform+"/chunks/"+digest, nil)
		if err != nil {
			return eris.Wrap(err, "request")
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return eris.Wrap(err, "fetch chunk")
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return eris.Wrap(err, "fetch chunk")
		}
	}
	return nil
}

func (r *rollout) trace(began time.Time, st awcontrol.Status) {
	if os.Getenv("AWBENCH_TRACE") == "" {
		return
	}
	lo, hi, sum, n := map[string]uint32{}, map[string]uint32{}, map[string]uint32{}, map[string]uint32{}
	for _, a := range st.Agents {
		d := a.Domain
		if n[d] == 0 || a.ChunksHeld < lo[d] {
			lo[d] = a.ChunksHeld
		}
		hi[d] = max(hi[d], a.ChunksHeld)
		sum[d] += a.ChunksHeld
		n[d]++
	}
	fmt.Fprintf(os.Stderr, "%5.2f", time.Since(began).Seconds())
	for _, d := range siteDomains() {
		fmt.Fprintf(os.Stderr, "  %s %d..%d avg %d", d[:5], lo[d], hi[d], sum[d]/max(1, n[d]))
	}
	fmt.Fprintln(os.Stderr)
}
