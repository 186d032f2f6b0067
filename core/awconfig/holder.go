package awconfig

import (
	"fmt"
	"sync"
)

// maxRecentChanges bounds the changes that a holder keeps for processes that are
// behind; a process further behind takes a snapshot.
const maxRecentChanges = 512

// RevertError reports an attempt to replace a state by an older one, or by a
// different one of the same revision.
type RevertError struct {
	Have, Got             uint64
	HaveDigest, GotDigest string
}

// Error implements the error interface.
func (e *RevertError) Error() string {
	if e.Have == e.Got {
		return fmt.Sprintf("revision %d has two digests: %s and %s", e.Have, e.HaveDigest, e.GotDigest)
	}
	return fmt.Sprintf("revision %d is older than revision %d", e.Got, e.Have)
}

// DigestError reports changes that lead to another state than their sender
// has at the revision.
type DigestError struct {
	Revision  uint64
	Want, Got string
}

// Error implements the error interface.
func (e *DigestError) Error() string {
	return fmt.Sprintf("state at revision %d has digest %s, want %s", e.Revision, e.Got, e.Want)
}

// Holder keeps the newest accepted state of a process. It is safe for
// concurrent use.
type Holder struct {
	mu      sync.Mutex
	state   *State
	recent  []Change // without gap, ending at the revision of state
	changed chan struct{}
}

// NewHolder returns a holder of the empty configuration.
func NewHolder() *Holder {
	return &Holder{state: NewState(), changed: make(chan struct{})}
}

// State returns the newest state. It must not be modified.
func (h *Holder) State() *State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

// Changed returns a channel that is closed at the next change of state.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Since returns the state and the changes that lead to it from the revision.
// It reports false when the changes kept do not reach back that far.
func (h *Holder) Since(revision uint64) (*State, []Change, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision > h.state.Revision {
		return h.state, nil, true
	}
	n := h.state.Revision - revision
	if n > uint64(len(h.recent)) {
		return h.state, nil, false
	}
	return h.state, h.recent[uint64(len(h.recent))-n:], true
}

// LastChange returns the change that led to the state, if it is known.
func (h *Holder) LastChange() (Change, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.recent) == 0 {
		return Change{}, false
	}
	return h.recent[len(h.recent)-1], true
}

// Replace takes over a whole state. The same state again is no error; an
// older or a differing one is a [RevertError].
func (h *Holder) Replace(s *State) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replace(s, nil)
}

func (h *Holder) replace(s *State, recent []Change) error {
	if s.Revision > h.state.Revision {
		h.set(s, recent)
		return nil
	}
	have, got := h.state.Digest(), s.Digest()
	if s.Revision == h.state.Revision && have == got {
		return nil
	}
	return &RevertError{Have: h.state.Revision, Got: s.Revision, HaveDigest: have, GotDigest: got}
}

// ApplyAll applies the changes that follow the state and skips those already
// applied. It stops at the first gap with a [RevisionError].
func (h *Holder) ApplyAll(changes []Change) error {
	return h.Extend(h.State(), changes, "")
}

// Extend takes over the state that the changes make of base, if it is newer
// than the one held. Changes up to the revision of base are skipped. It
// returns a [RevisionError] at a gap, and a [DigestError] when digest is not
// empty and the result has another one; the state is unchanged in both cases.
func (h *Holder) Extend(base *State, changes []Change, digest string) error {
	s, err := base.ApplyAll(changes)
	if err != nil {
		return err
	}
	if digest != "" {
		if got := s.Digest(); got != digest {
			return &DigestError{Revision: s.Revision, Want: digest, Got: got}
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Revision <= h.state.Revision {
		return nil // another source was faster
	}
	var applied []Change
	for _, c := range changes {
		if c.Revision > base.Revision {
			applied = append(applied, c)
		}
	}
	if base == h.state {
		applied = append(h.recent[:len(h.recent):len(h.recent)], applied...)
	}
	h.set(s, applied)
	return nil
}

func (h *Holder) set(s *State, recent []Change) {
	h.state = s
	h.recent = recent[max(0, len(recent)-maxRecentChanges):]
	close(h.changed)
	h.changed = make(chan struct{})
}
