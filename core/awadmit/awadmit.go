// Package awadmit implements the admission control of an agent: it decides which
// requests its backend server accepts, and when they start.
//
// A [Controller] reserves memory for every running request, keeps a small queue,
// and limits the number of requests in flight. The limit starts at the cold limit,
// for a backend server that has just started, and rises only as requests finish. It
// holds however many entries send requests, since all requests to the backend
// server pass through the agent's Controller.
package awadmit

import (
	"fmt"
	"math"
	"math/bits"
	"time"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awoutcome"
	"arbutuswind/core/awthrottle"
)

// Config holds the limits of the backend server and of the queue in front of it.
type Config struct {
	MaxInFlight   int    // requests running at once on a warm backend server
	ColdInFlight  int    // requests running at once on a cold backend server
	MemoryBytes   uint64 // memory available to requests
	BytesPerToken uint64 // memory reserved for each prompt and output token
	MaxQueue      int    // queued requests; 0 refuses requests instead of queueing them
	QueueBytes    int    // total size of the bodies of queued requests
	PausedBytes   int    // total size of the request bodies of paused streams
	Clock         awclock.Clock
}

// Request holds the properties of a request that admission depends on.
type Request struct {
	Team         string
	Priority     uint32
	PromptTokens uint32
	MaxTokens    uint32
	Bytes        int       // size of the body, which the agent keeps in memory
	Deadline     time.Time // by which the request must be finished
	Resume       bool      // continues a paused stream; such a request is queued even if the queue is full
	OnDecided    func()    // called once when a queued request is granted or refused; must not call the Controller
}

// OversizeError reports a request that needs more memory than the backend server
// has.
type OversizeError struct{ NeedBytes, LimitBytes uint64 }

// Error implements the error interface.
func (e *OversizeError) Error() string { return e.Unwrap().Error() }

// Unwrap returns the error that is sent to the caller.
func (e *OversizeError) Unwrap() error {
	return awoutcome.Refuse(awoutcome.BadRequest,
		fmt.Sprintf("request needs %d bytes of memory, the backend server has %d", e.NeedBytes, e.LimitBytes))
}

// Ticket is a request that the [Controller] has granted or queued.
type Ticket struct {
	req           Request
	requiredBytes uint64
	arrived       uint64 // order of arrival
	bypasses      int    // later requests granted while this one did not fit
	epoch         uint64 // of the limiter when the request was granted
	granted       bool
	grantedAt     time.Time
	refusal       error
}

// Granted reports whether the request may run. It returns false again after
// [Controller.Release].
func (t *Ticket) Granted() bool { return t.granted }

// Refusal returns the reason why a queued request was refused, or nil.
func (t *Ticket) Refusal() error { return t.refusal }

// Controller tracks the load of a backend server and admits requests to it. It is
// not safe for concurrent use.
type Controller struct {
	cfg           Config
	queue         []*Ticket
	pausedBytes   int // request bodies of paused streams
	inFlight      int
	reservedBytes uint64
	arrivals      uint64
	fairQueue     fairQueue
	limiter       limiter
	meanHold      time.Duration   // moving average of the time from grant to release
	estimate      serviceEstimate // of the time from grant to finish
	rate          float64         // requests per second that the backend server takes; 0 if it names no limit
	bucket        awthrottle.Bucket
}

// NewController returns a Controller for a cold backend server.
func NewController(cfg Config) *Controller {
	return &Controller{cfg: cfg, fairQueue: newFairQueue(), limiter: newLimiter(cfg.ColdInFlight, cfg.MaxInFlight)}
}

// SetWeights sets the fair queueing weights of the teams. A team without a weight
// has weight 1.
func (c *Controller) SetWeights(weights map[string]int) { c.fairQueue.setWeights(weights) }

// SetRate changes the number of requests per second that the backend server takes.
// 0 removes the limit.
func (c *Controller) SetRate(rate float64) {
	if rate > 0 && c.rate == 0 {
		c.bucket = awthrottle.Bucket{}
		c.bucket.Refill(rate, c.cfg.Clock.Now())
	}
	c.rate = rate
	c.dispatch()
}

// minGrantInterval bounds how often a high rate limit is checked.
const minGrantInterval = 20 * time.Millisecond

// GrantDue grants queued requests that the rate limit allows by now. It returns the
// time until the rate limit allows another one, and false if there is no limit.
func (c *Controller) GrantDue() (time.Duration, bool) {
	if c.rate == 0 {
		return 0, false
	}
	c.dispatch()
	return max(minGrantInterval, c.bucket.Wait(float64(c.bucket.Available()+1), c.rate)), true
}

// startable returns how many requests the rate limit allows now, at most n.
func (c *Controller) startable(n int) int {
	if c.rate == 0 {
		return n
	}
	c.bucket.Refill(c.rate, c.cfg.Clock.Now())
	return min(n, c.bucket.Available())
}

// Limit returns the current limit of requests in flight.
func (c *Controller) Limit() int { return c.limiter.limit }

// Startable returns how many requests would be in flight if as many started now as
// the limits allow.
func (c *Controller) Startable() int {
	return min(c.limiter.limit, c.inFlight+c.startable(c.limiter.limit))
}

// InFlight returns the number of requests granted and not released.
func (c *Controller) InFlight() int { return c.inFlight }

// Queued returns the number of queued requests.
func (c *Controller) Queued() int { return len(c.queue) }

// FreeMemory returns the backend server's unreserved memory in bytes.
func (c *Controller) FreeMemory() uint64 { return c.cfg.MemoryBytes - c.reservedBytes }

// Offer grants, queues or refuses a request. A request that can never fit is
// refused with an [OversizeError], any other with an [awoutcome.Error] that says
// when to retry.
func (c *Controller) Offer(r Request) (*Ticket, error) {
	need, ok := c.requiredBytes(r)
	if !ok || need > c.cfg.MemoryBytes {
		return nil, &OversizeError{NeedBytes: need, LimitBytes: c.cfg.MemoryBytes}
	}
	c.arrivals++
	t := &Ticket{req: r, requiredBytes: need, arrived: c.arrivals}
	if len(c.queue) == 0 && c.fits(t) {
		c.grant(t)
		return t, nil
	}
	if !r.Resume {
		if left := r.Deadline.Sub(c.cfg.Clock.Now()); left <= 0 || c.estimateWait(r)+c.estimate.upperBound(r) > left {
			return nil, c.newRefusal(awoutcome.Deadline, "the deadline would pass before the request finishes")
		}
		if !c.makeRoom(t) {
			return nil, c.newRefusal(c.fullReason(), "the queue is full")
		}
	}
	c.queue = append(c.queue, t)
	c.dispatch()
	return t, nil
}

// requiredBytes returns the memory to reserve for a request, and false if the
// product overflows.
func (c *Controller) requiredBytes(r Request) (uint64, bool) {
	tokens := uint64(r.PromptTokens) + uint64(r.MaxTokens) // the sum of two 32-bit numbers cannot overflow
	hi, lo := bits.Mul64(tokens, c.cfg.BytesPerToken)
	if hi != 0 {
		return ^uint64(0), false
	}
	return max(lo, uint64(max(0, r.Bytes))), true
}

func (c *Controller) fits(t *Ticket) bool {
	return c.inFlight < c.limiter.limit && t.requiredBytes <= c.FreeMemory() && c.startable(1) > 0
}

func (c *Controller) grant(t *Ticket) {
	t.granted, t.epoch, t.grantedAt = true, c.limiter.epoch, c.cfg.Clock.Now()
	if c.rate > 0 {
		c.bucket.Take()
	}
	c.inFlight++
	c.reservedBytes += t.requiredBytes
	c.fairQueue.charge(t.req.Team, t.requiredBytes)
}

// Release frees the memory and the slot of a granted request and grants queued
// requests that now fit. It does nothing if t is not granted.
func (c *Controller) Release(t *Ticket) {
	if !t.granted {
		return
	}
	t.granted = false
	c.inFlight--
	c.reservedBytes -= t.requiredBytes
	c.observeHold(c.cfg.Clock.Now().Sub(t.grantedAt))
	c.dispatch()
}

// CancelQueued removes a request from the queue. It returns false if the request
// is not queued because it was granted or refused already.
func (c *Controller) CancelQueued(t *Ticket) bool {
	for i, q := range c.queue {
		if q == t {
			c.removeAt(i)
			c.dispatch() // the request may have blocked smaller ones behind it
			return true
		}
	}
	return false
}

// FlushQueue refuses every queued request except those that resume a stream. It
// returns the number of refused requests.
func (c *Controller) FlushQueue(reason awoutcome.Reason, detail string) int {
	n := 0
	for i := len(c.queue) - 1; i >= 0; i-- {
		if !c.queue[i].req.Resume {
			c.refuseAt(i, awoutcome.Refuse(reason, detail))
			n++
		}
	}
	return n
}

// Pause releases a granted stream whose client reads too slowly and accounts for
// its request body, which is kept to resume it. It returns false and leaves the
// stream granted if the bodies of paused streams would exceed PausedBytes.
func (c *Controller) Pause(t *Ticket) bool {
	if !t.granted || t.req.Bytes > c.cfg.PausedBytes-c.pausedBytes {
		return false
	}
	c.pausedBytes += t.req.Bytes
	c.Release(t)
	return true
}

// Unpause stops accounting for the request body of a paused stream that resumes or
// ends.
func (c *Controller) Unpause(t *Ticket) { c.pausedBytes -= t.req.Bytes }

func (c *Controller) removeAt(i int) *Ticket {
	t := c.queue[i]
	c.queue = append(c.queue[:i], c.queue[i+1:]...)
	return t
}

func (c *Controller) refuseAt(i int, err *awoutcome.Error) {
	t := c.removeAt(i)
	t.refusal = err
	t.notify()
}

func (t *Ticket) notify() {
	if t.req.OnDecided != nil {
		t.req.OnDecided()
	}
}

// fullReason returns the limit to report as the reason why the queue is full.
func (c *Controller) fullReason() awoutcome.Reason {
	if c.startable(1) == 0 {
		return awoutcome.QueueFull
	}
	if c.limiter.limit < c.cfg.MaxInFlight {
		return awoutcome.ColdLimit
	}
	if c.inFlight < c.limiter.limit {
		return awoutcome.MemoryFull
	}
	return awoutcome.QueueFull
}

const (
	minRetryAfter = 100 * time.Millisecond // shorter delays make senders retry in a busy loop
	maxRetryAfter = 30 * time.Second
)

// newRefusal returns a refusal that asks the sender to retry after the expected
// wait.
func (c *Controller) newRefusal(reason awoutcome.Reason, detail string) *awoutcome.Error {
	e := awoutcome.Refuse(reason, detail)
	e.RetryAfterMs = uint32(min(max(c.ExpectedWait(), minRetryAfter), maxRetryAfter).Milliseconds())
	return e
}

// smoothingDivisor gives a new sample the weight 1/8 in the moving averages, which
// then follow a change within about 20 requests.
const smoothingDivisor = 8

func (c *Controller) observeHold(d time.Duration) {
	if c.meanHold == 0 {
		c.meanHold = d
		return
	}
	c.meanHold += (d - c.meanHold) / smoothingDivisor
}

// ExpectedWait returns how long a new request at the end of the queue would wait.
// It returns 0 if the queue is empty and the limit is not reached, and while no
// request has finished yet.
func (c *Controller) ExpectedWait() time.Duration {
	return c.waitForTurns(float64(len(c.queue)) + 1)
}

// waitForTurns returns the expected time until n more requests have started.
func (c *Controller) waitForTurns(n float64) time.Duration {
	var rateWait time.Duration
	if c.rate > 0 {
		c.bucket.Refill(c.rate, c.cfg.Clock.Now())
		rateWait = c.bucket.Wait(n, c.rate)
	}
	if len(c.queue) == 0 && c.inFlight < c.limiter.limit {
		return rateWait
	}
	return max(rateWait, time.Duration(float64(c.meanHold)*n/float64(c.limiter.limit)))
}

// estimateWait estimates how long a request would wait, given its priority and the
// fair share of its team: requests of a team below its share start before those of
// other teams.
func (c *Controller) estimateWait(r Request) time.Duration {
	higher, same, own := 0.0, 0.0, 0.0
	teams := map[string]bool{r.Team: true}
	for _, q := range c.queue {
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
		weights += c.fairQueue.weight(team)
	}
	return c.waitForTurns(higher + min(same+1, (own+1)*weights/c.fairQueue.weight(r.Team)))
}

// LatestStart returns when a queued request must start at the latest. If it started
// later, it would probably miss its deadline and the work would be wasted.
func (c *Controller) LatestStart(t *Ticket) time.Time {
	return t.req.Deadline.Add(-c.estimate.upperBound(t.req))
}

// serviceEstimate estimates the service time of a request from its MaxTokens.
// Requests that are granted at once are not checked against it, so an estimate
// that is too high is corrected by their measurements.
type serviceEstimate struct {
	mean, deviation float64 // nanoseconds per token of MaxTokens
}

// deviationFactor is the number of mean deviations above the mean within which
// nearly all service times lie, as in the retransmission timer of TCP.
const deviationFactor = 4

func (e *serviceEstimate) observe(r Request, d time.Duration) {
	sample := float64(d) / float64(max(1, r.MaxTokens))
	if e.mean == 0 {
		e.mean, e.deviation = sample, sample/2
		return
	}
	e.deviation += (math.Abs(sample-e.mean) - e.deviation) / smoothingDivisor
	e.mean += (sample - e.mean) / smoothingDivisor
}

// upperBound returns a service time that a request will most likely not exceed.
func (e *serviceEstimate) upperBound(r Request) time.Duration {
	return time.Duration((e.mean + deviationFactor*e.deviation) * float64(max(1, r.MaxTokens)))
}
