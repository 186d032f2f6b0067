package awagent

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
	"arbutuswind/io/awstore"
)

const (
	// maxAnnounceTargets limits the entries that one agent announces itself to.
	maxAnnounceTargets = 3
	// watchedPeriodFactor multiplies the announcement period while an entry
	// watches this agent. The other entries then need announcements only for the
	// reconciler, which waits longer than this before it treats an agent as
	// silent.
	watchedPeriodFactor = 5
)

// announceLoop announces the agent to entries, so that they know it before it
// is in the instance list and learn of changes of its state.
func (a *Agent) announceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		a.announce(ctx)
		a.waitForNextAnnouncement(ctx)
	}
}

// waitForNextAnnouncement returns when the next announcement is due.
func (a *Agent) waitForNextAnnouncement(ctx context.Context) {
	period := a.cfg.Settings.Timing.Announce.Std()
	before, _ := a.currentAnnouncement()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(period):
		}
		now, watched := a.currentAnnouncement()
		if now != before || !watched || n+1 >= watchedPeriodFactor {
			return
		}
	}
}

// announcement holds the parts of a report whose change triggers an
// announcement before the period has ended.
type announcement struct {
	state  awproto.AgentState
	digest string
	failed bool
}

// currentAnnouncement returns what would be announced now, and whether an entry
// watches this agent.
func (a *Agent) currentAnnouncement() (announcement, bool) {
	r, _ := a.report()
	n := announcement{state: r.State, failed: r.GetTransfer().GetError() != ""}
	for _, m := range r.Models {
		n.digest = m.VersionDigest
	}
	return n, a.watchers.Load() > 0
}

func (a *Agent) announce(ctx context.Context) {
	maxAge := a.cfg.Settings.Timing.ListPoll.Std()
	if a.watchers.Load() > 0 {
		maxAge = watchedListMaxAge
	}
	report, _ := a.report()
	sent := 0
	for _, in := range rankEntries(a.identity.Instance, a.instances(ctx, maxAge)) {
		client := a.dialer.Entry(ctx, awrpc.Target{Address: in.Address, Instance: in.ID})
		if _, err := client.Announce(ctx, &awproto.AnnounceRequest{Sender: a.identity, Report: report}); err == nil {
			sent++
		}
		if sent == maxAnnounceTargets {
			return
		}
	}
}

// rankEntries orders the entries by rendezvous hashing, so that announcements
// are spread evenly over the entries.
func rankEntries(agent string, list []awstore.Instance) []awstore.Instance {
	type ranked struct {
		in   awstore.Instance
		hash uint64
	}
	var entries []ranked
	for _, in := range list {
		if in.Role == "entry" && !in.Leaving {
			entries = append(entries, ranked{in, xxhash.Sum64String(agent + "\x00" + in.ID)})
		}
	}
	slices.SortFunc(entries, func(x, y ranked) int { return cmp.Compare(x.hash, y.hash) })
	out := make([]awstore.Instance, len(entries))
	for i, r := range entries {
		out[i] = r.in
	}
	return out
}
