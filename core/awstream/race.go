package awstream

import "errors"

// Errors of [Race].
var (
	// ErrOvertaken is returned to a send when another send of the stream has
	// delivered the next event.
	ErrOvertaken = errors.New("another backend server delivered the next event")
	// ErrEventOrder is returned for an event that is not after the previous one.
	ErrEventOrder = errors.New("backend server sent an event out of order")
	// ErrNoProgress is returned for an event that is to be dropped, because it does
	// not show that its send goes on.
	ErrNoProgress = errors.New("event without data while several sends run")
)

// Race decides which of several sends of one event stream is forwarded. A send
// that is silent is not given up when another one begins: whichever delivers the
// next event first goes on, and all others are overtaken. The caller gets each
// event once, in order. The zero value has no sends. It is not safe for
// concurrent use.
type Race struct {
	lastID     uint64
	unnumbered bool // an event with data but without an ID has been forwarded
	running    map[int]bool
	begun      int
}

// Begin adds a send, which resumes the stream after [Race.LastID], and returns
// its number.
func (r *Race) Begin() int {
	if r.running == nil {
		r.running = map[int]bool{}
	}
	r.begun++
	r.running[r.begun] = true
	return r.begun
}

// LastID returns the ID of the last event that was forwarded, or 0.
func (r *Race) LastID() uint64 { return r.lastID }

// CanResume reports whether another send can go on where the stream stands. It
// cannot after an event with data but without an ID.
func (r *Race) CanResume() bool { return !r.unnumbered }

// Offer reports whether an event that a send delivers is to be forwarded, by a
// nil error. The other sends are then overtaken. The errors are [ErrOvertaken]
// and [ErrEventOrder], or [ErrNoProgress] for an empty event while other sends run.
func (r *Race) Offer(send int, e Event) error {
	switch {
	case !r.running[send]:
		return ErrOvertaken
	case e.Empty && !e.HasID && len(r.running) > 1:
		return ErrNoProgress
	case e.HasID && r.lastID > 0 && e.ID <= r.lastID:
		return ErrEventOrder
	}
	if e.HasID {
		r.lastID = e.ID
	}
	r.unnumbered = r.unnumbered || (!e.HasID && !e.Empty)
	r.overtake(send)
	return nil
}

// Finish reports whether the end of a send is the end of the stream, by a nil
// error. The other sends are then overtaken.
func (r *Race) Finish(send int) error {
	if !r.running[send] {
		return ErrOvertaken
	}
	r.overtake(send)
	return nil
}

func (r *Race) overtake(send int) {
	for other := range r.running {
		if other != send {
			delete(r.running, other)
		}
	}
}

// Fail removes a send that failed.
func (r *Race) Fail(send int) { delete(r.running, send) }

// Running returns the number of sends that have neither failed nor been overtaken.
func (r *Race) Running() int { return len(r.running) }

// IsRunning reports whether a send has neither failed nor been overtaken.
func (r *Race) IsRunning(send int) bool { return r.running[send] }
