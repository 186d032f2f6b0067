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

// Hello returns the identity, protocol version and configuration revision of the
// entry. The caller compares identity and version.
func (s *innerServer) Hello(_ context.Context, req *awproto.HelloRequest) (*awproto.HelloReply, error) {
	if req.ProtocolVersion != awrpc.ProtocolVersion {
		return nil, &awrpc.VersionError{Have: awrpc.ProtocolVersion, Got: req.ProtocolVersion}
	}
	s.entry.sync.observeRevision(req.Revision, req.Sender)
	return &awproto.HelloReply{
		ProtocolVersion: awrpc.ProtocolVersion, Sender: s.entry.identity, Revision: s.entry.holder.State().Revision,
	}, nil
}

// Announce registers an agent before the instance list shows it.
func (s *innerServer) Announce(_ context.Context, req *awproto.AnnounceRequest) (*awproto.AnnounceReply, error) {
	id := req.GetSender()
	if id.GetInstance() == "" || id.GetAddress() == "" {
		return nil, eris.New("announcement without instance or address")
	}
	s.entry.sync.observeRevision(req.GetReport().GetViewRevision(), id)
	if !s.entry.fleet.applyAnnouncement(req) {
		return nil, eris.Errorf("announcement of %s comes from an old incarnation", id.Instance)
	}
	return &awproto.AnnounceReply{Revision: s.entry.holder.State().Revision}, nil
}
