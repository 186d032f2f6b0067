package awgateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"

	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awdispatch"
)

const (
	// linesPerSecond and lineBurst bound the log lines about requests: about
	// what one entry serves at its usual load. Those left out are counted.
	linesPerSecond = 150
	lineBurst      = 300
)

type gatewayMetrics struct {
	firstEvent, answer, wait *metrics.Histogram
	sends, repeats, left     *metrics.Counter
	linesLeftOut             *metrics.Counter
	lines                    *rate.Limiter
}

func newMetrics() gatewayMetrics {
	counter, histogram := metrics.GetOrCreateCounter, metrics.GetOrCreateHistogram
	return gatewayMetrics{
		firstEvent: histogram("arbutuswind_gateway_first_event_seconds"), answer: histogram("arbutuswind_gateway_answer_seconds"),
		wait: histogram("arbutuswind_gateway_wait_seconds"), sends: counter("arbutuswind_gateway_sends_total"),
		repeats: counter("arbutuswind_gateway_repeats_total"), left: counter("arbutuswind_gateway_callers_left_total"),
		linesLeftOut: counter("arbutuswind_gateway_log_lines_left_out_total"),
		lines:        rate.NewLimiter(linesPerSecond, lineBurst),
	}
}

func (m *gatewayMetrics) refused(status int, reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`arbutuswind_gateway_refused_total{Status="%d",Reason=%q}`, status, reason)).Inc()
}

// log writes a line about a request, within the bound.
func (g *Gateway) log(message string, kv ...any) {
	if !g.metrics.lines.AllowN(g.cfg.Clock.Now(), 1) {
		g.metrics.linesLeftOut.Inc()
		return
	}
	_ = level.Info(g.cfg.Logger).Log(append([]any{"Message", message}, kv...)...) // a lost log line must not fail a request
}

// about describes a request and what it was decided by.
func (q *request) about(kv ...any) []any {
	if q == nil {
		return kv
	}
	kv = append(kv, "Request", q.call.ID, "Ms", q.g.cfg.Clock.Now().Sub(q.began).Milliseconds(), "Sends", q.sends,
		"MayHaveRun", q.runs, "Config", q.config)
	if q.route != nil {
		kv = append(kv, "Route", q.route.Name, "Service", q.service)
	}
	if q.last > 0 {
		kv = append(kv, "LastEvent", q.last)
	}
	return kv
}

// logSend records where a request was sent and by which view of the fleet.
func (q *request) logSend(grant *awdispatch.Grant, waited time.Duration) {
	q.g.metrics.sends.Inc()
	q.g.metrics.wait.Update(waited.Seconds())
	q.g.log("request sent", q.about("Server", grant.Server.ID, "Domain", grant.Server.Domain, "Version", grant.Version,
		"Load", grant.Load, "LoadAgeMs", grant.LoadAge.Milliseconds(), "WaitedMs", waited.Milliseconds())...)
}

// logFailedSend records how a send ended that brought no answer.
func (q *request) logFailedSend(grant *awdispatch.Grant, res result) {
	q.g.log("send failed", q.about("Server", grant.Server.ID, "Reason", res.reason, "RanMaybe", res.mayHaveRun, "Error", res.detail)...)
}

// served records an answer of a backend server.
func (g *Gateway) served(q *request, status int) {
	g.metrics.answer.Update(g.cfg.Clock.Now().Sub(q.began).Seconds())
	metrics.GetOrCreateCounter(fmt.Sprintf(`arbutuswind_gateway_served_total{Status="%d"}`, status)).Inc()
	if status >= 500 || q.sends > 1 {
		g.log("request answered", q.about("Status", status)...)
	}
}

// note logs how a request ended without the answer of a backend server.
func (g *Gateway) note(reason, end string, q *request, kv ...any) {
	g.log("request not served", append(q.about("Reason", reason, "End", end), kv...)...)
}

// refusalInputs returns what a refusal was decided by.
func (q *request) refusalInputs() []any {
	g := q.g
	g.mu.Lock()
	defer g.mu.Unlock()
	known, usable := g.dispatch.Servers(q.service, q.model)
	return []any{
		"Servers", known, "Usable", usable, "Waiting", g.dispatch.Waiting(), "Model", q.model,
		"Floor", awdirectory.FloorAt(g.floors[q.model], g.cfg.Clock.Now()),
	}
}
