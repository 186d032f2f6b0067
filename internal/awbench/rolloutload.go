package awbench

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// liveLoad is closed-loop load on a model during a rollout.
type liveLoad struct {
	entries  []*Node
	model    string
	replicas int
	digests  []string // weight digests of the versions that may answer

	mu          sync.Mutex
	totals      []time.Duration
	failed      int
	lastFailure string // details of the last failed call
}

const (
	// maxLiveCallers limits the callers, of which there is one for every two
	// replicas up to this number. The load must stay below the capacity that is left while a
	// quarter of the replicas change version and the others are in cold start.
	maxLiveCallers = 12
	// liveTokens is the length of a stream, which takes about 0.13 s at the
	// stand-in's 2 ms a token.
	liveTokens = 64
	livePause  = 50 * time.Millisecond
	// quietDuration is the warm-up time of the callers, and the time for which they
	// are then measured before the rollout.
	quietDuration = 4 * time.Second
)

// start sends streams until ctx ends. The returned function waits until all
// calls have ended.
func (l *liveLoad) start(ctx context.Context) (wait func()) {
	var wg sync.WaitGroup
	for i := range min(maxLiveCallers, max(1, l.replicas/2)) {
		wg.Go(func() {
			caller := NewCaller()
			for n := 0; ctx.Err() == nil; n++ {
				call := Call{
					Model: l.model, Prompt: fmt.Sprintf("caller %d asks %d", i, n), MaxTokens: liveTokens, Team: "kitchen",
				}
				// A call that is in flight when the load ends runs to completion.
				a, err := caller.Stream(context.WithoutCancel(ctx), l.entries[i%len(l.entries)].Callers, call)
				l.record(call, a, err)
				select {
				case <-ctx.Done():
				case <-time.After(livePause):
				}
			}
		})
	}
	return wg.Wait
}

func (l *liveLoad) record(call Call, a Answer, err error) {
	matches := func(digest string) bool { return a.Text == call.ExpectedText(digest) }
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil || !a.Whole || !slices.ContainsFunc(l.digests, matches) {
		l.failed++
		l.lastFailure = fmt.Sprintf("status %d outcome %s error %v: %.200s", a.Status, a.Outcome, err, a.Body)
		return
	}
	l.totals = append(l.totals, a.Total)
}

// take returns the p99 in milliseconds, the calls and the failures since it was
// last called, and resets them.
func (l *liveLoad) take() (p99Ms float64, calls, failed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.Sort(l.totals)
	if n := len(l.totals); n > 0 {
		p99Ms = float64(l.totals[min(n-1, n*99/100)].Microseconds()) / 1000
	}
	calls, failed = len(l.totals)+l.failed, l.failed
	l.totals, l.failed = nil, 0
	return p99Ms, calls, failed
}

// upgrade replaces the served version by the next one while callers use the
// model.
func (r *rollout) upgrade(ctx context.Context) error {
	load := &liveLoad{entries: r.cluster.Entries, model: "alpha", replicas: r.opts.Replicas}
	for _, version := range []string{"v1", "v2"} {
		load.digests = append(load.digests, r.fileDigest(load.model, version))
	}
	loadCtx, stop := context.WithCancel(ctx)
	wait := load.start(loadCtx)
	defer wait()
	defer stop()
	time.Sleep(quietDuration)
	_, _, warmUp := load.take()
	time.Sleep(quietDuration)
	quiet, _, quietFailed := load.take()
	var fetchP99 float64
	var calls, failed int
	r.onFetched = func() { fetchP99, calls, failed = load.take() }
	err := r.measure(ctx, "upgrade", load.model, "v2", nil)
	r.onFetched = nil
	if err != nil {
		return err
	}
	stop()
	wait()
	res := r.results[len(r.results)-1].(RolloutResult)
	res.QuietP99Ms, res.CallersP99Ms = quiet, fetchP99
	res.SwitchP99Ms, res.Calls, res.Failed = load.take()
	res.P99Ratio = max(res.CallersP99Ms, res.SwitchP99Ms) / max(quiet, 1)
	res.Calls += calls
	res.Failed += failed + warmUp + quietFailed
	res.FailedWhy = load.lastFailure
	r.results[len(r.results)-1] = res
	return nil
}
