package awagent

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"arbutuswind/core/awconfig"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
)

// innerServer implements the service Agent of the internal protocol.
type innerServer struct {
	awproto.DRPCAgentUnimplementedServer
	agent *Agent
}

// Hello introduces the agent; the caller compares identity and version.
func (s *innerServer) Hello(_ context.Context, req *awproto.HelloRequest) (*awproto.HelloReply, error) {
	if req.ProtocolVersion != awrpc.ProtocolVersion {
		return nil, &awrpc.VersionError{Have: awrpc.ProtocolVersion, Got: req.ProtocolVersion}
	}
	return &awproto.HelloReply{
		ProtocolVersion: awrpc.ProtocolVersion, Sender: s.agent.identity, Revision: s.agent.revision(),
	}, nil
}

// Watch exchanges views and reports with one entry.
func (s *innerServer) Watch(stream awproto.DRPCAgent_WatchStream) error {
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
			if err := s.takeView(up); err != nil {
				return err
			}
		case <-changed:
		case err := <-errs:
			return err
		}
	}
}

func (s *innerServer) takeView(up *awproto.WatchUp) error {
	s.agent.contact(up.SourceFresh)
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

// announceLoop makes the agent known to entries before the instance list
// shows it.
func (a *Agent) announceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		a.announce(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(a.cfg.Settings.Timing.Announce.Std()):
		}
	}
}

// announceTo bounds the entries that one agent announces itself to.
const announceTo = 3

func (a *Agent) announce(ctx context.Context) {
	list, err := a.store.Instances(ctx)
	if err != nil {
		return
	}
	report, _ := a.report()
	sent := 0
	for _, in := range list {
		if in.Role != "entry" || in.Leaving || sent == announceTo {
			continue
		}
		client := a.dialer.Entry(ctx, awrpc.Target{Address: in.Address, Instance: in.ID})
		if _, err := client.Announce(ctx, &awproto.AnnounceRequest{Sender: a.identity, Report: report}); err == nil {
			sent++
		}
	}
}
