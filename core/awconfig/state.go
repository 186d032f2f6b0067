// Package awconfig holds the accepted configuration of the fleet.
//
// The configuration is a log of changes with one revision number each.
// [State.Apply] is pure: the same changes in the same order give the same
// state, byte for byte, on every process, which [State.Digest] checks.
// A [Holder] keeps the newest state that a process knows and never goes back.
package awconfig

import (
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
	"lukechampine.com/blake3"
)

// State is the accepted configuration at one revision.
type State struct {
	Revision   uint64
	Models     map[string]Model
	Domains    map[string]DomainState
	Instances  map[string]InstanceState
	Teams      map[string]Team
	Placements map[string]Placement // by instance
	Halted     map[string]string    // version digest to the reason
}

// Model is one row of the sheet with the identity of its version pinned.
type Model struct {
	Name       string
	Version    string
	Digest     string // manifest digest of Version
	SizeBytes  uint64
	Previous   *PinnedVersion // version before the last change, kept to serve until replaced
	Replicas   int
	Domains    []string
	TeamShares map[string]int // weight by team; empty means every team alike
	Fencing    Fencing
}

// PinnedVersion names weights by version and manifest digest.
type PinnedVersion struct {
	Version   string
	Digest    string
	SizeBytes uint64
}

// Fencing states whether the engines of a model check fencing tokens.
type Fencing string

// The values of Fencing.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// DomainState is what operators decided about a failure domain.
type DomainState struct {
	Out   bool
	Since uint64 // revision of the last change
}

// InstanceState is what operators decided about an instance.
type InstanceState struct {
	Drained bool
	Since   uint64
}

// Team holds the share of a team.
type Team struct {
	Weight            int
	RequestsPerSecond float64 // 0 means no limit
}

// Placement states what one instance serves.
type Placement struct {
	Model   string
	Version string
	Digest  string
	Fence   uint64 // revision of the change that placed it; fencing token of its commands
}

// NewState returns the empty configuration at revision 0.
func NewState() *State {
	return &State{
		Models:     map[string]Model{},
		Domains:    map[string]DomainState{},
		Instances:  map[string]InstanceState{},
		Teams:      map[string]Team{},
		Placements: map[string]Placement{},
		Halted:     map[string]string{},
	}
}

// Clone returns a copy whose maps can be changed independently. The values
// are treated as immutable.
func (s *State) Clone() *State {
	c := *s
	c.Models = maps.Clone(s.Models)
	c.Domains = maps.Clone(s.Domains)
	c.Instances = maps.Clone(s.Instances)
	c.Teams = maps.Clone(s.Teams)
	c.Placements = maps.Clone(s.Placements)
	c.Halted = maps.Clone(s.Halted)
	return &c
}

// Encode returns the state as JSON with sorted keys.
func (s *State) Encode() ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, eris.Wrap(err, "encode state")
	}
	return data, nil
}

// DecodeState reads what [State.Encode] wrote.
func DecodeState(data []byte) (*State, error) {
	s := NewState()
	if err := json.Unmarshal(data, s); err != nil {
		return nil, eris.Wrap(err, "decode state")
	}
	return s, nil
}

// Digest returns the BLAKE3 digest of the encoded state in hexadecimal.
func (s *State) Digest() string {
	data, err := s.Encode()
	if err != nil {
		return "" // cannot happen: State holds only marshalable types
	}
	sum := blake3.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// InstanceOut reports whether the instance may take no new work by decision
// of an operator.
func (s *State) InstanceOut(instance, domain string) bool {
	return s.Domains[domain].Out || s.Instances[instance].Drained
}

// InstancesWithDigest returns the instances that carry the digest, sorted.
func (s *State) InstancesWithDigest(digest string) []string {
	var ids []string
	for id, p := range s.Placements {
		if p.Digest == digest {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
