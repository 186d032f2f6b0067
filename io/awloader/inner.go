package awloader

import (
	"context"

	"storj.io/drpc/drpcmux"

	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
)

// innerServer serves chunks to other loaders.
type innerServer struct {
	awproto.DRPCAgentUnimplementedServer
	loader *Loader
}

func newMux(s *innerServer) (*drpcmux.Mux, error) {
	mux := drpcmux.New()
	return mux, awproto.DRPCRegisterAgent(mux, s)
}

// Hello checks the protocol version and returns the identity of the loader.
func (s *innerServer) Hello(_ context.Context, req *awproto.HelloRequest) (*awproto.HelloReply, error) {
	if req.ProtocolVersion != awrpc.ProtocolVersion {
		return nil, &awrpc.VersionError{Have: awrpc.ProtocolVersion, Got: req.ProtocolVersion}
	}
	return &awproto.HelloReply{ProtocolVersion: awrpc.ProtocolVersion, Sender: s.loader.cfg.Identity}, nil
}

// ChunkMap returns which chunks of a version this loader holds. A request for a
// manifest has the manifest's key in place of the digest.
func (s *innerServer) ChunkMap(_ context.Context, req *awproto.ChunkMapRequest) (*awproto.ChunkMapReply, error) {
	if req.WantManifest {
		return &awproto.ChunkMapReply{Manifest: s.loader.offeredManifest(req.VersionDigest)}, nil
	}
	return &awproto.ChunkMapReply{Held: s.loader.store.Held(req.VersionDigest), FreeSlots: s.loader.uploads.FreeSlots()}, nil
}

// FetchChunk sends one verified chunk.
func (s *innerServer) FetchChunk(ctx context.Context, req *awproto.FetchChunkRequest) (*awproto.FetchChunkReply, error) {
	return s.loader.uploads.FetchChunk(ctx, req)
}
