package awconfig

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind is the type of a change.
type Kind string

// The kinds of change.
const (
	KindApplySheet         Kind = "ApplySheet"
	KindDomainOut          Kind = "DomainOut"
	KindDomainIn           Kind = "DomainIn"
	KindInstanceDrain      Kind = "InstanceDrain"
	KindInstanceReturn     Kind = "InstanceReturn"
	KindHaltVersion        Kind = "HaltVersion"
	KindPlace              Kind = "Place"
	KindTeamLimit          Kind = "TeamLimit"
	KindStoreResetAccepted Kind = "StoreResetAccepted"
)

// Change is one row of the configuration log.
type Change struct {
	Revision uint64
	ChangeID string // random; lets a writer that lost the store's reply find out whether its change was stored
	Kind     Kind
	Actor    string // operator or process that asked for the change
	Target   string `json:",omitempty"` // domain, instance or version digest
	Reason   string `json:",omitempty"`

	Models     []Model              `json:",omitempty"` // ApplySheet
	Teams      map[string]Team      `json:",omitempty"` // ApplySheet
	Rate       float64              `json:",omitempty"` // TeamLimit: requests per second; 0 lifts the limit
	Placements map[string]Placement `json:",omitempty"` // Place: by instance; an empty Model removes the placement
}

// DecodeChange parses the JSON of one row of the configuration log.
func DecodeChange(data []byte) (Change, error) {
	var c Change
	if err := json.Unmarshal(data, &c); err != nil {
		return c, eris.Wrap(err, "decode change")
	}
	return c, nil
}

// RevisionError reports a change whose revision is not the one after the
// state's.
type RevisionError struct {
	Have, Got uint64
}

// Error implements the error interface.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("change of revision %d cannot be applied to a state at revision %d", e.Got, e.Have)
}

// Apply returns the state that results from c and leaves the receiver
// unchanged. It returns a [RevisionError] if the revision of c is not the one
// after the state's, and another error if the kind of c is unknown.
func (s *State) Apply(c Change) (*State, error) {
	if c.Revision != s.Revision+1 {
		return nil, &RevisionError{Have: s.Revision, Got: c.Revision}
	}
	next := s.Clone()
	next.Revision = c.Revision
	switch c.Kind {
	case KindApplySheet:
		next.applySheet(c)
	case KindDomainOut, KindDomainIn:
		next.Domains[c.Target] = DomainState{Out: c.Kind == KindDomainOut, Since: c.Revision}
	case KindInstanceDrain, KindInstanceReturn:
		next.Instances[c.Target] = InstanceState{Drained: c.Kind == KindInstanceDrain, Since: c.Revision}
	case KindHaltVersion:
		next.Halted[c.Target] = c.Reason
	case KindTeamLimit:
		team := next.Teams[c.Target]
		team.RequestsPerSecond = c.Rate
		next.Teams[c.Target] = team
	case KindPlace:
		next.place(c)
	case KindStoreResetAccepted:
	default:
		return nil, eris.Errorf("revision %d: unknown kind of change %q", c.Revision, c.Kind)
	}
	return next, nil
}

// ApplyAll applies changes in order and skips those that the state already
// includes. It returns a [RevisionError] if a revision is missing.
func (s *State) ApplyAll(changes []Change) (*State, error) {
	for _, c := range changes {
		if c.Revision <= s.Revision {
			continue
		}
		next, err := s.Apply(c)
		if err != nil {
			return nil, err
		}
		s = next
	}
	return s, nil
}

// InEffect reports whether the state already is as c asks. It is always false
// for sheets that set teams, for placements and for accepted store resets.
func (s *State) InEffect(c Change) bool {
	switch c.Kind {
	case KindDomainOut, KindDomainIn:
		return s.Domains[c.Target].Out == (c.Kind == KindDomainOut)
	case KindInstanceDrain, KindInstanceReturn:
		return s.Instances[c.Target].Drained == (c.Kind == KindInstanceDrain)
	case KindTeamLimit:
		return s.Teams[c.Target].RequestsPerSecond == c.Rate
	case KindHaltVersion:
		_, halted := s.Halted[c.Target]
		return halted
	case KindApplySheet:
		for _, m := range c.Models {
			if _, halted := s.Halted[m.Digest]; halted {
				return false // applying the sheet lifts the halt
			}
		}
		return c.Teams == nil && len(DiffSheet(s, c.Models)) == 0
	}
	return false
}

// Subject returns what c changes, such as one instance. Operators' changes to
// different subjects do not conflict.
func (c Change) Subject() string {
	switch c.Kind {
	case KindApplySheet:
		return "sheet"
	case KindDomainOut, KindDomainIn:
		return "domain " + c.Target
	case KindInstanceDrain, KindInstanceReturn:
		return "instance " + c.Target
	case KindHaltVersion:
		return "version " + c.Target
	case KindTeamLimit:
		return "team " + c.Target
	}
	return string(c.Kind)
}

// ByOperator reports whether an operator requested c. Placements and halts
// come from the reconciler, which derives them from the state.
func (c Change) ByOperator() bool { return c.Kind != KindPlace && c.Kind != KindHaltVersion }

func (s *State) applySheet(c Change) {
	old := s.Models
	s.Models = make(map[string]Model, len(c.Models))
	for _, m := range c.Models {
		if prev, ok := old[m.Name]; ok {
			m.Previous = prev.Previous
			if prev.Digest != m.Digest {
				m.Previous = &PinnedVersion{Version: prev.Version, Digest: prev.Digest, SizeBytes: prev.SizeBytes}
			}
		}
		s.Models[m.Name] = m
		// Operators lift the halt of a version by applying the sheet again.
		delete(s.Halted, m.Digest)
	}
	if c.Teams != nil {
		s.Teams = c.Teams
	}
	for id, p := range s.Placements {
		if _, ok := s.Models[p.Model]; !ok {
			delete(s.Placements, id)
		}
	}
}

func (s *State) place(c Change) {
	for id, p := range c.Placements {
		if p.Model == "" {
			delete(s.Placements, id)
			continue
		}
		p.Fence = c.Revision
		s.Placements[id] = p
	}
}
