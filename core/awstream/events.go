package awstream

import (
	"bytes"
	"errors"
	"strconv"
)

// MaxEventBytes bounds one event of a text/event-stream.
const MaxEventBytes = 1 << 20

// ErrEventTooLong is returned for an event longer than [MaxEventBytes].
var ErrEventTooLong = errors.New("event is longer than 1 MiB")

// Event is one whole event of a text/event-stream.
type Event struct {
	ID    uint64 // number of the event
	HasID bool
	Raw   []byte // with the blank line that ends it; valid until the next call
}

// Splitter cuts the bytes of a text/event-stream into whole events, so that a
// stream that breaks off in the middle of an event delivers nothing of it.
type Splitter struct{ buf []byte }

// Write adds bytes as they arrive.
func (s *Splitter) Write(p []byte) error {
	if len(s.buf) > MaxEventBytes {
		return ErrEventTooLong
	}
	s.buf = append(s.buf, p...)
	return nil
}

// Next returns the next whole event; false means that more bytes are needed.
func (s *Splitter) Next() (Event, bool) {
	end := blankLine(s.buf)
	if end < 0 {
		return Event{}, false
	}
	e := Event{Raw: s.buf[:end]}
	e.ID, e.HasID = eventID(e.Raw)
	s.buf = s.buf[end:]
	return e, true
}

// Buffered returns how many bytes of an incomplete event are held.
func (s *Splitter) Buffered() int { return len(s.buf) }

func blankLine(b []byte) int {
	for at := 0; ; {
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 {
			return -1
		}
		at += i + 1
		switch rest := b[at:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return at + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return at + 2
		}
	}
}

func eventID(raw []byte) (uint64, bool) {
	for line := range bytes.Lines(raw) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
