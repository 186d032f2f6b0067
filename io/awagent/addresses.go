package awagent

import (
	"context"
	"sync"
	"time"

	"arbutuswind/core/awconfig"
	"arbutuswind/io/awstore"
)

// watchedListMaxAge is the greatest age of the instance list that an agent uses
// while entries watch it: it then needs the list only to announce itself to
// entries that do not. At the design size each change makes the list over a
// megabyte of traffic for each reader.
const watchedListMaxAge = time.Minute

// addressBook holds the instance list as this instance sees it. Where regions
// reach each other through gateways, the list of a region shows other
// addresses than the entry that built the view knows.
type addressBook struct {
	mu     sync.Mutex
	list   []awstore.Instance
	byID   map[string]string
	readAt time.Time
}

func (b *addressBook) lookup(p awconfig.Peer) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if addr := b.byID[p.Instance]; addr != "" {
		return addr
	}
	return p.Address
}

// instances returns the instance list, read again when it is older than
// maxAge. Without the platform it returns what was read last.
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
