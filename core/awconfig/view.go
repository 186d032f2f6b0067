package awconfig

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// MaxPeers bounds the weight peers in one view, so that its size does not
// grow with the fleet.
const MaxPeers = 32

// AgentView is the part of the configuration that one agent needs.
type AgentView struct {
	Revision  uint64
	Instance  string
	Out       bool // the domain is out or the instance is drained
	Placement Placement
	SizeBytes uint64 // of the placed version
	Fencing   Fencing
	Teams     map[string]int // weights for fair queueing
	Peers     []Peer
	Halted    bool // the placed version is halted
}

// Peer is another agent placed for the same version.
type Peer struct {
	Instance string
	Address  string
	Region   string
	Domain   string
}

// View returns the projection of the state for one instance without peers.
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
	return v
}

// Encode returns the view as JSON.
func (v AgentView) Encode() ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, eris.Wrap(err, "encode view")
	}
	return data, nil
}

// DecodeView reads what [AgentView.Encode] wrote.
func DecodeView(data []byte) (AgentView, error) {
	var v AgentView
	if err := json.Unmarshal(data, &v); err != nil {
		return v, eris.Wrap(err, "decode view")
	}
	return v, nil
}
