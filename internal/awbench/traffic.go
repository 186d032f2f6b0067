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

// Load generates an open-loop load of streaming completions over all entries: a
// request starts every Interval, whether or not earlier ones have ended.
type Load struct {
	Cluster  *Cluster
	Call     Call // the number of the request is appended to the prompt
	Digest   string
	Interval time.Duration

	caller   *Caller
	mu       sync.Mutex
	samples  []Sample
	notReady map[string]bool // entries that failed the last readiness check, by ID
	seq      atomic.Int64
	wg       sync.WaitGroup
}

// Sample is the result of one finished request of a [Load].
type Sample struct {
	Began      time.Time
	Ended      time.Time
	FirstToken time.Duration
	Whole      bool
	Wrong      bool   // ended without an error, but with an unexpected text
	Cut        bool   // failed after the first token, by an error event or a truncated stream
	EntryLost  bool   // the connection to the entry broke, so the caller retried
	Detail     string // why the request failed
}

// balancerPeriod is the interval and timeout of readiness checks.
const balancerPeriod = 250 * time.Millisecond

// Run sends requests until ctx ends, then waits for those in flight.
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

// pollReadiness checks the readiness of the entries so that pickEntry can skip
// those that are not ready, as the platform's balancer does.
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

// callTimeout limits one request of a load, retries included.
const callTimeout = 30 * time.Second

// maxAttempts is the maximum number of attempts for one request.
const maxAttempts = 4

func (l *Load) send(n int64) {
	defer l.wg.Done()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	call := l.Call
	call.Prompt = fmt.Sprintf("%s %d", call.Prompt, n)
	s := Sample{Began: time.Now()}
	for i := range int64(maxAttempts) {
		a, err := l.caller.Stream(ctx, l.pickEntry(n+i).Callers, call)
		if refusedConnection(err) {
			time.Sleep(pollPeriod) // nothing was sent, so try the next entry
			continue
		}
		s.Detail = ""
		if err != nil && ctx.Err() == nil {
			// The connection to the entry broke. The caller sees this error and
			// retries.
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

// Between returns the samples that ended in [a, b) and began at from or later.
// Samples are assigned to a phase by their end, so that a request counts for the
// phase whose events affected it.
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

// firstTokens returns the times to first token of complete responses.
func firstTokens(samples []Sample) []time.Duration {
	var d []time.Duration
	for _, s := range samples {
		if s.Whole {
			d = append(d, s.FirstToken)
		}
	}
	return d
}

// quantile returns the q-quantile of d, or 0 if d is empty.
func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	d = slices.Clone(d)
	slices.Sort(d)
	return d[min(len(d)-1, int(q*float64(len(d))))]
}
