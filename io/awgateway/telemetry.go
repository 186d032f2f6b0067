package awgateway

import (
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"

	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awdispatch"
)

const (
	// logLinesPerSecond and logLineBurst limit log lines about requests to about
	// the request rate of one entry at its usual load. Dropped lines are counted.
	logLinesPerSecond = 150
	logLineBurst      = 300
)

type gatewayMetrics struct {
	firstEvent, answer, queueWait *metrics.Histogram
	sends, retries, callersLeft   *metrics.Counter
	withheldSends                 *metrics.Counter
	closeNoticed                  *metrics.Histogram
	workAfterLeaving              *metrics.Histogram
	logLinesDropped, badFacts     *metrics.Counter
	badSignals, badNotices        *metrics.Counter
	panics                        *metrics.Counter // steps of background tasks that have panicked
	silentSends                   *metrics.Counter
	pauseTime                     *metrics.Histogram
	serversLeaving, pauses        *metrics.Counter
	quarantined                   *metrics.Gauge // prompt parts in quarantine
	rateLimits                    *metrics.Gauge // backend servers with a rate limit
	logLimiter                    *rate.Limiter
}

func newMetrics() gatewayMetrics {
	counter, histogram := metrics.GetOrCreateCounter, metrics.GetOrCreateHistogram
	return gatewayMetrics{
		firstEvent: histogram("arbutuswind_gateway_first_event_seconds"), answer: histogram("arbutuswind_gateway_answer_seconds"),
		queueWait: histogram("arbutuswind_gateway_wait_seconds"), sends: counter("arbutuswind_gateway_sends_total"),
		retries: counter("arbutuswind_gateway_repeats_total"), callersLeft: counter("arbutuswind_gateway_callers_left_total"),
		withheldSends:    counter("arbutuswind_gateway_sends_withheld_total"),
		closeNoticed:     histogram("arbutuswind_gateway_close_noticed_seconds"),
		workAfterLeaving: histogram("arbutuswind_gateway_work_after_leaving_seconds"),
		logLinesDropped:  counter("arbutuswind_gateway_log_lines_left_out_total"),
		badFacts:         counter("arbutuswind_gateway_bad_facts_total"),
		silentSends:      counter("arbutuswind_gateway_silent_sends_total"),
		pauseTime:        histogram("arbutuswind_gateway_pause_seconds"),
		badSignals:       counter("arbutuswind_gateway_bad_signals_total"),
		panics:           counter("arbutuswind_gateway_task_panics_total"),
		badNotices:       counter("arbutuswind_gateway_bad_notices_total"),
		serversLeaving:   counter("arbutuswind_gateway_servers_leaving_total"),
		pauses:           counter("arbutuswind_gateway_server_pauses_total"),
		quarantined:      metrics.GetOrCreateGauge("arbutuswind_gateway_quarantined_parts", nil),
		rateLimits:       metrics.GetOrCreateGauge("arbutuswind_gateway_rate_limits", nil),
		logLimiter:       rate.NewLimiter(logLinesPerSecond, logLineBurst),
	}
}

func (m *gatewayMetrics) refused(status int, reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`arbutuswind_gateway_refused_total{Status="%d",Reason=%q}`, status, reason)).Inc()
}

// cut counts a response that was cut after its header had been sent.
func (m *gatewayMetrics) cut(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`arbutuswind_gateway_cut_total{Reason=%q}`, reason)).Inc()
}

// logRequest writes a log line about a request unless the limit is exceeded.
func (g *Gateway) logRequest(message string, kv ...any) {
	if !g.metrics.logLimiter.AllowN(g.cfg.Clock.Now(), 1) {
		g.metrics.logLinesDropped.Inc()
		return
	}
	_ = level.Info(g.cfg.Logger).Log(append([]any{"Message", message}, kv...)...) // a lost log line must not fail a request
}

// logFields returns the log fields that describe a request.
func (q *request) logFields(kv ...any) []any {
	if q == nil {
		return kv
	}
	kv = append(kv, "Request", q.info.ID, "Ms", q.g.cfg.Clock.Now().Sub(q.start).Milliseconds(), "Sends", q.sends,
		"MayHaveRun", q.possibleRuns, "Config", q.configVersion)
	if q.route != nil {
		kv = append(kv, "Route", q.route.Name, "Service", q.service)
	}
	if id := q.streamState().lastEventID; id > 0 {
		kv = append(kv, "LastEvent", id)
	}
	if q.lastFailure != "" {
		kv = append(kv, "LastFailure", q.lastFailure)
	}
	if q.unreadBody != 0 {
		kv = append(kv, "UnreadBody", q.unreadBody)
	}
	return kv
}

// logSend records that the request was sent to a backend server, and the load
// data that the choice was based on.
func (q *request) logSend(grant *awdispatch.Grant, waited time.Duration) {
	q.g.metrics.sends.Inc()
	q.g.metrics.queueWait.Update(waited.Seconds())
	q.g.logRequest("request sent", q.logFields("Server", grant.Server.ID, "Domain", grant.Server.Domain, "Version", grant.Version,
		"Load", grant.Load, "LoadAgeMs", grant.LoadAge.Milliseconds(), "WaitedMs", waited.Milliseconds())...)
}

// logFailedSend logs a send that did not produce the final response.
func (q *request) logFailedSend(grant *awdispatch.Grant, res sendResult) {
	q.g.logRequest("send failed", q.logFields("Server", grant.Server.ID, "Reason", res.reason, "RanMaybe", res.mayHaveRun, "Error", res.detail, "SilentMs", res.silence.Milliseconds(),
		"Parts", strings.Join(q.info.SharedParts, ","), "OwnPart", q.info.OwnPart)...)
}

// recordPause records that the process did not run for a time, during which it
// could not read what backend servers had sent.
func (g *Gateway) recordPause(d time.Duration) {
	g.metrics.pauseTime.Update(d.Seconds())
	g.logRequest("process paused", "Ms", d.Milliseconds())
}

// recordServed records a response that came from a backend server. It logs only
// server errors and requests that were sent more than once.
func (g *Gateway) recordServed(q *request, status int) {
	g.metrics.answer.Update(g.cfg.Clock.Now().Sub(q.start).Seconds())
	metrics.GetOrCreateCounter(fmt.Sprintf(`arbutuswind_gateway_served_total{Status="%d"}`, status)).Inc()
	if status >= 500 || q.sends > 1 {
		g.logRequest("request answered", q.logFields("Status", status)...)
	}
}

// logNotServed logs how a request without a complete response of a backend
// server ended.
func (g *Gateway) logNotServed(reason, end string, q *request, kv ...any) {
	if q != nil {
		kv = append(kv, q.departure.logFields(q.start)...)
	}
	g.logRequest("request not served", append(q.logFields("Reason", reason, "End", end), kv...)...)
}

// refusalFields returns log fields with the state that a refusal was based on.
func (q *request) refusalFields() []any {
	g := q.g
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.dispatch.Availability(q.service, q.model)
	return []any{
		"Servers", a.Known, "Usable", a.Usable, "Related", a.Related, "Waiting", g.dispatch.Waiting(), "Model", q.model,
		"Floor", awdirectory.FloorAt(g.floors[q.model], g.cfg.Clock.Now()),
	}
}
