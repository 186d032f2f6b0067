// Package awconfig holds the accepted configuration of the fleet.
//
// The configuration is a log of changes, each with its own revision number.
// [State.Apply] is a pure function: the same changes in the same order give the
// same encoded state in every process. Processes compare [State.Digest] to
// check this. A [Holder] keeps the newest state that a process knows.
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
	Halted     map[string]string    // reason by version digest
}

// Model is one row of the sheet, together with the manifest digest and the size
// of its version.
type Model struct {
	Name       string
	Version    string
	Digest     string // manifest digest of Version
	SizeBytes  uint64
	Previous   *PinnedVersion // version before the last change; served until replicas are replaced, and while Version is halted
	Replicas   int
	Domains    []string
	TeamShares map[string]int // weight by team; empty if all teams have the same weight
	Fencing    Fencing
}

// PinnedVersion identifies the weights of a version by manifest digest.
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

// DomainState states whether operators took a failure domain out of service.
type DomainState struct {
	Out   bool
	Since uint64 // revision of the last change
}

// InstanceState states whether operators drained an instance.
type InstanceState struct {
	Drained bool
	Since   uint64 // revision of the last change
}

// Team holds the weight and the rate limit of a team.
type Team struct {
	Weight            int
	RequestsPerSecond float64 // 0 for no limit
}

// Placement states which version an instance is to serve.
type Placement struct {
	Model   string
	Version string
	Digest  string
	Fence   uint64 // revision of the change that placed it; the fencing token of commands to the engine
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

// Clone returns a copy with its own maps. The values in the maps are shared and
// must not be modified.
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

// DecodeState parses the output of [State.Encode].
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

// InstanceOut reports whether an operator drained the instance or took its
// failure domain out, so that it must get no new work.
func (s *State) InstanceOut(instance, domain string) bool {
	return s.Domains[domain].Out || s.Instances[instance].Drained
}

// InstancesWithDigest returns the ids of the instances whose placement has the
// given digest, sorted.
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
