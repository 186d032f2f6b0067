package awduties

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protowire"

	"arbutuswind/core/awduty"
)

// Field numbers of a message. fieldWindow holds a window with the fields below
// fieldWindowID.
const (
	fieldSender protowire.Number = iota + 1
	fieldIncarnation
	fieldDomain
	fieldWallMicros
	fieldMedianMicros
	fieldSources
	fieldFlags
	fieldSince
	fieldHolder
	fieldHolderIncarnation
	fieldToken
	fieldVersion
	fieldThrough
	fieldAgeMicros
	fieldWindow
	fieldSent
	fieldEcho
	fieldEra // of the claim
)

const (
	fieldWindowID protowire.Number = iota + 1
	fieldFinal
	fieldTotal
	fieldTeam
	fieldCount // of the team in the preceding fieldTeam
)

// Bits of fieldFlags.
const (
	flagReply = 1 << iota
	flagCounting
	flagLast
	flagAsk
	flagReleased
)

// maxMessageBytes is the size up to which counts are put into one message. It
// leaves room for the header of a datagram of 1200 bytes.
const maxMessageBytes = 1100

var errNoSender = errors.New("message without a sender")

func appendInt(b []byte, f protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, f, protowire.VarintType), v)
}

func appendBytes(b []byte, f protowire.Number, v []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, f, protowire.BytesType), v)
}

// encode returns the datagrams of a message. Only the last one asks for a reply.
func encode(m *awduty.Message) [][]byte {
	header := encodeHeader(m)
	var out [][]byte
	b := slices.Clone(header)
	for _, w := range m.Windows {
		parts := encodeWindow(w, maxMessageBytes-len(header))
		for _, part := range parts {
			if len(b)+len(part) > maxMessageBytes && len(b) > len(header) {
				out = append(out, appendFlags(b, m, false))
				b = slices.Clone(header)
			}
			b = append(b, part...)
		}
	}
	return append(out, appendFlags(b, m, m.Ask))
}

func encodeHeader(m *awduty.Message) []byte {
	b := appendBytes(nil, fieldSender, []byte(m.Sender))
	b = appendBytes(b, fieldDomain, []byte(m.Domain))
	b = appendInt(b, fieldIncarnation, m.Incarnation)
	b = appendInt(b, fieldWallMicros, uint64(m.Wall.Microseconds()))
	b = appendInt(b, fieldMedianMicros, uint64(m.Median.Microseconds()))
	b = appendInt(b, fieldSources, uint64(m.Sources))
	b = appendInt(b, fieldSent, uint64(m.Sent))
	b = appendInt(b, fieldEcho, uint64(m.Echo))
	b = appendInt(b, fieldSince, uint64(m.Since))
	if m.Claim.Token > 0 {
		b = appendBytes(b, fieldHolder, []byte(m.Claim.Holder))
		b = appendInt(b, fieldHolderIncarnation, m.Claim.Incarnation)
		b = appendInt(b, fieldToken, m.Claim.Token)
		b = appendInt(b, fieldEra, m.Claim.Position.Era)
		b = appendInt(b, fieldVersion, m.Claim.Position.Version)
		b = appendInt(b, fieldThrough, uint64(m.Claim.Through))
		b = appendInt(b, fieldAgeMicros, uint64(m.Claim.Age.Microseconds()))
	}
	return b
}

func appendFlags(b []byte, m *awduty.Message, ask bool) []byte {
	var flags uint64
	for flag, set := range map[uint64]bool{
		flagReply: m.Reply, flagCounting: m.Counting, flagLast: m.Last, flagAsk: ask, flagReleased: m.Claim.Released,
	} {
		if set {
			flags |= flag
		}
	}
	return appendInt(b, fieldFlags, flags)
}

// encodeWindow returns the fields of a window, in parts of up to limit bytes.
func encodeWindow(w awduty.WindowCounts, limit int) [][]byte {
	const overhead = 8 // tag and length of the window
	var final uint64
	if w.Final {
		final = 1
	}
	start := appendInt(nil, fieldWindowID, uint64(w.Window))
	start = appendInt(start, fieldFinal, final)
	start = appendInt(start, fieldTotal, uint64(w.Total))
	var parts [][]byte
	b := slices.Clone(start)
	for _, team := range slices.Sorted(maps.Keys(w.Counts)) {
		entry := appendInt(appendBytes(nil, fieldTeam, []byte(team)), fieldCount, uint64(w.Counts[team]))
		if len(b)+len(entry)+overhead > limit && len(b) > len(start) {
			parts = append(parts, appendBytes(nil, fieldWindow, b))
			b = slices.Clone(start)
		}
		b = append(b, entry...)
	}
	return append(parts, appendBytes(nil, fieldWindow, b))
}

// fields calls visit for each field of a message.
func fields(b []byte, visit func(f protowire.Number, text []byte, n uint64) error) error {
	for len(b) > 0 {
		f, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return protowire.ParseError(n)
		}
		b = b[n:]
		var text []byte
		var value uint64
		switch kind {
		case protowire.BytesType:
			text, n = protowire.ConsumeBytes(b)
		case protowire.VarintType:
			value, n = protowire.ConsumeVarint(b)
		default:
			n = protowire.ConsumeFieldValue(f, kind, b)
		}
		if n < 0 {
			return protowire.ParseError(n)
		}
		b = b[n:]
		if err := visit(f, text, value); err != nil {
			return err
		}
	}
	return nil
}

// decode decodes a datagram.
func decode(b []byte) (*awduty.Message, error) {
	m := &awduty.Message{}
	err := fields(b, func(f protowire.Number, text []byte, n uint64) error {
		switch f {
		case fieldSender:
			m.Sender = string(text)
		case fieldDomain:
			m.Domain = string(text)
		case fieldHolder:
			m.Claim.Holder = string(text)
		case fieldWindow:
			w, err := decodeWindow(text)
			if err != nil {
				return err
			}
			m.Windows = append(m.Windows, w)
		default:
			setInt(m, f, n)
		}
		return nil
	})
	if err != nil {
		return nil, eris.Wrap(err, "duty message")
	}
	if m.Sender == "" {
		return nil, errNoSender
	}
	return m, nil
}

func setInt(m *awduty.Message, f protowire.Number, n uint64) {
	switch f {
	case fieldIncarnation:
		m.Incarnation = n
	case fieldWallMicros:
		m.Wall = time.Duration(n) * time.Microsecond
	case fieldMedianMicros:
		m.Median = time.Duration(n) * time.Microsecond
	case fieldSources:
		m.Sources = int(n)
	case fieldSince:
		m.Since = int64(n)
	case fieldHolderIncarnation:
		m.Claim.Incarnation = n
	case fieldToken:
		m.Claim.Token = n
	case fieldVersion:
		m.Claim.Position.Version = n
	case fieldEra:
		m.Claim.Position.Era = n
	case fieldThrough:
		m.Claim.Through = int64(n)
	case fieldSent:
		m.Sent = time.Duration(n)
	case fieldEcho:
		m.Echo = time.Duration(n)
	case fieldAgeMicros:
		m.Claim.Age = time.Duration(n) * time.Microsecond
	case fieldFlags:
		m.Reply, m.Counting, m.Last = n&flagReply != 0, n&flagCounting != 0, n&flagLast != 0
		m.Ask, m.Claim.Released = n&flagAsk != 0, n&flagReleased != 0
	}
}

func decodeWindow(b []byte) (awduty.WindowCounts, error) {
	w := awduty.WindowCounts{Counts: awduty.Counts{}}
	var team string
	err := fields(b, func(f protowire.Number, text []byte, n uint64) error {
		switch f {
		case fieldWindowID:
			w.Window = int64(n)
		case fieldFinal:
			w.Final = n != 0
		case fieldTotal:
			w.Total = int64(n)
		case fieldTeam:
			team = string(text)
		case fieldCount:
			w.Counts[team] = int64(n)
		}
		return nil
	})
	return w, err
}
