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

// pullLoop pulls from processes that reported a newer revision. If that does not
// yield the revision, it triggers a read of the store.
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
			continue // no read of the store needed
		}
		select {
		case poll <- struct{}{}:
		default:
		}
	}
}

// hasRevision reports whether the entry already holds the revision of a hint.
func (c *configSync) hasRevision(hint revisionHint) bool {
	return hint.revision > 0 && c.entry.holder.State().Revision >= hint.revision
}

// nextHint returns the next hint to act on. When an agent gets a revision from one
// entry, many other entries see it at once. They wait for a notification from a
// peer, so that they do not all read the store at the same time.
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

// pullFromPeers pulls from n random peers at once. It prefers peers in other
// regions, since they show whether this region is isolated or the store is down
// for all.
func (c *configSync) pullFromPeers(ctx context.Context, n int) {
	targets := c.choosePeers(n)
	var wg sync.WaitGroup
	for _, t := range targets {
		wg.Go(func() { _ = c.pull(ctx, t, 0) }) // a failure shows in the source age
	}
	wg.Wait()
}

func (c *configSync) choosePeers(n int) []awrpc.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sameRegion, otherRegion []awrpc.Target
	for id, p := range c.peers { // map iteration order is random enough here
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

// pull requests everything newer than the configuration held from one entry.
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
			_ = e.cfg.Logger.Log("Message", "configuration from a peer rejected", "Peer", t.Instance, "Error", err.Error())
			return err
		}
	}
	c.recordReply(t.Instance, reply, requestedAt, progressOf)
	return nil
}

var pulledSnapshots = metrics.NewCounter("arbutuswind_config_peer_snapshots_total")

// applyReply applies the reply of a peer after checking its digest.
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
	var revertErr *awconfig.RevertError
	if err := holder.Replace(s); err != nil && !errors.As(err, &revertErr) {
		return err
	}
	return nil // a RevertError means that another source already delivered this revision or a newer one
}

// recordReply records the reply of a peer.
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
