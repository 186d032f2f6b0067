package awentry

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"arbutuswind/core/awoutcome"
)

// Metrics of the request path.
var (
	ejections    = metrics.NewCounter("awentry_ejections_total")
	resumes      = metrics.NewCounter("awentry_resumes_total")
	retries      = metrics.NewCounter("awentry_retries_total")
	refusedTries = metrics.NewCounter("awentry_attempts_refused_total")
	cutRequests  = metrics.NewCounter("awentry_cut_requests_total")
	wholeAnswers = metrics.NewCounter("awentry_answers_whole_total")
	firstFrames  = metrics.NewSummary("awentry_first_frame_seconds")
)

// gauges shows what the entry holds now.
func (e *Entry) gauges() {
	locked := func(f func() int) func() float64 {
		return func() float64 {
			e.mu.Lock()
			defer e.mu.Unlock()
			return float64(f())
		}
	}
	metrics.GetOrCreateGauge("awentry_held_bytes", locked(func() int { return e.bytes.Held() }))
	metrics.GetOrCreateGauge("awentry_waiting_requests", locked(func() int { return e.room.Waiting() }))
	metrics.GetOrCreateGauge("awentry_running_requests", func() float64 { return float64(e.running.Load()) })
}

// countProblem counts a refusal or failure by outcome and reason.
func countProblem(e *awoutcome.Error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(
		`awentry_problems_total{outcome=%q,reason=%q}`, e.Outcome.String(), string(e.Reason))).Inc()
}

// noteProblem counts what a caller is told.
func (e *Entry) noteProblem(err error) {
	var oe *awoutcome.Error
	if !errors.As(err, &oe) {
		oe = &awoutcome.Error{Reason: awoutcome.EngineFailed}
	}
	countProblem(oe)
}
