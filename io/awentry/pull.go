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
		hint, ok := c.nextHint(ctx)
		if !ok || c.hasRevision(hint) {
			continue
		}
		if hint.from != nil {
			_ = c.pull(ctx, awrpc.Target{Address: hint.from.Address, Instance: hint.from.Instance}, 0)
		} else {
			c.pullFromPeers(ctx, 1)
		}
		if c.hasRevision(hint) {
			continue // a read of the store is saved
		}
		select {
		case poll <- struct{}{}:
		default:
		}
	}
}

// hasRevision reports whether the revision of a meeting is held by now.
func (c *configSync) hasRevision(hint revisionHint) bool {
	return hint.revision > 0 && c.entry.holder.State().Revision >= hint.revision
}

// nextHint returns the nextHint meeting to act on. An agent that one entry has told
// of a revision is seen by many entries at once; they wait for the offer of
// a peer, so that they do not all read the store together.
func (c *configSync) nextHint(ctx context.Context) (revisionHint, bool) {
	var hint revisionHint
	select {
	case <-ctx.Done():
		return hint, false
	case hint = <-c.hints:
	}
	if hint.from != nil || hint.revision == 0 {
		return hint, true
	}
	limit := time.NewTimer(c.entry.jitter(notifyInterval))
	defer limit.Stop()
	for !c.hasRevision(hint) {
		select {
		case <-ctx.Done():
			return hint, false
		case <-limit.C:
			return hint, true
		case newer := <-c.hints:
			hint.revision = max(hint.revision, newer.revision)
			if newer.from != nil {
				hint.from = newer.from
				return hint, true
			}
		}
	}
	return hint, false
}

// pullFromPeers pulls from n random peers at once. Peers in other regions come first
// while there is no fresh source, since they tell whether this region is cut
// off or the store is down for all.
func (c *configSync) pullFromPeers(ctx context.Context, n int) {
	targets := c.choosePeers(n)
	var wg sync.WaitGroup
	for _, t := range targets {
		wg.Go(func() { _ = c.pull(ctx, t, 0) }) // an error shows in the age of the source
	}
	wg.Wait()
}

func (c *configSync) choosePeers(n int) []awrpc.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sameRegion, otherRegion []awrpc.Target
	for id, p := range c.peers { // the order of a map is random enough here
		t := awrpc.Target{Address: p.info.Address, Instance: id}
		if p.info.Region == c.entry.identity.Region {
			sameRegion = append(sameRegion, t)
		} else {
			otherRegion = append(otherRegion, t)
		}
	}
	sameRegion = sameRegion[:min(len(sameRegion), 1)]
	list := append(otherRegion[:min(len(otherRegion), max(1, n-len(sameRegion)))], sameRegion...)
	return list[:min(n, len(list))]
}

// pull asks an entry for what is newer than the configuration held.
func (c *configSync) pull(ctx context.Context, t awrpc.Target, progressOf uint64) error {
	e := c.entry
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	have := e.holder.State()
	requestedAt := e.cfg.Clock.Now()
	reply, err := e.dialer.Entry(ctx, t).PullConfig(ctx, &awproto.PullConfigRequest{
		HaveRevision: have.Revision, Sender: e.identity, ProgressOf: progressOf,
	})
	if err != nil {
		return err
	}
	if reply.Synced {
		if err := applyReply(e.holder, have, reply); err != nil {
			_ = e.cfg.Logger.Log("Message", "configuration of a peer refused", "Peer", t.Instance, "Error", err.Error())
			return err
		}
	}
	c.recordReply(t.Instance, reply, requestedAt, progressOf)
	return nil
}

var pulledSnapshots = metrics.NewCounter("arbutuswind_config_peer_snapshots_total")

// applyReply applies the answer of a peer; its digest must match.
func applyReply(holder *awconfig.Holder, have *awconfig.State, reply *awproto.PullConfigReply) error {
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

// recordReply notes the answer of a peer.
func (c *configSync) recordReply(instance string, reply *awproto.PullConfigReply, requestedAt time.Time, progressOf uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[instance]; p != nil {
		p.revision = max(p.revision, reply.Revision)
		p.repliedAt = requestedAt
		if progressOf > 0 && progressOf == c.progressOf {
			p.progress = reply
		}
	}
	if !reply.Synced {
		return
	}
	c.synced = true
	if at := requestedAt.Add(-time.Duration(reply.SourceAgeMs) * time.Millisecond); reply.EverRead && at.After(c.sourceAt) {
		c.sourceAt, c.everRead = at, true
	}
}
