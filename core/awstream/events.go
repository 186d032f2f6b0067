package awstream

import (
	"bytes"
	"errors"
	"strconv"
)

// MaxEventBytes is the maximum size of one event of a text/event-stream.
const MaxEventBytes = 1 << 20

// ErrEventTooLong is returned for an event longer than [MaxEventBytes].
var ErrEventTooLong = errors.New("event is longer than 1 MiB")

// Event is a complete event of a text/event-stream.
type Event struct {
	ID    uint64 // value of the id field
	HasID bool   // the event has an id field with a number
	Empty bool   // no data field, as in a comment; receivers ignore such an event
	Raw   []byte // all lines and the blank line that ends the event; valid until the next call
}

// Splitter splits a text/event-stream into complete events. An event that is cut
// off by the end of the stream is not returned.
type Splitter struct{ buf []byte }

// Write appends bytes of the stream. It returns [ErrEventTooLong], and appends
// nothing, if more than [MaxEventBytes] would be buffered.
func (s *Splitter) Write(p []byte) error {
	if len(s.buf)+len(p) > MaxEventBytes {
		return ErrEventTooLong
	}
	s.buf = append(s.buf, p...)
	return nil
}

// Next returns the next complete event, or false if more bytes are needed.
func (s *Splitter) Next() (Event, bool) {
	end := eventEnd(s.buf)
	if end < 0 {
		return Event{}, false
	}
	e := Event{Raw: s.buf[:end]}
	e.ID, e.HasID = eventID(e.Raw)
	e.Empty = !bytes.HasPrefix(e.Raw, []byte("data")) && !bytes.Contains(e.Raw, []byte("\ndata"))
	s.buf = s.buf[end:]
	return e, true
}

// Buffered returns the number of buffered bytes that no event has been returned for.
func (s *Splitter) Buffered() int { return len(s.buf) }

// eventEnd returns the index after the blank line that ends the first event, or -1
// if the event is incomplete.
func eventEnd(b []byte) int {
	for pos := 0; ; {
		i := bytes.IndexByte(b[pos:], '\n')
		if i < 0 {
			return -1
		}
		pos += i + 1
		switch rest := b[pos:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return pos + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return pos + 2
		}
	}
}

// eventID returns the value of the first id field and whether it is a number.
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
