package awentry

import (
	"context"

	"github.com/rotisserie/eris"

	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
)

// innerServer implements the service Entry of the internal protocol.
type innerServer struct {
	awproto.DRPCEntryUnimplementedServer
	entry *Entry
}

// Hello introduces the entry; the caller compares identity and version.
func (s *innerServer) Hello(_ context.Context, req *awproto.HelloRequest) (*awproto.HelloReply, error) {
	if req.ProtocolVersion != awrpc.ProtocolVersion {
		return nil, &awrpc.VersionError{Have: awrpc.ProtocolVersion, Got: req.ProtocolVersion}
	}
	return &awproto.HelloReply{
		ProtocolVersion: awrpc.ProtocolVersion, Sender: s.entry.identity, Revision: s.entry.holder.State().Revision,
	}, nil
}

// Announce makes an agent known before the instance list shows it.
func (s *innerServer) Announce(_ context.Context, req *awproto.AnnounceRequest) (*awproto.AnnounceReply, error) {
	id := req.GetSender()
	if id.GetInstance() == "" || id.GetAddress() == "" {
		return nil, eris.New("announcement without instance or address")
	}
	if !s.entry.fleet.announce(req) {
		return nil, eris.Errorf("announcement of %s is of an old incarnation", id.Instance)
	}
	return &awproto.AnnounceReply{Revision: s.entry.holder.State().Revision}, nil
}

// PullConfig returns the whole configuration when the caller is behind.
func (s *innerServer) PullConfig(_ context.Context, req *awproto.PullConfigRequest) (*awproto.PullConfigReply, error) {
	state := s.entry.holder.State()
	reply := &awproto.PullConfigReply{Revision: state.Revision}
	if req.HaveRevision >= state.Revision {
		return reply, nil
	}
	data, err := state.Encode()
	if err != nil {
		return nil, err
	}
	reply.Snapshot = data
	return reply, nil
}
