package awconfig

import (
	"fmt"
	"sync"
)

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

// Holder keeps the newest accepted state of a process. It is safe for
// concurrent use.
type Holder struct {
	mu      sync.Mutex
	state   *State
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

// Replace takes over a whole state. The same state again is no error; an
// older or a differing one is a [RevertError].
func (h *Holder) Replace(s *State) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Revision > h.state.Revision {
		h.set(s)
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
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.state
	for _, c := range changes {
		if c.Revision <= s.Revision {
			continue
		}
		next, err := s.Apply(c)
		if err != nil {
			return err
		}
		s = next
	}
	if s != h.state {
		h.set(s)
	}
	return nil
}

func (h *Holder) set(s *State) {
	h.state = s
	close(h.changed)
	h.changed = make(chan struct{})
}
