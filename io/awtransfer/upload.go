package awtransfer

import (
	"context"
	"sync"
	"time"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awweights"
	"arbutuswind/io/awproto"
)

// maxPiggybackBytes bounds the chunk map sent along with a chunk. Larger maps
// are only sent when asked for.
const maxPiggybackBytes = 512

// Holder holds checked chunks.
type Holder interface {
	// Chunk returns a chunk, or nil, and the map of those held.
	Chunk(digest string, index int) ([]byte, awweights.Bitmap)
}

// UploadConfig configures [Uploads].
type UploadConfig struct {
	Clock  awclock.Clock
	Holder Holder
	Region string
	Slots  int     // chunks sent to other processes of the region at once
	Rate   float64 // bytes a second; 0 means unlimited
	// LinkShare returns the share of the rate that weights may use, 0 to 1.
	LinkShare func() float64
}

// Uploads sends chunks to peers within bounds. It is safe for concurrent use.
type Uploads struct {
	cfg UploadConfig

	mu    sync.Mutex
	slots *awweights.Slots
	link  *awweights.Bucket
}

// NewUploads returns uploads of which none runs.
func NewUploads(cfg UploadConfig) *Uploads {
	return &Uploads{cfg: cfg, slots: awweights.NewSlots(cfg.Slots), link: awweights.NewBucket(cfg.Rate, 0, cfg.Clock.Now())}
}

// FreeSlots returns the slots that are free for peers of the own region.
func (u *Uploads) FreeSlots() uint32 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return uint32(max(0, u.slots.Free()))
}

// acquire takes a slot and returns the time to wait before n bytes may be
// sent; false means that no slot is free.
func (u *Uploads) acquire(sameRegion bool, n int) (time.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.slots.Acquire(sameRegion) {
		return 0, false
	}
	now := u.cfg.Clock.Now()
	u.link.SetShare(now, u.cfg.LinkShare())
	return u.link.Take(now, uint64(n)), true
}

func (u *Uploads) release(sameRegion bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slots.Release(sameRegion)
}

// FetchChunk sends one checked chunk at the rate of the instance's link.
func (u *Uploads) FetchChunk(ctx context.Context, req *awproto.FetchChunkRequest) (*awproto.FetchChunkReply, error) {
	data, held := u.cfg.Holder.Chunk(req.VersionDigest, int(req.Index))
	reply := &awproto.FetchChunkReply{Missing: data == nil}
	if len(held) <= maxPiggybackBytes {
		reply.Held = held
	}
	if reply.Missing {
		return reply, nil
	}
	sameRegion := req.GetSender().GetRegion() == u.cfg.Region
	wait, ok := u.acquire(sameRegion, len(data))
	if !ok {
		reply.Busy = true
		return reply, nil
	}
	defer u.release(sameRegion)
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	reply.Data = data
	return reply, nil
}
