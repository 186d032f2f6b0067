package awtransfer

import (
	"context"
	"sync"
	"time"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awweights"
	"arbutuswind/io/awproto"
)

// maxPiggybackBytes is the maximum size of a chunk map sent along with a chunk.
// Larger maps are sent only on request.
const maxPiggybackBytes = 512

// Holder holds verified chunks.
type Holder interface {
	// Chunk returns a chunk, or nil if it is not held, and the map of the chunks
	// held.
	Chunk(digest string, index int) ([]byte, awweights.Bitmap)
}

// UploadConfig configures [Uploads].
type UploadConfig struct {
	Clock  awclock.Clock
	Holder Holder
	Region string
	Slots  int     // parallel uploads to processes of the same region
	Rate   float64 // bytes per second; 0 means unlimited
	// LinkShare returns the fraction of Rate that weights may use, 0 to 1.
	LinkShare func() float64
}

// Uploads sends chunks to peers within limits on rate and parallel uploads. It
// is safe for concurrent use.
type Uploads struct {
	cfg UploadConfig

	mu    sync.Mutex
	slots *awweights.Slots
	link  *awweights.Bucket
}

// NewUploads returns an Uploads with all slots free.
func NewUploads(cfg UploadConfig) *Uploads {
	return &Uploads{cfg: cfg, slots: awweights.NewSlots(cfg.Slots), link: awweights.NewBucket(cfg.Rate, 0, cfg.Clock.Now())}
}

// FreeSlots returns the number of free slots for peers of the same region.
func (u *Uploads) FreeSlots() uint32 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return uint32(max(0, u.slots.Free()))
}

// acquire takes a slot and returns the time to wait before n bytes may be sent.
// It returns false if no slot is free.
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

// FetchChunk returns one verified chunk, delayed so that all uploads stay within
// the rate. The reply says busy if no slot is free.
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
