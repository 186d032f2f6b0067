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

func newTestController(cfg Config) (*Controller, *awclock.Fake) {
	clock := awclock.NewFake(time.Unix(1_700_000_000, 0))
	cfg.Clock = clock
	return NewController(cfg), clock
}

func request(clock *awclock.Fake, team string, priority uint32) Request {
	return Request{Team: team, Priority: priority, MaxTokens: 1, Deadline: clock.Now().Add(time.Hour)}
}

// Guards against an overflow in the computed memory that admits an oversized
// request with a tiny reservation.
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
			ctrl, clock := newTestController(Config{MaxInFlight: 4, ColdInFlight: 1, MemoryBytes: 1000, BytesPerToken: c.perToken})
			_, err := ctrl.Offer(Request{PromptTokens: c.prompt, MaxTokens: c.output, Bytes: c.bytes, Deadline: clock.Now().Add(time.Second)})
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

// Guards against a rate limit that is exceeded, and against requests that wait for
// it although their deadline passes first.
func TestRateLimit(t *testing.T) {
	ctrl, clock := newTestController(Config{MaxInFlight: 100, ColdInFlight: 100, MemoryBytes: 1000, BytesPerToken: 1, MaxQueue: 100, QueueBytes: 1000})
	ctrl.SetRate(2)
	granted := 0
	offer := func(deadline time.Duration) error {
		r := request(clock, "a", 1)
		r.Deadline = clock.Now().Add(deadline)
		r.OnDecided = func() { granted++ }
		_, err := ctrl.Offer(r)
		return err
	}
	for range 10 {
		require.NoError(t, offer(time.Hour))
	}
	require.Error(t, offer(time.Second), "its turn is after five seconds")
	for second := range 5 {
		require.Equal(t, 2*second, granted)
		require.Equal(t, ctrl.InFlight(), ctrl.Startable())
		for range 10 {
			clock.Advance(100 * time.Millisecond)
			ctrl.GrantDue()
		}
	}
	require.Equal(t, 10, granted)
	ctrl.SetRate(0)
	require.NoError(t, offer(time.Second))
	require.Equal(t, 11, ctrl.InFlight())
}

// Guards against grants that ignore priority, and against a team with many requests
// that gets more than the share of its weight.
func TestOrder(t *testing.T) {
	ctrl, clock := newTestController(Config{MaxInFlight: 1, ColdInFlight: 1, MemoryBytes: 100, BytesPerToken: 1, MaxQueue: 100, QueueBytes: 1000})
	ctrl.SetWeights(map[string]int{"large": 3, "small": 1})
	running, err := ctrl.Offer(request(clock, "large", 4))
	require.NoError(t, err)
	var order []string
	var tickets []*Ticket
	offer := func(team string, priority uint32, name string) {
		r := request(clock, team, priority)
		r.OnDecided = func() { order = append(order, name) }
		tk, err := ctrl.Offer(r)
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
		ctrl.Release(running)
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

// Guards against a team that fills the queue and keeps other teams out, and against
// two teams that keep replacing each other's requests.
func TestFullQueue(t *testing.T) {
	for name, c := range map[string]struct {
		team     string
		priority uint32
		admitted bool
	}{
		"same team":             {"large", 4, false},
		"lower priority":        {"small", 3, false},
		"higher priority":       {"large", 5, true},
		"team under its share":  {"small", 4, true},
		"team without a weight": {"other", 4, true},
	} {
		t.Run(name, func(t *testing.T) {
			ctrl, clock := newTestController(Config{MaxInFlight: 1, ColdInFlight: 1, MemoryBytes: 100, BytesPerToken: 1, MaxQueue: 4, QueueBytes: 1000})
			var queued []*Ticket
			for range 5 {
				tk, err := ctrl.Offer(request(clock, "large", 4))
				require.NoError(t, err)
				queued = append(queued, tk)
			}
			_, err := ctrl.Offer(request(clock, c.team, c.priority))
			require.Equal(t, c.admitted, err == nil)
			require.Equal(t, 4, ctrl.Queued())
			if c.admitted {
				require.Error(t, queued[4].Refusal(), "the newest request of the team with the most queued requests is replaced")
				return
			}
			var refusal *awoutcome.Error
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, awoutcome.NotRun, refusal.Outcome)
			require.NotZero(t, refusal.RetryAfterMs)
		})
	}
}

// Guards against a limit that is reset because of one short silence of the backend
// server.
func TestSilenceIsNoJump(t *testing.T) {
	ctrl, clock := newTestController(Config{MaxInFlight: 16, ColdInFlight: 2, MemoryBytes: 1000, BytesPerToken: 1})
	for range 100 {
		tk, err := ctrl.Offer(request(clock, "a", 4))
		require.NoError(t, err)
		clock.Advance(100 * time.Millisecond)
		ctrl.ObserveFirstToken(tk)
		ctrl.ObserveFinish(tk)
		ctrl.Release(tk)
	}
	limit := ctrl.Limit()
	var waiting []*Ticket
	for range 8 {
		tk, err := ctrl.Offer(request(clock, "a", 4))
		require.NoError(t, err)
		waiting = append(waiting, tk)
	}
	clock.Advance(1500 * time.Millisecond)
	for _, tk := range waiting {
		_, cause := ctrl.ObserveFirstToken(tk)
		require.Equal(t, CauseNone, cause)
		clock.Advance(time.Millisecond)
	}
	require.Equal(t, limit, ctrl.Limit())
}

// Guards against a limit that rises before enough requests have finished, or that
// is not reset after the backend server became cold.
func TestLimit(t *testing.T) {
	finish := func(ctrl *Controller, clock *awclock.Fake, n int, firstToken time.Duration) {
		for range n {
			tk, err := ctrl.Offer(request(clock, "a", 4))
			require.NoError(t, err)
			clock.Advance(firstToken)
			ctrl.ObserveFirstToken(tk)
			ctrl.ObserveFinish(tk)
			ctrl.Release(tk)
		}
	}
	for name, c := range map[string]struct {
		do   func(ctrl *Controller, clock *awclock.Fake)
		want int
	}{
		"no finished request":  {func(*Controller, *awclock.Fake) {}, 2},
		"one request too few":  {func(ctrl *Controller, clock *awclock.Fake) { finish(ctrl, clock, 1, 0) }, 2},
		"doubles":              {func(ctrl *Controller, clock *awclock.Fake) { finish(ctrl, clock, 2, 0) }, 4},
		"doubles twice":        {func(ctrl *Controller, clock *awclock.Fake) { finish(ctrl, clock, 6, 0) }, 8},
		"stops at MaxInFlight": {func(ctrl *Controller, clock *awclock.Fake) { finish(ctrl, clock, 100, 0) }, 16},
		"restart": {func(ctrl *Controller, clock *awclock.Fake) {
			finish(ctrl, clock, 100, 0)
			ctrl.ObserveEngine("b", false)
		}, 2},
		"reported cold": {func(ctrl *Controller, clock *awclock.Fake) {
			finish(ctrl, clock, 100, 0)
			ctrl.ObserveEngine("a", true)
		}, 2},
		"stays cold while reported": {func(ctrl *Controller, clock *awclock.Fake) {
			ctrl.ObserveEngine("a", true)
			finish(ctrl, clock, 100, 0)
		}, 2},
		"two slow first tokens": {func(ctrl *Controller, clock *awclock.Fake) {
			finish(ctrl, clock, 100, 0)
			finish(ctrl, clock, 2, time.Second)
		}, 16},
		"three slow first tokens": {func(ctrl *Controller, clock *awclock.Fake) {
			finish(ctrl, clock, 100, 0)
			finish(ctrl, clock, 3, time.Second)
		}, 2},
		"slow from the start": {func(ctrl *Controller, clock *awclock.Fake) { finish(ctrl, clock, 100, time.Second) }, 16},
		"requests granted before the restart": {func(ctrl *Controller, clock *awclock.Fake) {
			a, _ := ctrl.Offer(request(clock, "a", 4))
			b, _ := ctrl.Offer(request(clock, "a", 4))
			ctrl.ObserveEngine("b", false)
			ctrl.ObserveFinish(a)
			ctrl.ObserveFinish(b)
		}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			ctrl, clock := newTestController(Config{MaxInFlight: 16, ColdInFlight: 2, MemoryBytes: 100, BytesPerToken: 1})
			ctrl.ObserveEngine("a", false)
			c.do(ctrl, clock)
			require.Equal(t, c.want, ctrl.Limit())
		})
	}
}

// Guards against small requests that keep a large one from ever running.
func TestSmallRequestsBypassLargeOne(t *testing.T) {
	ctrl, clock := newTestController(Config{MaxInFlight: 8, ColdInFlight: 8, MemoryBytes: 10, BytesPerToken: 1, MaxQueue: 100, QueueBytes: 1000})
	large, small := request(clock, "a", 4), request(clock, "a", 4)
	large.MaxTokens = 10
	running, err := ctrl.Offer(small)
	require.NoError(t, err)
	waiting, err := ctrl.Offer(large)
	require.NoError(t, err)
	bypasses := 0
	for ; !waiting.Granted() && bypasses < 100; bypasses++ {
		next, err := ctrl.Offer(small)
		require.NoError(t, err)
		ctrl.Release(running)
		running = next
	}
	require.Equal(t, maxBypasses+1, bypasses)
}

// Guards against exceeding the limits of the backend server or of the queue, and
// against requests in flight that are lost or counted twice.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{
			MaxInFlight: rapid.IntRange(1, 8).Draw(t, "max"), ColdInFlight: rapid.IntRange(1, 3).Draw(t, "cold"),
			MemoryBytes: 100, BytesPerToken: 1, MaxQueue: rapid.IntRange(0, 6).Draw(t, "queue"), QueueBytes: 60, PausedBytes: 40,
		}
		ctrl, clock := newTestController(cfg)
		var all, paused []*Ticket
		grantedTickets := func() (list []*Ticket) {
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
		inFlightBefore := 0
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				granted := grantedTickets()
				var memory uint64
				for _, tk := range granted {
					memory += tk.requiredBytes
				}
				require.Len(t, granted, ctrl.InFlight())
				require.Equal(t, cfg.MemoryBytes-memory, ctrl.FreeMemory())
				// The limit may have been reset to less than what is in flight; then no
				// request is granted.
				require.LessOrEqual(t, ctrl.InFlight(), max(inFlightBefore, ctrl.Limit()))
				require.LessOrEqual(t, ctrl.InFlight(), cfg.MaxInFlight)
				count, bytes := ctrl.queueUsage()
				require.LessOrEqual(t, count, cfg.MaxQueue)
				require.LessOrEqual(t, bytes, cfg.QueueBytes)
				require.LessOrEqual(t, ctrl.pausedBytes, cfg.PausedBytes)
				if ctrl.InFlight() == 0 {
					require.Zero(t, ctrl.Queued(), "requests wait while the backend server is idle")
				}
				inFlightBefore = ctrl.InFlight()
			},
			"offer": func(t *rapid.T) {
				r := Request{
					Team:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
					Priority: rapid.Uint32Range(0, 9).Draw(t, "priority"), MaxTokens: rapid.Uint32Range(0, 120).Draw(t, "tokens"),
					Bytes: rapid.IntRange(0, 30).Draw(t, "bytes"), Deadline: clock.Now().Add(10 * time.Second),
				}
				if tk, err := ctrl.Offer(r); err == nil {
					all = append(all, tk)
				}
			},
			"release": func(t *rapid.T) { ctrl.Release(pick(t, grantedTickets())) },
			"leave":   func(t *rapid.T) { ctrl.CancelQueued(pick(t, all)) },
			"finish": func(t *rapid.T) {
				tk := pick(t, grantedTickets())
				ctrl.ObserveFirstToken(tk)
				ctrl.ObserveFinish(tk)
				ctrl.Release(tk)
			},
			"pause": func(t *rapid.T) {
				if tk := pick(t, grantedTickets()); ctrl.Pause(tk) {
					paused = append(paused, tk)
				}
			},
			"resume": func(t *rapid.T) {
				tk := pick(t, paused)
				r := tk.req
				r.Resume = true
				next, err := ctrl.Offer(r)
				require.NoError(t, err, "a resumed stream is never refused")
				all = append(all, next)
				ctrl.Unpause(tk)
				paused = slices.DeleteFunc(paused, func(p *Ticket) bool { return p == tk })
			},
			"restart": func(t *rapid.T) {
				ctrl.ObserveEngine(rapid.StringN(1, 1, 1).Draw(t, "boot"), rapid.Bool().Draw(t, "cold"))
			},
			"wait":  func(t *rapid.T) { clock.Advance(3 * time.Second) },
			"flush": func(t *rapid.T) { ctrl.FlushQueue(awoutcome.Leaving, "leaving") },
		})
	})
}
