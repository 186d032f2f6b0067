package awgateway

import (
	"fmt"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"
)

type gatewayMetrics struct {
	firstEvent *metrics.Histogram
	answer     *metrics.Histogram
}

func newMetrics() gatewayMetrics {
	return gatewayMetrics{
		firstEvent: metrics.GetOrCreateHistogram("arbutuswind_gateway_first_event_seconds"),
		answer:     metrics.GetOrCreateHistogram("arbutuswind_gateway_answer_seconds"),
	}
}

func (gatewayMetrics) refused(status int, reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`arbutuswind_gateway_refused_total{Status="%d",Reason=%q}`, status, reason)).Inc()
}

// served records an answer of a backend server.
func (g *Gateway) served(q *request, status int) {
	g.metrics.answer.Update(g.cfg.Clock.Now().Sub(q.began).Seconds())
	metrics.GetOrCreateCounter(fmt.Sprintf(`arbutuswind_gateway_served_total{Status="%d"}`, status)).Inc()
}

// note logs how a request ended without the answer of a backend server.
func (g *Gateway) note(reason, id, end string, q *request) {
	kv := []any{"Message", "request not served", "Request", id, "Reason", reason, "End", end}
	if q != nil {
		kv = append(kv, "Route", q.route.Name, "Service", q.service, "Sends", q.sends, "MayHaveRun", q.runs, "LastEvent", q.last)
	}
	_ = level.Info(g.cfg.Logger).Log(kv...) // a log line that cannot be written must not fail a request
}

func splitList(v string) []string {
	parts := strings.Split(v, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
