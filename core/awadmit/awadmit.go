// Package awadmit decides at the agent which requests its backend server
// takes, and when.
//
// A [Controller] reserves memory for every request, holds a small queue and keeps
// the number of running requests at or below a limit. The limit starts at the
// cold limit and rises only on evidence from finished requests. The bound
// holds however many entries send, because every request to the backend
// server passes here.
package awadmit

import (
	"fmt"
	"math"
	"math/bits"
	"time"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awoutcome"
)

// Config bounds the backend server and the queue in front of it.
type Config struct {
	MaxInFlight   int
	ColdInFlight  int
	MemoryBytes   uint64
	BytesPerToken uint64
	MaxQueue      int // requests waiting; 0 refuses instead of queueing
	QueueBytes    int // request bodies held by waiting requests
	PausedBytes   int // request bodies held by paused streams
	Clock         awclock.Clock
}

// Request is what admission needs to know.
type Request struct {
	Team         string
	Priority     uint32
	PromptTokens uint32
	MaxTokens    uint32
	Bytes        int       // size of the body that the agent holds
	Deadline     time.Time // the request leaves the queue then
	Resume       bool      // the answer has started; the request is never refused for lack of room
	OnDecided    func()    // called once when a queued request is decided; must not call the gate
}

// OversizeError reports a request that this backend server can never hold.
type OversizeError struct{ NeedBytes, LimitBytes uint64 }

// Error implements the error interface.
func (e *OversizeError) Error() string { return e.Unwrap().Error() }

// Unwrap returns the refusal that the sender is told about.
func (e *OversizeError) Unwrap() error {
	return awoutcome.Refuse(awoutcome.BadRequest,
		fmt.Sprintf("request needs %d bytes, the backend server has %d", e.NeedBytes, e.LimitBytes))
}

// Ticket is one request that the gate has taken in.
type Ticket struct {
	req      Request
	need     uint64
	arrived  uint64 // order of arrival
	overtook int    // requests that passed this one while it did not fit
	epoch    uint64 // of the limit when the request was granted
	granted  bool
	started  time.Time
	refused  error
}

// Granted reports whether the request may run.
func (t *Ticket) Granted() bool { return t.granted }

// Refusal returns why a queued request was refused, nil if it was not.
func (t *Ticket) Refusal() error { return t.refused }

// Controller counts what the backend server holds. It is not safe for concurrent
// use.
type Controller struct {
	cfg      Config
	queue    []*Ticket
	paused   int // bodies of paused streams
	inFlight int
	reserved uint64
	arrivals uint64
	fair     fairness
	ramp     ramp
	hold     time.Duration // moving average of the time that a request holds its place
	estimate estimate      // of the time that a request needs once it runs
}

// NewController returns a gate before a cold backend server.
func NewController(cfg Config) *Controller {
	return &Controller{cfg: cfg, fair: newFairness(), ramp: newRamp(cfg.ColdInFlight, cfg.MaxInFlight)}
}

// SetWeights sets the weights of the teams; a team without one has weight 1.
func (g *Controller) SetWeights(weights map[string]int) { g.fair.setWeights(weights) }

// Limit returns the number of requests admitted at once now.
func (g *Controller) Limit() int { return g.ramp.limit }

// InFlight returns the number of requests granted and not released.
func (g *Controller) InFlight() int { return g.inFlight }

// Queued returns the number of requests that wait.
func (g *Controller) Queued() int { return len(g.queue) }

// FreeMemory returns the unreserved bytes of the backend server.
func (g *Controller) FreeMemory() uint64 { return g.cfg.MemoryBytes - g.reserved }

// Offer takes in a request: it is granted, queued or refused. Requests that
// can never fit are refused with an [OversizeError], others with an
// [awoutcome.Error] that carries a retry hint.
func (g *Controller) Offer(r Request) (*Ticket, error) {
	need, ok := g.need(r)
	if !ok || need > g.cfg.MemoryBytes {
		return nil, &OversizeError{NeedBytes: need, LimitBytes: g.cfg.MemoryBytes}
	}
	g.arrivals++
	t := &Ticket{req: r, need: need, arrived: g.arrivals}
	if len(g.queue) == 0 && g.fits(t) {
		g.grant(t)
		return t, nil
	}
	if !r.Resume {
		if left := r.Deadline.Sub(g.cfg.Clock.Now()); left <= 0 || g.waitOf(r)+g.estimate.of(r) > left {
			return nil, g.refusal(awoutcome.Deadline, "the deadline passes before the request could run")
		}
		if !g.makeRoom(t) {
			return nil, g.refusal(g.fullReason(), "the queue is full")
		}
	}
	g.queue = append(g.queue, t)
	g.dispatch()
	return t, nil
}

// need returns the bytes to reserve; false when the product overflows.
func (g *Controller) need(r Request) (uint64, bool) {
	tokens := uint64(r.PromptTokens) + uint64(r.MaxTokens) // two 32-bit numbers cannot overflow
	hi, lo := bits.Mul64(tokens, g.cfg.BytesPerToken)
	if hi != 0 {
		return ^uint64(0), false
	}
	return max(lo, uint64(max(0, r.Bytes))), true
}

func (g *Controller) fits(t *Ticket) bool {
	return g.inFlight < g.ramp.limit && t.need <= g.FreeMemory()
}

func (g *Controller) grant(t *Ticket) {
	t.granted, t.epoch, t.started = true, g.ramp.epoch, g.cfg.Clock.Now()
	g.inFlight++
	g.reserved += t.need
	g.fair.charge(t.req.Team, t.need)
}

// Release returns what a granted request holds and lets others in. Later
// calls for the same ticket do nothing.
func (g *Controller) Release(t *Ticket) {
	if !t.granted {
		return
	}
	t.granted = false
	g.inFlight--
	g.reserved -= t.need
	g.observeHold(g.cfg.Clock.Now().Sub(t.started))
	g.dispatch()
}

// CancelQueued takes a request out of the queue. It returns false when the request
// was decided before.
func (g *Controller) CancelQueued(t *Ticket) bool {
	for i, q := range g.queue {
		if q == t {
			g.remove(i)
			g.dispatch() // the request may have kept smaller ones from passing
			return true
		}
	}
	return false
}

// FlushQueue refuses every queued request whose answer has not started.
func (g *Controller) FlushQueue(reason awoutcome.Reason, detail string) int {
	n := 0
	for i := len(g.queue) - 1; i >= 0; i-- {
		if !g.queue[i].req.Resume {
			g.refuse(i, awoutcome.Refuse(reason, detail))
			n++
		}
	}
	return n
}

// Pause releases a stream that waits for its reader and accounts for the
// body that is kept to resume it. It returns false, and the stream keeps its
// place, when paused streams hold their share already.
func (g *Controller) Pause(t *Ticket) bool {
	if !t.granted || t.req.Bytes > g.cfg.PausedBytes-g.paused {
		return false
	}
	g.paused += t.req.Bytes
	g.Release(t)
	return true
}

// Unpause accounts for a paused stream that resumes or ends.
func (g *Controller) Unpause(t *Ticket) { g.paused -= t.req.Bytes }

func (g *Controller) remove(i int) *Ticket {
	t := g.queue[i]
	g.queue = append(g.queue[:i], g.queue[i+1:]...)
	return t
}

func (g *Controller) refuse(i int, err *awoutcome.Error) {
	t := g.remove(i)
	t.refused = err
	t.wake()
}

func (t *Ticket) wake() {
	if t.req.OnDecided != nil {
		t.req.OnDecided()
	}
}

func (g *Controller) fullReason() awoutcome.Reason {
	if g.ramp.limit < g.cfg.MaxInFlight {
		return awoutcome.ColdLimit
	}
	if g.inFlight < g.ramp.limit {
		return awoutcome.MemoryFull
	}
	return awoutcome.QueueFull
}

const (
	minRetryAfter = 100 * time.Millisecond // shorter hints make senders spin
	maxRetryAfter = 30 * time.Second
)

func (g *Controller) refusal(reason awoutcome.Reason, detail string) *awoutcome.Error {
	e := awoutcome.Refuse(reason, detail)
	e.RetryAfterMs = uint32(min(max(g.ExpectedWait(), minRetryAfter), maxRetryAfter).Milliseconds())
	return e
}

// holdWeight is the share of a new sample in the moving average of hold
// times: one in eight follows a change within about 20 requests.
const holdWeight = 8

func (g *Controller) observeHold(d time.Duration) {
	if g.hold == 0 {
		g.hold = d
		return
	}
	g.hold += (d - g.hold) / holdWeight
}

// ExpectedWait returns how long a new request that passes no other would wait
// for its turn; 0 when there is room or nothing has finished yet.
func (g *Controller) ExpectedWait() time.Duration {
	return g.turns(float64(len(g.queue)) + 1)
}

func (g *Controller) turns(n float64) time.Duration {
	if len(g.queue) == 0 && g.inFlight < g.ramp.limit {
		return 0
	}
	return time.Duration(float64(g.hold) * n / float64(g.ramp.limit))
}

// waitOf estimates the wait of a request with its priority and the fair share
// of its team in mind: a team below its share passes the others' requests.
func (g *Controller) waitOf(r Request) time.Duration {
	higher, same, own := 0.0, 0.0, 0.0
	teams := map[string]bool{r.Team: true}
	for _, q := range g.queue {
		switch {
		case q.req.Priority > r.Priority:
			higher++
		case q.req.Priority == r.Priority:
			same++
			teams[q.req.Team] = true
			if q.req.Team == r.Team {
				own++
			}
		}
	}
	weights := 0.0
	for team := range teams {
		weights += g.fair.weight(team)
	}
	return g.turns(higher + min(same+1, (own+1)*weights/g.fair.weight(r.Team)))
}

// LatestStart returns when a queued request must leave the queue: later, the
// backend server could no longer finish it before its deadline, and its work
// would be wasted.
func (g *Controller) LatestStart(t *Ticket) time.Time {
	return t.req.Deadline.Add(-g.estimate.of(t.req))
}

// estimate follows the time that answers take for each token they may have.
// Requests that are granted at once are not held to it, so that an estimate
// that has grown too large is corrected.
type estimate struct {
	mean, deviation float64 // nanoseconds a token
}

// deviations is the distance from the mean that nearly all answers stay
// within, as in the retransmission timers of TCP.
const deviations = 4

func (e *estimate) observe(r Request, d time.Duration) {
	sample := float64(d) / float64(max(1, r.MaxTokens))
	if e.mean == 0 {
		e.mean, e.deviation = sample, sample/2
		return
	}
	e.deviation += (math.Abs(sample-e.mean) - e.deviation) / holdWeight
	e.mean += (sample - e.mean) / holdWeight
}

func (e *estimate) of(r Request) time.Duration {
	return time.Duration((e.mean + deviations*e.deviation) * float64(max(1, r.MaxTokens)))
}
