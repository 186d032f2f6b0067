package awagent

import (
	"context"
	"sync"
	"time"

	"arbutuswind/core/awconfig"
	"arbutuswind/io/awstore"
)

// watchedListMaxAge is the maximum age of the cached instance list while an
// entry watches this agent. The list is then only needed to announce the agent
// to other entries. At the design size each change of the list costs more than
// 1 MB of traffic for every reader.
const watchedListMaxAge = time.Minute

// addressBook caches the instance list that this instance read. Its addresses
// take precedence over those in the view: where regions are connected through
// gateways, the list of a region has other addresses than the list of the
// region whose entry built the view.
type addressBook struct {
	mu     sync.Mutex
	list   []awstore.Instance
	byID   map[string]string
	readAt time.Time
}

// lookup returns the address of a peer from the instance list, or the address
// in the view if the list has none.
func (b *addressBook) lookup(p awconfig.Peer) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if addr := b.byID[p.Instance]; addr != "" {
		return addr
	}
	return p.Address
}

// instances returns the instance list and reads it again if the cached copy is
// older than maxAge. If reading fails, it returns the cached copy.
func (a *Agent) instances(ctx context.Context, maxAge time.Duration) []awstore.Instance {
	b := &a.addresses
	now := a.cfg.Clock.Now()
	b.mu.Lock()
	list, fresh := b.list, b.byID != nil && now.Sub(b.readAt) < maxAge
	b.mu.Unlock()
	if fresh {
		return list
	}
	list, err := a.store.Instances(ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		return b.list
	}
	b.list, b.readAt = list, now
	b.byID = make(map[string]string, len(list))
	for _, in := range list {
		b.byID[in.ID] = in.Address
	}
	return list
}
