package awentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"arbutuswind/core/awconfig"
	"arbutuswind/core/awmember"
	"arbutuswind/core/awoutcome"
	"arbutuswind/core/awroute"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
)

// agentFilter selects the agents that may run a request.
type agentFilter struct {
	model    string
	digest   string // empty accepts every version
	prefixes []uint64
	exclude  map[string]bool
}

// candidates returns the agents that may run a request now.
func (f *fleet) candidates(w agentFilter) []awroute.Candidate {
	s := f.entry.holder.State()
	f.mu.Lock()
	defer f.mu.Unlock()
	var cands []awroute.Candidate
	for id, link := range f.agents {
		if !w.exclude[id] && f.isEligible(id, link, w, s) {
			cands = append(cands, f.candidate(id, link, w))
		}
	}
	return cands
}

// isEligible reports whether an agent may get new work that matches w. The caller
// holds mu.
func (f *fleet) isEligible(id string, link *agentLink, w agentFilter, s *awconfig.State) bool {
	r := link.report
	if r == nil || link.info.Leaving || s.InstanceOut(id, link.info.Domain) ||
		f.ejector.IsEjected(id, f.entry.cfg.Clock.Now()) {
		return false
	}
	if r.State != awproto.AgentState_READY && r.State != awproto.AgentState_COLD {
		return false
	}
	for _, m := range r.Models {
		_, halted := s.Halted[m.VersionDigest]
		if m.Model == w.model && (w.digest == m.VersionDigest || (w.digest == "" && !halted)) {
			return true
		}
	}
	return false
}

func (f *fleet) candidate(id string, link *agentLink, w agentFilter) awroute.Candidate {
	r := link.report
	c := awroute.Candidate{
		Instance: id, Domain: link.info.Domain, Distance: awroute.OtherRegion, Limit: int(r.Limit),
		// The report lags; correct it by what this entry started and finished since then.
		InFlight: max(link.ownInFlight, int(r.InFlight)+link.ownInFlight-link.ownInFlightAtReport),
		WaitMs:   r.WaitMs, Cold: r.State == awproto.AgentState_COLD,
		PrefixHit: len(w.prefixes) > 0 && link.prefixes.Hit(w.prefixes),
	}
	switch {
	case link.info.Domain == f.entry.identity.Domain:
		c.Distance = awroute.SameDomain
	case link.info.Region == f.entry.identity.Region:
		c.Distance = awroute.SameRegion
	}
	return c
}

// target is the agent picked for one attempt.
type target struct {
	awrpc.Target
	domain  string
	lost    context.Context // ends when the link to the agent turns suspect
	release func()          // frees the reserved slot
}

// pick chooses an agent and reserves a slot on it until release is called.
func (f *fleet) pick(w agentFilter, rng *rand.Rand) (target, []awroute.Candidate, bool) {
	cands := f.candidates(w)
	c, ok := awroute.Pick(cands, awroute.DefaultPick(), rng)
	if !ok {
		return target{}, cands, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	link := f.agents[c.Instance]
	if link == nil || link.report == nil {
		return target{}, cands, false
	}
	link.ownInFlight++
	link.prefixes.Add(w.prefixes...)
	done := func() {
		f.mu.Lock()
		link.ownInFlight--
		f.mu.Unlock()
		f.entry.wakeWaiters(w.model, 1)
	}
	return target{
		Target: awrpc.Target{Address: link.info.Address, Instance: c.Instance, Incarnation: link.report.Incarnation},
		domain: c.Domain, lost: link.lost, release: done,
	}, cands, true
}

// isModelKnown reports whether any known agent, watched or not, serves a model or
// is assigned to it.
func (f *fleet) isModelKnown(model string) bool {
	s := f.entry.holder.State()
	f.mu.Lock()
	defer f.mu.Unlock()
	found := false
	f.table.All(func(info awmember.AgentInfo, _ time.Time) {
		found = found || groupKey(info, s) == model
	})
	return found
}

// isLinkAlive reports whether the link to the agent is alive and the agent has not
// restarted since it was picked.
func (f *fleet) isLinkAlive(t target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	link := f.agents[t.Instance]
	return link != nil && link.report != nil && link.report.Incarnation == t.Incarnation
}

// recordAttempt passes the result of an attempt to outlier ejection. Refusals and
// canceled requests are ignored, since they say nothing about the backend server.
func (f *fleet) recordAttempt(t target, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		f.ejector.RecordSuccess(t.Instance)
		return
	}
	var oe *awoutcome.Error
	if !errors.As(err, &oe) {
		return
	}
	switch oe.Reason {
	case awoutcome.EngineFailed, awoutcome.EngineCrashed, awoutcome.IdentityChanged, awoutcome.Truncated, awoutcome.LinkLost:
		if f.ejector.RecordFailure(t.Instance, len(f.agents), f.entry.cfg.Clock.Now()) {
			ejections.Inc()
			_ = f.entry.cfg.Logger.Log("Message", "agent ejected", "Agent", t.Instance, "Error", err.Error())
		}
	}
}
