package awagent

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"arbutuswind/core/awadmit"
	"arbutuswind/core/awoutcome"
)

// agentMetrics holds the metrics of one agent.
type agentMetrics struct {
	set        *metrics.Set
	admitted   *metrics.Counter
	finished   *metrics.Counter
	failed     *metrics.Counter
	cut        *metrics.Counter
	pauses     *metrics.Counter
	paused     *metrics.Counter
	resumed    *metrics.Counter
	queueWait  *metrics.Histogram
	firstToken *metrics.Histogram
}

func newMetrics() *agentMetrics {
	set := metrics.NewSet()
	return &agentMetrics{
		set:        set,
		admitted:   set.NewCounter("arbutuswind_agent_admitted_total"),
		finished:   set.NewCounter("arbutuswind_agent_finished_total"),
		failed:     set.NewCounter("arbutuswind_agent_failed_total"),
		cut:        set.NewCounter("arbutuswind_agent_cut_total"),
		pauses:     set.NewCounter("arbutuswind_agent_process_pauses_total"),
		paused:     set.NewCounter("arbutuswind_agent_streams_paused_total"),
		resumed:    set.NewCounter("arbutuswind_agent_streams_resumed_total"),
		queueWait:  set.NewHistogram("arbutuswind_agent_queue_wait_seconds"),
		firstToken: set.NewHistogram("arbutuswind_agent_first_token_seconds"),
	}
}

// registerGauges registers the metrics that are computed when they are read.
func (m *agentMetrics) registerGauges(a *Agent) {
	for name, read := range map[string]func() float64{
		"arbutuswind_agent_in_flight":         func() float64 { return float64(a.admission.InFlight()) },
		"arbutuswind_agent_queued":            func() float64 { return float64(a.admission.Queued()) },
		"arbutuswind_agent_limit":             func() float64 { return float64(a.admission.Limit()) },
		"arbutuswind_agent_free_memory_bytes": func() float64 { return float64(a.admission.FreeMemory()) },
		"arbutuswind_agent_expected_wait_seconds": func() float64 {
			return a.admission.ExpectedWait().Seconds()
		},
		"arbutuswind_agent_paused_streams": func() float64 { return float64(a.paused) },
		"arbutuswind_agent_view_revision":  func() float64 { return float64(a.view.Revision) },
		"arbutuswind_agent_isolated": func() float64 {
			if a.isolated(a.cfg.Clock.Now()) {
				return 1
			}
			return 0
		},
	} {
		m.set.NewGauge(name, func() float64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return read()
		})
	}
}

func (m *agentMetrics) countRefusal(reason awoutcome.Reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf("arbutuswind_agent_refused_total{reason=%q}", reason)).Inc()
}

// recordLimitLowered records that the concurrency limit was lowered to the cold
// limit. The caller holds mu.
func (a *Agent) recordLimitLowered(cause awadmit.ColdCause) {
	if cause == awadmit.CauseNone {
		return
	}
	a.metrics.set.GetOrCreateCounter(fmt.Sprintf("arbutuswind_agent_limit_lowered_total{cause=%q}", cause)).Inc()
	a.log("Message", "limit lowered to the cold limit", "Cause", string(cause), "Limit", a.admission.Limit(), "InFlight", a.admission.InFlight())
	a.notify()
}
