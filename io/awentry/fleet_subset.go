package awentry

import (
	"context"
	"strings"
	"time"

	"arbutuswind/core/awconfig"
	"arbutuswind/core/awmember"
	"arbutuswind/core/awroute"
	"arbutuswind/io/awstore"
)

// subsetPause bounds how often the subset is computed while many agents come
// and go at once.
const subsetPause = 100 * time.Millisecond

// subsetLoop keeps the Watch streams at the subset of this entry until ctx
// ends.
func (f *fleet) subsetLoop(ctx context.Context) {
	for ctx.Err() == nil {
		changed := f.entry.holder.Changed()
		f.watchSubset(ctx, f.entry.holder.State())
		select {
		case <-ctx.Done():
			return
		case <-time.After(subsetPause):
		}
		select {
		case <-ctx.Done():
		case <-f.dirty:
		case <-changed:
		}
	}
}

// watchSubset starts and ends Watch streams so that this entry watches its
// share of the agents of each model and service, and of those not placed yet.
func (f *fleet) watchSubset(ctx context.Context, s *awconfig.State) {
	f.mu.Lock()
	groups := map[string][]awroute.Member{}
	f.table.All(func(info awmember.Info, _ time.Time) {
		key := groupKey(info, s)
		groups[key] = append(groups[key], awroute.Member{Instance: info.Instance, Domain: info.Domain})
	})
	entries := make([]string, 0, len(f.entries)+1)
	for _, in := range f.entries {
		entries = append(entries, in.ID)
	}
	f.mu.Unlock()

	// The computation grows with entries times agents, so it runs unlocked.
	want := map[string]bool{}
	for _, members := range groups {
		for _, id := range awroute.Subset(f.entry.identity.Instance, entries, members) {
			want[id] = true
		}
	}

	f.mu.Lock()
	defer f.mu.Unlock()
	for id, link := range f.agents {
		if !want[id] {
			link.cancel()
			delete(f.agents, id)
		}
	}
	for id := range want {
		if info, _, ok := f.table.Get(id); ok {
			f.learn(ctx, info)
		}
	}
}

// groupKey returns the routing name of what an agent serves or will serve.
func groupKey(info awmember.Info, s *awconfig.State) string {
	if info.Service != "" {
		return servicePrefix + info.Service
	}
	return s.Placements[info.Instance].Model
}

func serviceName(model string) (string, bool) { return strings.CutPrefix(model, servicePrefix) }

// learn starts to watch an agent, or takes over what changed about one. The
// caller holds mu.
func (f *fleet) learn(ctx context.Context, info awmember.Info) {
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
	link = &agentLink{
		info: in, cancel: cancel, lastSeen: f.entry.cfg.Clock.Now(), lost: make(chan struct{}),
	}
	f.agents[in.ID] = link
	go f.watchLoop(watchCtx, link)
}
