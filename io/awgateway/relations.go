package awgateway

import (
	"cmp"
	"maps"
	"slices"

	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awdispatch"
	"arbutuswind/core/awroute"
	"arbutuswind/io/awwatch"
)

// relations holds which engines this entry is related to. Only these send it
// load reports, and it shares their slots with their other entries.
type relations struct {
	entries []string
	members map[string][]awroute.Member // engines by service; instances are addresses, which survive a restart
	sharers map[string]int              // see [awdispatch.Dispatcher.SetSharers]
}

// update returns the relations for a state of the fleet. It computes them anew
// only if the entries or the engines have changed.
func (r *relations) update(self string, state awwatch.State, isEngine func(service string) bool) map[string]int {
	members := map[string][]awroute.Member{}
	for _, s := range state.Servers {
		if isEngine(s.Service) {
			members[s.Service] = append(members[s.Service], awroute.Member{Instance: s.Address, Domain: s.Domain})
		}
	}
	for service, list := range members {
		slices.SortFunc(list, compareMembers)
		members[service] = slices.Compact(list) // a restarted engine may be listed twice for a while
	}
	entries := awdirectory.EntryNames(state.Entries)
	if r.sharers != nil && slices.Equal(r.entries, entries) && maps.EqualFunc(r.members, members, slices.Equal) {
		return r.sharers
	}
	r.entries, r.members, r.sharers = entries, members, map[string]int{}
	for _, list := range members {
		maps.Copy(r.sharers, awroute.Sharers(self, entries, list, awdispatch.EntriesPerEngine))
	}
	return r.sharers
}

// isEngineService reports whether the backend servers of a service are engines.
func (g *Gateway) isEngineService(name string) bool {
	c := g.config.Load()
	if c == nil {
		return false
	}
	svc := c.Service(name)
	return svc != nil && svc.Engine
}

// related returns the listed servers that this entry is related to; mu must be
// held.
func (g *Gateway) related() []awdirectory.Server {
	var list []awdirectory.Server
	for address, s := range g.byAddress {
		if g.relations.sharers[address] > 0 {
			list = append(list, s)
		}
	}
	return list
}

func compareMembers(a, b awroute.Member) int {
	return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Domain, b.Domain))
}
