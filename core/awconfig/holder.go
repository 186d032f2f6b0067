package awconfig

import (
	"fmt"
	"sync"
)

// maxRecentChanges is how many changes a holder keeps for processes that are
// behind. A process that is further behind needs a snapshot.
const maxRecentChanges = 512

// RevertError reports an attempt to replace a state by an older one, or by a
// different one with the same revision.
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

// DigestError reports that the state computed from received changes differs
// from the sender's state at the same revision.
type DigestError struct {
	Revision  uint64
	Want, Got string
}

// Error implements the error interface.
func (e *DigestError) Error() string {
	return fmt.Sprintf("state at revision %d has digest %s, want %s", e.Revision, e.Got, e.Want)
}

// Holder keeps the newest accepted state that a process knows, and the recent
// changes that led to it. It never goes back to an older state. It is safe for
// concurrent use.
type Holder struct {
	mu      sync.Mutex
	state   *State
	recent  []Change // consecutive revisions, the last that of state
	changed chan struct{}
}

// NewHolder returns a holder with the empty configuration.
func NewHolder() *Holder {
	return &Holder{state: NewState(), changed: make(chan struct{})}
}

// State returns the newest state. It must not be modified.
func (h *Holder) State() *State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

// Changed returns a channel that is closed when the state changes next.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Since returns the newest state and the changes after the given revision. It
// reports false if the holder no longer has all of these changes.
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

// LastChange returns the newest change. It reports false if the holder has no
// changes, as is the case after [Holder.Replace].
func (h *Holder) LastChange() (Change, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.recent) == 0 {
		return Change{}, false
	}
	return h.recent[len(h.recent)-1], true
}

// Replace sets the state if it is newer than the current one and does nothing
// if both are equal. Otherwise it returns a [RevertError].
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

// ApplyAll applies changes in order and skips those already applied. If a
// revision is missing it returns a [RevisionError] and leaves the state as it
// is.
func (h *Holder) ApplyAll(changes []Change) error {
	return h.Extend(h.State(), changes, "")
}

// Extend applies changes to base and keeps the result if it is newer than the
// current state. It skips changes that base already includes. It returns a
// [RevisionError] if a revision is missing, and a [DigestError] if digest is
// not empty and differs from that of the result; the current state stays in
// both cases.
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
		return nil // changes holds nothing new, or another source was faster
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
