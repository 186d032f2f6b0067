package awconfig

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// MaxPeers is the maximum number of peers in one view, so that the size of a
// view does not grow with the fleet.
const MaxPeers = 32

// AgentView is the part of the configuration that one agent needs.
type AgentView struct {
	Revision      uint64
	Instance      string
	Out           bool // the domain is out or the instance is drained
	Placement     Placement
	SizeBytes     uint64 // of the placed version
	Fencing       Fencing
	Teams         map[string]int // weights for fair queueing
	Peers         []Peer
	RegionFetcher bool           `json:"Duty"` // whether the agent fetches chunks of the model's weights from outside its region
	Halted        bool           // the placed version is halted
	Next          *PinnedVersion `json:",omitempty"` // version to prefetch; nil if the placed one is the target
}

// Peer is another agent placed for the same model.
type Peer struct {
	Instance      string
	Address       string
	Region        string
	Domain        string
	RegionFetcher bool `json:"Duty,omitempty"` // whether it fetches chunks from outside its region
}

// View returns the part of the state that concerns one instance. It does not
// set the peers.
func (s *State) View(instance, domain string) AgentView {
	v := AgentView{
		Revision:  s.Revision,
		Instance:  instance,
		Out:       s.InstanceOut(instance, domain),
		Placement: s.Placements[instance],
	}
	m := s.Models[v.Placement.Model]
	v.SizeBytes = m.SizeBytes
	if m.Previous != nil && m.Previous.Digest == v.Placement.Digest {
		v.SizeBytes = m.Previous.SizeBytes
	}
	v.Fencing = m.Fencing
	v.Teams = m.TeamShares
	_, v.Halted = s.Halted[v.Placement.Digest]
	if target := s.Target(m); v.Placement.Model != "" && target.Digest != v.Placement.Digest {
		v.Next = &target
	}
	return v
}

// Target returns the version that the replicas of a model should serve: that of
// the sheet, or the previous one if only the sheet's version is halted.
func (s *State) Target(m Model) PinnedVersion {
	if _, halted := s.Halted[m.Digest]; halted && m.Previous != nil {
		if _, halted := s.Halted[m.Previous.Digest]; !halted {
			return *m.Previous
		}
	}
	return PinnedVersion{Version: m.Version, Digest: m.Digest, SizeBytes: m.SizeBytes}
}

// Encode returns the view as JSON.
func (v AgentView) Encode() ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, eris.Wrap(err, "encode view")
	}
	return data, nil
}

// DecodeView parses the output of [AgentView.Encode].
func DecodeView(data []byte) (AgentView, error) {
	var v AgentView
	if err := json.Unmarshal(data, &v); err != nil {
		return v, eris.Wrap(err, "decode view")
	}
	return v, nil
}
