package awentry

import (
	"sync"

	"arbutuswind/core/awconfig"
	"arbutuswind/core/awplace"
	"arbutuswind/io/awcontrol"
	"arbutuswind/io/awproto"
)

// peerCache caches the weight peers of one revision, which are the same for the
// views of all agents.
type peerCache struct {
	mu       sync.Mutex
	table    *awconfig.PeerTable
	revision uint64
	members  int
}

// agentView returns the view of one agent, including its weight peers.
func (f *fleet) agentView(s *awconfig.State, link *agentLink) awconfig.AgentView {
	f.mu.Lock()
	info, members := link.info, len(f.agents)
	f.mu.Unlock()
	v := s.View(info.ID, info.Domain)
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	if f.peers.table == nil || f.peers.revision != s.Revision || f.peers.members != members {
		f.peers.table = awconfig.NewPeerTable(s, f.weightPeers())
		f.peers.revision, f.peers.members = s.Revision, members
	}
	f.peers.table.SetPeers(&v, info.Region)
	return v
}

func (f *fleet) weightPeers() []awconfig.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]awconfig.Peer, 0, len(f.agents))
	for id, link := range f.agents {
		list = append(list, awconfig.Peer{
			Instance: id, Address: link.info.Address, Region: link.info.Region, Domain: link.info.Domain,
		})
	}
	return list
}

// addTransferState copies the weight transfer state of a report for the reconciler.
func addTransferState(in *awplace.Instance, r *awproto.AgentReport) {
	t := r.GetTransfer()
	if t == nil {
		return
	}
	if t.Chunks > 0 && t.ChunksHeld == t.Chunks {
		in.HeldDigest = t.VersionDigest
	}
	if t.NoRoom {
		in.NoRoomDigest = t.VersionDigest
	}
	if t.Error != "" {
		in.FailedDigest, in.FailureReason = t.VersionDigest, t.Error
	}
}

// addTransferStatus copies the weight transfer state of a report for operators.
func addTransferStatus(s *awcontrol.AgentStatus, t *awproto.TransferReport) {
	s.TransferDigest, s.TransferError, s.NoRoom = t.GetVersionDigest(), t.GetError(), t.GetNoRoom()
	s.RegionBytes, s.PeerBytes = t.GetRegionBytes(), t.GetPeerBytes()
	s.Peers, s.BadChunks, s.EtaMs = t.GetPeers(), t.GetBadChunks(), t.GetEtaMs()
}
