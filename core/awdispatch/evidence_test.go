package awdispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awbalance"
	"arbutuswind/core/awdirectory"
)

// drawUneven gives a job an output with a heavy tail, an estimate of it that is right
// at the median, and one of prompts that differ tenfold.
func (s *simulation) drawUneven(j *job) {
	j.tokens = max(1, int(meanAnswerTokens*0.7*math.Exp(0.85*s.rng.NormFloat64())))
	j.hint = max(1, int(float64(j.tokens)*math.Exp(0.6*s.rng.NormFloat64())))
	j.prompt = int(270 * math.Pow(10, s.rng.Float64()))
}

func (s *simulation) began(j *job) {
	if s.estimated {
		s.entries[j.entry].Began(j.grant, awbalance.Expected{Prompt: j.prompt, Output: j.hint, MaxOutput: 1000}, "k")
	}
}

func (s *simulation) progressed(j *job) {
	j.events++
	s.entries[j.entry].Progress(j.grant, j.events)
}

// sampleWork records how the remaining work differs by engine.
func (s *simulation) sampleWork() {
	sum, squares, peak := 0.0, 0.0, 0.0
	for _, e := range s.engines {
		work := 0.0
		for _, j := range slices.Concat(e.running, e.queued) {
			work += float64(j.tokens)
			if !j.started {
				work += float64(j.prompt) / 30
			}
		}
		sum, squares, peak = sum+work, squares+work*work, max(peak, work)
	}
	mean := sum / float64(len(s.engines))
	s.shares.workPeak += peak / mean
	s.shares.workDeviation += math.Sqrt(max(0, squares/float64(len(s.engines))-mean*mean)) / mean
}

// Guards against estimates of work that make the load of engines less even, or make
// requests late or refused. Work is that which is left, in output tokens. Single runs
// differ by more than the estimates do, so each figure is of eight.
func TestEstimatedWorkIsSpreadMoreEvenly(t *testing.T) {
	run := func(estimated bool) (spread, onTime float64) {
		refused, peak := 0, 0.0
		const runs = 8
		for seed := range uint64(runs) {
			s, demand := unevenFleet(0.9)
			s.enableShares()
			s.rng = rand.New(rand.NewPCG(seed, 11))
			s.uneven, s.estimated, s.shares.delay = true, estimated, 20*time.Millisecond
			s.run(20*time.Second, demand)
			h := &s.shares
			refused += h.refused
			peak += h.workPeak / float64(h.samples) / runs
			spread += h.workDeviation / float64(h.samples) / runs
			onTime += s.onTimeShare() / runs
		}
		t.Logf("estimated %v: refused %d, of the work at an engine peak over mean %.3f and deviation over mean %.3f, on time %.4f",
			estimated, refused, peak, spread, onTime)
		return spread, onTime
	}
	before, onTimeBefore := run(false)
	after, onTimeAfter := run(true)
	require.Less(t, after, before)
	require.GreaterOrEqual(t, onTimeAfter, onTimeBefore)
}

// plainFleet is 5 entries before 15 servers that report no load and run 2.5 times
// slower for 15 in 100 of their spans of 600 ms.
type plainFleet struct {
	*simulation
	slow     map[string]bool // by server
	underway []plainAnswer
	answers  int
	late     int            // answers of servers in a slow span
	counts   map[string]int // requests begun in these 100 ms, by server
	maxCount int
}

// plainAnswer is an answer on its way.
type plainAnswer struct {
	at    time.Time
	entry *Dispatcher
	grant *Grant
}

func newPlainFleet(servers int) *plainFleet {
	f := &plainFleet{simulation: newSimulation(5, 0, 0), slow: map[string]bool{}, counts: map[string]int{}}
	var list []awdirectory.Server
	for i := range servers {
		list = append(list, awdirectory.Server{
			ID: fmt.Sprint("p", i), Service: "p", Address: fmt.Sprintf("10.0.1.%d:1", i), Domain: "d0", Region: "d0", Slots: 4,
		})
	}
	for _, d := range f.entries {
		d.SetServices([]awdirectory.Service{{Name: "p"}})
		d.SetServers(list)
	}
	return f
}

func (f *plainFleet) submit(d *Dispatcher) {
	now := f.clock.Now()
	d.Submit(Request{Service: "p", Deadline: now.Add(time.Second)}, func(dec Decision) {
		if dec.Grant == nil {
			return
		}
		if f.estimated {
			d.Began(dec.Grant, awbalance.Expected{}, "k")
		}
		id, took := dec.Grant.Server.ID, 40*time.Millisecond
		if f.slow[id] {
			took = took * 5 / 2
			f.late++
		}
		f.answers++
		f.counts[id]++
		f.maxCount = max(f.maxCount, f.counts[id])
		f.underway = append(f.underway, plainAnswer{now.Add(took), d, dec.Grant})
	})
}

func (f *plainFleet) release() {
	f.underway = slices.DeleteFunc(f.underway, func(a plainAnswer) bool {
		if a.at.After(f.clock.Now()) {
			return false
		}
		a.entry.Answered(a.grant)
		a.entry.Ended(a.grant, Succeeded)
		a.entry.Release(a.grant, Succeeded)
		return true
	})
}

// runPlain returns the share of requests that ran in slow spans, and the most requests
// begun at one server in 100 ms over the mean.
func runPlain(evidence bool) (lateShare, burst float64) {
	const servers, runTime, span, window = 15, time.Minute, 600 * time.Millisecond, 100 * time.Millisecond
	f := newPlainFleet(servers)
	f.estimated = evidence
	for at := time.Duration(0); at < runTime; at += simStep {
		if at%span == 0 {
			for i := range servers {
				f.slow[fmt.Sprint("p", i)] = f.rng.Float64() < 0.15
			}
		}
		if at%window == 0 {
			clear(f.counts)
		}
		f.release()
		for _, d := range f.entries {
			for range f.arrivals(60 * simStep.Seconds()) {
				f.submit(d)
			}
		}
		f.clock.Advance(simStep)
	}
	return float64(f.late) / float64(f.answers), float64(f.maxCount) * float64(runTime/window) * servers / float64(f.answers)
}

// Guards against plain servers that get as many requests while they are slow, and
// against bursts at those that recover.
func TestSlowPlainServersGetFewerRequests(t *testing.T) {
	before, burstBefore := runPlain(false)
	after, burstAfter := runPlain(true)
	t.Logf("answers of slow servers %.4f before, %.4f after; peak over mean in 100 ms %.2f before, %.2f after", before, after, burstBefore, burstAfter)
	require.Less(t, after, 0.8*before)
	require.LessOrEqual(t, burstAfter, 1.5*burstBefore)
}

// Guards against work that stays with an engine after events or the end of a request
// have taken it off: the engine with less work left must get the next request.
func TestEventsCorrectTheWork(t *testing.T) {
	s := newSimulation(1, 2, 0)
	d := s.entries[0]
	for _, e := range s.engines {
		e.info.Domain, e.info.Region = "d0", "d0"
	}
	s.setSlots(simSlots)
	for _, e := range s.engines {
		d.Report(e.info.Key(), Load{At: s.clock.Now(), Versions: e.info.Versions})
	}
	submit := func() *Grant {
		var got Decision
		d.Submit(Request{Service: "s", Model: "m", Deadline: s.clock.Now().Add(time.Second)}, func(dec Decision) {
			got = dec
			d.Began(dec.Grant, awbalance.Expected{Prompt: 300, Output: 400}, "k")
		})
		return got.Grant
	}
	a, b := submit(), submit()
	require.NotEqual(t, a.Server.ID, b.Server.ID)
	d.Progress(b, 300)
	require.Equal(t, b.Server.ID, submit().Server.ID)
	// Half of the 300 tokens so far, and the prompt and the output of the new request.
	require.InDelta(t, 150+10+400, d.servers[b.Server.Key()].evidence.work, 0.01)
	for g := range d.running {
		d.Ended(g, Succeeded)
		d.Release(g, Succeeded)
	}
	require.Empty(t, d.running)
	require.Zero(t, d.servers[a.Server.Key()].evidence.work)
	require.Zero(t, d.servers[b.Server.Key()].evidence.work)
}

// Guards against an engine that is taken for slow by the duration of its answers, which
// depends on their lengths, before its first load report has arrived.
func TestDurationsOfEnginesDoNotCount(t *testing.T) {
	s := newSimulation(1, 1, 0)
	d := s.entries[0]
	for _, took := range []time.Duration{10, 40, 40, 40} {
		d.Submit(Request{Service: "s", Model: "m", Deadline: s.clock.Now().Add(time.Second)}, func(dec Decision) {
			d.Began(dec.Grant, awbalance.Expected{}, "k")
		})
		require.Len(t, d.running, 1)
		for g := range d.running {
			s.clock.Advance(took * time.Millisecond)
			d.Answered(g)
			d.Ended(g, Succeeded)
			d.Release(g, Succeeded)
		}
	}
	require.Zero(t, d.evidenceLoad(d.byService["s"][0], s.clock.Now()))
}
