package awentry

import (
	"net/http"
	"slices"
	"strings"

	"github.com/go-chi/chi/v5"

	"arbutuswind/core/awconfig"
	"arbutuswind/io/awcontrol"
	"arbutuswind/io/awtelemetry"
)

// operatorHandler serves the operator API, health checks and metrics.
func (e *Entry) operatorHandler() http.Handler {
	api := &awcontrol.Server{
		Log: e.configLog, Holder: e.holder, Platform: e.store, Fleet: e.fleet.status,
		MaxRemovedShare: e.cfg.Settings.Limits.MaxRemovedShare, SourceAge: e.sync.sourceAge, Progress: e.sync.progress, PullFromPeers: e.sync.pullNewest,
		AuditLog: func(message string, c awconfig.Change, err error) {
			_ = e.cfg.Logger.Log("Message", message, "Kind", c.Kind, "Target", c.Target, "Actor", c.Actor, "Revision", c.Revision, "Error", err)
		},
	}
	r := chi.NewRouter()
	r.Mount(awcontrol.APIPrefix, api.Handler())
	r.Get("/metrics", awtelemetry.MetricsHandler)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := e.ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return r
}

// status returns the status of each watched agent.
func (f *fleet) status() []awcontrol.AgentStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := []awcontrol.AgentStatus{}
	for id, link := range f.agents {
		s := awcontrol.AgentStatus{Instance: id, Domain: link.info.Domain, State: "SILENT"}
		if r := link.report; r != nil {
			s.State, s.ViewRevision, s.InFlight, s.Limit = r.State.String(), r.ViewRevision, r.InFlight, r.Limit
			s.Fencing = r.Fencing
			s.ChunksHeld, s.Chunks = r.GetTransfer().GetChunksHeld(), r.GetTransfer().GetChunks()
			s.OriginBytes = r.GetTransfer().GetOriginBytes()
			addTransferStatus(&s, r.GetTransfer())
			for _, m := range r.Models {
				s.Model, s.Version, s.VersionDigest = m.Model, m.Version, m.VersionDigest
			}
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b awcontrol.AgentStatus) int { return strings.Compare(a.Instance, b.Instance) })
	return list
}
