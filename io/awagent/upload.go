package awagent

import (
	"context"

	"arbutuswind/core/awweights"
	"arbutuswind/io/awproto"
)

// ChunkMap returns which chunks of a version this agent holds, and the manifest
// if requested.
func (s *innerServer) ChunkMap(_ context.Context, req *awproto.ChunkMapRequest) (*awproto.ChunkMapReply, error) {
	w := s.agent.weights
	reply := &awproto.ChunkMapReply{Held: w.Held(req.VersionDigest), FreeSlots: s.agent.uploads.FreeSlots()}
	if req.WantManifest {
		_, reply.Manifest, _ = w.Manifest(req.VersionDigest)
	}
	return reply, nil
}

// FetchChunk sends one verified chunk, limited to the rate of the instance's
// link.
func (s *innerServer) FetchChunk(ctx context.Context, req *awproto.FetchChunkRequest) (*awproto.FetchChunkReply, error) {
	return s.agent.uploads.FetchChunk(ctx, req)
}

// linkShare returns the share of the link rate that weight transfers may use
// beside the requests running now.
func (a *Agent) linkShare() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return awweights.LinkShare(a.admission.InFlight(), a.admission.Limit())
}
