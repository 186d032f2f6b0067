// Package awplace decides which instance serves which model.
//
// [Plan] is a pure function that computes one reconciliation step from the
// configuration and the observed instances. It keeps no state between steps,
// so the fleet converges to the same result whatever failures occur on the
// way. Placements change as little as possible:
//
//   - An instance keeps its placement while it is missing for no longer than
//     MissingAfter, or while its domain is out of service. When the domain
//     returns, its instances still have their weights loaded. No extra
//     replicas are placed to make up for a domain that is out.
//   - A drained, leaving or missing instance keeps its placement until a free
//     instance can replace it; moving it earlier would gain nothing.
//   - A version change moves serving instances that already hold the weights
//     of the new version, within MaxUnavailable and MaxSurge.
package awplace

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"arbutuswind/core/awconfig"
)

// Instance is the observed state of an instance that runs a model engine.
// Digests identify the weights of a model version.
type Instance struct {
	ID            string
	Domain        string
	Leaving       bool
	LastSeen      time.Time // last heartbeat or appearance in the instance list
	ServingDigest string    // weights that it serves; empty when not ready
	HeldDigest    string    // weights that it has fetched completely
	NoRoomDigest  string    // weights that do not fit in addition to those it serves
	FailedDigest  string    // weights that it failed to load or to serve
	FailureReason string    // why FailedDigest failed
}

// Config configures [Plan].
type Config struct {
	MissingAfter time.Duration // time without contact before an instance is replaced
	// Started is when this process began to observe instances. An instance
	// that it does not observe counts as missing only once MissingAfter has
	// passed since Started.
	Started time.Time
	// MaxUnavailable is the number of replicas of a model that a version
	// change may make unavailable. 0 means a quarter of the replicas, a
	// negative value none.
	MaxUnavailable int
	// MaxSurge is the number of replicas above Model.Replicas that a version
	// change may place on free instances. 0 means a quarter of the replicas, a
	// negative value none.
	MaxSurge int
}

// defaultDivisor sets the default of MaxUnavailable and MaxSurge to a quarter
// of the replicas, with which a version change takes about four load times.
const defaultDivisor = 4

// limitOrDefault resolves MaxUnavailable or MaxSurge for a number of replicas.
func limitOrDefault(configured, replicas int) int {
	switch {
	case configured < 0:
		return 0
	case configured == 0:
		return (replicas + defaultDivisor - 1) / defaultDivisor
	}
	return configured
}

// Plan returns the placements to change by instance ID; an empty Placement
// removes the instance's placement. It returns nil when there is nothing to
// change.
func Plan(s *awconfig.State, observed []Instance, cfg Config, now time.Time) map[string]awconfig.Placement {
	p := planner{state: s, cfg: cfg, now: now, byID: map[string]Instance{}, changes: map[string]awconfig.Placement{}}
	for _, in := range observed {
		p.byID[in.ID] = in
	}
	for _, id := range slices.Sorted(maps.Keys(s.Placements)) {
		// A new sheet may have removed the model, or the domain from the model.
		m, ok := s.Models[s.Placements[id].Model]
		in, seen := p.byID[id]
		if !ok || (seen && !slices.Contains(m.Domains, in.Domain)) {
			p.changes[id] = awconfig.Placement{}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Models)) {
		p.planModel(s.Models[name])
	}
	if len(p.changes) == 0 {
		return nil
	}
	return p.changes
}

// RolloutComplete reports whether every placement of an observed instance
// names the target version of its model.
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

// shouldReplace reports whether the instance is missing, leaving or drained, so
// that its replica should move as soon as another instance is free.
func (p *planner) shouldReplace(id string) bool {
	in, ok := p.byID[id]
	if !ok {
		return p.now.Sub(p.cfg.Started) > p.cfg.MissingAfter
	}
	return in.Leaving || p.state.Instances[id].Drained || p.now.Sub(in.LastSeen) > p.cfg.MissingAfter
}

// available reports whether the instance serves callers with the weights that
// its placement names.
func (p *planner) available(id string) bool {
	in, ok := p.byID[id]
	return ok && !p.shouldReplace(id) && in.ServingDigest != "" && in.ServingDigest == p.state.Placements[id].Digest &&
		!p.state.Domains[in.Domain].Out
}

// planModel adds the changes for one model.
func (p *planner) planModel(m awconfig.Model) {
	target := p.state.Target(m)
	want := awconfig.Placement{Model: m.Name, Version: target.Version, Digest: target.Digest}
	var replicaIDs []string
	for id, pl := range p.state.Placements {
		if _, removed := p.changes[id]; pl.Model == m.Name && !removed {
			replicaIDs = append(replicaIDs, id)
		}
	}
	slices.Sort(replicaIDs)
	replicaIDs = p.replace(want, m, replicaIDs)
	for len(replicaIDs) < m.Replicas {
		id := p.freeInstance(m)
		if id == "" {
			break
		}
		p.changes[id] = want
		replicaIDs = append(replicaIDs, id)
	}
	if p.upgrade(want, m, replicaIDs) {
		return
	}
	p.removeSurplus(m, replicaIDs)
}

// replace moves replicas off instances that should be replaced, as far as there
// are free instances, and returns the updated replicaIDs.
func (p *planner) replace(want awconfig.Placement, m awconfig.Model, replicaIDs []string) []string {
	for i, id := range replicaIDs {
		if !p.shouldReplace(id) {
			continue
		}
		replacement := p.freeInstance(m)
		if replacement == "" {
			break
		}
		p.changes[id] = awconfig.Placement{}
		p.changes[replacement] = want
		replicaIDs[i] = replacement
	}
	return replicaIDs
}

// upgrade moves replicas to the target version within MaxUnavailable and
// MaxSurge. It reports whether any replica was still on another version.
func (p *planner) upgrade(want awconfig.Placement, m awconfig.Model, replicaIDs []string) bool {
	var outdated []string
	available := 0
	for _, id := range replicaIDs {
		if p.available(id) {
			available++
		}
		pl, ok := p.state.Placements[id]
		if _, changed := p.changes[id]; ok && !changed && pl.Digest != want.Digest {
			outdated = append(outdated, id)
		}
	}
	if len(outdated) == 0 {
		return false
	}
	p.surge(want, m, len(replicaIDs))
	budget := available - (m.Replicas - limitOrDefault(p.cfg.MaxUnavailable, m.Replicas))
	if limitOrDefault(p.cfg.MaxUnavailable, m.Replicas) == 0 && available >= m.Replicas && len(p.changes) == 0 {
		// With neither unavailability nor surge possible, the change would never
		// start, so one replica at a time is taken out of service.
		budget = max(1, budget)
	}
	for _, id := range outdated {
		switch {
		case !p.available(id):
			p.changes[id] = want // it serves nobody, so no capacity is lost
		case budget > 0 && p.canUpgrade(id, want.Digest):
			p.changes[id] = want
			budget--
		}
	}
	return true
}

// canUpgrade reports whether a serving instance should change to the version
// now: it either holds the weights already, or has no room to fetch them until
// it unloads the old ones.
func (p *planner) canUpgrade(id, digest string) bool {
	in := p.byID[id]
	return in.HeldDigest == digest || in.NoRoomDigest == digest
}

// surge places the target version on free instances, up to MaxSurge above
// m.Replicas. count is the number of replicas placed already.
func (p *planner) surge(want awconfig.Placement, m awconfig.Model, count int) {
	for ; count < m.Replicas+limitOrDefault(p.cfg.MaxSurge, m.Replicas); count++ {
		id := p.freeInstance(m)
		if id == "" {
			return
		}
		p.changes[id] = want
	}
}

// removeSurplus removes replicas above m.Replicas, unavailable ones first, then
// from the domain with the most replicas. It removes an available replica only
// while more than m.Replicas are available.
func (p *planner) removeSurplus(m awconfig.Model, replicaIDs []string) {
	for surplus := len(replicaIDs) - m.Replicas; surplus > 0; surplus-- {
		available, perDomain := 0, map[string]int{}
		for _, id := range replicaIDs {
			perDomain[p.byID[id].Domain]++
			if p.available(id) {
				available++
			}
		}
		victim := slices.MinFunc(replicaIDs, func(a, b string) int {
			return cmp.Or(
				compareBool(p.available(a), p.available(b)),
				cmp.Compare(perDomain[p.byID[b].Domain], perDomain[p.byID[a].Domain]),
				cmp.Compare(b, a),
			)
		})
		if _, changed := p.changes[victim]; changed || (p.available(victim) && available <= m.Replicas) {
			return
		}
		p.changes[victim] = awconfig.Placement{}
		replicaIDs = slices.DeleteFunc(replicaIDs, func(id string) bool { return id == victim })
	}
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// freeInstance returns a free instance for the model, "" if there is none. It
// prefers domains in service, then the domain with the fewest replicas of the
// model.
func (p *planner) freeInstance(m awconfig.Model) string {
	perDomain := map[string]int{}
	var free []Instance
	for id, in := range p.byID {
		switch model := p.placedModel(id); {
		case model == m.Name && !p.shouldReplace(id):
			perDomain[in.Domain]++
		case model == "" && !p.shouldReplace(id) && slices.Contains(m.Domains, in.Domain):
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

// placedModel returns the model that the instance is placed for once the changes
// are applied, "" for none.
func (p *planner) placedModel(id string) string {
	if pl, ok := p.changes[id]; ok {
		return pl.Model
	}
	return p.state.Placements[id].Model
}
