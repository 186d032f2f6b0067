package awentry

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutuswind/core/awconfig"
	"arbutuswind/core/awmember"
	"arbutuswind/core/awroute"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awstore"
)

// subsetMinInterval is the minimum time between two computations of the subset
// while many agents come and go.
const subsetMinInterval = 100 * time.Millisecond

// subsetLoop matches the Watch streams to the subset of this entry until ctx ends.
func (f *fleet) subsetLoop(ctx context.Context) {
	for ctx.Err() == nil {
		changed := f.entry.holder.Changed()
		f.watchSubset(ctx, f.entry.holder.State())
		select {
		case <-ctx.Done():
			return
		case <-time.After(subsetMinInterval):
		}
		select {
		case <-ctx.Done():
		case <-f.subsetDirty:
		case <-changed:
		}
	}
}

// watchSubset starts and ends Watch streams so that this entry watches its share
// of the agents of each model and service, and of the agents without a placement.
func (f *fleet) watchSubset(ctx context.Context, s *awconfig.State) {
	f.mu.Lock()
	groups := map[string][]awroute.Member{}
	f.table.All(func(info awmember.AgentInfo, _ time.Time) {
		key := groupKey(info, s)
		groups[key] = append(groups[key], awroute.Member{Instance: info.Instance, Domain: info.Domain})
	})
	entries := make([]string, 0, len(f.entries)+1)
	for _, in := range f.entries {
		entries = append(entries, in.ID)
	}
	f.mu.Unlock()

	wanted := map[string]bool{}
	for key, members := range groups {
		for _, id := range f.subsets.subset(key, f.entry.identity.Instance, entries, members) {
			wanted[id] = true
		}
	}
	f.subsets.prune(groups)

	f.mu.Lock()
	defer f.mu.Unlock()
	for id, link := range f.agents {
		if !wanted[id] {
			link.cancel()
			delete(f.agents, id)
		}
	}
	for id := range wanted {
		if info, _, ok := f.table.Get(id); ok {
			f.watchAgent(ctx, info)
		}
	}
}

// subsetCache caches the subset of each group until entries or agents change: the
// cost of computing it grows with entries times agents, and the instance list is
// read every few seconds. Only subsetLoop uses it.
type subsetCache map[string]cachedSubset

type cachedSubset struct {
	inputHash uint64 // hash of the entries and members
	ids       []string
}

func (c subsetCache) subset(key, self string, entries []string, members []awroute.Member) []string {
	slices.Sort(entries)
	slices.SortFunc(members, func(a, b awroute.Member) int { return strings.Compare(a.Instance, b.Instance) })
	d := xxhash.New() // writing to it never fails
	for _, id := range entries {
		_, _ = d.WriteString(id + "\n")
	}
	for _, m := range members {
		_, _ = d.WriteString(m.Instance + " " + m.Domain + "\n")
	}
	inputHash := d.Sum64()
	if cached, ok := c[key]; ok && cached.inputHash == inputHash {
		return cached.ids
	}
	ids := awroute.Subset(self, entries, members)
	c[key] = cachedSubset{inputHash: inputHash, ids: ids}
	return ids
}

// prune removes groups that no longer exist.
func (c subsetCache) prune(groups map[string][]awroute.Member) {
	for key := range c {
		if _, ok := groups[key]; !ok {
			delete(c, key)
		}
	}
}

// groupKey returns the routing name of the model or service that an agent serves
// or is assigned to.
func groupKey(info awmember.AgentInfo, s *awconfig.State) string {
	if info.Service != "" {
		return awproto.ServicePrefix + info.Service
	}
	return s.Placements[info.Instance].Model
}

func serviceName(model string) (string, bool) { return strings.CutPrefix(model, awproto.ServicePrefix) }

// watchAgent starts to watch an agent, or updates one that is already watched. The
// caller holds mu.
func (f *fleet) watchAgent(ctx context.Context, info awmember.AgentInfo) {
	in := awstore.Instance{
		ID: info.Instance, Role: "agent", Address: info.Address, Domain: info.Domain,
		Region: info.Region, Leaving: info.Leaving, Service: info.Service,
	}
	link, ok := f.agents[in.ID]
	if ok && link.info.Address == in.Address {
		link.info = in
		return
	}
	if ok {
		link.cancel()
	}
	watchCtx, cancel := context.WithCancel(ctx)
	link = &agentLink{info: in, cancel: cancel, lastSeen: f.entry.cfg.Clock.Now()}
	link.resetLost()
	f.agents[in.ID] = link
	go f.watchLoop(watchCtx, link)
}
