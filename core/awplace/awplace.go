// Package awplace decides which instance serves which model.
//
// Next is a pure function that proposes the changes of one step. It keeps
// every placement that is still valid, so that an instance list that lags or
// flaps moves nothing.
package awplace

import (
	"slices"
	"strings"
	"time"

	"arbutuswind/core/awconfig"
)

// Instance is an instance with a model engine as the reconciler sees it.
type Instance struct {
	ID       string
	Domain   string
	Leaving  bool
	LastSeen time.Time // last heartbeat or appearance in the instance list
	Digest   string    // weights that it serves now; empty when not ready
	Held     string    // weights that it holds whole
	NoRoom   bool      // the version it is to fetch does not fit beside the old one
	Failed   string    // weights that it could not load
	Failure  string    // why
}

// Config configures the reconciler.
type Config struct {
	MissingAfter   time.Duration // silence before an instance is replaced
	MaxUnavailable int           // replicas of a model that may change version at once; 0 means 1
}

// Next returns the placements to change; an empty Model removes one. It
// returns nil when the fleet matches the state.
func Next(s *awconfig.State, observed []Instance, cfg Config, now time.Time) map[string]awconfig.Placement {
	p := planner{state: s, cfg: cfg, now: now, byID: map[string]Instance{}, changes: map[string]awconfig.Placement{}}
	for _, in := range observed {
		p.byID[in.ID] = in
	}
	names := make([]string, 0, len(s.Models))
	for name := range s.Models {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		p.model(s.Models[name])
	}
	if len(p.changes) == 0 {
		return nil
	}
	return p.changes
}

type planner struct {
	state   *awconfig.State
	cfg     Config
	now     time.Time
	byID    map[string]Instance
	changes map[string]awconfig.Placement
}

func (p *planner) usable(in Instance) bool {
	return !in.Leaving && !p.state.Instances[in.ID].Drained && p.now.Sub(in.LastSeen) <= p.cfg.MissingAfter
}

func (p *planner) model(m awconfig.Model) {
	var kept []string
	for id, pl := range p.state.Placements {
		if pl.Model != m.Name {
			continue
		}
		in, ok := p.byID[id]
		if !ok || !p.usable(in) || !slices.Contains(m.Domains, in.Domain) {
			p.changes[id] = awconfig.Placement{}
			continue
		}
		kept = append(kept, id)
	}
	slices.Sort(kept)
	for len(kept) > m.Replicas {
		last := len(kept) - 1
		p.changes[kept[last]] = awconfig.Placement{}
		kept = kept[:last]
	}
	p.upgrade(m, kept)
	p.fill(m, len(kept))
}

// upgrade moves replicas to the wanted version, a bounded number at a time.
func (p *planner) upgrade(m awconfig.Model, kept []string) {
	if _, halted := p.state.Halted[m.Digest]; halted {
		return
	}
	moving := 0
	for _, id := range kept {
		pl := p.state.Placements[id]
		if pl.Digest == m.Digest && p.byID[id].Digest != m.Digest {
			moving++
		}
	}
	for _, id := range kept {
		if moving >= max(1, p.cfg.MaxUnavailable) {
			return
		}
		if p.state.Placements[id].Digest != m.Digest {
			p.changes[id] = awconfig.Placement{Model: m.Name, Version: m.Version, Digest: m.Digest}
			moving++
		}
	}
}

// fill adds replicas on free instances, evenly over the allowed domains.
func (p *planner) fill(m awconfig.Model, have int) {
	for ; have < m.Replicas; have++ {
		id := p.freeInstance(m)
		if id == "" {
			return
		}
		p.changes[id] = awconfig.Placement{Model: m.Name, Version: m.Version, Digest: m.Digest}
	}
}

func (p *planner) freeInstance(m awconfig.Model) string {
	perDomain := map[string]int{}
	for id := range p.byID {
		if p.placed(id) == m.Name {
			perDomain[p.byID[id].Domain]++
		}
	}
	var free []Instance
	for id, in := range p.byID {
		if p.placed(id) == "" && p.usable(in) && slices.Contains(m.Domains, in.Domain) {
			free = append(free, in)
		}
	}
	if len(free) == 0 {
		return ""
	}
	slices.SortFunc(free, func(a, b Instance) int {
		if d := perDomain[a.Domain] - perDomain[b.Domain]; d != 0 {
			return d
		}
		return strings.Compare(a.ID, b.ID)
	})
	return free[0].ID
}

func (p *planner) placed(id string) string {
	if pl, ok := p.changes[id]; ok {
		return pl.Model
	}
	return p.state.Placements[id].Model
}
