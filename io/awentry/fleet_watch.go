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
		_ = f.watch(ctx, link) // the next try follows after a heartbeat period
		if ctx.Err() == nil {
			f.suspect(link)
		}
		select {
		case <-ctx.Done():
		case <-time.After(f.entry.cfg.Settings.Timing.Heartbeat.Std()):
		}
	}
}

// errNoHeartbeat ends a Watch stream that has shown no life in both directions.
var errNoHeartbeat = eris.New("no heartbeat with an echo")

func (f *fleet) watch(ctx context.Context, link *agentLink) error {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	period := f.entry.cfg.Settings.Timing.Heartbeat.Std()
	f.mu.Lock()
	// A link that stalls before its stream is open is ended by judgeAll too.
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

// sendHeartbeats has its own goroutine, because a stalled link blocks a send.
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

// lostGrace is the time between the loss of a link and the end of the requests
// sent over it.
const lostGrace = 500 * time.Millisecond

// suspect takes an agent out of routing. Requests that run there and may be
// repeated move.
func (f *fleet) suspect(link *agentLink) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspectLocked(link)
}

func (f *fleet) suspectLocked(link *agentLink) {
	if link.report == nil {
		return
	}
	link.report = nil
	// A process that has ended breaks the connections of its requests itself,
	// and what it sent before may still be unread.
	time.AfterFunc(lostGrace, link.markLost)
	link.resetLost()
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
			f.entry.hasRoom(m.Model, int(r.Limit)-int(r.InFlight))
		}
	}
}

// recordReport takes a message of an agent. A report counts only once the link is
// proved in both directions.
func (f *fleet) recordReport(link *agentLink, down *awproto.WatchDown) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.entry.cfg.Clock.Now()
	r := down.GetReport()
	if !f.table.RecordReport(link.info.ID, r.GetIncarnation(), now) {
		return eris.Errorf("report of %s is of an old incarnation", link.info.ID)
	}
	link.liveness.Received(down.Counter, down.Echo, now)
	link.lastSeen = now
	if !link.liveness.Alive(now) {
		return nil
	}
	if link.report != nil && link.report.Incarnation != r.Incarnation {
		link.prefixes.Reset()
	}
	link.report, link.ownInFlightAtReport = r, link.ownInFlight
	link.prefixes.Add(r.PrefixHashes...)
	return nil
}
