// Package awplace decides which instance serves which model.
//
// Next is a pure function that proposes the changes of one step from what is
// observed now; it keeps no plan, so the result after any number of failures
// is the same as without them. It keeps every placement that is still valid:
//
//   - An instance that is missing for at most MissingAfter, and one whose
//     domain is out of service, keeps its placement. A domain returns warm.
//   - A drained, leaving or missing instance keeps its placement as well until
//     a free instance can take it over, so nothing moves without a gain. No
//     extra replicas are placed for a domain that is out.
//   - A version change moves instances that hold the new version already, as
//     many at a time as MaxUnavailable and MaxSurge allow.
package awplace

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"arbutuswind/core/awconfig"
)

// Instance is an instance with a model engine as the reconciler sees it.
type Instance struct {
	ID            string
	Domain        string
	Leaving       bool
	LastSeen      time.Time // last heartbeat or appearance in the instance list
	ServingDigest string    // weights that it serves now; empty when not ready
	HeldDigest    string    // weights that it holds whole
	NoRoomDigest  string    // weights that do not fit beside those it serves
	FailedDigest  string    // weights that it could not load
	FailureReason string    // why
}

// Config configures the reconciler.
type Config struct {
	MissingAfter time.Duration // silence before an instance is replaced
	// Started is when this process began to observe. Until MissingAfter has
	// passed since, an instance not observed is not taken for missing.
	Started time.Time
	// MaxUnavailable is how many replicas of a model a version change may
	// make unavailable; 0 means a quarter of them, negative means none.
	MaxUnavailable int
	// MaxSurge is how many replicas above the wanted number a version change
	// may place on free instances; 0 means a quarter, negative means none.
	MaxSurge int
}

// defaultShare of the replicas may be unavailable, and as many surplus. With
// a quarter, a version change takes about four load times.
const defaultShare = 4

func bound(configured, replicas int) int {
	switch {
	case configured < 0:
		return 0
	case configured == 0:
		return (replicas + defaultShare - 1) / defaultShare
	}
	return configured
}

// Plan returns the placements to change; an empty Model removes one. It
// returns nil when the fleet matches the state.
func Plan(s *awconfig.State, observed []Instance, cfg Config, now time.Time) map[string]awconfig.Placement {
	p := planner{state: s, cfg: cfg, now: now, byID: map[string]Instance{}, changes: map[string]awconfig.Placement{}}
	for _, in := range observed {
		p.byID[in.ID] = in
	}
	for _, id := range slices.Sorted(maps.Keys(s.Placements)) {
		// The sheet may have dropped the model or its domain.
		m, ok := s.Models[s.Placements[id].Model]
		in, seen := p.byID[id]
		if !ok || (seen && !slices.Contains(m.Domains, in.Domain)) {
			p.changes[id] = awconfig.Placement{}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Models)) {
		p.model(s.Models[name])
	}
	if len(p.changes) == 0 {
		return nil
	}
	return p.changes
}

// RolloutComplete reports whether every observed instance is placed for the version
// that its model is to serve.
func RolloutComplete(s *awconfig.State, observed []Instance) bool {
	for _, in := range observed {
		pl, ok := s.Placements[in.ID]
		if ok && pl.Digest != s.Target(s.Models[pl.Model]).Digest {
			return false
		}
	}
	return true
}

type planner struct {
	state   *awconfig.State
	cfg     Config
	now     time.Time
	byID    map[string]Instance
	changes map[string]awconfig.Placement
}

// gone reports whether an instance is to be replaced where capacity allows.
func (p *planner) gone(id string) bool {
	in, ok := p.byID[id]
	if !ok {
		return p.now.Sub(p.cfg.Started) > p.cfg.MissingAfter
	}
	return in.Leaving || p.state.Instances[id].Drained || p.now.Sub(in.LastSeen) > p.cfg.MissingAfter
}

// available reports whether the instance serves callers the weights that it
// is placed for.
func (p *planner) available(id string) bool {
	in, ok := p.byID[id]
	return ok && !p.gone(id) && in.ServingDigest != "" && in.ServingDigest == p.state.Placements[id].Digest &&
		!p.state.Domains[in.Domain].Out
}

func (p *planner) model(m awconfig.Model) {
	target := p.state.Target(m)
	want := awconfig.Placement{Model: m.Name, Version: target.Version, Digest: target.Digest}
	var kept []string
	for id, pl := range p.state.Placements {
		if _, removed := p.changes[id]; pl.Model == m.Name && !removed {
			kept = append(kept, id)
		}
	}
	slices.Sort(kept)
	kept = p.replace(want, m, kept)
	for len(kept) < m.Replicas {
		id := p.freeInstance(m)
		if id == "" {
			break
		}
		p.changes[id] = want
		kept = append(kept, id)
	}
	if p.upgrade(want, m, kept) {
		return
	}
	p.shrink(m, kept)
}

// replace moves the placements of instances that are gone to free ones.
func (p *planner) replace(want awconfig.Placement, m awconfig.Model, kept []string) []string {
	for i, id := range kept {
		if !p.gone(id) {
			continue
		}
		to := p.freeInstance(m)
		if to == "" {
			break
		}
		p.changes[id] = awconfig.Placement{}
		p.changes[to] = want
		kept[i] = to
	}
	return kept
}

// upgrade moves replicas to the wanted version and reports whether any is
// left on another one.
func (p *planner) upgrade(want awconfig.Placement, m awconfig.Model, kept []string) bool {
	var old []string
	available := 0
	for _, id := range kept {
		if p.available(id) {
			available++
		}
		pl, ok := p.state.Placements[id]
		if _, changed := p.changes[id]; ok && !changed && pl.Digest != want.Digest {
			old = append(old, id)
		}
	}
	if len(old) == 0 {
		return false
	}
	p.surge(want, m, len(kept))
	budget := available - (m.Replicas - bound(p.cfg.MaxUnavailable, m.Replicas))
	if bound(p.cfg.MaxUnavailable, m.Replicas) == 0 && available >= m.Replicas && len(p.changes) == 0 {
		// Without room for a surge one replica at a time must give way.
		budget = max(1, budget)
	}
	for _, id := range old {
		switch {
		case !p.available(id):
			p.changes[id] = want // costs no capacity
		case budget > 0 && p.movable(id, want.Digest):
			p.changes[id] = want
			budget--
		}
	}
	return true
}

// movable reports whether an instance that serves can load the version at
// once, or cannot fetch it before it gives up the old one.
func (p *planner) movable(id, digest string) bool {
	in := p.byID[id]
	return in.HeldDigest == digest || in.NoRoomDigest == digest
}

// surge places the version on free instances beyond the wanted number.
func (p *planner) surge(want awconfig.Placement, m awconfig.Model, have int) {
	for ; have < m.Replicas+bound(p.cfg.MaxSurge, m.Replicas); have++ {
		id := p.freeInstance(m)
		if id == "" {
			return
		}
		p.changes[id] = want
	}
}

// shrink removes what is above the wanted number, first what serves nobody,
// then from the fullest domain. Nothing that serves is removed while the
// others do not make up the wanted number.
func (p *planner) shrink(m awconfig.Model, kept []string) {
	for surplus := len(kept) - m.Replicas; surplus > 0; surplus-- {
		available, perDomain := 0, map[string]int{}
		for _, id := range kept {
			perDomain[p.byID[id].Domain]++
			if p.available(id) {
				available++
			}
		}
		victim := slices.MinFunc(kept, func(a, b string) int {
			return cmp.Or(
				compareBool(p.available(a), p.available(b)),
				cmp.Compare(perDomain[p.byID[b].Domain], perDomain[p.byID[a].Domain]),
				cmp.Compare(b, a),
			)
		})
		if _, fresh := p.changes[victim]; fresh || (p.available(victim) && available <= m.Replicas) {
			return
		}
		p.changes[victim] = awconfig.Placement{}
		kept = slices.DeleteFunc(kept, func(id string) bool { return id == victim })
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// freeInstance returns a free instance in the domain with the fewest replicas
// of the model, domains out of service last.
func (p *planner) freeInstance(m awconfig.Model) string {
	perDomain := map[string]int{}
	var free []Instance
	for id, in := range p.byID {
		switch placed := p.placed(id); {
		case placed == m.Name && !p.gone(id):
			perDomain[in.Domain]++
		case placed == "" && !p.gone(id) && slices.Contains(m.Domains, in.Domain):
			free = append(free, in)
		}
	}
	if len(free) == 0 {
		return ""
	}
	return slices.MinFunc(free, func(a, b Instance) int {
		return cmp.Or(
			compareBool(p.state.Domains[a.Domain].Out, p.state.Domains[b.Domain].Out),
			cmp.Compare(perDomain[a.Domain], perDomain[b.Domain]),
			cmp.Compare(a.ID, b.ID),
		)
	}).ID
}

func (p *planner) placed(id string) string {
	if pl, ok := p.changes[id]; ok {
		return pl.Model
	}
	return p.state.Placements[id].Model
}
