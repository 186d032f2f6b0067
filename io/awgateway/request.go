package awgateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awdispatch"
	"arbutuswind/core/awretry"
	"arbutuswind/core/awstream"
	"arbutuswind/io/awhttp"
)

// request is the state of one request of a caller.
type request struct {
	g             *Gateway
	w             http.ResponseWriter
	info          RequestInfo
	method        string
	uri           string
	host          string
	header        http.Header
	body          []byte
	bodyLimit     int64 // maximum size of the body; 0 if not limited
	unreadBody    int64 // length of a body that was not read; -1 if its length is not known
	route         *awdirectory.Route
	team          *awdirectory.Team
	service       string
	ranks         *awdispatch.Ranks // of the service; nil if it is not contended
	model         string
	start         time.Time
	deadline      time.Time     // by which the caller gets the final response
	priorWait     time.Duration // time that the caller has spent in earlier attempts
	configVersion uint64        // version of the configuration

	possibleRuns int // number of sends that the backend server may have run
	sends        int
	probe        bool                     // the request tests whether its prompt still crashes engines
	crashes      int                      // sends that ended with a crash of the engine and may have caused it
	avoid        map[awdirectory.Key]bool // protected by the gateway's mu; queued tickets read it
	lastFailure  string                   // reason of the last failed send
	running      []*send                  // sends that have not ended
	ended        chan endedSend
	departure    departure
	counted      atomic.Bool        // CountRun has been called
	cancel       context.CancelFunc // ends the request as if its caller had left

	// forward is held while a send writes to the caller. It protects the fields below.
	forward       sync.Mutex
	race          awstream.Race
	racing        []*send // sends that have neither ended nor been overtaken
	weightVersion int64   // version of the weights that generated the forwarded events
	headerSent    bool    // the response header has been sent
}

// minRetryAfter is the shortest Retry-After of a 503. It covers an entry without
// a configuration, which reads one within a few hundred milliseconds of its
// start.
const minRetryAfter = 300 * time.Millisecond

// ServeHTTP implements [http.Handler].
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	var q *request
	defer func() {
		if fault := recover(); fault != nil {
			q.answerPanic(g, w, fault)
		}
	}()
	c := g.config.Load()
	if c == nil || !g.serversLoaded.Load() {
		q = &request{g: g, w: w, info: g.cfg.Headers.DecodeRequest(r.Header), start: g.cfg.Clock.Now()}
		q.refuseEarly(r, http.StatusServiceUnavailable, minRetryAfter, "NoConfiguration")
		return
	}
	q = &request{
		g: g, w: w, configVersion: c.Version, bodyLimit: c.Limits.BodyBytes, info: g.cfg.Headers.DecodeRequest(r.Header), method: r.Method, uri: r.RequestURI, host: r.Host,
		start: g.cfg.Clock.Now(), avoid: map[awdirectory.Key]bool{},
	}
	if status, reason := q.resolve(c); status != 0 {
		q.unreadBody = r.ContentLength
		q.refuseEarly(r, status, 0, reason)
		return
	}
	if !g.hasShare() {
		q.unreadBody = r.ContentLength
		q.refuseEarly(r, http.StatusServiceUnavailable, minRetryAfter, reasonNoShare)
		return
	}
	if q.mayOutlastStop() {
		q.unreadBody = r.ContentLength
		q.refuseEarly(r, http.StatusServiceUnavailable, minRetryAfter, reasonStopping)
		return
	}
	if status, reason := q.readBody(r); status != 0 {
		var retryAfter time.Duration
		if status == http.StatusServiceUnavailable {
			retryAfter = minRetryAfter
		}
		q.refuseEarly(r, status, retryAfter, reason)
		return
	}
	q.header = endToEndHeaders(r.Header)
	q.prepare(c)
	callerCtx, stopWatch := awhttp.WatchClient(r.Context())
	defer stopWatch()
	ctx, cancel := context.WithDeadlineCause(callerCtx, q.deadline, errTimeout)
	defer cancel()
	q.cancel = cancel
	defer q.departure.watch(ctx, g.cfg.Clock.Now)()
	defer q.recordDeparture()
	q.run(ctx)
}

var errTimeout = errors.New("deadline of the caller or timeout of the route exceeded")

// ErrStopping is the cause with which the contexts of requests are cancelled when
// the gateway can't wait for their responses. They are then refused.
var ErrStopping = errors.New("gateway stops")

// reasonStopping is the reason of requests that end because the gateway stops.
const reasonStopping = "Stopping"

// resolve finds the route and the team of the request and checks its identifiers. On
// failure it returns the HTTP status and the reason, and otherwise status 0.
func (q *request) resolve(c *awdirectory.Config) (int, string) {
	path, _, _ := strings.Cut(q.uri, "?")
	if q.route = c.Route(hostName(q.host), path); q.route == nil {
		return http.StatusNotFound, "NoRoute"
	}
	if c.HasTeams() {
		if q.team = c.Team(q.info.APIKey); q.team == nil && !q.route.Public {
			return http.StatusUnauthorized, "UnknownKey"
		}
	}
	if q.info.Malformed {
		return http.StatusBadRequest, "BadIdentifier"
	}
	return 0, ""
}

// hostName returns host without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// prepare sets the fields that are the same for all sends of the request and
// counts the request in the retry budget.
func (q *request) prepare(c *awdirectory.Config) {
	q.deadline = q.start.Add(q.timeout())
	g := q.g
	now := q.start
	g.mu.Lock()
	defer g.mu.Unlock()
	q.service = q.route.PickService(g.rng.Float64())
	if svc := c.Service(q.service); svc != nil && svc.Engine {
		if q.model = q.info.Model; q.model == "" {
			q.model = svc.Model.Name
		}
	}
	q.ranks = g.admission.ranksOf(q.service)
	q.priorWait = g.callerTimeouts.PriorWait(q.route.Name, q.info.Timeout, now)
	g.retryBudget(q.service).CountRequest(now)
}

// retryBudget returns the retry budget of a service; mu must be held.
func (g *Gateway) retryBudget(service string) *awretry.WindowBudget {
	b := g.budgets[service]
	if b == nil {
		b = awretry.NewWindowBudget(g.cfg.Retry)
		g.budgets[service] = b
	}
	return b
}

// priority returns the priority for services that are not contended.
func (q *request) priority() int {
	if q.team != nil && q.team.HasPriority {
		return q.team.Priority
	}
	return q.route.Priority
}

// pendingSlot is a request for a slot that the dispatcher has not decided yet.
type pendingSlot struct {
	q         *request
	ticket    *awdispatch.Ticket
	decisions chan awdispatch.Decision
	counted   *metrics.Gauge // of the waiting requests of its rank; nil if it is not among them
}

// requestSlot asks the dispatcher for a backend server.
func (q *request) requestSlot() *pendingSlot {
	g := q.g
	state := q.streamState()
	req := awdispatch.Request{
		Service: q.service, Model: q.model, Priority: q.priority(), Deadline: q.deadline,
		Tokens: q.info.PromptTokens + q.info.MaxTokens, Version: state.weightVersion, Avoid: q.avoid,
		Allowed: func(region string) bool { return awdirectory.RegionAllowed(q.route, q.team, region) },
	}
	q.setRank(&req)
	now := g.cfg.Clock.Now()
	p := &pendingSlot{q: q, decisions: make(chan awdispatch.Decision, 1)}
	g.mu.Lock()
	defer g.mu.Unlock()
	req.MaxWait, req.Late = g.dispatch.WaitLimit(q.service, q.route.LatencyObjective, q.priorWait+now.Sub(q.start))
	req.Late = req.Late && !state.headerSent // a stream being resumed has precedence over new requests
	if len(q.running) > 0 {
		req.Late, req.Proven, req.MaxWait = false, true, awretry.HedgeWait // what was begun has precedence
	}
	if q.ranks != nil && (len(q.running) > 0 || state.headerSent) {
		// Otherwise a stream of a less urgent rank at a frozen instance finds no room
		// elsewhere, and the instance works on it after its caller has left.
		req.Rank = q.ranks.MostUrgent - 1
	}
	p.ticket = g.dispatch.Submit(req, func(d awdispatch.Decision) {
		if d.Grant != nil || !req.Proven { // a silent stream asks again and again
			g.recordDecision(q, d)
		}
		p.recordDecided(d)
		p.decisions <- d
	})
	p.recordWaiting()
	g.signalNotices()
	return p
}

// cancel withdraws the request for a slot.
func (p *pendingSlot) cancel() {
	p.q.g.mu.Lock()
	p.q.g.dispatch.Cancel(p.ticket)
	p.endWait()
	p.q.g.mu.Unlock()
	select {
	case d := <-p.decisions: // decided before the cancellation
		if d.Grant != nil {
			p.q.release(d.Grant, awdispatch.NotSent)
		}
	default:
	}
}

// acquireSlot waits until the dispatcher grants a backend server or refuses the
// request. It returns false if ctx is done first.
func (q *request) acquireSlot(ctx context.Context) (awdispatch.Decision, bool) {
	p := q.requestSlot()
	select {
	case d := <-p.decisions:
		return d, true
	case <-ctx.Done():
		p.cancel()
		return awdispatch.Decision{}, false
	}
}

func (q *request) release(grant *awdispatch.Grant, out awdispatch.Outcome) {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	q.g.dispatch.Ended(grant, out)
	q.g.dispatch.Release(grant, out)
	q.g.signalNotices()
}

// avoidServer excludes a backend server from further sends of the request.
func (q *request) avoidServer(k awdirectory.Key) {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	q.avoid[k] = true
}

// run sends the request until it is answered or must not be sent again.
func (q *request) run(ctx context.Context) {
	g := q.g
	for {
		if until, ok := q.quarantinedUntil(); ok {
			q.finishUnanswered(ctx, until.Sub(g.cfg.Clock.Now()), reasonQuarantined)
			return
		}
		waitStart := g.cfg.Clock.Now()
		d, ok := q.acquireSlot(ctx)
		if !ok {
			q.finishUnanswered(ctx, 0, "TimedOutWaiting")
			return
		}
		if d.Grant == nil {
			q.finishUnanswered(ctx, d.RetryAfter, refusalReason(d.Refusal))
			return
		}
		if q.isQuarantined() {
			q.release(d.Grant, awdispatch.NotSent) // blocked while it waited
			continue
		}
		if !g.hasShare() {
			q.release(d.Grant, awdispatch.NotSent) // lapsed while it waited
			q.finishUnanswered(ctx, 0, reasonNoShare)
			return
		}
		q.logSend(d.Grant, g.cfg.Clock.Now().Sub(waitStart))
		res := q.sendAndAwait(ctx, d.Grant)
		if res.answered {
			return
		}
		if ctx.Err() != nil || !q.allowRetry() {
			q.finishUnanswered(ctx, 0, res.reason)
			return
		}
	}
}

func refusalReason(r awdispatch.Refusal) string {
	if r == awdispatch.NoServer {
		return "NoServer"
	}
	return "NoRoom"
}

// mayBeSentAgain reports whether the request may be sent once more, apart from
// the retry budget.
func (q *request) mayBeSentAgain() bool {
	sends := awretry.Sends{
		Repeatable: q.route.Repeatable(), MaxAttempts: q.route.MaxAttempts, Total: q.sends, PossibleRuns: q.possibleRuns,
		Running: len(q.running), Crashes: q.crashes,
	}
	return sends.AllowAnother() && q.streamState().resumable
}

// hasRetry reports whether the retry budget allows a retry now.
func (q *request) hasRetry() bool {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	if !q.g.checkShare() {
		return false
	}
	return q.g.retryBudget(q.service).HasRetry(q.g.cfg.Clock.Now(), q.g.entryCount)
}

// allowRetry reports whether the request may be sent again. If so, it takes the
// retry from the budget.
func (q *request) allowRetry() bool {
	if !q.mayBeSentAgain() {
		return false
	}
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	if !q.g.checkShare() || !q.g.retryBudget(q.service).AllowRetry(q.g.cfg.Clock.Now(), q.g.entryCount) {
		return false
	}
	q.g.metrics.retries.Inc()
	return true
}

// finishUnanswered ends a request for which no backend server sent a complete
// response.
func (q *request) finishUnanswered(ctx context.Context, retryAfter time.Duration, reason string) {
	timedOut := errors.Is(context.Cause(ctx), errTimeout)
	stopping := errors.Is(context.Cause(ctx), ErrStopping)
	if stopping {
		reason = reasonStopping
	}
	switch {
	case q.headerSent:
		q.g.metrics.cut(reason)
		q.g.logNotServed(reason, "cut", q)
		panic(http.ErrAbortHandler) // a truncated response must not look complete
	case ctx.Err() != nil && !timedOut && !stopping:
		q.g.metrics.callersLeft.Inc()
		q.g.logNotServed(reason, "caller left", q)
		panic(http.ErrAbortHandler) // the caller has disconnected
	case timedOut:
		q.refuse(http.StatusGatewayTimeout, 0, reason)
	case q.possibleRuns == 0:
		q.refuse(http.StatusServiceUnavailable, max(retryAfter, minRetryAfter), reason)
	default:
		q.refuse(http.StatusBadGateway, 0, reason)
	}
}

// refuse sends an error response without a body. Status 503 states that the
// request did not run.
func (q *request) refuse(status int, retryAfter time.Duration, reason string) {
	h := q.w.Header()
	var fields []any
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
		fields = append(q.refusalFields(), "RetryAfterMs", retryAfter.Milliseconds())
	}
	if q.info.ID != "" {
		h.Set(q.g.cfg.Headers.IDHeader(), q.info.ID)
	}
	h.Set("Content-Length", "0")
	q.w.WriteHeader(status)
	q.g.metrics.refused(status, reason)
	q.expectReturn(status, retryAfter)
	q.g.logNotServed(reason, strconv.Itoa(status), q, fields...)
}
