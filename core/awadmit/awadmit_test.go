package awadmit

import (
	"errors"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awoutcome"
)

func newTestGate(cfg Config) (*Controller, *awclock.Fake) {
	clock := awclock.NewFake(time.Unix(1_700_000_000, 0))
	cfg.Clock = clock
	return NewController(cfg), clock
}

func request(clock *awclock.Fake, team string, priority uint32) Request {
	return Request{Team: team, Priority: priority, MaxTokens: 1, Deadline: clock.Now().Add(time.Hour)}
}

// Guards against a product that wraps around and reserves almost nothing.
func TestOversize(t *testing.T) {
	for name, c := range map[string]struct {
		prompt, output uint32
		perToken       uint64
		bytes          int
		oversize       bool
	}{
		"exact fit":      {10, 90, 10, 0, false},
		"one over":       {11, 90, 10, 0, true},
		"product wraps":  {math.MaxUint32, math.MaxUint32, math.MaxUint64, 0, true},
		"wraps to small": {1 << 31, 1 << 31, 1 << 32, 0, true},
		"body too large": {1, 1, 1, 1001, true},
	} {
		t.Run(name, func(t *testing.T) {
			g, clock := newTestGate(Config{MaxInFlight: 4, ColdInFlight: 1, MemoryBytes: 1000, BytesPerToken: c.perToken})
			_, err := g.Offer(Request{PromptTokens: c.prompt, MaxTokens: c.output, Bytes: c.bytes, Deadline: clock.Now().Add(time.Second)})
			var oversize *OversizeError
			var refusal *awoutcome.Error
			require.Equal(t, c.oversize, errors.As(err, &oversize))
			if c.oversize {
				require.True(t, errors.As(err, &refusal))
				require.Equal(t, awoutcome.NotRun, refusal.Outcome)
			}
		})
	}
}

// Guards against grants that ignore priority or let a team with much traffic
// take more than its weight.
func TestOrder(t *testing.T) {
	g, clock := newTestGate(Config{MaxInFlight: 1, ColdInFlight: 1, MemoryBytes: 100, BytesPerToken: 1, MaxQueue: 100, QueueBytes: 1000})
	g.SetWeights(map[string]int{"large": 3, "small": 1})
	running, err := g.Offer(request(clock, "large", 4))
	require.NoError(t, err)
	var order []string
	var tickets []*Ticket
	offer := func(team string, priority uint32, name string) {
		r := request(clock, team, priority)
		r.OnDecided = func() { order = append(order, name) }
		tk, err := g.Offer(r)
		require.NoError(t, err)
		tickets = append(tickets, tk)
	}
	for range 12 {
		offer("large", 4, "L")
	}
	for range 4 {
		offer("small", 4, "S")
	}
	offer("small", 9, "U")
	for len(order) < 17 {
		g.Release(running)
		for _, tk := range tickets {
			if tk.Granted() {
				running = tk
			}
		}
	}
	require.Equal(t, "U", order[0], "the highest priority runs first")
	small := 0
	for _, name := range order[1:13] {
		if name == "S" {
			small++
		}
	}
	require.InDelta(t, 3, small, 1, "a quarter of the grants go to the team with a quarter of the weight: %v", order)
}

// Guards against a large team that fills the queue and keeps others out, and
// against two teams that replace each other's requests for ever.
func TestFullQueue(t *testing.T) {
	for name, c := range map[string]struct {
		team     string
		priority uint32
		admitted bool
	}{
		"same team":                {"large", 4, false},
		"lower priority":           {"small", 3, false},
		"higher priority":          {"large", 5, true},
		"team under its share":     {"small", 4, true},
		"unknown team, same order": {"other", 4, true},
	} {
		t.Run(name, func(t *testing.T) {
			g, clock := newTestGate(Config{MaxInFlight: 1, ColdInFlight: 1, MemoryBytes: 100, BytesPerToken: 1, MaxQueue: 4, QueueBytes: 1000})
			var queued []*Ticket
			for range 5 {
				tk, err := g.Offer(request(clock, "large", 4))
				require.NoError(t, err)
				queued = append(queued, tk)
			}
			_, err := g.Offer(request(clock, c.team, c.priority))
			require.Equal(t, c.admitted, err == nil)
			require.Equal(t, 4, g.Queued())
			if c.admitted {
				require.Error(t, queued[4].Refusal(), "the newest request of the largest team leaves")
				return
			}
			var refusal *awoutcome.Error
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, awoutcome.NotRun, refusal.Outcome)
			require.NotZero(t, refusal.RetryAfterMs)
		})
	}
}

// Guards against a limit that rises without evidence or stays up after the
// backend server has turned cold.
func TestLimit(t *testing.T) {
	finish := func(g *Controller, clock *awclock.Fake, n int, firstToken time.Duration) {
		for range n {
			tk, err := g.Offer(request(clock, "a", 4))
			require.NoError(t, err)
			clock.Advance(firstToken)
			g.ObserveFirstToken(tk)
			g.ObserveFinish(tk)
			g.Release(tk)
		}
	}
	for name, c := range map[string]struct {
		do   func(g *Controller, clock *awclock.Fake)
		want int
	}{
		"no evidence":         {func(*Controller, *awclock.Fake) {}, 2},
		"one below":           {func(g *Controller, c *awclock.Fake) { finish(g, c, 1, 0) }, 2},
		"doubles":             {func(g *Controller, c *awclock.Fake) { finish(g, c, 2, 0) }, 4},
		"doubles twice":       {func(g *Controller, c *awclock.Fake) { finish(g, c, 6, 0) }, 8},
		"stops at the bound":  {func(g *Controller, c *awclock.Fake) { finish(g, c, 100, 0) }, 16},
		"restart":             {func(g *Controller, c *awclock.Fake) { finish(g, c, 100, 0); g.ObserveEngine("b", false) }, 2},
		"reported cold":       {func(g *Controller, c *awclock.Fake) { finish(g, c, 100, 0); g.ObserveEngine("a", true) }, 2},
		"cold holds":          {func(g *Controller, c *awclock.Fake) { g.ObserveEngine("a", true); finish(g, c, 100, 0) }, 2},
		"one slow first":      {func(g *Controller, c *awclock.Fake) { finish(g, c, 100, 0); finish(g, c, 2, time.Second) }, 16},
		"first tokens jump":   {func(g *Controller, c *awclock.Fake) { finish(g, c, 100, 0); finish(g, c, 3, time.Second) }, 2},
		"slow from the start": {func(g *Controller, c *awclock.Fake) { finish(g, c, 100, time.Second) }, 16},
		"evidence from before the restart": {func(g *Controller, clock *awclock.Fake) {
			a, _ := g.Offer(request(clock, "a", 4))
			b, _ := g.Offer(request(clock, "a", 4))
			g.ObserveEngine("b", false)
			g.ObserveFinish(a)
			g.ObserveFinish(b)
		}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			g, clock := newTestGate(Config{MaxInFlight: 16, ColdInFlight: 2, MemoryBytes: 100, BytesPerToken: 1})
			g.ObserveEngine("a", false)
			c.do(g, clock)
			require.Equal(t, c.want, g.Limit())
		})
	}
}

// Guards against small requests that keep a large one out for ever.
func TestOvertaking(t *testing.T) {
	g, clock := newTestGate(Config{MaxInFlight: 8, ColdInFlight: 8, MemoryBytes: 10, BytesPerToken: 1, MaxQueue: 100, QueueBytes: 1000})
	large, small := request(clock, "a", 4), request(clock, "a", 4)
	large.MaxTokens = 10
	running, err := g.Offer(small)
	require.NoError(t, err)
	waiting, err := g.Offer(large)
	require.NoError(t, err)
	passed := 0
	for ; !waiting.Granted() && passed < 100; passed++ {
		next, err := g.Offer(small)
		require.NoError(t, err)
		g.Release(running)
		running = next
	}
	require.Equal(t, maxOvertakes+1, passed)
}

// Guards against work above the bound of the backend server, a queue above
// its bounds, and grants that are lost or counted twice.
func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{
			MaxInFlight: rapid.IntRange(1, 8).Draw(t, "max"), ColdInFlight: rapid.IntRange(1, 3).Draw(t, "cold"),
			MemoryBytes: 100, BytesPerToken: 1, MaxQueue: rapid.IntRange(0, 6).Draw(t, "queue"), QueueBytes: 60, PausedBytes: 40,
		}
		g, clock := newTestGate(cfg)
		var all, paused []*Ticket
		grantedOf := func() (list []*Ticket) {
			for _, tk := range all {
				if tk.Granted() {
					list = append(list, tk)
				}
			}
			return list
		}
		pick := func(t *rapid.T, list []*Ticket) *Ticket {
			if len(list) == 0 {
				t.Skip("nothing to pick")
			}
			return rapid.SampledFrom(list).Draw(t, "ticket")
		}
		before := 0
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				granted := grantedOf()
				var memory uint64
				for _, tk := range granted {
					memory += tk.need
				}
				require.Len(t, granted, g.InFlight())
				require.Equal(t, cfg.MemoryBytes-memory, g.FreeMemory())
				// The limit may have been lowered below what runs; then nothing new starts.
				require.LessOrEqual(t, g.InFlight(), max(before, g.Limit()))
				require.LessOrEqual(t, g.InFlight(), cfg.MaxInFlight)
				count, held := g.fresh()
				require.LessOrEqual(t, count, cfg.MaxQueue)
				require.LessOrEqual(t, held, cfg.QueueBytes)
				require.LessOrEqual(t, g.paused, cfg.PausedBytes)
				if g.InFlight() == 0 {
					require.Zero(t, g.Queued(), "requests wait while the backend server is idle")
				}
				before = g.InFlight()
			},
			"offer": func(t *rapid.T) {
				r := Request{
					Team:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
					Priority: rapid.Uint32Range(0, 9).Draw(t, "priority"), MaxTokens: rapid.Uint32Range(0, 120).Draw(t, "tokens"),
					Bytes: rapid.IntRange(0, 30).Draw(t, "bytes"), Deadline: clock.Now().Add(10 * time.Second),
				}
				if tk, err := g.Offer(r); err == nil {
					all = append(all, tk)
				}
			},
			"release": func(t *rapid.T) { g.Release(pick(t, grantedOf())) },
			"leave":   func(t *rapid.T) { g.CancelQueued(pick(t, all)) },
			"finish": func(t *rapid.T) {
				tk := pick(t, grantedOf())
				g.ObserveFirstToken(tk)
				g.ObserveFinish(tk)
				g.Release(tk)
			},
			"pause": func(t *rapid.T) {
				if tk := pick(t, grantedOf()); g.Pause(tk) {
					paused = append(paused, tk)
				}
			},
			"resume": func(t *rapid.T) {
				tk := pick(t, paused)
				r := tk.req
				r.Resume = true
				next, err := g.Offer(r)
				require.NoError(t, err, "a started answer is never refused")
				all = append(all, next)
				g.Unpause(tk)
				paused = slices.DeleteFunc(paused, func(p *Ticket) bool { return p == tk })
			},
			"restart": func(t *rapid.T) {
				g.ObserveEngine(rapid.StringN(1, 1, 1).Draw(t, "boot"), rapid.Bool().Draw(t, "cold"))
			},
			"wait":  func(t *rapid.T) { clock.Advance(3 * time.Second) },
			"flush": func(t *rapid.T) { g.FlushQueue(awoutcome.Leaving, "leaving") },
		})
	})
}
