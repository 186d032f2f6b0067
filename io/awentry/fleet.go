package awentry

import (
	"context"
	"slices"
	"sync"
	"time"

	"arbutuswind/core/awmember"
	"arbutuswind/core/awplace"
	"arbutuswind/core/awroute"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awstore"
)

// fleet holds the agents and other entries known to this entry. It knows all
// agents from the instance list and announcements, and watches a subset of them.
type fleet struct {
	entry       *Entry
	subsetDirty chan struct{} // holds a token when the watched subset may be out of date

	mu               sync.Mutex
	table            *awmember.Table
	heartbeatTick    chan struct{} // closed and replaced at each heartbeat
	subsetGeneration uint64        // table generation of the last requested subset
	ejector          *awmember.Ejector
	agents           map[string]*agentLink // watched
	announced        map[string]*awproto.AgentReport
	entries          []awstore.Instance // other entries in the instance list that are not leaving

	peers   peerCache
	subsets subsetCache
}

// agentLink is a watched agent and its Watch stream.
type agentLink struct {
	info      awstore.Instance
	cancel    context.CancelFunc
	endStream context.CancelCauseFunc // ends the open stream; nil without one
	report    *awproto.AgentReport    // nil while the link is not alive in both directions
	liveness  *awmember.Liveness      // of the open stream
	lost      context.Context         // ends when the link is lost
	markLost  context.CancelFunc      // cancels lost
	loss      *time.Timer             // calls markLost for a suspect link
	suspected *awmember.Liveness      // of the stream that was open when the link turned suspect
	lastSeen  time.Time

	ownInFlight         int // requests of this entry running on the agent
	ownInFlightAtReport int // value of ownInFlight when the report arrived
	prefixes            awroute.PrefixTable
}

func newFleet(e *Entry) *fleet {
	t := e.cfg.Settings.Timing
	return &fleet{
		entry:         e,
		subsetDirty:   make(chan struct{}, 1),
		heartbeatTick: make(chan struct{}),
		table:         awmember.NewTable(awmember.Config{MissingAfter: t.MissingAfter.Std()}),
		ejector:       awmember.NewEjector(awmember.DefaultEjectConfig()),
		agents:        map[string]*agentLink{},
		announced:     map[string]*awproto.AgentReport{},
		subsets:       subsetCache{},
	}
}

// resetLost creates a new context for the requests sent over the link.
func (l *agentLink) resetLost() { l.lost, l.markLost = context.WithCancel(context.Background()) }

// recover ends the suspicion of a link. Requests sent before stay on it only if its
// stream has gone on, since after a new connection theirs may be broken.
func (l *agentLink) recover() {
	if l.suspected != l.liveness || !l.loss.Stop() {
		l.resetLost()
	}
}

// instanceListLoop polls the instance list until ctx ends.
func (f *fleet) instanceListLoop(ctx context.Context) {
	go f.subsetLoop(ctx)
	go f.heartbeatLoop(ctx)
	for {
		if list, err := f.entry.store.Instances(ctx); err == nil {
			f.entry.sync.applyInstanceList(list)
			f.applyInstanceList(list)
		}
		period := f.entry.cfg.Settings.Timing.ListPoll.Std()
		select {
		case <-ctx.Done():
			return
		case <-time.After(period/2 + f.entry.jitter(period)):
		}
	}
}

// applyInstanceList updates the known agents and entries from the whole instance
// list.
func (f *fleet) applyInstanceList(list []awstore.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var infos []awmember.AgentInfo
	var entries []awstore.Instance
	for _, in := range list {
		switch in.Role {
		case "agent":
			infos = append(infos, awmember.AgentInfo{
				Instance: in.ID, Address: in.Address, Domain: in.Domain, Region: in.Region,
				Service: in.Service, Leaving: in.Leaving,
			})
		case "entry":
			if in.ID != f.entry.identity.Instance && !in.Leaving {
				entries = append(entries, in)
			}
		}
	}
	f.table.ApplyInstanceList(infos, f.entry.cfg.Clock.Now())
	changed := !slices.Equal(entries, f.entries)
	f.entries = entries
	f.entry.claims.setEntryCount(len(entries) + 1)
	for id := range f.announced {
		if _, _, ok := f.table.Get(id); !ok {
			delete(f.announced, id)
			f.ejector.Forget(id)
		}
	}
	f.markDirty(changed)
}

// applyAnnouncement applies the announcement of an agent. It returns false if the
// announcement comes from an older incarnation than the known one.
func (f *fleet) applyAnnouncement(req *awproto.AnnounceRequest) bool {
	id := req.Sender
	f.mu.Lock()
	defer f.mu.Unlock()
	in := awmember.AgentInfo{
		Instance: id.Instance, Address: id.Address, Domain: id.Domain, Region: id.Region,
		Incarnation: id.Incarnation, Leaving: req.Leaving,
	}
	for _, m := range req.GetReport().GetModels() {
		if name, ok := serviceName(m.Model); ok {
			in.Service = name
		}
	}
	if !f.table.ApplyAnnouncement(in, f.entry.cfg.Clock.Now()) {
		return false
	}
	f.announced[id.Instance] = req.Report
	f.markDirty(false)
	return true
}

// markDirty requests a new subset if the known agents changed, or if changed
// reports another change. The caller holds mu.
func (f *fleet) markDirty(changed bool) {
	if !changed && f.subsetGeneration == f.table.Generation() {
		return
	}
	f.subsetGeneration = f.table.Generation()
	select {
	case f.subsetDirty <- struct{}{}:
	default:
	}
}

// otherEntries returns the other entries in the instance list.
func (f *fleet) otherEntries() []awstore.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.entries)
}

// observed returns the state of the model engine instances for the reconciler.
// Agents that this entry does not watch are known only from the instance list and
// their announcements.
func (f *fleet) observed() []awplace.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []awplace.Instance
	f.table.All(func(info awmember.AgentInfo, lastSeen time.Time) {
		if info.Service != "" {
			return
		}
		in := awplace.Instance{ID: info.Instance, Domain: info.Domain, Leaving: info.Leaving, LastSeen: lastSeen}
		report := f.announced[info.Instance]
		if link := f.agents[info.Instance]; link != nil {
			// The list lags, so the link is authoritative for a watched agent.
			in.LastSeen, report = link.lastSeen, link.report
		}
		if len(report.GetModels()) > 0 {
			in.ServingDigest = report.Models[0].VersionDigest
		}
		addTransferState(&in, report)
		list = append(list, in)
	})
	return list
}
