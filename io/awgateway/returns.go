package awgateway

import (
	"net/http"
	"time"
)

// expectReturn records the time that a refused caller will have left when it comes
// back. Callers do not come back after a status below 500.
func (q *request) expectReturn(status int, retryAfter time.Duration) {
	if status < http.StatusInternalServerError || q.route == nil {
		return
	}
	g := q.g
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.callerTimeouts.Refused(q.route.Name, q.info.Timeout-now.Sub(q.start)-retryAfter, now)
}
