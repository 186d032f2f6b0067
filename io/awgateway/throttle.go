package awgateway

import (
	"time"

	"github.com/go-kit/log/level"

	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awthrottle"
)

// observeSignals records what a backend server says about itself in a response to
// a request sent at the given time.
func (g *Gateway) observeSignals(s *awdirectory.Server, signals awthrottle.Signals, sent time.Time) {
	if signals.Unreadable {
		g.metrics.badSignals.Inc()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.throttle.Observe(s.Key(), signals, sent) {
		g.logLimit(s.Key(), "response")
	}
}

// logLimit logs the changed rate limit of a backend server; mu must be held.
func (g *Gateway) logLimit(k awdirectory.Key, source string) {
	g.metrics.rateLimits.Set(float64(g.throttle.Limits()))
	if rate, ok := g.throttle.Limit(k); ok {
		_ = level.Info(g.cfg.Logger).Log("Message", "rate limit named", "Server", k.ID, "PerSecond", rate, "Source", source)
		return
	}
	_ = level.Info(g.cfg.Logger).Log("Message", "rate limit lifted", "Server", k.ID, "Source", source)
}
