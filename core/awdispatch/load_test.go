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
	"arbutuswind/core/awroute"
)

// simulation sends requests through entries that do not communicate to simulated
// engines whose passes take longer the more requests they run.
type simulation struct {
	clock        *awclock.Fake
	rng          *rand.Rand
	entries      []*Dispatcher
	engines      []*engine
	service      awdirectory.Service
	reportPeriod time.Duration // time between load reports; 0 for none

	requests, refusals map[int]int     // by entry
	firstTokens        []time.Duration // from first submission to first token
	refusalWaits       []time.Duration // from submission to refusal
	retriesOnce        bool            // refused callers retry once, after RetryAfter
	retries            []retry
	shares             shareSimulation
	uneven             bool                     // lengths have a heavy tail, and prompts differ tenfold
	allowed            func(region string) bool // of all requests; nil allows every region
	sentTo             map[string]int           // requests by failure domain; not counted if nil
	estimated          bool                     // entries estimate the work of requests
	onStep             func()                   // replaces the requests of run
	asleep             map[int]bool             // entries that neither decide nor see the end of requests
	ended              []*job                   // of entries that are asleep
}

// retry is a pending retry of a refused request.
type retry struct {
	entry          int
	at             time.Time
	firstSubmitted time.Time // time of the first attempt
}

// engine simulates a batching engine. The time of a pass follows the published
// cost model.
type engine struct {
	info      awdirectory.Server
	running   []*job
	queued    []*job
	arrivals  []time.Time
	busyUntil time.Time
	slowdown  float64 // factor on the time of a pass that is not reported; 0 for none
}

type job struct {
	entry          int
	grant          *Grant
	firstSubmitted time.Time
	prompt         int
	tokens         int
	started        bool
	hint           int // estimate of tokens
	events         int
	priority       int // order in the queue of the engine
	onFirstToken   func()
}

const (
	simStep          = 10 * time.Millisecond
	simSlots         = 16
	meanPromptTokens = 970
	meanAnswerTokens = 106
	objective        = 400 * time.Millisecond
)

func newSimulation(entries, engines int, reportPeriod time.Duration) *simulation {
	s := &simulation{
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
		s.engines = append(s.engines, &engine{info: info})
	}
	for i := range entries {
		d := New(Config{
			Clock: s.clock, Rand: rand.New(rand.NewPCG(uint64(i), 3)), Domain: fmt.Sprint("d", i%3), Region: fmt.Sprint("d", i%3),
			Eject: awmember.DefaultEjectConfig(), Self: fmt.Sprint("e", i),
		})
		d.SetEntryCount(entries)
		d.SetServices([]awdirectory.Service{s.service})
		d.SetServers(list)
		s.entries = append(s.entries, d)
	}
	return s
}

// setSlots sets the slots of all engines.
func (s *simulation) setSlots(slots int) {
	var list []awdirectory.Server
	for _, e := range s.engines {
		e.info.Slots = slots
		list = append(list, e.info)
	}
	for _, d := range s.entries {
		d.SetServers(list)
	}
}

// relate relates each engine to a few entries.
func (s *simulation) relate() {
	var names []string
	for i := range s.entries {
		names = append(names, fmt.Sprint("e", i))
	}
	var members []awroute.Member
	for _, e := range s.engines {
		members = append(members, awroute.Member{Instance: e.info.Address, Domain: e.info.Domain})
	}
	for i, d := range s.entries {
		d.SetSharers(awroute.Sharers(names[i], names, members, EntriesPerEngine))
	}
}

// run advances the simulation by d; rate returns the requests a second of an
// entry.
func (s *simulation) run(d time.Duration, rate func(entry int) float64) {
	end := s.clock.Now().Add(d)
	lastReport := s.clock.Now()
	for s.clock.Now().Before(end) {
		if s.reportPeriod > 0 && s.clock.Now().Sub(lastReport) >= s.reportPeriod {
			lastReport = s.clock.Now()
			s.sendReports()
		}
		s.sendClaims()
		s.deliverDue()
		s.sample()
		if s.onStep != nil {
			s.onStep()
		}
		for i := range s.entries {
			for range s.arrivals(rate(i) * simStep.Seconds()) {
				s.submit(i)
			}
			if !s.asleep[i] {
				s.entries[i].Tick()
			}
		}
		s.submitRetries()
		s.clock.Advance(simStep)
		for _, e := range s.engines {
			s.runPasses(e)
		}
	}
}

// arrivals draws a number from a Poisson distribution with a small mean.
func (s *simulation) arrivals(mean float64) int {
	n := 0
	for left := s.rng.ExpFloat64(); left < mean; left += s.rng.ExpFloat64() {
		n++
	}
	return n
}

func (s *simulation) sendReports() {
	for _, e := range s.engines {
		shares := s.divide(e)
		for i, d := range s.entries {
			if d.sharers != nil && d.sharers[e.info.Address] == 0 || s.shares.frozen[i] || s.shares.mute == e {
				continue
			}
			share, shared := shares[i]
			s.deliver(d, e.info.Key(), Load{
				At: s.clock.Now(), Active: len(e.running), Queued: len(e.queued), Versions: e.info.Versions, Share: share, Shared: shared,
			})
		}
	}
}

// submitRetries submits the retries that are due, each at a random entry.
func (s *simulation) submitRetries() {
	var due []retry
	s.retries = slices.DeleteFunc(s.retries, func(r retry) bool {
		if r.at.After(s.clock.Now()) {
			return false
		}
		due = append(due, r)
		return true
	})
	for _, r := range due {
		s.submitAsOf(s.rng.IntN(len(s.entries)), r.firstSubmitted)
	}
}

func (s *simulation) submit(entry int) {
	s.requests[entry]++
	s.submitAsOf(entry, s.clock.Now())
}

// submitAsOf submits a request whose first attempt was at firstSubmitted.
func (s *simulation) submitAsOf(entry int, firstSubmitted time.Time) {
	now := s.clock.Now()
	firstAttempt := firstSubmitted.Equal(now)
	maxWait, late := WaitLimit(objective, now.Sub(firstSubmitted))
	size := 0.3 + 1.4*s.rng.Float64()
	j := &job{entry: entry, firstSubmitted: firstSubmitted, prompt: int(meanPromptTokens * size), tokens: int(meanAnswerTokens * size)}
	if s.uneven {
		s.drawUneven(j)
	}
	s.entries[entry].Submit(Request{
		Service: "s", Model: "m", MaxWait: maxWait, Late: late, Deadline: now.Add(6 * time.Second), Allowed: s.allowed,
	}, func(dec Decision) {
		s.decided(entry, dec)
		if dec.Grant == nil {
			s.refusals[entry]++
			s.refusalWaits = append(s.refusalWaits, s.clock.Now().Sub(now))
			if s.retriesOnce && firstAttempt {
				s.retries = append(s.retries, retry{entry, s.clock.Now().Add(dec.RetryAfter), firstSubmitted})
			}
			return
		}
		if s.sentTo != nil {
			s.sentTo[dec.Grant.Server.Domain]++
		}
		s.send(j, dec.Grant)
	})
}

// send sends a job to the engine of its grant.
func (s *simulation) send(j *job, g *Grant) {
	j.grant = g
	s.began(j)
	for _, e := range s.engines {
		if e.info.ID == g.Server.ID {
			e.queued = append(e.queued, j)
			slices.SortStableFunc(e.queued, func(a, b *job) int { return a.priority - b.priority })
			e.arrivals = append(e.arrivals, s.clock.Now())
		}
	}
}

// runPasses runs the passes of an engine up to the current time. A pass reads the
// prompts of new requests at 31.9 tokens a millisecond and then generates six
// tokens for each running request.
func (s *simulation) runPasses(e *engine) {
	for s.clock.Now().After(e.busyUntil) {
		for len(e.queued) > 0 && len(e.running) < e.info.Slots {
			e.running = append(e.running, e.queued[0])
			e.queued = e.queued[1:]
		}
		if len(e.running) == 0 {
			e.busyUntil = s.clock.Now()
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
				s.firstTokens = append(s.firstTokens, e.busyUntil.Sub(j.firstSubmitted))
				if j.onFirstToken != nil {
					j.onFirstToken()
				}
			}
			s.progressed(j)
			if j.tokens -= stride; j.tokens > 0 {
				kept = append(kept, j)
				continue
			}
			s.end(j)
		}
		e.running = kept
	}
}

// end tells the entry of a job that it has ended, once the entry is awake.
func (s *simulation) end(j *job) {
	if s.asleep[j.entry] {
		s.ended = append(s.ended, j)
		return
	}
	s.entries[j.entry].Ended(j.grant, Succeeded)
	s.entries[j.entry].Release(j.grant, Succeeded)
}

// onTimeShare returns the share of all requests whose first token met the
// objective.
func (s *simulation) onTimeShare() float64 {
	n, requests := 0, 0
	for _, d := range s.firstTokens {
		if d <= objective {
			n++
		}
	}
	for _, count := range s.requests {
		requests += count
	}
	return float64(n) / float64(requests)
}

// Guards against an entry that refuses requests while engines have free
// capacity. The load balancer in front spreads connections by a hash, so one
// entry of five can get two fifths of the load.
func TestUnevenLoadAcrossEntries(t *testing.T) {
	s := newSimulation(5, 9, 80*time.Millisecond)
	s.run(20*time.Second, func(entry int) float64 {
		if entry == 0 {
			return 32
		}
		return 12
	})
	require.Greater(t, s.onTimeShare(), 0.95)
	require.Less(t, float64(s.refusals[0])/float64(s.requests[0]), 0.02)
}

// Guards against overload that delays all requests. At twice the capacity of the
// engines, accepted requests must still get their first token in time, and
// refused ones must be refused well before their objective.
func TestOverloadAtTwiceCapacity(t *testing.T) {
	s := newSimulation(5, 9, 80*time.Millisecond)
	s.run(20*time.Second, func(int) float64 { return 40 })
	late := 0
	for _, d := range s.firstTokens {
		if d > objective {
			late++
		}
	}
	require.Less(t, float64(late)/float64(len(s.firstTokens)), 0.1)
	const capacity = 9 * 11.0 // requests a second, from the time of a pass
	require.Greater(t, float64(len(s.firstTokens))/20, 0.85*capacity)
	for _, d := range s.refusalWaits {
		require.LessOrEqual(t, d, objective/2)
	}
}

// Guards against retries that keep other requests from being served in time.
// During an outage all callers are told to retry; afterwards the load is slightly
// above capacity. The retries are late wherever they are served, so they must not
// displace requests that can still meet their objective.
func TestRetriesAfterOutage(t *testing.T) {
	s := newSimulation(5, 9, 80*time.Millisecond)
	s.retriesOnce = true
	const capacity = 9 * 11.0 // requests a second, from the time of a pass
	demand := func(int) float64 { return 1.05 * capacity / 5 }
	for _, d := range s.entries {
		d.SetFloors(map[string][]awdirectory.Floor{"m": {{Version: 2, From: s.clock.Now()}}})
	}
	s.run(3*time.Second, demand)
	for _, d := range s.entries {
		d.SetFloors(nil)
	}
	s.run(2*time.Second, demand)
	clear(s.requests)
	s.firstTokens = nil
	s.run(20*time.Second, demand)
	require.Greater(t, s.onTimeShare(), 0.8)
	require.Greater(t, float64(len(s.firstTokens))/20, 0.85*capacity)
}

// Guards against many entries that all use the same free slot of one load report.
// The excess requests wait inside the engine and delay all others there.
func TestManyEntriesShareFreeSlots(t *testing.T) {
	const entries, engines = 14, 30
	s := newSimulation(entries, engines, 30*time.Millisecond)
	const capacity = engines * 11.0 // requests a second, from the time of a pass
	s.run(15*time.Second, func(int) float64 { return 1.2 * capacity / entries })
	late := 0
	for _, d := range s.firstTokens {
		if d > objective {
			late++
		}
	}
	require.Greater(t, s.onTimeShare(), 0.7)
	require.Less(t, float64(late)/float64(len(s.firstTokens)), 0.1)
	require.Greater(t, float64(len(s.firstTokens))/15, 0.85*capacity)
}

// Guards against engines that no entry knows well enough to use. The fleet is
// that of 53 entries of uneven load before 90 engines of 8 slots, of which each
// sends 60 reports a second in all. If all entries share every engine, each gets
// a report a second and a seventh of a slot.
func TestManyEntriesBeforeSmallEngines(t *testing.T) {
	const entries, engines, slots = 53, 90, 8
	const capacity = engines * 7.5 // requests a second, from the time of a pass
	s := newSimulation(entries, engines, EntriesPerEngine*time.Second/60)
	s.setSlots(slots)
	s.relate()
	s.run(15*time.Second, func(entry int) float64 {
		return 0.85 * capacity / entries * (0.6 + 0.8*float64(entry)/(entries-1))
	})
	refused, requests := 0, 0
	for i := range entries {
		refused, requests = refused+s.refusals[i], requests+s.requests[i]
	}
	require.Greater(t, s.onTimeShare(), 0.95)
	require.Less(t, float64(refused)/float64(requests), 0.02)
}

// Guards against an engine that is slow without reporting it, or that is behind a
// slow link, and makes its share of the requests late. Its load reports alone
// must prevent that.
func TestSlowEngineWithoutSlowdownReport(t *testing.T) {
	s := newSimulation(5, 9, 80*time.Millisecond)
	s.engines[0].slowdown = 5
	s.engines[4].slowdown = 5
	s.run(20*time.Second, func(int) float64 { return 11 })
	require.Greater(t, s.onTimeShare(), 0.9)
}
