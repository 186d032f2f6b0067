package awcontrol_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awconfig"
	"arbutuswind/io/awcontrol"
)

// Guards against a summary that counts a replica twice, omits a failed instance
// or includes the figures of an earlier transfer.
func TestSummarizeRollout(t *testing.T) {
	s := awconfig.NewState()
	s.Models["rota"] = awconfig.Model{Name: "rota", Version: "v2", Digest: "d2", Replicas: 5}
	agents := []awcontrol.AgentStatus{
		{Instance: "a", Domain: "m", State: "READY", VersionDigest: "d2", TransferDigest: "d2", Chunks: 4, ChunksHeld: 4, OriginBytes: 10},
		{Instance: "b", Domain: "m", State: "COLD", VersionDigest: "d2", TransferDigest: "d2", Chunks: 4, ChunksHeld: 4, PeerBytes: 20},
		{Instance: "c", Domain: "m", State: "READY", VersionDigest: "d1", TransferDigest: "d2", Chunks: 4, ChunksHeld: 1, EtaMs: 700, Peers: 3, BadChunks: 2},
		{Instance: "d", Domain: "n", State: "LOADING", TransferDigest: "d2", Chunks: 4, ChunksHeld: 4, TransferError: "load failed"},
		{Instance: "e", Domain: "n", State: "SILENT"},
		{Instance: "f", Domain: "n", State: "READY", VersionDigest: "d1", TransferDigest: "d1", Chunks: 9, ChunksHeld: 9, OriginBytes: 99},
		{Instance: "other", Domain: "n", State: "READY", VersionDigest: "d2"},
	}
	for _, a := range agents[:6] {
		s.Placements[a.Instance] = awconfig.Placement{Model: "rota", Digest: "d2"}
	}
	r, ok := awcontrol.SummarizeRollout(s, agents, "rota")
	require.True(t, ok)
	require.Equal(t, 2, r.Serving)
	require.Equal(t, []awcontrol.DomainRollout{
		{
			Domain: "m", Placed: 3, Fetching: 1, Warming: 1, Serving: 1, Old: 1, ChunksHeld: 9, Chunks: 12,
			OriginBytes: 10, PeerBytes: 20, Peers: 3, BadChunks: 2, EtaMs: 700,
		},
		{
			Domain: "n", Placed: 3, Loading: 1, Old: 1, Silent: 1, Failed: 1, ChunksHeld: 4, Chunks: 4,
			Errors: []string{"d: load failed"},
		},
	}, r.Domains)
	_, ok = awcontrol.SummarizeRollout(s, agents, "unknown")
	require.False(t, ok)
}
