package awbench

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"arbutuswind/io/awhttp"
	"arbutuswind/io/awsettings"
)

// SlowReadersResult holds what slow callers cost the system and normal callers.
// Each time is a p99 of normal streams, as the median over the windows.
type SlowReadersResult struct {
	Experiment     string
	SlowStreams    int
	HeldBytes      uint64 // growth of the entry's RSS while all slow streams are open
	EntryPeakRSS   uint64
	AgentPeakRSS   uint64  // largest of all agents
	Paused         float64 // streams that an agent paused, keeping only their resume point
	EngineRunning  int     // requests still running at the engines
	Truncated      int     // slow streams that ended without the complete answer
	NormalStreams  int     // while slow streams are open
	NormalFailed   int
	FirstP99Ms     float64 // to the first token, without slow streams
	FirstP99SlowMs float64 // with slow ones
	TotalP99Ms     float64
	TotalP99SlowMs float64
	P99Ratio       float64 // of the total times
}

const (
	slowStreams      = 2000
	slowTokens       = 800
	slowRamp         = 15 * time.Second
	slowEngines      = 4
	slowMaxInFlight  = 256
	slowPauseAfter   = time.Second
	slowDeadline     = 5 * time.Minute
	slowWindows      = 3
	slowWindow       = 3 * time.Second
	slowReadBytes    = 64
	slowReadInterval = time.Second
	slowBuffer       = 4 << 10 // receive buffer of a slow caller
	normalRate       = 40      // streams a second
	normalTokens     = 50
	slowSheet        = "Model,Version,Replicas,Domains,TeamShares,Fencing\n" +
		"rota,v1,4,merrimack narragansett champlain,kitchen=2 parish=1,checked\n"
)

// SlowReaders measures normal streams through one entry, first alone and then
// while slow streams through the same entry are open.
func SlowReaders(ctx context.Context, binDir string) (any, error) {
	c, err := NewCluster(binDir)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	tune := func(cfg *awsettings.Agent) {
		cfg.Limits.MaxInFlight, cfg.Limits.PauseAfter = slowMaxInFlight, awsettings.Duration(slowPauseAfter)
		cfg.Limits.MemoryBytes, cfg.Limits.BytesPerToken = 1<<30, 1<<10
	}
	digest, err := engineFleet(ctx, c, slowSheet, slowEngines, tune, "--max-running", fmt.Sprint(slowMaxInFlight),
		"--bytes-per-token", "1024", "--first-token", "20ms", "--token-interval", "2ms")
	if err != nil {
		return nil, err
	}
	warm(ctx, c, slowEngines*8, warmDuration)
	s := &slowRun{c: c, entry: c.Entries[0], digest: digest, fast: make(chan struct{})}
	res := &SlowReadersResult{Experiment: "slowreaders", SlowStreams: slowStreams}
	var failed int
	res.FirstP99Ms, res.TotalP99Ms, _, failed = s.normal(ctx)
	if failed > 0 {
		return nil, eris.Errorf("%d normal streams failed without slow readers", failed)
	}
	before, err := s.entry.Process.Usage()
	if err != nil {
		return nil, err
	}
	if err := s.open(ctx); err != nil {
		return nil, err
	}
	res.FirstP99SlowMs, res.TotalP99SlowMs, res.NormalStreams, res.NormalFailed = s.normal(ctx)
	res.P99Ratio = res.TotalP99SlowMs / res.TotalP99Ms
	if err := s.measure(res, before); err != nil {
		return nil, err
	}
	close(s.fast)
	s.wg.Wait()
	res.Truncated = slowStreams - int(s.completed.Load())
	return res, res.check()
}

type slowRun struct {
	c         *Cluster
	entry     *Node
	digest    string
	fast      chan struct{} // closed to make slow callers read at full speed
	wg        sync.WaitGroup
	completed atomic.Int64
}

// open starts the slow streams at an even rate.
func (s *slowRun) open(ctx context.Context) error {
	began := time.Now()
	for i := range slowStreams {
		time.Sleep(time.Until(began.Add(slowRamp * time.Duration(i) / slowStreams)))
		s.wg.Go(func() {
			call := Call{Model: "rota", Prompt: fmt.Sprintf("slow %d", i), MaxTokens: slowTokens, Team: "parish"}
			if text, err := s.slow(ctx, call); err == nil && text == call.ExpectedText(s.digest) {
				s.completed.Add(1)
			}
		})
	}
	// Lets the last streams fill their flow-control window and be paused
	// before the measurement begins.
	time.Sleep(3 * slowPauseAfter)
	return ctx.Err()
}

// slow reads an answer slowly until fast is closed, and the rest at full
// speed.
func (s *slowRun) slow(ctx context.Context, call Call) (string, error) {
	dialer := &net.Dialer{}
	conn, err := dialer.DialContext(ctx, "tcp", strings.TrimPrefix(s.entry.Callers, "http://"))
	if err != nil {
		return "", eris.Wrap(err, "dial")
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := conn.(*net.TCPConn).SetReadBuffer(slowBuffer); err != nil {
		return "", eris.Wrap(err, "receive buffer")
	}
	body, err := json.Marshal(map[string]any{"model": call.Model, "prompt": call.Prompt, "max_tokens": call.MaxTokens, "stream": true})
	if err != nil {
		return "", eris.Wrap(err, "encode call")
	}
	req, err := http.NewRequest(http.MethodPost, s.entry.Callers+"/v1/completions", strings.NewReader(string(body)))
	if err != nil {
		return "", eris.Wrap(err, "request")
	}
	req.Header.Set(awhttp.HeaderTeam, call.Team)
	req.Header.Set(awhttp.HeaderDeadline, fmt.Sprint(slowDeadline.Milliseconds()))
	if err := req.Write(conn); err != nil {
		return "", eris.Wrap(err, "send")
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(&slowReader{conn: conn, fast: s.fast}, slowReadBytes), req)
	if err != nil {
		return "", eris.Wrap(err, "answer")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", eris.Errorf("status %d", resp.StatusCode)
	}
	var a Answer
	if err := a.read(resp.Body, time.Now()); err != nil || !a.Whole {
		return "", eris.Errorf("answer is incomplete: %v %s", err, a.Body)
	}
	return a.Text, nil
}

// slowReader reads at most slowReadBytes every slowReadInterval until fast is
// closed.
type slowReader struct {
	conn net.Conn
	fast chan struct{}
}

func (r *slowReader) Read(p []byte) (int, error) {
	select {
	case <-r.fast:
		return r.conn.Read(p)
	case <-time.After(slowReadInterval):
	}
	return r.conn.Read(p[:min(len(p), slowReadBytes)])
}

// normal runs windows of streams at a fixed rate through the same entry. It
// returns the medians of the windows' p99 times, in milliseconds.
func (s *slowRun) normal(ctx context.Context) (first, total float64, streams, failed int) {
	var firsts, totals []float64
	for w := range slowWindows {
		f, t, bad := s.window(ctx, w)
		firsts, totals = append(firsts, percentile(f, 0.99)), append(totals, percentile(t, 0.99))
		streams += len(t) + bad
		failed += bad
	}
	return median(firsts), median(totals), streams, failed
}

func (s *slowRun) window(ctx context.Context, w int) (first, total []float64, failed int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	caller, began := NewCaller(), time.Now()
	for i := range normalRate * int(slowWindow/time.Second) {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / normalRate)))
		wg.Go(func() {
			call := Call{Model: "rota", Prompt: fmt.Sprintf("normal %d %d", w, i), MaxTokens: normalTokens, Team: "kitchen"}
			a, err := caller.Stream(ctx, s.entry.Callers, call)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || !a.Whole || a.Text != call.ExpectedText(s.digest) {
				failed++
				return
			}
			first = append(first, float64(a.FirstToken.Microseconds())/1000)
			total = append(total, float64(a.Total.Microseconds())/1000)
		})
	}
	wg.Wait()
	return first, total, failed
}

// metric returns the value of a metric without labels, or 0 if the process
// does not export it.
func metric(base, name string) (float64, error) {
	resp, err := http.Get(base + "/metrics")
	if err != nil {
		return 0, eris.Wrap(err, "metrics")
	}
	defer resp.Body.Close()
	scan := bufio.NewScanner(resp.Body)
	for scan.Scan() {
		if text, ok := strings.CutPrefix(scan.Text(), name+" "); ok {
			v, err := strconv.ParseFloat(text, 64)
			return v, eris.Wrapf(err, "metric %s", name)
		}
	}
	return 0, eris.Wrap(scan.Err(), "metrics")
}

// measure records the memory, paused streams and running requests of the
// processes while the slow streams are open.
func (s *slowRun) measure(res *SlowReadersResult, before Usage) error {
	entry, err := s.entry.Process.Usage()
	if err != nil {
		return err
	}
	res.EntryPeakRSS = entry.PeakRSS
	res.HeldBytes = entry.RSSBytes - min(before.RSSBytes, entry.RSSBytes)
	for _, n := range s.c.Agents {
		u, err := n.Process.Usage()
		if err != nil {
			return err
		}
		res.AgentPeakRSS = max(res.AgentPeakRSS, u.PeakRSS)
		paused, err := metric(n.Local, "arbutuswind_agent_paused_streams")
		if err != nil {
			return err
		}
		res.Paused += paused
		counts := map[string]int{}
		if err := GetJSON(n.Backend+"/admin/counts", &counts); err != nil {
			return err
		}
		res.EngineRunning += counts["Running"]
	}
	return nil
}
