// Package awsheet reads the planners' sheet, a CSV file that states what
// should run where.
//
// [Parse] reports every fault of a sheet in one pass, each with the line and
// column where the field starts in the file and with what is allowed there.
package awsheet

import (
	"bytes"
	"fmt"
	"strings"

	"arbutuswind/core/awconfig"
)

// Bounds of a sheet. They are far above the design size of 7,300 replicas and
// keep a wrong file from filling the memory of an entry.
const (
	MaxBytes     = 1 << 20
	MaxRows      = 4096
	MaxFaults    = 200     // reported at once; a last fault says that there are more
	MaxReplicas  = 100_000 // of one model
	MaxWeight    = 1_000_000
	MaxNameBytes = 128 // bytes of a model, version, domain or team
)

// Row is one row of the sheet.
type Row struct {
	Line          int
	VersionColumn int // where the version stands in the file
	Model         string
	Version       string
	Replicas      int
	Domains       []string
	TeamShares    map[string]int
	Fencing       awconfig.Fencing
}

// Fault is one error in a sheet. Line and Column count from 1; a column is a
// character of the line in the file.
type Fault struct {
	Line, Column int
	Message      string // what is wrong and what is allowed
}

// String returns the fault as line:column: message.
func (f Fault) String() string { return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Message) }

// Columns lists the headings of the sheet.
var Columns = []string{"Model", "Version", "Replicas", "Domains", "TeamShares", "Fencing"}

const (
	colModel = iota
	colVersion
	colReplicas
	colDomains
	colTeamShares
	colFencing
)

// Inventory is what a sheet is checked against.
type Inventory struct {
	Domains   []string       // known failure domains
	Instances map[string]int // instances with an engine by domain
	Unfenced  map[string]int // instances by domain whose settings say that the engine ignores fencing tokens
}

// Parse reads a sheet and returns its rows, or all its faults in the order of
// the file.
func Parse(data []byte, inv Inventory) ([]Row, []Fault) {
	rows, faults := ParsePartial(data, inv)
	if len(faults) > 0 {
		return nil, faults
	}
	return rows, nil
}

// ParsePartial is [Parse] for a caller that adds checks of its own: it returns the
// rows that have every field also when there are faults, so that all faults
// can be told at once.
func ParsePartial(data []byte, inv Inventory) ([]Row, []Fault) {
	data, fault := checkText(data)
	if fault != nil {
		return nil, []Fault{*fault}
	}
	p := &parser{inventory: inv, modelLines: map[string]int{}}
	p.checkEncoding(data)
	s := &scanner{data: data, comma: separator(data), line: 1, column: 1, addFault: p.addFault}
	heading, ok := s.record()
	if !ok || !isHeading(heading) {
		p.addFault(1, 1, "headings must be %s", strings.Join(Columns, ", "))
		return nil, p.sortedFaults()
	}
	for {
		rec, ok := s.record()
		if !ok {
			break
		}
		if len(p.rows) >= MaxRows {
			p.addFault(rec[0].line, 1, "more than %d rows; want fewer", MaxRows)
			break
		}
		p.parseRow(rec)
	}
	p.checkCapacity()
	return p.rows, p.sortedFaults()
}

func isHeading(rec []field) bool {
	if len(rec) != len(Columns) {
		return false
	}
	for i, f := range rec {
		if strings.TrimSpace(f.text) != Columns[i] {
			return false
		}
	}
	return true
}

// separator returns the separator that the heading uses more often.
func separator(data []byte) byte {
	firstLine, _, _ := bytes.Cut(data, []byte("\n"))
	if bytes.Count(firstLine, []byte(";")) > bytes.Count(firstLine, []byte(",")) {
		return ';'
	}
	return ','
}
