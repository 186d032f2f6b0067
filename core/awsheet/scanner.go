package awsheet

import (
	"bytes"
	"strings"
	"unicode/utf8"
)

// checkText returns the text without its byte-order mark, or a fault if the file
// is too large, empty or encoded as UTF-16.
func checkText(data []byte) ([]byte, *Fault) {
	faultAtStart := func(message string) *Fault { return &Fault{Line: 1, Column: 1, Message: message} }
	switch {
	case len(data) > MaxBytes:
		return nil, faultAtStart("the sheet is larger than 1 MiB; want a smaller one")
	case bytes.HasPrefix(data, []byte("\xff\xfe")), bytes.HasPrefix(data, []byte("\xfe\xff")):
		return nil, faultAtStart("the sheet is encoded as UTF-16; want UTF-8")
	case utf16WithoutBOM(data):
		return nil, faultAtStart("the sheet looks like UTF-16 without a byte-order mark; want UTF-8")
	}
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	if len(bytes.TrimSpace(data)) == 0 {
		return nil, faultAtStart("the sheet is empty; want the headings " + strings.Join(Columns, ", "))
	}
	return data, nil
}

// utf16WithoutBOM reports whether every other byte at the start is NUL, as in
// UTF-16 text of ASCII characters.
func utf16WithoutBOM(data []byte) bool {
	const probeBytes = 8
	if len(data) < probeBytes {
		return false
	}
	even, odd := 0, 0
	for i, b := range data[:probeBytes] {
		if b == 0 && i%2 == 0 {
			even++
		} else if b == 0 {
			odd++
		}
	}
	return even == probeBytes/2 || odd == probeBytes/2
}

// checkEncoding reports the first byte of each line that is NUL or not valid
// UTF-8. It checks all lines, since a sheet pasted together from several files
// may have Latin-1 lines between UTF-8 ones.
func (p *parser) checkEncoding(data []byte) {
	for i, line := range bytes.Split(data, []byte("\n")) {
		column := 1
		for len(line) > 0 {
			r, n := utf8.DecodeRune(line)
			if r == utf8.RuneError && n == 1 {
				p.addFault(i+1, column, "byte 0x%02x is not UTF-8; want the whole sheet in UTF-8", line[0])
				break
			}
			if r == 0 {
				p.addFault(i+1, column, "NUL character; want text in UTF-8")
				break
			}
			line = line[n:]
			column++
		}
	}
}

// field is one field and the position in the file where it starts.
type field struct {
	text         string
	line, column int
	heading      string // heading of its column; empty until the record is known to have all fields
	quoted       bool
}

// scanner splits a sheet into records. Unlike encoding/csv, which stops at the
// first fault, it reports the fault and continues.
type scanner struct {
	data         []byte
	comma        byte
	line, column int
	addFault     func(line, column int, format string, args ...any)
}

// record returns the next record that is not a blank line. It reports false at
// the end of the sheet.
func (s *scanner) record() ([]field, bool) {
	for len(s.data) > 0 {
		var rec []field
		for {
			f, last := s.field()
			rec = append(rec, f)
			if last {
				break
			}
		}
		if len(rec) > 1 || rec[0].quoted || strings.TrimSpace(rec[0].text) != "" {
			return rec, true
		}
	}
	return nil, false
}

// field reads one field and reports whether it is the last of its record.
func (s *scanner) field() (field, bool) {
	f := field{line: s.line, column: s.column}
	if len(s.data) > 0 && s.data[0] == '"' {
		f.quoted = true
		f.text = s.quotedField(f)
	} else {
		f.text = s.unquotedField()
	}
	switch {
	case len(s.data) == 0:
		return f, true
	case s.data[0] == s.comma:
		s.advance()
		return f, false
	}
	s.skipNewline()
	return f, true
}

func (s *scanner) unquotedField() string {
	var b strings.Builder
	for len(s.data) > 0 && s.data[0] != s.comma && !s.atNewline() {
		if s.data[0] == '"' {
			s.addFault(s.line, s.column, `stray quote; want the whole field in quotes and each quote inside it doubled ("")`)
		}
		b.Write(s.advance())
	}
	return b.String()
}

// quotedField reads a field in quotes. It takes the field for the position of
// the opening quote.
func (s *scanner) quotedField(start field) string {
	s.advance()
	var b strings.Builder
	for len(s.data) > 0 {
		switch {
		case bytes.HasPrefix(s.data, []byte(`""`)):
			s.advance()
			b.Write(s.advance())
		case s.data[0] == '"':
			s.advance()
			if len(s.data) > 0 && s.data[0] != s.comma && !s.atNewline() {
				s.addFault(s.line, s.column, "text after the closing quote; want a separator or the end of the line")
				s.skipToSeparator()
			}
			return b.String()
		case s.atNewline():
			b.WriteByte('\n')
			s.skipNewline()
		default:
			b.Write(s.advance())
		}
	}
	s.addFault(start.line, start.column, "quote is not closed; want a closing quote")
	return b.String()
}

// skipToSeparator skips the rest of a field.
func (s *scanner) skipToSeparator() {
	for len(s.data) > 0 && s.data[0] != s.comma && !s.atNewline() {
		s.advance()
	}
}

func (s *scanner) atNewline() bool {
	return s.data[0] == '\n' || s.data[0] == '\r' && (len(s.data) == 1 || s.data[1] == '\n')
}

func (s *scanner) skipNewline() {
	if s.data[0] == '\r' {
		s.data = s.data[1:]
	}
	if len(s.data) > 0 {
		s.data = s.data[1:]
	}
	s.line, s.column = s.line+1, 1
}

// advance consumes one character and returns its bytes.
func (s *scanner) advance() []byte {
	_, n := utf8.DecodeRune(s.data)
	c := s.data[:n]
	s.data = s.data[n:]
	s.column++
	return c
}
