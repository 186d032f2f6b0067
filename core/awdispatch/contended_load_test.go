package awdispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// callerKind is a kind of callers of a contended service.
type callerKind struct {
	rank      int
	objective time.Duration
}

var callerKinds = []callerKind{{0, 400 * time.Millisecond}, {1, 400 * time.Millisecond}, {2, time.Second}}

const largeTeam = "large"

// contest lets callers of three ranks and 24 teams, of which one is large, compete for
// too few slots.
type contest struct {
	*simulation
	demand      float64 // requests a second
	hasty       bool    // callers of the large team retry at once, up to 20 times
	retries     []contestRetry
	callers     map[string]int // by "rank N" and by team
	served      map[string]int
	onTime      map[string]int
	overSum     int // requests beyond the slots, summed over samples and engines
	overSamples int
	overMax     int
	overMute    int // requests beyond the slots of the engine without reports
}

type contestRetry struct {
	at             time.Time
	kind           callerKind
	team           string
	firstSubmitted time.Time
	attempt        int
}

// newContest returns 15 entries before 18 engines of 8 slots, with load times the
// demand that they can serve. Without contended, the rules of other services hold.
func newContest(load float64, contended bool) *contest {
	const engines = 18
	c := &contest{simulation: newSimulation(15, engines, 80*time.Millisecond)}
	c.setSlots(8)
	c.relate()
	c.enableShares()
	c.shares.delay = 20 * time.Millisecond
	for _, d := range c.entries {
		if !contended {
			break
		}
		d.SetContended(map[string]Ranks{"s": {MostUrgent: 0, LeastUrgent: 2}})
	}
	c.demand = load * engines * 7.5
	c.onStep = c.step
	return c
}

func (c *contest) reset() {
	c.callers, c.served, c.onTime = map[string]int{}, map[string]int{}, map[string]int{}
	c.overSum, c.overSamples, c.overMax, c.overMute = 0, 0, 0, 0
}

// runFor advances the simulation and counts from its start.
func (c *contest) runFor(d time.Duration) {
	c.reset()
	c.run(d, func(int) float64 { return 0 })
}

func (c *contest) step() {
	now := c.clock.Now()
	for _, e := range c.engines {
		over := max(0, len(e.running)+len(e.queued)-e.info.Slots)
		if e == c.shares.mute {
			c.overMute = max(c.overMute, over)
		}
		c.overSum, c.overSamples, c.overMax = c.overSum+over, c.overSamples+1, max(c.overMax, over)
	}
	due := c.retries
	c.retries = nil
	for _, r := range due {
		if r.at.After(now) {
			c.retries = append(c.retries, r)
		} else {
			c.attempt(r)
		}
	}
	for range c.arrivals(c.demand * simStep.Seconds()) {
		r := contestRetry{kind: callerKinds[c.rng.IntN(len(callerKinds))], team: largeTeam, firstSubmitted: now}
		if c.rng.IntN(2) == 0 {
			r.team = fmt.Sprint("team", c.rng.IntN(23))
		}
		c.count(c.callers, r)
		c.attempt(r)
	}
}

func (c *contest) count(counts map[string]int, r contestRetry) {
	counts[fmt.Sprint("rank ", r.kind.rank)]++
	if r.team == largeTeam {
		counts[largeTeam]++
	} else {
		counts["small"]++
	}
}

// share returns the share of the callers that are in counts.
func (c *contest) share(counts map[string]int, name string) float64 {
	return float64(counts[name]) / float64(c.callers[name])
}

func (c *contest) attempt(r contestRetry) {
	const timeout = 6 * time.Second
	entry := c.rng.IntN(len(c.entries))
	for c.shares.frozen[entry] {
		entry = c.rng.IntN(len(c.entries))
	}
	d, now := c.entries[entry], c.clock.Now()
	age := now.Sub(r.firstSubmitted)
	maxWait, late := d.WaitLimit("s", r.kind.objective, age)
	size := 0.3 + 1.4*c.rng.Float64()
	j := &job{
		entry: entry, firstSubmitted: r.firstSubmitted, prompt: int(meanPromptTokens * size), tokens: int(meanAnswerTokens * size),
		priority: r.kind.rank,
	}
	j.onFirstToken = func() {
		d.FirstEvent(j.grant)
		c.count(c.served, r)
		if c.firstTokens[len(c.firstTokens)-1] <= r.kind.objective {
			c.count(c.onTime, r)
		}
	}
	d.Submit(Request{
		Service: "s", Model: "m", Priority: 1, Rank: r.kind.rank, Team: r.team, MaxWait: maxWait, Late: late,
		Deadline: r.firstSubmitted.Add(timeout),
	}, func(dec Decision) {
		c.decided(entry, dec)
		if dec.Grant != nil {
			c.send(j, dec.Grant)
			return
		}
		r.attempt++
		r.at = c.clock.Now().Add(dec.RetryAfter)
		limit := 1
		if c.hasty && r.team == largeTeam {
			limit, r.at = 20, c.clock.Now().Add(simStep)
		}
		if r.attempt <= limit {
			c.retries = append(c.retries, r)
		}
	})
}

func (c *contest) log(t *testing.T, name string) {
	t.Helper()
	if !testing.Verbose() {
		return
	}
	for _, key := range []string{"rank 0", "rank 1", "rank 2", largeTeam, "small"} {
		t.Logf("%s: %s: %d callers, served %.3f, on time %.3f", name, key, c.callers[key], c.share(c.served, key), c.share(c.onTime, key))
	}
	t.Logf("%s: beyond the slots: mean %.2f, most %d", name, float64(c.overSum)/float64(c.overSamples), c.overMax)
}

// requireOrder checks that the most urgent callers are served, and served in time, at
// least as often as the others.
func (c *contest) requireOrder(t *testing.T) {
	t.Helper()
	for _, other := range []string{"rank 1", "rank 2"} {
		require.GreaterOrEqual(t, c.share(c.served, "rank 0"), c.share(c.served, other))
		require.GreaterOrEqual(t, c.share(c.onTime, "rank 0"), c.share(c.onTime, other))
	}
}

// requireBeyondLimit checks how many requests wait in the queues of engines: at most
// maxBeyondSlots on average, and with the rounding of the shares and what is underway
// one for each entry and one more.
func (c *contest) requireBeyondLimit(t *testing.T) {
	t.Helper()
	require.LessOrEqual(t, float64(c.overSum)/float64(c.overSamples), float64(maxBeyondSlots))
	require.LessOrEqual(t, c.overMax, EntriesPerEngine+1)
}

// Guards against the most urgent callers being served worst, against starving the least
// urgent ones, and against a large team that crowds out small ones.
func TestContendedRanksUnderOverload(t *testing.T) {
	for _, load := range []float64{1.2, 1.5, 3} {
		c := newContest(load, true)
		c.runFor(5 * time.Second)
		c.runFor(20 * time.Second)
		c.log(t, fmt.Sprint("load ", load))
		c.requireOrder(t)
		c.requireBeyondLimit(t)
		all := c.served["rank 0"] + c.served["rank 1"] + c.served["rank 2"]
		require.GreaterOrEqual(t, c.served["rank 2"]*floorPeriod, all)
		require.GreaterOrEqual(t, c.share(c.served, "small"), c.share(c.served, largeTeam))
		require.GreaterOrEqual(t, c.share(c.onTime, "small"), c.share(c.onTime, largeTeam))
	}
}

// Guards against callers that retry at once and so crowd out the others by more than
// they do under the rules of other services. It does not show that they gain nothing:
// an entry cannot tell their attempts from those of new callers.
func TestContendedCallersThatRetryAtOnce(t *testing.T) {
	loss := func(contended bool) (served, onTime float64) {
		var shares [2][2]float64
		for i, hasty := range []bool{false, true} {
			c := newContest(1.5, contended)
			c.hasty = hasty
			c.runFor(5 * time.Second)
			c.runFor(20 * time.Second)
			c.log(t, fmt.Sprintf("contended %v, retries at once %v", contended, hasty))
			shares[i] = [2]float64{c.share(c.served, "small"), c.share(c.onTime, "small")}
		}
		return shares[1][0] / shares[0][0], shares[1][1] / shares[0][1]
	}
	served, onTime := loss(true)
	servedBefore, onTimeBefore := loss(false)
	require.Greater(t, served, servedBefore)
	require.Greater(t, onTime, onTimeBefore)
}

// Guards against engines that are overrun, and against a changed order, while entries
// are frozen whose requests wait in the queues of engines, and when these go on.
func TestContendedWithFrozenEntries(t *testing.T) {
	c := newContest(1.5, true)
	c.runFor(5 * time.Second)
	c.asleep = map[int]bool{0: true, 1: true}
	for i := range c.asleep {
		c.shares.frozen[i] = true
	}
	queued := 0
	for _, e := range c.engines {
		for _, j := range e.queued {
			if c.asleep[j.entry] {
				queued++
			}
		}
	}
	require.Positive(t, queued)
	for _, phase := range []string{"frozen", "thawed"} {
		c.runFor(10 * time.Second)
		c.log(t, phase)
		c.requireOrder(t)
		c.requireBeyondLimit(t)
		c.asleep = nil
		clear(c.shares.frozen)
		for _, j := range c.ended {
			c.end(j)
		}
		c.ended = nil
	}
}

// Guards against an engine that gets requests beyond its slots when its load reports
// have stopped.
func TestContendedEngineWithoutReports(t *testing.T) {
	c := newContest(1.5, true)
	c.runFor(5 * time.Second)
	c.shares.mute = c.engines[0]
	c.runFor(3 * time.Second)
	c.runFor(5 * time.Second)
	c.log(t, "without reports")
	require.LessOrEqual(t, c.overMute, 1, "the limit of TestSharesOfAnEngineWithoutReports")
	c.requireOrder(t)
}
