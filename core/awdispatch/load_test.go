package awdispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awmember"
)

// simulation plays a load through entries that do not see each other, against
// model engines that slow down with what they hold.
type simulation struct {
	clock        *awclock.Fake
	rng          *rand.Rand
	entries      []*Dispatcher
	engines      []*engine
	service      awdirectory.Service
	reportPeriod time.Duration // age of load reports; 0 for none

	requests, refusals map[int]int // by entry
	firstTokens        []time.Duration
	refusalWaits       []time.Duration // of refused requests
	retriesOnce        bool            // refused callers come back once, when they were told to
	retries            []retry
}

// retry is a refused caller that comes retry.
type retry struct {
	entry      int
	at         time.Time
	firstAsked time.Time // for the first time
}

// engine runs a batch; its cost follows the published model of a pass.
type engine struct {
	info      awdirectory.Server
	running   []*job
	queued    []*job
	arrivals  []time.Time // arrivals
	busyUntil time.Time
	slowdown  float64 // times slower than it says; 0 for not at all
}

type job struct {
	entry      int
	grant      *Grant
	firstAsked time.Time
	prompt     int
	tokens     int
	started    bool
}

const (
	simStep          = 10 * time.Millisecond
	simSlots         = 16
	meanPromptTokens = 970
	meanAnswerTokens = 106
	objective        = 400 * time.Millisecond
)

func newSimulation(entries, engines int, reportPeriod time.Duration) *simulation {
	p := &simulation{
		clock: awclock.NewFake(time.Unix(1000, 0)), rng: rand.New(rand.NewPCG(7, 11)), reportPeriod: reportPeriod,
		service:  awdirectory.Service{Name: "s", ColdRate: 36, Engine: true, Model: awdirectory.Model{Name: "m"}},
		requests: map[int]int{}, refusals: map[int]int{},
	}
	var list []awdirectory.Server
	for i := range engines {
		info := awdirectory.Server{
			ID: fmt.Sprint("i", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: fmt.Sprint("d", i%3),
			Region: fmt.Sprint("d", i%3), Slots: simSlots, Versions: map[string]int64{"m": 1},
		}
		list = append(list, info)
		p.engines = append(p.engines, &engine{info: info})
	}
	for i := range entries {
		d := New(Config{
			Clock: p.clock, Rand: rand.New(rand.NewPCG(uint64(i), 3)), Domain: fmt.Sprint("d", i%3), Region: fmt.Sprint("d", i%3),
			Eject: awmember.DefaultEjectConfig(),
		})
		d.SetEntryCount(entries)
		d.SetServices([]awdirectory.Service{p.service})
		d.SetServers(list)
		p.entries = append(p.entries, d)
	}
	return p
}

// run runs for a time; rate gives the requests a second of each entry.
func (p *simulation) run(d time.Duration, rate func(entry int) float64) {
	end := p.clock.Now().Add(d)
	reported := p.clock.Now()
	for p.clock.Now().Before(end) {
		if p.reportPeriod > 0 && p.clock.Now().Sub(reported) >= p.reportPeriod {
			reported = p.clock.Now()
			p.sendReports()
		}
		for i := range p.entries {
			for range p.arrivals(rate(i) * simStep.Seconds()) {
				p.submit(i)
			}
			p.entries[i].Tick()
		}
		p.submitRetries()
		p.clock.Advance(simStep)
		for _, e := range p.engines {
			p.runPasses(e)
		}
	}
}

// arrivals draws from a Poisson distribution with a small mean.
func (p *simulation) arrivals(mean float64) int {
	n := 0
	for left := p.rng.ExpFloat64(); left < mean; left += p.rng.ExpFloat64() {
		n++
	}
	return n
}

func (p *simulation) sendReports() {
	for _, e := range p.engines {
		for _, d := range p.entries {
			d.Report(e.info.Key(), Load{
				At: p.clock.Now(), Active: len(e.running), Queued: len(e.queued), Versions: e.info.Versions,
			})
		}
	}
}

// submitRetries submits the callers that are due to come back, at any entry.
func (p *simulation) submitRetries() {
	var due []retry
	p.retries = slices.DeleteFunc(p.retries, func(b retry) bool {
		if b.at.After(p.clock.Now()) {
			return false
		}
		due = append(due, b)
		return true
	})
	for _, b := range due {
		p.submitAsOf(p.rng.IntN(len(p.entries)), b.firstAsked)
	}
}

func (p *simulation) submit(entry int) {
	p.requests[entry]++
	p.submitAsOf(entry, p.clock.Now())
}

// submitAsOf submits a request of a caller that asked for the first time at the
// given time.
func (p *simulation) submitAsOf(entry int, firstAsked time.Time) {
	now := p.clock.Now()
	firstAttempt := firstAsked.Equal(now)
	maxWait, late := WaitLimit(objective, now.Sub(firstAsked))
	size := 0.3 + 1.4*p.rng.Float64()
	j := &job{entry: entry, firstAsked: firstAsked, prompt: int(meanPromptTokens * size), tokens: int(meanAnswerTokens * size)}
	p.entries[entry].Submit(Request{
		Service: "s", Model: "m", MaxWait: maxWait, Late: late, Deadline: now.Add(6 * time.Second),
	}, func(dec Decision) {
		if dec.Grant == nil {
			p.refusals[entry]++
			p.refusalWaits = append(p.refusalWaits, p.clock.Now().Sub(now))
			if p.retriesOnce && firstAttempt {
				p.retries = append(p.retries, retry{entry, p.clock.Now().Add(dec.RetryAfter), firstAsked})
			}
			return
		}
		j.grant = dec.Grant
		for _, e := range p.engines {
			if e.info.ID == dec.Grant.Server.ID {
				e.queued = append(e.queued, j)
				e.arrivals = append(e.arrivals, p.clock.Now())
			}
		}
	})
}

// runPasses lets an engine work: a runPasses reads the prompts of newcomers, 31.9 tokens
// a millisecond, and then makes six tokens for each request.
func (p *simulation) runPasses(e *engine) {
	for p.clock.Now().After(e.busyUntil) {
		for len(e.queued) > 0 && len(e.running) < simSlots {
			e.running = append(e.running, e.queued[0])
			e.queued = e.queued[1:]
		}
		if len(e.running) == 0 {
			e.busyUntil = p.clock.Now()
			return
		}
		passTime := time.Duration(0)
		for _, j := range e.running {
			if !j.started {
				passTime += time.Duration(float64(j.prompt) / 31.9 * float64(time.Millisecond))
			}
		}
		const stride = 6
		passTime += stride * time.Duration((7.4+0.0387*float64(len(e.running)))*float64(time.Millisecond))
		if e.slowdown > 0 {
			passTime = time.Duration(float64(passTime) * e.slowdown)
		}
		e.busyUntil = e.busyUntil.Add(passTime)
		kept := e.running[:0]
		for _, j := range e.running {
			if !j.started {
				j.started = true
				p.firstTokens = append(p.firstTokens, e.busyUntil.Sub(j.firstAsked))
			}
			if j.tokens -= stride; j.tokens > 0 {
				kept = append(kept, j)
				continue
			}
			p.entries[j.entry].Release(j.grant, Succeeded)
		}
		e.running = kept
	}
}

// onTimeShare returns the share of all requests with a first token in time.
func (p *simulation) onTimeShare() float64 {
	n, requests := 0, 0
	for _, d := range p.firstTokens {
		if d <= objective {
			n++
		}
	}
	for _, a := range p.requests {
		requests += a
	}
	return float64(n) / float64(requests)
}

// Guards against an entry that refuses callers while engines have room: the
// balancer spreads connections by a hash, and one entry of five gets two
// fifths of the load.
func TestUnevenLoadAcrossEntries(t *testing.T) {
	p := newSimulation(5, 9, 80*time.Millisecond)
	p.run(20*time.Second, func(entry int) float64 {
		if entry == 0 {
			return 32
		}
		return 12
	})
	require.Greater(t, p.onTimeShare(), 0.95)
	require.Less(t, float64(p.refusals[0])/float64(p.requests[0]), 0.02)
}

// Guards against overload that makes everybody late: at twice what the engines
// bear, those that are taken still get their first token in time, and those
// that are refused hear of it long before their objective.
func TestOverloadAtTwiceCapacity(t *testing.T) {
	p := newSimulation(5, 9, 80*time.Millisecond)
	p.run(20*time.Second, func(int) float64 { return 40 })
	late := 0
	for _, d := range p.firstTokens {
		if d > objective {
			late++
		}
	}
	require.Less(t, float64(late)/float64(len(p.firstTokens)), 0.1)
	const capacity = 9 * 11.0 // requests a second, by the cost of a pass
	require.Greater(t, float64(len(p.firstTokens))/20, 0.85*capacity)
	for _, d := range p.refusalWaits {
		require.LessOrEqual(t, d, objective/2)
	}
}

// Guards against callers that come back and keep others from being served in
// time: while no engine may begin, everybody is told to come back, and after
// that the engines are asked for a little more than they bear. Those that come
// back are late wherever they are served, so they must not take the places of
// those that can still be served in time.
func TestRetriesAfterOutage(t *testing.T) {
	p := newSimulation(5, 9, 80*time.Millisecond)
	p.retriesOnce = true
	const capacity = 9 * 11.0 // requests a second, by the cost of a pass
	demand := func(int) float64 { return 1.05 * capacity / 5 }
	for _, d := range p.entries {
		d.SetFloors(map[string][]awdirectory.Floor{"m": {{Version: 2, From: p.clock.Now()}}})
	}
	p.run(3*time.Second, demand)
	for _, d := range p.entries {
		d.SetFloors(nil)
	}
	p.run(2*time.Second, demand)
	clear(p.requests)
	p.firstTokens = nil
	p.run(20*time.Second, demand)
	require.Greater(t, p.onTimeShare(), 0.8)
	require.Greater(t, float64(len(p.firstTokens))/20, 0.85*capacity)
}

// Guards against many entries that all answer one report of a free place: what
// is too much waits inside the engine, where it makes everybody late.
func TestManyEntriesShareFreeSlots(t *testing.T) {
	const entries, engines = 14, 30
	p := newSimulation(entries, engines, 30*time.Millisecond)
	const capacity = engines * 11.0 // requests a second, by the cost of a pass
	p.run(15*time.Second, func(int) float64 { return 1.2 * capacity / entries })
	late := 0
	for _, d := range p.firstTokens {
		if d > objective {
			late++
		}
	}
	require.Greater(t, p.onTimeShare(), 0.7)
	require.Less(t, float64(late)/float64(len(p.firstTokens)), 0.1)
	require.Greater(t, float64(len(p.firstTokens))/15, 0.85*capacity)
}

// Guards against an engine that is slow and does not say so, or that stands
// behind a slow link: reports of its load alone must keep it from making its
// share of the callers late.
func TestSlowEngineWithoutSlowdownReport(t *testing.T) {
	p := newSimulation(5, 9, 80*time.Millisecond)
	p.engines[0].slowdown = 5
	p.engines[4].slowdown = 5
	p.run(20*time.Second, func(int) float64 { return 11 })
	require.Greater(t, p.onTimeShare(), 0.9)
}

// Guards against a flood of a cold backend server: entries that do not see
// each other stay together below the rate that it bears, in any second.
func TestColdServerRateLimit(t *testing.T) {
	p := newSimulation(5, 2, 80*time.Millisecond)
	p.service.ColdRate = 10
	for _, d := range p.entries {
		d.SetServices([]awdirectory.Service{p.service})
		cold := p.engines[0].info
		cold.ColdRemaining = time.Minute
		d.SetServers([]awdirectory.Server{cold, p.engines[1].info})
	}
	p.run(10*time.Second, func(int) float64 { return 40 })
	arrivals := p.engines[0].arrivals
	require.NotEmpty(t, arrivals)
	for i := range arrivals {
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(arrivals[i]) < time.Second {
				n++
			}
		}
		require.LessOrEqual(t, n, 10)
	}
}

// Guards against requests that begin on weights that may no longer serve,
// against work for an engine that loads, and against a reply that waits for a
// backend server that will never come.
func TestUnusableWeights(t *testing.T) {
	p := newSimulation(1, 1, 0)
	d := p.entries[0]
	submit := func() Decision {
		var got Decision
		d.Submit(Request{Service: "s", Model: "m", Deadline: p.clock.Now().Add(time.Second)}, func(dec Decision) { got = dec })
		return got
	}
	require.NotNil(t, submit().Grant)
	d.SetFloors(map[string][]awdirectory.Floor{"m": {{Version: 2, From: p.clock.Now().Add(time.Second)}}})
	require.NotNil(t, submit().Grant, "before the bound")
	p.clock.Advance(time.Second)
	refused := submit()
	require.Nil(t, refused.Grant)
	require.Equal(t, NoServer, refused.Refusal)
	key := p.engines[0].info.Key()
	d.Report(key, Load{At: p.clock.Now(), Versions: map[string]int64{"m": 2}})
	require.NotNil(t, submit().Grant, "the engine itself knows better than the list")
	d.Report(key, Load{At: p.clock.Now(), Versions: map[string]int64{"m": 2}, Busy: true})
	require.Nil(t, submit().Grant)
}

// Guards against new work for backend servers of a failure domain that was
// taken out, for one that leaves, and for one in a region that is not allowed.
func TestUnusableServers(t *testing.T) {
	for name, change := range map[string]func(d *Dispatcher, s *awdirectory.Server, r *Request){
		"domain out": func(d *Dispatcher, s *awdirectory.Server, _ *Request) {
			d.SetDomainsOut(map[string]bool{s.Domain: true})
		},
		"leaving": func(_ *Dispatcher, s *awdirectory.Server, _ *Request) { s.Draining = true },
		"region": func(_ *Dispatcher, _ *awdirectory.Server, r *Request) {
			r.Allowed = func(region string) bool { return region == "elsewhere" }
		},
		"failed it": func(_ *Dispatcher, s *awdirectory.Server, r *Request) {
			r.Avoid = map[awdirectory.Key]bool{s.Key(): true}
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newSimulation(1, 1, 0)
			req := Request{Service: "s", Model: "m", Deadline: p.clock.Now().Add(time.Second)}
			info := p.engines[0].info
			change(p.entries[0], &info, &req)
			p.entries[0].SetServers([]awdirectory.Server{info})
			var got Decision
			p.entries[0].Submit(req, func(dec Decision) { got = dec })
			require.Nil(t, got.Grant)
			require.Positive(t, got.RetryAfter)
		})
	}
}
