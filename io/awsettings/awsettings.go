// Package awsettings reads the TOML settings of the daemons.
//
// Keys are in Pascal case. Unknown keys and values out of range are rejected
// with an error that gives the file, line, key and allowed values.
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

// Duration is a [time.Duration] written as "500ms" or "10s".
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

// Std returns d as a [time.Duration].
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Process identifies the process and its location.
type Process struct {
	Instance string // unique name of the instance
	Domain   string // failure domain
	Region   string
	// Processors is the GOMAXPROCS value; 0 means one per CPU. On an idle
	// machine, passing work between two processors costs a wake-up of tens of
	// microseconds.
	Processors int
}

// Platform holds the URLs of the platform's services.
type Platform struct {
	TableURL        string
	ObjectURL       string
	OriginURL       string
	InstanceListURL string
	Timeout         Duration // of one call to a service
}

// Trace configures the trace exporter.
type Trace struct {
	Endpoint    string  // OTLP collector over HTTP; empty disables tracing
	SampleRatio float64 // fraction of new traces to keep, 0 to 1
}

// TLS configures TLS for the internal protocol. Plain must be set to run
// without it.
type TLS struct {
	Certificate string // path, PEM
	Key         string // path, PEM
	CA          string // path, PEM; issuer of the certificates of all processes
	Plain       bool   // use plain TCP instead of TLS
}

// Problem is one invalid or missing key of a settings file.
type Problem struct {
	File    string
	Line    int // 0 when the key is missing
	Key     string
	Message string
}

// String formats the problem as "file:line: key: message".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Message)
}

// Error holds all problems of a settings file.
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
	// check returns a problem for each invalid value, without file and line.
	check() []Problem
}

func load(file string, cfg checker) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "read settings")
	}
	dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := dec.Decode(cfg); err != nil {
		return decodeError(file, err)
	}
	problems := cfg.check()
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
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		return &Error{Problems: []Problem{{File: file, Line: line, Key: joinKey(decodeErr.Key()), Message: decodeErr.Error()}}}
	}
	return eris.Wrapf(err, "read settings %s", file)
}
