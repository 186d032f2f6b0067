package awbench

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Load is an open-loop load of streamed completions over all entries. A
// request starts every Interval, whether earlier ones have ended or not.
type Load struct {
	Cluster  *Cluster
	Call     Call // the prompt gets the number of the request appended
	Digest   string
	Interval time.Duration

	caller *Caller
	mu     sync.Mutex
	samples  []Sample
	notReady   map[string]bool // entries that the balancer has taken out
	seq    atomic.Int64
	wg     sync.WaitGroup
}

// Sample is one finished request of a [Load].
type Sample struct {
	Began      time.Time
	Ended      time.Time
	FirstToken time.Duration
	Whole      bool
	Wrong      bool   // ended cleanly with another text than expected
	Cut        bool   // broke off or ended with an error event after its first token
	EntryLost  bool   // the connection to the entry broke; the caller repeated the call
	Detail     string // of a failed request
}

// balancerPeriod is how often the balancer asks the entries for readiness.
const balancerPeriod = 250 * time.Millisecond

// Run sends requests until ctx ends, then waits for those that run.
func (l *Load) Run(ctx context.Context) {
	l.caller, l.notReady = NewCaller(), map[string]bool{}
	balancerCtx, stop := context.WithCancel(context.Background())
	defer stop()
	go l.pollReadiness(balancerCtx)
	tick := time.NewTicker(l.Interval)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
			l.wg.Add(1)
			go l.send(l.seq.Add(1))
		}
	}
	l.wg.Wait()
}

// pollReadiness takes entries that are not ready out of the rotation, as the
// platform's balancer does.
func (l *Load) pollReadiness(ctx context.Context) {
	client := &http.Client{Timeout: balancerPeriod}
	for ctx.Err() == nil {
		for _, e := range l.Cluster.Entries {
			resp, err := client.Get(e.Operators + "/readyz")
			ok := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close()
			}
			l.mu.Lock()
			l.notReady[e.ID] = !ok
			l.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(balancerPeriod):
		}
	}
}

func (l *Load) pickEntry(n int64) *Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := l.Cluster.Entries
	for i := range entries {
		if e := entries[(int(n)+i)%len(entries)]; !l.notReady[e.ID] {
			return e
		}
	}
	return entries[int(n)%len(entries)]
}

// callTimeout bounds one request of a load.
const callTimeout = 30 * time.Second

// maxRepeats bounds how often a caller repeats a call after its entry died.
const maxRepeats = 4

func (l *Load) send(n int64) {
	defer l.wg.Done()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	call := l.Call
	call.Prompt = fmt.Sprintf("%s %d", call.Prompt, n)
	s := Sample{Began: time.Now()}
	for i := range int64(maxRepeats) {
		a, err := l.caller.Stream(ctx, l.pickEntry(n+i).Callers, call)
		if refusedConnection(err) {
			time.Sleep(pollPeriod) // nothing was sent; the balancer tries another entry
			continue
		}
		s.Detail = ""
		if err != nil && ctx.Err() == nil {
			// The connection to the entry broke, which the caller sees.
			s.EntryLost, s.Detail = true, err.Error()
			continue
		}
		s.FirstToken = a.FirstToken
		s.Whole = a.Whole && a.Text == call.ExpectedText(l.Digest)
		s.Wrong = a.Whole && !s.Whole
		s.Cut = !a.Whole && a.FirstToken > 0
		if !s.Whole {
			s.Detail = fmt.Sprintf("status %d outcome %q body %s err %v", a.Status, a.Outcome, a.Body, err)
		}
		break
	}
	s.Ended = time.Now()
	l.mu.Lock()
	l.samples = append(l.samples, s)
	l.mu.Unlock()
}

func refusedConnection(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && errors.Is(err, syscall.ECONNREFUSED)
}

// Between returns the samples that ended from a to b, so that a request counts
// for the phase whose events it met. Those that began before from are left out.
func (l *Load) Between(from, a, b time.Time) []Sample {
	l.mu.Lock()
	defer l.mu.Unlock()
	var in []Sample
	for _, s := range l.samples {
		if !s.Began.Before(from) && !s.Ended.Before(a) && s.Ended.Before(b) {
			in = append(in, s)
		}
	}
	return in
}

// firstTokens returns the times to first token of whole answers.
func firstTokens(samples []Sample) []time.Duration {
	var d []time.Duration
	for _, s := range samples {
		if s.Whole {
			d = append(d, s.FirstToken)
		}
	}
	return d
}

// quantile returns the q-quantile of d, 0 for none.
func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	d = slices.Clone(d)
	slices.Sort(d)
	return d[min(len(d)-1, int(q*float64(len(d))))]
}
