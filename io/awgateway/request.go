package awgateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awdispatch"
	"arbutuswind/core/awretry"
)

// request is one attempt of a caller.
type request struct {
	g       *Gateway
	w       http.ResponseWriter
	call    RequestInfo
	method  string
	uri     string
	host    string
	header  http.Header
	body    []byte
	route   *awdirectory.Route
	team    *awdirectory.Team
	service string
	model   string
	began   time.Time
	until   time.Time     // final answer due
	age     time.Duration // that the caller has waited in earlier attempts
	config  uint64        // version of the configuration

	runs    int // sends that may have run
	sends   int
	avoid   map[awdirectory.Key]bool
	last    uint64 // number of the last event that was delivered
	version int64  // weights of the events delivered so far
	started bool   // the head of the answer has been sent
}

// unconfigured is the Retry-After of an entry that knows no configuration
// yet; it reads one within a few hundred milliseconds of its start.
const unconfigured = 300 * time.Millisecond

// maxSends bounds the sends of one request that did not run; it is reached
// only when many backend servers turn it away.
const maxSends = 4

// ServeHTTP implements [http.Handler].
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c := g.config.Load()
	if c == nil || !g.listed.Load() {
		q := &request{g: g, w: w, call: g.cfg.Headers.DecodeRequest(r.Header), began: g.cfg.Clock.Now()}
		q.refuse(http.StatusServiceUnavailable, unconfigured, "NoConfiguration")
		return
	}
	q := &request{
		g: g, w: w, config: c.Version, call: g.cfg.Headers.DecodeRequest(r.Header), method: r.Method, uri: r.RequestURI, host: r.Host,
		began: g.cfg.Clock.Now(), avoid: map[awdirectory.Key]bool{},
	}
	if status, reason := q.resolve(c); status != 0 {
		q.refuse(status, 0, reason)
		return
	}
	if status, reason := q.readBody(r, c.Limits.BodyBytes); status != 0 {
		q.refuse(status, 0, reason)
		return
	}
	q.header = passHeaders(r.Header)
	q.prepare(c)
	ctx, cancel := context.WithDeadlineCause(r.Context(), q.until, errTimeout)
	defer cancel()
	q.run(ctx)
}

var errTimeout = errors.New("deadline of the caller or timeout of the route reached")

// resolve finds the route and the team. It returns the status of a refusal,
// or 0.
func (q *request) resolve(c *awdirectory.Config) (int, string) {
	path, _, _ := strings.Cut(q.uri, "?")
	if q.route = c.Route(hostName(q.host), path); q.route == nil {
		return http.StatusNotFound, "NoRoute"
	}
	if c.HasTeams() {
		if q.team = c.Team(q.call.APIKey); q.team == nil && !q.route.Public {
			return http.StatusUnauthorized, "UnknownKey"
		}
	}
	return 0, ""
}

// hostName returns a host without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

func (q *request) readBody(r *http.Request, limit int64) (int, string) {
	if r.ContentLength == 0 {
		return 0, ""
	}
	body := io.Reader(r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(q.w, r.Body, limit)
	}
	control := http.NewResponseController(q.w)
	if err := control.SetReadDeadline(q.began.Add(q.limit())); err != nil {
		q.g.log("read deadline not set", q.about("Error", err.Error())...)
	}
	data, err := io.ReadAll(body)
	// The deadline must not end the watch for a caller that leaves.
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		q.g.log("read deadline not cleared", q.about("Error", err.Error())...)
	}
	var tooLong *http.MaxBytesError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, "BodyLate"
	case errors.As(err, &tooLong):
		return http.StatusRequestEntityTooLarge, "BodyTooLarge"
	case err != nil:
		return http.StatusBadRequest, "BodyBroken"
	}
	q.body = data
	return 0, ""
}

// defaultLimit bounds requests for which neither the route nor the caller
// names a time.
const defaultLimit = time.Minute

// limit returns the time in which the request gets its final answer.
func (q *request) limit() time.Duration {
	limit := q.route.Timeout
	if d := q.call.Timeout; d > 0 && (limit <= 0 || d < limit) {
		limit = d
	}
	if limit <= 0 {
		return defaultLimit
	}
	return limit
}

// prepare fixes what stays the same for all sends of the request.
func (q *request) prepare(c *awdirectory.Config) {
	q.until = q.began.Add(q.limit())
	g := q.g
	now := q.began
	g.mu.Lock()
	defer g.mu.Unlock()
	q.service = q.route.PickService(g.rng.Float64())
	if svc := c.Service(q.service); svc != nil && svc.Engine {
		if q.model = q.call.Model; q.model == "" {
			q.model = svc.Model.Name
		}
	}
	// Callers state the time that is left to them: what is missing to the
	// longest time seen on the route was spent in earlier attempts.
	longest := max(g.ages[q.route.Name], q.call.Timeout)
	g.ages[q.route.Name] = longest
	if q.call.Timeout > 0 {
		q.age = longest - q.call.Timeout
	}
	g.budget(q.service).CountRequest(now)
}

// budget returns the budget of repetitions of a service; mu must be held.
func (g *Gateway) budget(service string) *awretry.WindowBudget {
	b := g.budgets[service]
	if b == nil {
		b = awretry.NewWindowBudget(g.cfg.Retry)
		g.budgets[service] = b
	}
	return b
}

func (q *request) priority() int {
	if q.team != nil && q.team.HasPriority {
		return q.team.Priority
	}
	return q.route.Priority
}

// place waits for a place at a backend server.
func (q *request) place(ctx context.Context) (awdispatch.Decision, bool) {
	g := q.g
	patience, late := awdispatch.WaitLimit(q.route.LatencyObjective, q.age+g.cfg.Clock.Now().Sub(q.began))
	req := awdispatch.Request{
		Service: q.service, Model: q.model, Priority: q.priority(), MaxWait: patience, Deadline: q.until,
		Late:   late && !q.started, // a stream that has begun goes on before others begin
		Tokens: q.call.PromptTokens + q.call.MaxTokens, Version: q.version, Avoid: q.avoid,
		Allowed: func(region string) bool { return awdirectory.RegionAllowed(q.route, q.team, region) },
	}
	decided := make(chan awdispatch.Decision, 1)
	g.mu.Lock()
	ticket := g.dispatch.Submit(req, func(d awdispatch.Decision) { decided <- d })
	g.mu.Unlock()
	select {
	case d := <-decided:
		return d, true
	case <-ctx.Done():
	}
	g.mu.Lock()
	g.dispatch.Cancel(ticket)
	g.mu.Unlock()
	select {
	case d := <-decided: // granted in the meantime
		if d.Grant != nil {
			q.release(d.Grant, awdispatch.Abandoned)
		}
	default:
	}
	return awdispatch.Decision{}, false
}

func (q *request) release(grant *awdispatch.Grant, out awdispatch.Outcome) {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	q.g.dispatch.Release(grant, out)
}

// run sends the request until it is answered.
func (q *request) run(ctx context.Context) {
	g := q.g
	for {
		asked := g.cfg.Clock.Now()
		d, ok := q.place(ctx)
		if !ok {
			q.end(ctx, 0, "TimedOutWaiting")
			return
		}
		if d.Grant == nil {
			q.end(ctx, d.RetryAfter, refusalReason(d.Refusal))
			return
		}
		q.sends++
		q.logSend(d.Grant, g.cfg.Clock.Now().Sub(asked))
		res := q.send(ctx, d.Grant)
		q.release(d.Grant, res.outcome)
		if res.answered {
			return
		}
		if res.mayHaveRun {
			q.runs++
		}
		q.logFailedSend(d.Grant, res)
		q.avoid[d.Grant.Server.Key()] = true
		if ctx.Err() != nil || !q.mayRepeat() {
			q.end(ctx, 0, res.reason)
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

// mayRepeat decides whether the request is sent once more, and pays for it.
func (q *request) mayRepeat() bool {
	if q.runs > 0 && (!q.route.Repeatable() || q.runs >= max(1, q.route.MaxAttempts)) {
		return false
	}
	if q.sends >= maxSends {
		return false
	}
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	if !q.g.budget(q.service).AllowRetry(q.g.cfg.Clock.Now(), q.g.entries) {
		return false
	}
	q.g.metrics.repeats.Inc()
	return true
}

// end gives the final answer of a request that no backend server answered.
func (q *request) end(ctx context.Context, retryAfter time.Duration, reason string) {
	timedOut := errors.Is(context.Cause(ctx), errTimeout)
	switch {
	case q.started:
		q.g.note(reason, "cut", q)
		panic(http.ErrAbortHandler) // an early end must not look complete
	case ctx.Err() != nil && !timedOut:
		q.g.metrics.left.Inc()
		q.g.note(reason, "caller left", q)
		panic(http.ErrAbortHandler) // nobody reads an answer
	case timedOut:
		q.refuse(http.StatusGatewayTimeout, 0, reason)
	case q.runs == 0:
		q.refuse(http.StatusServiceUnavailable, max(retryAfter, unconfigured), reason)
	default:
		q.refuse(http.StatusBadGateway, 0, reason)
	}
}

// refuse answers without a backend server.
func (q *request) refuse(status int, retryAfter time.Duration, reason string) {
	h := q.w.Header()
	var inputs []any
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
		inputs = append(q.refusalInputs(), "RetryAfterMs", retryAfter.Milliseconds())
	}
	if q.call.ID != "" {
		h.Set(q.g.cfg.Headers.IDHeader(), q.call.ID)
	}
	h.Set("Content-Length", "0")
	q.w.WriteHeader(status)
	q.g.metrics.refused(status, reason)
	q.g.note(reason, strconv.Itoa(status), q, inputs...)
}
