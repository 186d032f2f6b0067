package awdirectory

import (
	"testing"
	"time"
)

// Guards against treating callers on equal terms, or callers of plain requests, as
// competitors: the deployments that have only those are served as before.
func TestContendedServices(t *testing.T) {
	route := func(kind RequestKind, service string, priority int, objective time.Duration) Route {
		return Route{Kind: kind, Targets: []Target{{Service: service, Weight: 1}}, Priority: priority, LatencyObjective: objective}
	}
	c := (&Config{Routes: []Route{
		route(Stream, "equal", 1, time.Second), route(Stream, "equal", 1, time.Second), route(Idempotent, "equal", 2, time.Second),
		route(Stream, "ranks", 0, time.Second), route(Stream, "ranks", 1, time.Second),
		route(Stream, "objectives", 1, time.Second), route(Stream, "objectives", 1, 2*time.Second),
	}}).Index()
	for service, want := range map[string]bool{"equal": false, "ranks": true, "objectives": true, "unknown": false} {
		if got := c.Contended(service); got != want {
			t.Errorf("Contended(%q) = %v, want %v", service, got, want)
		}
	}
}
