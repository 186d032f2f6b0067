package awentry

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
	"arbutuswind/io/awstore"
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

// claims keeps non-repeatable calls from running twice.
type claims struct{ store *awstore.Client }

func claimKey(team, key string) string { return "claim/" + team + "/" + key }

func (c *claims) get(ctx context.Context, team, key string, into any) (uint64, error) {
	row, err := c.store.Get(ctx, claimKey(team, key), 0)
	if err != nil {
		return 0, err
	}
	return row.Version, eris.Wrap(json.Unmarshal(row.Value, into), "decode claim")
}

func (c *claims) put(ctx context.Context, team, key string, version uint64, claim any) error {
	data, err := json.Marshal(claim)
	if err != nil {
		return eris.Wrap(err, "encode claim")
	}
	k := claimKey(team, key)
	return c.store.Commit(ctx, awstore.Txn{
		Conditions: []awstore.Condition{{Key: k, Version: version}},
		Puts:       []awstore.Put{{Key: k, Value: data}},
	})
}
