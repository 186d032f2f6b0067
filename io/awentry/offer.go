package awentry

import (
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutuswind/core/awconfig"
	"arbutuswind/io/awcontrol"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
)

// maxDeltaBytes limits the size of the changes in one reply. Beyond it the reply
// carries a snapshot, which must fit into one message in any case.
const maxDeltaBytes = 1 << 20

// notifyLoop notifies other entries of every new revision until ctx ends.
func (c *configSync) notifyLoop(ctx context.Context) {
	for {
		changed := c.entry.holder.Changed()
		revision := c.entry.holder.State().Revision
		for round := range notifyRounds {
			if revision > 0 {
				c.notifyPeers(ctx, revision, round)
			}
			if !c.waitForNextRound(ctx, changed, round) {
				break
			}
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// waitForNextRound waits before the next round, or for the next revision after the
// last round. It reports whether another round of the same revision is due.
func (c *configSync) waitForNextRound(ctx context.Context, changed <-chan struct{}, round int) bool {
	var next <-chan time.Time
	if round < notifyRounds-1 {
		timer := time.NewTimer(notifyInterval)
		defer timer.Stop()
		next = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-changed:
		return false
	case <-next:
		return true
	}
}

// notifyPeers notifies some of the entries that are not known to have the
// revision: a PullConfig call carries the caller's revision. The selection depends
// on sender, revision and round, so that two rounds reach nearly every entry: a
// single round of three misses one in twenty.
func (c *configSync) notifyPeers(ctx context.Context, revision uint64, round int) {
	var wg sync.WaitGroup
	for _, t := range c.notifyTargets(revision, round) {
		wg.Go(func() { _ = c.pull(ctx, t, 0) }) // retried with the next revision
	}
	wg.Wait()
}

func (c *configSync) notifyTargets(revision uint64, round int) []awrpc.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	type ranked struct {
		awrpc.Target
		rank uint64
	}
	var list []ranked
	for id, p := range c.peers {
		if p.revision >= revision {
			continue
		}
		key := binary.BigEndian.AppendUint64(nil, revision<<1|uint64(round))
		rank := xxhash.Sum64(append(key, c.entry.identity.Instance+"\x00"+id...))
		list = append(list, ranked{awrpc.Target{Address: p.info.Address, Instance: id}, rank})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	var targets []awrpc.Target
	for _, r := range list[:min(notifyFanout, len(list))] {
		targets = append(targets, r.Target)
	}
	return targets
}

// PullConfig returns what is newer than the caller's revision: the changes if they
// are still kept, otherwise a snapshot.
func (s *innerServer) PullConfig(_ context.Context, req *awproto.PullConfigRequest) (*awproto.PullConfigReply, error) {
	c := s.entry.sync
	c.observeRevision(req.HaveRevision, req.Sender)
	state, changes, ok := s.entry.holder.Since(req.HaveRevision)
	age, fresh := c.sourceAge()
	reply := &awproto.PullConfigReply{
		Revision: state.Revision, SourceFresh: fresh, EverRead: age >= 0, SourceAgeMs: uint32(max(0, age)), Synced: c.isSynced(),
	}
	if req.ProgressOf > 0 {
		reply.Watches, reply.WatchesInForce, reply.Behind = s.entry.fleet.progress(req.ProgressOf)
	}
	if req.HaveRevision >= state.Revision {
		return reply, nil
	}
	reply.Digest = c.stateDigest(state)
	if ok {
		if reply.Changes, ok = encodeChanges(changes); ok {
			return reply, nil
		}
	}
	var err error
	reply.Snapshot, err = state.Encode()
	return reply, err
}

func encodeChanges(changes []awconfig.Change) ([][]byte, bool) {
	var rows [][]byte
	size := 0
	for _, ch := range changes {
		row, err := json.Marshal(ch)
		if err != nil {
			return nil, false
		}
		if size += len(row); size > maxDeltaBytes {
			return nil, false
		}
		rows = append(rows, row)
	}
	return rows, true
}

func (c *configSync) isSynced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.synced
}

// maxBehindNames limits the process names in one progress report.
const maxBehindNames = 8

// progress returns the number of watched agents, the number of those that have
// reached the revision, and the names of up to maxBehindNames others.
func (f *fleet) progress(revision uint64) (watches, inForce uint32, behind []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, link := range f.agents {
		watches++
		if link.report.GetViewRevision() >= revision {
			inForce++
		} else {
			behind = append(behind, id)
		}
	}
	slices.Sort(behind)
	return watches, inForce, behind[:min(maxBehindNames, len(behind))]
}

// maxConcurrentPulls limits the concurrent pulls.
const maxConcurrentPulls = 16

// pullFrom pulls from many entries with limited concurrency. It ignores those that
// do not answer.
func (c *configSync) pullFrom(ctx context.Context, targets []awrpc.Target, progressOf uint64) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentPulls)
	for _, t := range targets {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			_ = c.pull(ctx, t, progressOf)
		})
	}
	wg.Wait()
}

// pullNewest pulls the newest configuration that any entry holds.
func (c *configSync) pullNewest(ctx context.Context) { c.pullFrom(ctx, c.pendingPeers(0), 0) }

// progress queries the peers that are not known to have finished and returns the
// progress of the revision across all entries and their watched agents.
func (c *configSync) progress(ctx context.Context, revision uint64) awcontrol.Progress {
	c.pullFrom(ctx, c.pendingPeers(revision), revision)
	p := awcontrol.Progress{Revision: revision, Entries: 1}
	watches, inForce, behind := c.entry.fleet.progress(revision)
	p.Watches, p.WatchesInForce, p.Behind = int(watches), int(inForce), behind
	if c.entry.holder.State().Revision >= revision {
		p.EntriesInForce++
	} else {
		p.Behind = append(p.Behind, c.entry.identity.Instance)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, other := range c.peers {
		p.Entries++
		p.Watches += int(other.progress.GetWatches())
		p.WatchesInForce += int(other.progress.GetWatchesInForce())
		p.Behind = append(p.Behind, other.progress.GetBehind()...)
		if other.progress != nil && other.revision >= revision {
			p.EntriesInForce++
		} else {
			p.Behind = append(p.Behind, id)
		}
	}
	slices.SortFunc(p.Behind, strings.Compare)
	p.Behind = slices.Compact(p.Behind)
	p.Behind = p.Behind[:min(maxBehindNames, len(p.Behind))]
	p.Everywhere = p.EntriesInForce == p.Entries && p.WatchesInForce == p.Watches
	return p
}

func (c *configSync) pendingPeers(revision uint64) []awrpc.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []awrpc.Target
	for id, p := range c.peers {
		if c.progressOf != revision {
			p.progress = nil
		}
		if p.progress == nil || p.revision < revision || p.progress.Watches > p.progress.WatchesInForce {
			list = append(list, awrpc.Target{Address: p.info.Address, Instance: id})
		}
	}
	c.progressOf = revision
	return list
}
