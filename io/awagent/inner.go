package awagent

import (
	"context"

	"github.com/rotisserie/eris"

	"arbutuswind/core/awconfig"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
)

// innerServer implements the Agent service of the internal protocol.
type innerServer struct {
	awproto.DRPCAgentUnimplementedServer
	agent *Agent
}

// Hello returns the identity and protocol version of this agent for the caller
// to check. It returns a [awrpc.VersionError] if the protocol versions differ.
func (s *innerServer) Hello(_ context.Context, req *awproto.HelloRequest) (*awproto.HelloReply, error) {
	if req.ProtocolVersion != awrpc.ProtocolVersion {
		return nil, &awrpc.VersionError{Have: awrpc.ProtocolVersion, Got: req.ProtocolVersion}
	}
	return &awproto.HelloReply{
		ProtocolVersion: awrpc.ProtocolVersion, Sender: s.agent.identity, Revision: s.agent.revision(),
	}, nil
}

// Watch receives views and heartbeats from one entry and sends it reports.
func (s *innerServer) Watch(stream awproto.DRPCAgent_WatchStream) error {
	s.agent.watchers.Add(1)
	defer s.agent.watchers.Add(-1)
	ups := make(chan *awproto.WatchUp, 1)
	errs := make(chan error, 1)
	go func() {
		for {
			up, err := stream.Recv()
			if err != nil {
				errs <- err
				return
			}
			select {
			case ups <- up:
			case <-stream.Context().Done():
				return
			}
		}
	}()
	var counter, echo uint64
	for {
		report, changed := s.agent.report()
		counter++
		if err := stream.Send(&awproto.WatchDown{Counter: counter, Echo: echo, Report: report}); err != nil {
			return err
		}
		select {
		case up := <-ups:
			echo = up.Counter
			if err := s.handleWatchMessage(up); err != nil {
				return err
			}
		case <-changed:
		case err := <-errs:
			return err
		}
	}
}

func (s *innerServer) handleWatchMessage(up *awproto.WatchUp) error {
	s.agent.recordHeartbeat(up.SourceFresh || up.SharedOutage)
	if len(up.View) == 0 {
		return nil
	}
	v, err := awconfig.DecodeView(up.View)
	if err != nil {
		return err
	}
	if v.Instance != s.agent.identity.Instance {
		return eris.Errorf("view is for instance %q", v.Instance)
	}
	s.agent.acceptView(v)
	return nil
}
