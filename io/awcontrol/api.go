package awcontrol

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"

	"arbutuswind/core/awconfig"
	"arbutuswind/core/awsheet"
	"arbutuswind/core/awweights"
	"arbutuswind/io/awstore"
)

// APIPrefix is the path of the operators' API.
const APIPrefix = "/operator/v1"

// Server offers the operators' API.
type Server struct {
	Log      *Log
	Holder   *awconfig.Holder
	Platform Platform
	Fleet    func() []AgentStatus
}

// Platform is the part of the platform that operators' calls need.
type Platform interface {
	Instances(ctx context.Context) ([]awstore.Instance, error)
	Manifest(ctx context.Context, model, version string) ([]byte, error)
}

// AgentStatus is what an entry knows about an agent.
type AgentStatus struct {
	Instance      string
	Domain        string
	State         string
	Model         string
	Version       string
	VersionDigest string
	ViewRevision  uint64
	InFlight      uint32
	Limit         uint32
	ChunksHeld    uint32
	Chunks        uint32
	OriginBytes   uint64

	// The transfer of weights that runs or ran last.
	TransferDigest string
	RegionBytes    uint64 // from other regions
	PeerBytes      uint64 // from the own region
	Peers          uint32 // that chunks may come from now
	BadChunks      uint32
	EtaMs          uint32
	NoRoom         bool   `json:",omitempty"` // the version does not fit beside the one served
	TransferError  string `json:",omitempty"`
}

// Status is the answer of GET /status.
type Status struct {
	Revision uint64
	Digest   string
	State    *awconfig.State
	Agents   []AgentStatus
}

// Refusal is the body of every error of the operators' API.
type Refusal struct {
	Error   string
	Faults  []string          `json:",omitempty"`
	Winners []awconfig.Change `json:",omitempty"` // changes committed first
}

// Accepted is the answer to an accepted change.
type Accepted struct {
	Revision uint64
	ChangeID string
}

// ChangeRequest asks for a change of a domain or an instance.
type ChangeRequest struct {
	Kind   awconfig.Kind
	Target string
	Actor  string
	Base   uint64 // revision the operator looked at; 0 means the newest
}

const maxSheetBytes = 8 << 20

// Handler returns the operators' API below [APIPrefix].
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/status", s.status)
	r.Post("/sheet", s.apply)
	r.Post("/changes", s.change)
	r.Get("/history", s.history)
	return r
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	st := s.Holder.State()
	reply(w, http.StatusOK, Status{Revision: st.Revision, Digest: st.Digest(), State: st, Agents: s.Fleet()})
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.ParseUint(r.URL.Query().Get("N"), 10, 16)
	if err != nil || n == 0 {
		reply(w, http.StatusBadRequest, Refusal{Error: "N must be 1 to 65535"})
		return
	}
	changes, err := s.Log.History(r.Context(), n)
	if err != nil {
		replyError(w, err)
		return
	}
	reply(w, http.StatusOK, changes)
}

func (s *Server) change(w http.ResponseWriter, r *http.Request) {
	var req ChangeRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxSheetBytes)).Decode(&req); err != nil {
		reply(w, http.StatusBadRequest, Refusal{Error: "body is not a change: " + err.Error()})
		return
	}
	switch req.Kind {
	case awconfig.KindDomainOut, awconfig.KindDomainIn, awconfig.KindInstanceDrain, awconfig.KindInstanceReturn:
	default:
		reply(w, http.StatusBadRequest, Refusal{Error: "kind must be DomainOut, DomainIn, InstanceDrain or InstanceReturn"})
		return
	}
	s.commit(w, r, req.Base, awconfig.Change{Kind: req.Kind, Target: req.Target, Actor: req.Actor})
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSheetBytes))
	if err != nil {
		reply(w, http.StatusBadRequest, Refusal{Error: "sheet: " + err.Error()})
		return
	}
	models, err := s.models(r.Context(), data)
	if err != nil {
		replyError(w, err)
		return
	}
	base, _ := strconv.ParseUint(r.URL.Query().Get("Base"), 10, 64)
	s.commit(w, r, base, awconfig.Change{Kind: awconfig.KindApplySheet, Actor: r.URL.Query().Get("Actor"), Models: models})
}

// SheetError holds every fault of a sheet.
type SheetError struct{ Faults []awsheet.Fault }

// Error implements the error interface.
func (e *SheetError) Error() string {
	return "the sheet has " + strconv.Itoa(len(e.Faults)) + " faults"
}

func (s *Server) models(ctx context.Context, sheet []byte) ([]awconfig.Model, error) {
	list, err := s.Platform.Instances(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "read instance list")
	}
	facts := awsheet.Facts{Instances: map[string]int{}}
	for _, in := range list {
		if in.Role == "agent" && in.Service == "" {
			facts.Instances[in.Domain]++
		}
	}
	for d := range facts.Instances {
		facts.Domains = append(facts.Domains, d)
	}
	slices.Sort(facts.Domains)
	rows, faults := awsheet.Parse(sheet, facts)
	if len(faults) > 0 {
		return nil, &SheetError{Faults: faults}
	}
	models := make([]awconfig.Model, 0, len(rows))
	for _, row := range rows {
		m, err := s.pin(ctx, row)
		if err != nil {
			return nil, err
		}
		models = append(models, m)
	}
	return models, nil
}

// pin reads the identity of the row's version from the origin.
func (s *Server) pin(ctx context.Context, row awsheet.Row) (awconfig.Model, error) {
	data, err := s.Platform.Manifest(ctx, row.Model, row.Version)
	if errors.Is(err, awstore.ErrNotFound) {
		return awconfig.Model{}, &SheetError{Faults: []awsheet.Fault{{
			Line: row.Line, Column: 2, Message: "unknown version " + strconv.Quote(row.Version) + "; want a published one",
		}}}
	}
	if err != nil {
		return awconfig.Model{}, eris.Wrap(err, "read manifest")
	}
	m, err := awweights.DecodeManifest(data, "")
	if err != nil {
		return awconfig.Model{}, err
	}
	return awconfig.Model{
		Name: row.Model, Version: row.Version, Digest: awweights.Digest(data), SizeBytes: m.SizeBytes,
		Replicas: row.Replicas, Domains: row.Domains, TeamShares: row.TeamShares, Fencing: row.Fencing,
	}, nil
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request, base uint64, c awconfig.Change) {
	if base == 0 {
		if err := s.Log.Poll(r.Context()); err != nil {
			replyError(w, err)
			return
		}
		base = s.Holder.State().Revision
	}
	done, err := s.Log.Commit(r.Context(), base, c)
	if err != nil {
		replyError(w, err)
		return
	}
	reply(w, http.StatusOK, Accepted{Revision: done.Revision, ChangeID: done.ChangeID})
}

func replyError(w http.ResponseWriter, err error) {
	var conflict *ConflictError
	var sheet *SheetError
	switch {
	case errors.As(err, &conflict):
		reply(w, http.StatusConflict, Refusal{Error: err.Error(), Winners: conflict.Winners})
	case errors.As(err, &sheet):
		body := Refusal{Error: err.Error()}
		for _, f := range sheet.Faults {
			body.Faults = append(body.Faults, f.String())
		}
		reply(w, http.StatusUnprocessableEntity, body)
	default:
		reply(w, http.StatusServiceUnavailable, Refusal{Error: err.Error()})
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the operator may be gone
}
