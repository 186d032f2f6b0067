package awduties

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"

	"arbutuswind/core/awduty"
)

// record writes an event to the log and the metrics; mu is held.
func (r *Runner) record(e awduty.Event) {
	switch e.Kind {
	case awduty.WindowCommitted:
		metrics.GetOrCreateCounter("arbutuswind_duty_windows_committed_total").Inc()
		if e.Missing > r.cfg.Tolerance {
			metrics.GetOrCreateCounter("arbutuswind_duty_windows_uncertain_total").Inc()
			_ = level.Warn(r.cfg.Logger).Log("Message", "usage window cannot be counted within the tolerance", "Window", e.Window, "Requests", e.Total, "MissingShare", e.Missing)
		}
	case awduty.WindowAccepted:
		metrics.GetOrCreateCounter("arbutuswind_duty_windows_reported_total").Inc()
		if e.Late {
			metrics.GetOrCreateCounter("arbutuswind_duty_windows_late_total").Inc()
			_ = level.Warn(r.cfg.Logger).Log("Message", "usage window reported late", "Window", e.Window)
		}
	case awduty.WindowSkipped:
		metrics.GetOrCreateCounter(fmt.Sprintf(`arbutuswind_duty_windows_skipped_total{Reason=%q}`, e.Reason)).Add(int(e.Windows))
		_ = level.Warn(r.cfg.Logger).Log("Message", "usage windows skipped", "Window", e.Window, "Windows", e.Windows, "Reason", e.Reason)
	case awduty.ClockCorrected:
		metrics.GetOrCreateCounter("arbutuswind_duty_clock_corrections_total").Inc()
		_ = level.Warn(r.cfg.Logger).Log("Message", "wall clock differs from the other gateways", "CorrectedMs", e.By.Milliseconds())
	case awduty.DutyTaken:
		_ = level.Info(r.cfg.Logger).Log("Message", "duty taken", "Duty", usageSubject.Key(), "Token", e.Token)
	case awduty.DutyLost:
		_ = level.Info(r.cfg.Logger).Log("Message", "duty given up", "Duty", usageSubject.Key(), "Token", e.Token)
	}
}

// showHolder shows who holds the duty; mu must be held.
func (r *Runner) showHolder(now time.Duration) {
	c := r.usage.Candidate()
	holding, since, _ := c.Holding()
	var held float64
	if holding {
		held = max((now - since).Seconds(), 0.001) // 0 means that another gateway holds it
	}
	r.held.Set(held)
	claim := c.Claim(now)
	if claim.Token != r.known.Token {
		r.token.Set(float64(claim.Token))
		_ = level.Info(r.cfg.Logger).Log("Message", "duty holder changed", "Duty", usageSubject.Key(), "Holder", claim.Holder, "Token", claim.Token)
	}
	r.known = claim
}

func (r *Runner) logStoreError(call string, err error) {
	if err != nil {
		_ = level.Warn(r.cfg.Logger).Log("Message", "duty row: call of the store failed", "Call", call, "Error", err.Error())
	}
}

// logCall logs a call of the platform that was not accepted.
func (r *Runner) logCall(call awduty.Call, answer awduty.Answer, err error) {
	if answer == awduty.Accepted {
		return
	}
	metrics.GetOrCreateCounter("arbutuswind_duty_calls_failed_total").Inc()
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	_ = level.Warn(r.cfg.Logger).Log("Message", "usage report not accepted", "Window", call.Order.ID, "Token", call.Token, "Rejected", answer == awduty.Rejected, "Error", reason)
}
