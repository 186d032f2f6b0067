// Package awsettings reads the TOML settings of the daemons.
//
// Keys are in Pascal case. Unknown keys and values out of range are refused
// with file, line, key and what is allowed.
package awsettings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// Duration is a time span written as "500ms" or "10s".
type Duration time.Duration

// UnmarshalText implements [encoding.TextUnmarshaler].
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return eris.Errorf("%q is not a duration such as \"500ms\" or \"10s\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements [encoding.TextMarshaler].
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std returns the duration as a standard type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Process names the process and its place.
type Process struct {
	Instance string // unique name of the instance
	Domain   string // failure domain
	Region   string
	// Processors bounds the processors that run Go code at once; 0 means all.
	// On an idle machine each hand-over between two of them costs a wake-up
	// of tens of microseconds.
	Processors int
}

// Platform names the services of the platform.
type Platform struct {
	TableURL        string
	ObjectURL       string
	OriginURL       string
	InstanceListURL string
	Timeout         Duration // of one call
}

// Trace configures the trace exporter.
type Trace struct {
	Endpoint    string  // OTLP collector over HTTP; empty turns traces off
	SampleRatio float64 // 0 to 1
}

// TLS configures the internal protocol. Plain must be set to go without.
type TLS struct {
	Certificate string // path, PEM
	Key         string // path, PEM
	CA          string // path, PEM; issuer of every process of the system
	Plain       bool   // plain TCP
}

// Problem is one fault in a settings file.
type Problem struct {
	File    string
	Line    int // 0 when the key is missing
	Key     string
	Message string
}

// String returns the problem as file:line: key: message.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Message)
}

// Error holds every fault of a settings file.
type Error struct{ Problems []Problem }

// Error implements the error interface.
func (e *Error) Error() string {
	var b bytes.Buffer
	for i, p := range e.Problems {
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(p.String())
	}
	return b.String()
}

// checker is implemented by the settings of each daemon.
type checker interface {
	// check returns the key and what is wrong with its value.
	check() []Problem
}

func load(file string, into checker) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "read settings")
	}
	dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return decodeError(file, err)
	}
	problems := into.check()
	if len(problems) == 0 {
		return nil
	}
	lines := keyLines(data)
	for i := range problems {
		problems[i].File = file
		problems[i].Line = lines[problems[i].Key]
	}
	return &Error{Problems: problems}
}

func decodeError(file string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		e := &Error{}
		for _, d := range unknown.Errors {
			line, _ := d.Position()
			e.Problems = append(e.Problems, Problem{File: file, Line: line, Key: joinKey(d.Key()), Message: "unknown key"})
		}
		return e
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		line, _ := bad.Position()
		return &Error{Problems: []Problem{{File: file, Line: line, Key: joinKey(bad.Key()), Message: bad.Error()}}}
	}
	return eris.Wrapf(err, "read settings %s", file)
}
