package awcontrol

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"

	"arbutuswind/core/awconfig"
	"arbutuswind/core/awledger"
	"arbutuswind/core/awsheet"
	"arbutuswind/io/awstore"
)

// APIPrefix is the path of the operators' API.
const APIPrefix = "/operator/v1"

// Server serves the operators' API over HTTP.
type Server struct {
	Log             *Log
	Holder          *awconfig.Holder
	Platform        Platform
	Fleet           func() []AgentStatus
	MaxRemovedShare float64                                                 // limit for one sheet, as a share of the desired replicas, 0 to 1
	SourceAge       func() (ms int64, fresh bool)                           // age of the configuration, and whether it is within MaxIsolation
	PullFromPeers   func(ctx context.Context)                               // pulls the newest configuration from the peers; may be nil
	Progress        func(ctx context.Context, revision uint64) Progress     // counts the processes that have applied the revision
	AuditLog        func(message string, change awconfig.Change, err error) // writes to the audit log; may be nil
}

// Platform is the part of the platform that the operators' API needs.
type Platform interface {
	Instances(ctx context.Context) ([]awstore.Instance, error)
	Manifest(ctx context.Context, model, version string) ([]byte, error)
}

const maxChangeBytes = 64 << 10

// Handler returns the handler of the operators' API. It expects paths without
// [APIPrefix].
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/status", s.status)
	r.Get("/progress", s.progress)
	r.Post("/sheet", s.apply)
	r.Post("/sheet/check", s.check)
	r.Post("/changes", s.change)
	r.Post("/reset", s.acceptReset)
	r.Get("/history", s.history)
	return r
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	st := s.Holder.State()
	resp := Status{Revision: st.Revision, Digest: st.Digest(), State: st, Agents: s.Fleet()}
	if s.SourceAge != nil {
		resp.SourceAgeMs, resp.SourceFresh = s.SourceAge()
	}
	if reset := s.Log.Reset(); reset != nil {
		resp.StoreReset = reset.Error()
	}
	resp.FencingConflicts = resp.fencingConflicts()
	reply(w, http.StatusOK, resp)
}

func (s *Server) progress(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("Revision"), 10, 64)
	if err != nil {
		reply(w, http.StatusBadRequest, Refusal{Error: "Revision must be a number"})
		return
	}
	reply(w, http.StatusOK, s.Progress(r.Context(), revision))
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.ParseUint(r.URL.Query().Get("N"), 10, 64)
	if err != nil || n == 0 || n > maxHistory {
		reply(w, http.StatusBadRequest, Refusal{Error: "N must be 1 to " + strconv.Itoa(maxHistory)})
		return
	}
	changes, err := s.Log.History(r.Context(), n)
	if err != nil {
		replyError(w, err)
		return
	}
	reply(w, http.StatusOK, changes)
}

// readChange reads and decodes the body of a request. It returns false if it has
// responded with a refusal. It reads the body to its end before it decodes, because
// the end may carry the error that the request must not run.
func readChange(w http.ResponseWriter, r *http.Request) (ChangeRequest, bool) {
	var req ChangeRequest
	data, err := io.ReadAll(io.LimitReader(r.Body, maxChangeBytes+1))
	if err != nil {
		replyError(w, eris.Wrap(err, "read change request"))
		return req, false
	}
	if len(data) > maxChangeBytes {
		err = eris.Errorf("larger than %d bytes", maxChangeBytes)
	} else {
		err = json.Unmarshal(data, &req)
	}
	if err != nil {
		reply(w, http.StatusBadRequest, Refusal{Error: "decode change request: " + err.Error()})
		return req, false
	}
	return req, true
}

func (s *Server) change(w http.ResponseWriter, r *http.Request) {
	req, ok := readChange(w, r)
	if !ok {
		return
	}
	switch req.Kind {
	case awconfig.KindDomainOut, awconfig.KindDomainIn, awconfig.KindInstanceDrain, awconfig.KindInstanceReturn:
		if err := s.checkTarget(r.Context(), req.Kind, req.Target); err != nil {
			replyError(w, err)
			return
		}
	case awconfig.KindTeamLimit:
		if err := checkLimit(req); err != nil {
			reply(w, http.StatusUnprocessableEntity, Refusal{Error: err.Error()})
			return
		}
	default:
		reply(w, http.StatusBadRequest, Refusal{Error: "Kind must be DomainOut, DomainIn, InstanceDrain, InstanceReturn or TeamLimit"})
		return
	}
	s.commit(w, r, req.Base, awconfig.Change{
		Kind: req.Kind, Target: req.Target, Actor: req.Actor, Reason: req.Reason, Rate: req.Rate,
	})
}

// maxTeamRate, in requests per second, is far above the throughput of a whole
// fleet.
const maxTeamRate = 1e6

// checkLimit checks a TeamLimit change. Any well-formed team name is valid,
// since there is no list of teams: callers state their own.
func checkLimit(req ChangeRequest) error {
	if err := awledger.CheckTeam(req.Target); err != nil {
		return err
	}
	if req.Rate < 0 || req.Rate > maxTeamRate {
		return eris.Errorf("rate of %v requests per second is out of range; want 0 (no limit) to %v", req.Rate, maxTeamRate)
	}
	return nil
}

func (s *Server) acceptReset(w http.ResponseWriter, r *http.Request) {
	req, ok := readChange(w, r)
	if !ok {
		return
	}
	if s.PullFromPeers != nil {
		// Every configuration that an entry holds was accepted at some time, so
		// the newest one among all entries is the one to continue from.
		s.PullFromPeers(r.Context())
	}
	c, err := s.Log.AcceptReset(r.Context(), req.Actor, req.Reason)
	s.audit(c, err)
	if err != nil {
		replyError(w, err)
		return
	}
	replyAccepted(w, c)
}

// readSheet reads and parses the sheet in the body of a request.
func (s *Server) readSheet(r *http.Request) ([]awconfig.Model, []awsheet.Fault, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, awsheet.MaxBytes+1))
	if err != nil {
		return nil, nil, err
	}
	// Compare the sheet with the newest configuration. If the store is
	// unreachable, use the one held by this process.
	_ = s.Log.Poll(r.Context())
	return s.parseSheet(r.Context(), data)
}

// check validates a sheet and reports what it would change, without applying it.
func (s *Server) check(w http.ResponseWriter, r *http.Request) {
	models, warnings, err := s.readSheet(r)
	st := s.Holder.State()
	report := SheetReport{Revision: st.Revision, Faults: []string{}, Differences: []awconfig.Difference{}}
	var sheetErr *SheetError
	switch {
	case errors.As(err, &sheetErr):
		report.Faults = sheetErr.lines()
		report.Findings = NewFindings(sheetErr.Faults, warnings)
	case err != nil:
		replyError(w, err)
		return
	default:
		report.Valid = true
		report.Findings = NewFindings(nil, warnings)
		report.RemovedShare = awconfig.RemovedShare(st, models)
		report.RemovalOK = report.RemovedShare <= s.MaxRemovedShare
		report.Differences = append(report.Differences, awconfig.DiffSheet(st, models)...)
	}
	if report.Valid && !report.RemovalOK {
		refusal := &RemovalError{Share: report.RemovedShare, Limit: s.MaxRemovedShare}
		report.Findings = append(report.Findings, Finding{Severity: SeverityWarning, Fault: awsheet.Fault{Message: refusal.Error()}})
	}
	reply(w, http.StatusOK, report)
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	base, err := strconv.ParseUint(q.Get("Base"), 10, 64)
	if err != nil && q.Get("Base") != "" {
		reply(w, http.StatusBadRequest, Refusal{Error: "Base must be a revision"})
		return
	}
	models, _, err := s.readSheet(r)
	if err != nil {
		replyError(w, err)
		return
	}
	if share := awconfig.RemovedShare(s.Holder.State(), models); share > s.MaxRemovedShare && q.Get("AllowRemoval") != "true" {
		replyError(w, &RemovalError{Share: share, Limit: s.MaxRemovedShare})
		return
	}
	s.commit(w, r, base, awconfig.Change{Kind: awconfig.KindApplySheet, Actor: q.Get("Actor"), Models: models})
}

// maxRebases bounds how often a commit is retried on top of newer changes that
// do not conflict with it.
const maxRebases = 8

// commit writes an operator's change. If a base is given, any later change by
// an operator conflicts with it. Otherwise only a concurrent change by an
// operator to the same subject does. The reconciler's placements never
// conflict, since they are derived from the rest of the configuration.
func (s *Server) commit(w http.ResponseWriter, r *http.Request, base uint64, c awconfig.Change) {
	ctx := r.Context()
	if err := s.Log.Poll(ctx); err != nil {
		replyError(w, err)
		return
	}
	if err := s.checkBase(ctx, base, c); err != nil {
		s.audit(c, err)
		replyError(w, err)
		return
	}
	var err error
	for range maxRebases {
		st := s.Holder.State()
		if st.InEffect(c) {
			reply(w, http.StatusOK, Accepted{Revision: st.Revision, NoOp: true})
			return
		}
		var committed awconfig.Change
		if committed, err = s.Log.Commit(ctx, st.Revision, c); err == nil {
			s.audit(committed, nil)
			replyAccepted(w, committed)
			return
		}
		var conflict *ConflictError
		if !errors.As(err, &conflict) || conflictsWith(conflict.Winners, base != 0, c) {
			break
		}
	}
	s.audit(c, err)
	replyError(w, err)
}

// checkBase returns a [ConflictError] if a conflicting change was committed
// after the operator's base.
func (s *Server) checkBase(ctx context.Context, base uint64, c awconfig.Change) error {
	if base == 0 || base >= s.Holder.State().Revision {
		return nil
	}
	changes, err := s.Log.Since(ctx, base)
	if err != nil {
		return err
	}
	if !conflictsWith(changes, true, c) {
		return nil
	}
	return s.Log.Conflict(ctx, base, c)
}

// conflictsWith reports whether c conflicts with one of the changes committed
// before it. If strict, every change by an operator conflicts, not just one to
// the same subject.
func conflictsWith(winners []awconfig.Change, strict bool, c awconfig.Change) bool {
	for _, w := range winners {
		if w.ByOperator() && (strict || w.Subject() == c.Subject()) {
			return true
		}
	}
	return false
}

func (s *Server) audit(c awconfig.Change, err error) {
	if s.AuditLog == nil {
		return
	}
	if err != nil {
		s.AuditLog("change refused", c, err)
		return
	}
	s.AuditLog("change accepted", c, nil)
}

func replyAccepted(w http.ResponseWriter, c awconfig.Change) {
	reply(w, http.StatusOK, Accepted{Revision: c.Revision, ChangeID: c.ChangeID})
}

func replyError(w http.ResponseWriter, err error) {
	body := Refusal{Error: err.Error()}
	var conflict *ConflictError
	var sheet *SheetError
	var removal *RemovalError
	var unknown *UnknownError
	var reset *ResetError
	status := http.StatusServiceUnavailable
	switch {
	case errors.As(err, &conflict):
		status, body.Winners, body.Difference = http.StatusConflict, conflict.Winners, conflict.Difference
	case errors.As(err, &sheet):
		status, body.Faults = http.StatusUnprocessableEntity, sheet.lines()
	case errors.As(err, &unknown):
		status, body.Known = http.StatusUnprocessableEntity, unknown.Known
	case errors.As(err, &removal):
		status = http.StatusUnprocessableEntity
	case errors.As(err, &reset):
		status = http.StatusConflict
	}
	reply(w, status, body)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}
