package awentry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"arbutuswind/core/awmember"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
)

// watchLoop keeps a Watch stream to one agent open until ctx ends.
func (f *fleet) watchLoop(ctx context.Context, link *agentLink) {
	for ctx.Err() == nil {
		_ = f.watch(ctx, link) // retried after a heartbeat period
		if ctx.Err() == nil {
			f.suspect(link)
		}
		select {
		case <-ctx.Done():
		case <-time.After(f.entry.cfg.Settings.Timing.Heartbeat.Std()):
		}
	}
}

// errNoHeartbeat ends a Watch stream that is not alive in both directions.
var errNoHeartbeat = eris.New("no heartbeat echo received in time")

func (f *fleet) watch(ctx context.Context, link *agentLink) error {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	period := f.entry.cfg.Settings.Timing.Heartbeat.Std()
	f.mu.Lock()
	// Set before the stream opens, so that checkLinks also ends a link that stalls while opening.
	link.liveness, link.endStream = awmember.NewLiveness(period, f.entry.cfg.Clock.Now()), end
	target := awrpc.Target{Address: link.info.Address, Instance: link.info.ID}
	f.mu.Unlock()
	defer f.streamClosed(link)
	stream, err := f.entry.dialer.Agent(ctx, target).Watch(ctx)
	if err != nil {
		return err
	}
	errs := make(chan error, 2)
	go func() { errs <- f.receive(stream, link) }()
	go func() { errs <- f.sendHeartbeats(ctx, stream, link) }()
	select {
	case err := <-errs:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (f *fleet) streamClosed(link *agentLink) {
	f.mu.Lock()
	defer f.mu.Unlock()
	link.endStream = nil
}

// sendHeartbeats runs in its own goroutine, because a stalled link blocks Send.
func (f *fleet) sendHeartbeats(
	ctx context.Context, stream awproto.DRPCAgent_WatchClient, link *agentLink,
) error {
	for {
		heartbeat := f.nextHeartbeat()
		up, changed := f.heartbeat(link)
		if err := stream.Send(up); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-heartbeat:
		}
	}
}

// lostGrace is the time between the suspicion of a link and the cancellation of the
// requests sent over it.
const lostGrace = 500 * time.Millisecond

// suspect takes an agent out of routing. Requests running on it that may be
// repeated move to another agent unless the link recovers within lostGrace.
func (f *fleet) suspect(link *agentLink) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspectLocked(link)
}

func (f *fleet) suspectLocked(link *agentLink) {
	if link.report == nil {
		return
	}
	link.report, link.suspected = nil, link.liveness
	// When a process exits, the connections of its requests fail without this,
	// and data that it sent earlier may still be unread.
	link.loss = time.AfterFunc(lostGrace, link.markLost)
}

func (f *fleet) heartbeat(link *agentLink) (*awproto.WatchUp, <-chan struct{}) {
	changed := f.entry.holder.Changed()
	s := f.entry.holder.State()
	up := &awproto.WatchUp{
		Revision: s.Revision, SourceFresh: f.entry.sync.sourceFresh(), SharedOutage: f.entry.sync.sharedOutage(),
		PeriodMs: uint32(f.entry.cfg.Settings.Timing.Heartbeat.Std().Milliseconds()),
	}
	f.mu.Lock()
	up.Counter, up.Echo = link.liveness.Next()
	behind := link.report == nil || link.report.ViewRevision < s.Revision
	f.mu.Unlock()
	if behind {
		if view, err := f.agentView(s, link).Encode(); err == nil {
			up.View = view
		}
	}
	return up, changed
}

func (f *fleet) receive(stream awproto.DRPCAgent_WatchClient, link *agentLink) error {
	for {
		down, err := stream.Recv()
		if err != nil {
			return err
		}
		f.entry.sync.observeRevision(down.GetReport().GetViewRevision(), nil)
		if err := f.recordReport(link, down); err != nil {
			return err
		}
		r := down.GetReport()
		for _, m := range r.GetModels() {
			f.entry.wakeWaiters(m.Model, int(r.Limit)-int(r.InFlight))
		}
	}
}

// recordReport handles a message from an agent. Its report is used only once
// heartbeats have passed in both directions.
func (f *fleet) recordReport(link *agentLink, down *awproto.WatchDown) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.entry.cfg.Clock.Now()
	r := down.GetReport()
	if !f.table.RecordReport(link.info.ID, r.GetIncarnation(), now) {
		return eris.Errorf("report of %s comes from an old incarnation", link.info.ID)
	}
	link.liveness.Received(down.Counter, down.Echo, now)
	link.lastSeen = now
	if !link.liveness.Alive(now) {
		return nil
	}
	if link.report == nil {
		link.recover()
	} else if link.report.Incarnation != r.Incarnation {
		link.prefixes.Reset()
	}
	link.report, link.ownInFlightAtReport = r, link.ownInFlight
	link.prefixes.Add(r.PrefixHashes...)
	return nil
}
