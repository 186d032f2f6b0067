package awdispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awbalance"
	"arbutuswind/core/awdirectory"
)

// shareSimulation gives the entries of a simulation shares by demand, as the processes
// beside the engines do.
type shareSimulation struct {
	enabled      bool
	meters       []awbalance.Meter
	claims       map[string]map[int]awbalance.Claim // by engine and entry
	claimedAt    time.Time
	frozen       map[int]bool // entries that send no claims
	began        time.Time
	refused      int // requests
	refusedFree  int // those refused while at least one slot in twenty was free
	samples      int
	peakOverMean float64 // sum over samples, of the requests at each engine
	maxOverLimit int     // most requests beyond the slots of an engine
	sampledAt    time.Time
	mute         *engine       // whose load reports are lost
	delay        time.Duration // from the status of an engine to the receipt of the report
	// sums over samples, of the remaining work at each engine
	workPeak, workDeviation float64
	underway                []delayedReport
}

func (s *simulation) freeSlots() (free, all int) {
	for _, e := range s.engines {
		free, all = free+max(0, e.info.Slots-len(e.running)-len(e.queued)), all+e.info.Slots
	}
	return free, all
}

// decided records a decision of an entry.
func (s *simulation) decided(entry int, dec Decision) {
	h := &s.shares
	if dec.Grant == nil {
		h.refused++
		if free, all := s.freeSlots(); free*20 >= all {
			h.refusedFree++
		}
	}
	if !h.enabled {
		return
	}
	if dec.Grant != nil {
		h.meters[entry].Sent(dec.Grant.Server.Key(), s.clock.Now())
	} else {
		h.meters[entry].Refused(s.clock.Now())
	}
}

func (s *simulation) enableShares() {
	s.shares = shareSimulation{
		enabled: true, meters: make([]awbalance.Meter, len(s.entries)), claims: map[string]map[int]awbalance.Claim{},
		frozen: map[int]bool{}, began: s.clock.Now(),
	}
	for _, e := range s.engines {
		s.shares.claims[e.info.ID] = map[int]awbalance.Claim{}
	}
}

// sendClaims sends the claims of all entries once a second.
func (s *simulation) sendClaims() {
	h, now := &s.shares, s.clock.Now()
	if !h.enabled || now.Sub(h.claimedAt) < time.Second {
		return
	}
	h.claimedAt = now
	for i, d := range s.entries {
		if h.frozen[i] {
			continue
		}
		for _, e := range s.engines {
			if sharers := d.sharers[e.info.Address]; sharers > 0 {
				demand := h.meters[i].Demand(e.info.Key(), d.WaitingFor("s"), len(d.sharers), now)
				h.claims[e.info.ID][i] = awbalance.Claim{Demand: demand, Slots: e.info.Slots, Sharers: sharers, At: now}
			}
		}
	}
}

// divide returns the shares of the entries in the free slots of an engine.
func (s *simulation) divide(e *engine) map[int]int {
	if !s.shares.enabled {
		return nil
	}
	var entries []int
	var claims []awbalance.Claim
	for i := range s.entries {
		if c, ok := s.shares.claims[e.info.ID][i]; ok && s.clock.Now().Sub(c.At) <= 3*time.Second {
			entries, claims = append(entries, i), append(claims, c)
		}
	}
	shares := make([]int, len(claims))
	server := awbalance.Server{Active: len(e.running), Queued: len(e.queued), FirstClaim: s.shares.began}
	awbalance.Split(server, claims, shares, s.clock.Now(), s.rng.Float64())
	byEntry := map[int]int{}
	for i, n := range shares {
		byEntry[entries[i]] = n
	}
	return byEntry
}

// delayedReport is a load report on its way to an entry.
type delayedReport struct {
	to   *Dispatcher
	key  awdirectory.Key
	load Load
}

// deliver passes a load report to an entry after the delay of the simulation.
func (s *simulation) deliver(d *Dispatcher, k awdirectory.Key, l Load) {
	if s.shares.delay == 0 {
		d.Report(k, l)
		return
	}
	l.At = l.At.Add(s.shares.delay)
	s.shares.underway = append(s.shares.underway, delayedReport{d, k, l})
}

// deliverDue delivers the reports whose delay has passed.
func (s *simulation) deliverDue() {
	due := 0
	for _, r := range s.shares.underway {
		if r.load.At.After(s.clock.Now()) {
			break
		}
		r.to.Report(r.key, r.load)
		due++
	}
	s.shares.underway = s.shares.underway[due:]
}

// sample records the requests at each engine ten times a second.
func (s *simulation) sample() {
	h, now := &s.shares, s.clock.Now()
	if now.Sub(h.sampledAt) < 100*time.Millisecond {
		return
	}
	h.sampledAt = now
	sum, peak := 0, 0
	for _, e := range s.engines {
		n := len(e.running) + len(e.queued)
		sum, peak = sum+n, max(peak, n)
		h.maxOverLimit = max(h.maxOverLimit, n-e.info.Slots)
	}
	if sum > 0 {
		s.sampleWork()
		h.samples++
		h.peakOverMean += float64(peak) * float64(len(s.engines)) / float64(sum)
	}
}

// unevenFleet returns a simulation of 15 entries before 52 engines, and the demand of
// each entry at the given share of the capacity. The domains have demand 171 : 207 :
// 230 before 18 : 17 : 17 engines, and the entries of a domain up to 2.3 times as much
// as each other.
func unevenFleet(load float64) (*simulation, func(int) float64) {
	const entries, engines = 15, 52
	s := newSimulation(entries, engines, 80*time.Millisecond)
	s.setSlots(8)
	s.relate()
	const capacity = engines * 7.5 // requests a second, from the time of a pass
	byDomain := []float64{171, 207, 230}
	return s, func(entry int) float64 {
		return load * capacity * byDomain[entry%3] / 608 * (0.6 + 0.2*float64(entry/3)) / 5
	}
}

// Guards against slots that stay free at entries without demand while others refuse:
// shares by demand must refuse less than equal shares, and no engine may be overrun
// by more.
func TestSharesByDemandRefuseLess(t *testing.T) {
	run := func(enabled bool) (refusedShare float64, h shareSimulation, onTime float64) {
		s, demand := unevenFleet(0.95)
		if enabled {
			s.enableShares()
		}
		s.shares.delay = 20 * time.Millisecond
		s.run(30*time.Second, demand)
		requests := 0
		for _, n := range s.requests {
			requests += n
		}
		return float64(s.shares.refused) / float64(requests), s.shares, s.onTimeShare()
	}
	print := func(name string, refused float64, h shareSimulation, onTime float64) {
		t.Log(name, fmt.Sprintf("refused %.4f, of these with free slots %.4f, peak over mean %.3f, beyond the slots %d, on time %.4f",
			refused, float64(h.refusedFree)/float64(max(1, h.refused)), h.peakOverMean/float64(h.samples), h.maxOverLimit, onTime))
	}
	before, equal, onTimeBefore := run(false)
	after, byDemand, onTimeAfter := run(true)
	print("equal shares:", before, equal, onTimeBefore)
	print("by demand:", after, byDemand, onTimeAfter)
	require.Less(t, after, before)
	require.LessOrEqual(t, byDemand.maxOverLimit, equal.maxOverLimit)
	require.Greater(t, onTimeAfter, onTimeBefore)
}

// Guards against callers of a full failure domain that are refused while the others
// have room: of a demand of 85% of the capacity of all, 63% comes to one domain. Work
// must not leave for a region that is not allowed or a domain out of service.
func TestWorkLeavesAFullDomain(t *testing.T) {
	run := func(enabled bool, change func(*simulation), load float64) *simulation {
		s, demand := unevenFleet(load)
		if enabled {
			s.enableShares()
			s.estimated = true
		}
		s.shares.delay, s.sentTo = 20*time.Millisecond, map[string]int{}
		change(s)
		s.run(25*time.Second, func(entry int) float64 {
			factor := []float64{1.9, 0.55, 0.55}[entry%3] * 608 / 3 / []float64{171, 207, 230}[entry%3]
			return demand(entry) * factor
		})
		return s
	}
	refusedShare := func(s *simulation) float64 {
		refused, requests := 0, 0
		for i := 0; i < len(s.entries); i += 3 {
			refused, requests = refused+s.refusals[i], requests+s.requests[i]
		}
		return float64(refused) / float64(requests)
	}
	none := func(*simulation) {}
	before, after := refusedShare(run(false, none, 0.85)), refusedShare(run(true, none, 0.85))
	t.Logf("refused in the full domain: %.4f with equal shares, %.4f by demand", before, after)
	require.Less(t, after, 0.01)
	require.Less(t, after, before)

	s := run(true, func(s *simulation) { s.allowed = func(region string) bool { return region != "d2" } }, 0.5)
	require.Zero(t, s.sentTo["d2"])
	require.Less(t, refusedShare(s), 0.01)
	s = run(true, func(s *simulation) {
		for _, d := range s.entries {
			d.SetDomainsOut(map[string]bool{"d1": true})
		}
	}, 0.5)
	require.Zero(t, s.sentTo["d1"])
	require.Less(t, refusedShare(s), 0.01)
}

// rates returns the demand of entries of which some are frozen. The callers of those
// go to the others.
func (s *simulation) rates(demand func(int) float64) func(int) float64 {
	total, alive := 0.0, 0.0
	for i := range s.entries {
		total += demand(i)
		if !s.shares.frozen[i] {
			alive += demand(i)
		}
	}
	return func(entry int) float64 {
		if s.shares.frozen[entry] {
			return 0
		}
		return demand(entry) * total / alive
	}
}

// Guards against slots that stay with entries that are frozen with shares in hand or
// cut off, one or half of them, and against engines that are overrun when these go on.
func TestSharesOfFrozenEntries(t *testing.T) {
	for _, frozen := range []int{1, 7} {
		s, demand := unevenFleet(0.6)
		s.enableShares()
		s.run(5*time.Second, demand)
		for i := range frozen {
			s.shares.frozen[i] = true
		}
		s.run(3*time.Second, s.rates(demand))
		for _, e := range s.engines {
			for i, n := range s.divide(e) {
				require.False(t, s.shares.frozen[i] && n > 0, "%d slots of %s are stranded", n, e.info.ID)
			}
		}
		s.shares.refused = 0
		s.run(3*time.Second, s.rates(demand))
		require.Zero(t, s.shares.refused)
		clear(s.shares.frozen)
		s.run(5*time.Second, demand)
		require.LessOrEqual(t, s.shares.maxOverLimit, 1)
	}
}

// Guards against an engine that is overrun when its load reports stop, since its
// entries then no longer know what the others send: while the last report is recent, no
// more than all slots are used. Then each entry keeps to an equal share of the slots, so
// that until the requests of those that had more end, all together use at most 2 - 1/G
// times the slots, with G entries.
func TestSharesOfAnEngineWithoutReports(t *testing.T) {
	for _, load := range []float64{0.9, 1.2} { // at 1.2 the engine is needed, though it is the last choice
		s, demand := unevenFleet(load)
		s.enableShares()
		s.run(5*time.Second, demand)
		mute := s.engines[0]
		entries := 0
		for _, d := range s.entries {
			entries = max(entries, d.sharers[mute.info.Address])
		}
		s.shares.mute = mute
		for _, phase := range []struct {
			time time.Duration
			over int
		}{
			{reportMaxAge, 0},
			{3*time.Second - reportMaxAge, mute.info.Slots * (entries - 1) / entries},
			{5 * time.Second, 1},
		} {
			s.shares.maxOverLimit = 0
			s.run(phase.time, demand)
			require.LessOrEqual(t, s.shares.maxOverLimit, phase.over)
		}
	}
}

// Guards against bursts at engines that appear cold: in the first second each gets no
// more than its limit and half a request of each of its entries, for rounding. In any
// second while it is cold, the limit holds over all entries within 1.5 times and 5 more.
// All entries together use no more than its slots.
func TestSharesOfColdEngines(t *testing.T) {
	s, demand := unevenFleet(0.9)
	s.service.ColdRate = 4
	var all, warm []awdirectory.Server
	for i, e := range s.engines {
		if i >= 13 {
			warm = append(warm, e.info)
		} else {
			e.info.ColdRemaining = 5 * time.Second
		}
		all = append(all, e.info)
	}
	for _, d := range s.entries {
		d.SetServices([]awdirectory.Service{s.service})
		d.SetServers(warm)
	}
	s.enableShares()
	s.run(5*time.Second, demand)
	s.shares.began = s.clock.Now()
	for _, d := range s.entries {
		d.SetServers(all)
	}
	s.run(time.Second, demand)
	for _, e := range s.engines[:13] {
		require.LessOrEqual(t, len(e.arrivals), 4+EntriesPerEngine/2)
	}
	s.run(4*time.Second, demand)
	for _, e := range s.engines[:13] {
		for i, from := range e.arrivals {
			n := 0
			for _, at := range e.arrivals[i:] {
				if at.Sub(from) < time.Second {
					n++
				}
			}
			require.LessOrEqual(t, n, 4*3/2+5)
		}
	}
	s.run(5*time.Second, demand)
	require.LessOrEqual(t, s.shares.maxOverLimit, 1)
}

// Guards against an entry that fills a slot twice: the engine may run a request that
// was abandoned or failed until its next report. A request that has ended, was turned
// away or was never sent leaves its slot at once.
func TestSlotOfAnAbandonedRequestIsNotReused(t *testing.T) {
	for outcome, again := range map[Outcome]int{Succeeded: 4, Rejected: 4, NotSent: 4, Failed: 0, Abandoned: 0, Unreachable: 0} {
		s := newSimulation(1, 1, 0)
		d, info := s.entries[0], s.engines[0].info
		report := func(active, share int) {
			d.Report(info.Key(), Load{At: s.clock.Now(), Active: active, Shared: true, Share: share, Versions: info.Versions})
		}
		submit := func() (grants []*Grant) {
			for range 10 {
				t := d.Submit(Request{Service: "s", Model: "m", Deadline: s.clock.Now().Add(time.Second)}, func(dec Decision) {
					if dec.Grant != nil {
						grants = append(grants, dec.Grant)
					}
				})
				d.Cancel(t) // keeps it from the queue
			}
			return grants
		}
		report(0, 4)
		grants := submit()
		require.Len(t, grants, 4)
		for _, g := range grants {
			d.Release(g, outcome)
		}
		d.servers[info.Key()].rejectedUntil, d.servers[info.Key()].reachableFrom = time.Time{}, time.Time{}
		require.Len(t, submit(), again, "outcome %d", outcome)
		report(4, 2)
		require.Len(t, submit(), 2, "outcome %d", outcome)
	}
}
