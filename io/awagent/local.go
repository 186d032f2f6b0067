package awagent

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"arbutuswind/io/awproto"
	"arbutuswind/io/awtelemetry"
)

// localHandler serves weights to the engine, and health checks and metrics.
func (a *Agent) localHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/weights/{digest}", func(w http.ResponseWriter, r *http.Request) {
		digest := chi.URLParam(r, "digest")
		if !a.weights.Complete(digest) {
			http.Error(w, "weights are not complete", http.StatusNotFound)
			return
		}
		_ = a.weights.SendTo(w, digest) // the engine treats a truncated body as a failed load
	})
	r.Get("/metrics", awtelemetry.MetricsHandler)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		report, _ := a.report()
		if report.State != awproto.AgentState_READY && report.State != awproto.AgentState_COLD {
			http.Error(w, report.State.String(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return r
}
