package awagent

import (
	"context"
	"time"

	"arbutuswind/core/awweights"
	"arbutuswind/io/awproto"
)

// maxPiggybackBytes bounds the chunk map sent along with a chunk. Larger maps
// are only sent when asked for.
const maxPiggybackBytes = 512

// ChunkMap tells which chunks of a version are held here.
func (s *innerServer) ChunkMap(_ context.Context, req *awproto.ChunkMapRequest) (*awproto.ChunkMapReply, error) {
	w := s.agent.weights
	reply := &awproto.ChunkMapReply{Held: w.held(req.VersionDigest), FreeSlots: w.freeSlots()}
	if req.WantManifest {
		_, reply.Manifest, _ = w.manifest(req.VersionDigest)
	}
	return reply, nil
}

// FetchChunk sends one checked chunk at the rate of the instance's link.
func (s *innerServer) FetchChunk(ctx context.Context, req *awproto.FetchChunkRequest) (*awproto.FetchChunkReply, error) {
	w := s.agent.weights
	data, held := w.chunk(req.VersionDigest, int(req.Index))
	reply := &awproto.FetchChunkReply{Missing: data == nil}
	if len(held) <= maxPiggybackBytes {
		reply.Held = held
	}
	if reply.Missing {
		return reply, nil
	}
	sameRegion := req.GetSender().GetRegion() == s.agent.identity.Region
	wait, ok := w.acquireUpload(sameRegion, len(data), s.agent.linkShare())
	if !ok {
		reply.Busy = true
		return reply, nil
	}
	defer w.releaseUpload(sameRegion)
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	reply.Data = data
	return reply, nil
}

// linkShare returns the share of the links that weights may use beside the
// requests running now.
func (a *Agent) linkShare() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return awweights.YieldShare(a.gate.InFlight(), a.gate.Limit())
}
