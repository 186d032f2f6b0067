package awentry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"arbutuswind/core/awplace"
	"arbutuswind/core/awroute"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
	"arbutuswind/io/awstore"
)

// fleet is what this entry knows about agents.
type fleet struct {
	entry *Entry

	mu     sync.Mutex
	agents map[string]*agentLink

	peers peerCache
}

// agentLink is one agent and the Watch stream to it.
type agentLink struct {
	info     awstore.Instance
	cancel   context.CancelFunc
	report   *awproto.AgentReport // nil while the agent is silent
	lastSeen time.Time
	sent     int // requests sent by this entry and not finished
}

func newFleet(e *Entry) *fleet { return &fleet{entry: e, agents: map[string]*agentLink{}} }

// listLoop follows the instance list until ctx ends.
func (f *fleet) listLoop(ctx context.Context) {
	for {
		if list, err := f.entry.store.Instances(ctx); err == nil {
			f.entry.sync.learn(list)
			f.update(ctx, list)
		}
		period := f.entry.cfg.Settings.Timing.ListPoll.Std()
		select {
		case <-ctx.Done():
			return
		case <-time.After(period/2 + f.entry.jitter(period)):
		}
	}
}

func (f *fleet) update(ctx context.Context, list []awstore.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	shown := map[string]bool{}
	for _, in := range list {
		if in.Role != "agent" {
			continue
		}
		shown[in.ID] = true
		f.learn(ctx, in)
	}
	silent := f.entry.cfg.Settings.Timing.MissingAfter.Std()
	for id, link := range f.agents {
		if !shown[id] && f.entry.cfg.Clock.Now().Sub(link.lastSeen) > silent {
			link.cancel()
			delete(f.agents, id)
		}
	}
}

// learn starts to watch an agent. The caller holds mu.
func (f *fleet) learn(ctx context.Context, in awstore.Instance) {
	if link, ok := f.agents[in.ID]; ok && link.info.Address == in.Address {
		link.info.Leaving = in.Leaving
		return
	} else if ok {
		link.cancel()
	}
	watchCtx, cancel := context.WithCancel(ctx)
	link := &agentLink{info: in, cancel: cancel, lastSeen: f.entry.cfg.Clock.Now()}
	f.agents[in.ID] = link
	go f.watchLoop(watchCtx, link)
}

// watchLoop keeps a Watch stream to one agent open until ctx ends.
func (f *fleet) watchLoop(ctx context.Context, link *agentLink) {
	for ctx.Err() == nil {
		_ = f.watch(ctx, link) // the next try follows after a heartbeat period
		f.mu.Lock()
		link.report = nil
		f.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(f.entry.cfg.Settings.Timing.Heartbeat.Std()):
		}
	}
}

// silentPeriods is the number of heartbeat periods without an answer after
// which an agent gets no new work.
const silentPeriods = 3

func (f *fleet) watch(ctx context.Context, link *agentLink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := f.entry.dialer.Agent(ctx, awrpc.Target{Address: link.info.Address, Instance: link.info.ID})
	stream, err := client.Watch(ctx)
	if err != nil {
		return err
	}
	period := f.entry.cfg.Settings.Timing.Heartbeat.Std()
	silence := time.AfterFunc(silentPeriods*period, cancel)
	defer silence.Stop()
	errs := make(chan error, 1)
	go func() { errs <- f.receive(stream, link, silence, silentPeriods*period) }()
	var counter uint64
	for {
		up, changed := f.heartbeat(link)
		counter++
		up.Counter = counter
		if err := stream.Send(up); err != nil {
			return err
		}
		select {
		case err := <-errs:
			return err
		case <-changed:
		case <-time.After(period):
		}
	}
}

func (f *fleet) heartbeat(link *agentLink) (*awproto.WatchUp, <-chan struct{}) {
	changed := f.entry.holder.Changed()
	s := f.entry.holder.State()
	up := &awproto.WatchUp{Revision: s.Revision, SourceFresh: f.entry.sync.fresh()}
	f.mu.Lock()
	behind := link.report == nil || link.report.ViewRevision < s.Revision
	f.mu.Unlock()
	if behind {
		if view, err := f.view(s, link).Encode(); err == nil {
			up.View = view
		}
	}
	return up, changed
}

func (f *fleet) receive(stream awproto.DRPCAgent_WatchClient, link *agentLink, silence *time.Timer, limit time.Duration) error {
	for {
		down, err := stream.Recv()
		if err != nil {
			return err
		}
		silence.Reset(limit)
		f.entry.sync.meet(down.GetReport().GetViewRevision(), nil)
		f.mu.Lock()
		link.report = down.Report
		link.lastSeen = f.entry.cfg.Clock.Now()
		f.mu.Unlock()
	}
}

// candidates returns the agents that may take a request for the model now.
// An empty digest accepts every version.
func (f *fleet) candidates(model, digest string) []awroute.Candidate {
	s := f.entry.holder.State()
	f.mu.Lock()
	defer f.mu.Unlock()
	var cands []awroute.Candidate
	for id, link := range f.agents {
		r := link.report
		if r == nil || link.info.Leaving || s.InstanceOut(id, link.info.Domain) {
			continue
		}
		if r.State != awproto.AgentState_READY && r.State != awproto.AgentState_COLD {
			continue
		}
		for _, m := range r.Models {
			if m.Model == model && (digest == "" || m.VersionDigest == digest) {
				cands = append(cands, f.candidate(id, link))
			}
		}
	}
	return cands
}

func (f *fleet) candidate(id string, link *agentLink) awroute.Candidate {
	c := awroute.Candidate{
		Instance: id, Domain: link.info.Domain, Distance: awroute.Far, Limit: int(link.report.Limit),
		InFlight: max(int(link.report.InFlight), link.sent), WaitMs: link.report.WaitMs,
	}
	switch {
	case link.info.Domain == f.entry.identity.Domain:
		c.Distance = awroute.SameDomain
	case link.info.Region == f.entry.identity.Region:
		c.Distance = awroute.SameRegion
	}
	return c
}

// target is an agent picked for one attempt.
type target struct {
	awrpc.Target
	done func() // returns the slot that this entry counted
}

func (f *fleet) pick(model, digest string, exclude map[string]bool, rng *rand.Rand) (target, bool) {
	cands := f.candidates(model, digest)
	kept := cands[:0]
	for _, c := range cands {
		if !exclude[c.Instance] {
			kept = append(kept, c)
		}
	}
	c, ok := awroute.Pick(kept, rng)
	if !ok {
		return target{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	link := f.agents[c.Instance]
	if link == nil || link.report == nil {
		return target{}, false
	}
	link.sent++
	done := func() {
		f.mu.Lock()
		link.sent--
		f.mu.Unlock()
	}
	return target{
		Target: awrpc.Target{Address: link.info.Address, Instance: c.Instance, Incarnation: link.report.Incarnation},
		done:   done,
	}, true
}

// observed returns the model engine instances as the reconciler needs them.
func (f *fleet) observed() []awplace.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []awplace.Instance
	for id, link := range f.agents {
		if link.info.Service != "" {
			continue
		}
		in := awplace.Instance{ID: id, Domain: link.info.Domain, Leaving: link.info.Leaving, LastSeen: link.lastSeen}
		if link.report != nil && len(link.report.Models) > 0 {
			in.Digest = link.report.Models[0].VersionDigest
		}
		addTransfer(&in, link.report)
		list = append(list, in)
	}
	return list
}
