package awentry

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"arbutuswind/core/awoutcome"
)

// Metrics of the request path.
var (
	ejections         = metrics.NewCounter("arbutuswind_entry_ejections_total")
	resumes           = metrics.NewCounter("arbutuswind_entry_resumes_total")
	retries           = metrics.NewCounter("arbutuswind_entry_retries_total")
	refusedAttempts   = metrics.NewCounter("arbutuswind_entry_attempts_refused_total")
	cutRequests       = metrics.NewCounter("arbutuswind_entry_cut_requests_total")
	completeAnswers   = metrics.NewCounter("arbutuswind_entry_answers_whole_total")
	firstFrameSeconds = metrics.NewSummary("arbutuswind_entry_first_frame_seconds")
)

// registerGauges registers gauges for held bytes, waiting requests and running
// requests.
func (e *Entry) registerGauges() {
	locked := func(f func() int) func() float64 {
		return func() float64 {
			e.mu.Lock()
			defer e.mu.Unlock()
			return float64(f())
		}
	}
	metrics.GetOrCreateGauge("arbutuswind_entry_held_bytes", locked(func() int { return e.byteBudget.Held() }))
	metrics.GetOrCreateGauge("arbutuswind_entry_waiting_requests", locked(func() int { return e.waitQueue.Waiting() }))
	metrics.GetOrCreateGauge("arbutuswind_entry_running_requests", func() float64 { return float64(e.running.Load()) })
}

// countProblem counts a refusal or failure by outcome and reason.
func countProblem(e *awoutcome.Error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(
		`arbutuswind_entry_problems_total{outcome=%q,reason=%q}`, e.Outcome.String(), string(e.Reason))).Inc()
}

// recordProblem counts an error that is reported to a caller.
func (e *Entry) recordProblem(err error) {
	var oe *awoutcome.Error
	if !errors.As(err, &oe) {
		oe = &awoutcome.Error{Reason: awoutcome.EngineFailed}
	}
	countProblem(oe)
}
