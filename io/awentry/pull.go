package awentry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"arbutuswind/core/awconfig"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
)

// pullLoop pulls from whoever was met with a newer revision.
func (c *configSync) pullLoop(ctx context.Context, poll chan<- struct{}) {
	for ctx.Err() == nil {
		met, ok := c.next(ctx)
		if !ok || c.reached(met) {
			continue
		}
		if met.from != nil {
			_ = c.pull(ctx, awrpc.Target{Address: met.from.Address, Instance: met.from.Instance}, 0)
		} else {
			c.ask(ctx, 1)
		}
		if c.reached(met) {
			continue // a read of the store is saved
		}
		select {
		case poll <- struct{}{}:
		default:
		}
	}
}

// reached reports whether the revision of a meeting is held by now.
func (c *configSync) reached(met meeting) bool {
	return met.revision > 0 && c.entry.holder.State().Revision >= met.revision
}

// next returns the next meeting to act on. An agent that one entry has told
// of a revision is seen by many entries at once; they wait for the offer of
// a peer, so that they do not all read the store together.
func (c *configSync) next(ctx context.Context) (meeting, bool) {
	var met meeting
	select {
	case <-ctx.Done():
		return met, false
	case met = <-c.wake:
	}
	if met.from != nil || met.revision == 0 {
		return met, true
	}
	limit := time.NewTimer(c.entry.jitter(offerTime))
	defer limit.Stop()
	for !c.reached(met) {
		select {
		case <-ctx.Done():
			return met, false
		case <-limit.C:
			return met, true
		case offer := <-c.wake:
			met.revision = max(met.revision, offer.revision)
			if offer.from != nil {
				met.from = offer.from
				return met, true
			}
		}
	}
	return met, false
}

// ask pulls from n random peers at once. Peers in other regions come first
// while there is no fresh source, since they tell whether this region is cut
// off or the store is down for all.
func (c *configSync) ask(ctx context.Context, n int) {
	targets := c.choose(n)
	var wg sync.WaitGroup
	for _, t := range targets {
		wg.Go(func() { _ = c.pull(ctx, t, 0) }) // an error shows in the age of the source
	}
	wg.Wait()
}

func (c *configSync) choose(n int) []awrpc.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	var near, far []awrpc.Target
	for id, p := range c.peers { // the order of a map is random enough here
		t := awrpc.Target{Address: p.info.Address, Instance: id}
		if p.info.Region == c.entry.identity.Region {
			near = append(near, t)
		} else {
			far = append(far, t)
		}
	}
	near = near[:min(len(near), 1)]
	list := append(far[:min(len(far), max(1, n-len(near)))], near...)
	return list[:min(n, len(list))]
}

// pull asks an entry for what is newer than the configuration held.
func (c *configSync) pull(ctx context.Context, t awrpc.Target, progressOf uint64) error {
	e := c.entry
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	have := e.holder.State()
	asked := e.cfg.Clock.Now()
	reply, err := e.dialer.Entry(ctx, t).PullConfig(ctx, &awproto.PullConfigRequest{
		HaveRevision: have.Revision, Sender: e.identity, ProgressOf: progressOf,
	})
	if err != nil {
		return err
	}
	if reply.Synced {
		if err := takeOver(e.holder, have, reply); err != nil {
			_ = e.cfg.Logger.Log("Message", "configuration of a peer refused", "Peer", t.Instance, "Error", err.Error())
			return err
		}
	}
	c.heard(t.Instance, reply, asked, progressOf)
	return nil
}

var pulledSnapshots = metrics.NewCounter("arbutuswind_config_peer_snapshots_total")

// takeOver applies the answer of a peer; its digest must match.
func takeOver(holder *awconfig.Holder, have *awconfig.State, reply *awproto.PullConfigReply) error {
	if reply.Revision <= have.Revision {
		return nil
	}
	if len(reply.Snapshot) == 0 {
		changes := make([]awconfig.Change, 0, len(reply.Changes))
		for _, row := range reply.Changes {
			ch, err := awconfig.DecodeChange(row)
			if err != nil {
				return err
			}
			changes = append(changes, ch)
		}
		return holder.Extend(have, changes, reply.Digest)
	}
	pulledSnapshots.Inc()
	s, err := awconfig.DecodeState(reply.Snapshot)
	if err != nil {
		return err
	}
	if got := s.Digest(); got != reply.Digest || s.Revision != reply.Revision {
		return &awconfig.DigestError{Revision: reply.Revision, Want: reply.Digest, Got: got}
	}
	var old *awconfig.RevertError
	if err := holder.Replace(s); err != nil && !errors.As(err, &old) {
		return err
	}
	return nil // a faster source is as good
}

// heard notes the answer of a peer.
func (c *configSync) heard(instance string, reply *awproto.PullConfigReply, asked time.Time, progressOf uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[instance]; p != nil {
		p.revision = max(p.revision, reply.Revision)
		p.heardAt = asked
		if progressOf > 0 && progressOf == c.progressOf {
			p.progress = reply
		}
	}
	if !reply.Synced {
		return
	}
	c.synced = true
	if at := asked.Add(-time.Duration(reply.SourceAgeMs) * time.Millisecond); reply.EverRead && at.After(c.sourceAt) {
		c.sourceAt, c.everRead = at, true
	}
}
