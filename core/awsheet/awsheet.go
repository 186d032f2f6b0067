// Package awsheet parses the sheet, a CSV file in which planners state the
// version, the number of replicas and the failure domains of each model.
//
// [Parse] reports all faults of a sheet in one pass. Each fault has the line and
// column where the field starts and says what is allowed there.
package awsheet

import (
	"bytes"
	"fmt"
	"strings"

	"arbutuswind/core/awconfig"
)

// Limits of a sheet. They are far above the design size of 7,300 replicas and
// keep a wrong file from exhausting the memory of an entry.
const (
	MaxBytes     = 1 << 20
	MaxRows      = 4096
	MaxFaults    = 200     // reported in one pass; one more fault gives the number of the others
	MaxReplicas  = 100_000 // of one model
	MaxWeight    = 1_000_000
	MaxNameBytes = 128 // length of a model, version or team name
)

// Row is one row of the sheet.
type Row struct {
	Line          int
	VersionColumn int // column of the version in the file
	Model         string
	Version       string
	Replicas      int
	Domains       []string
	TeamShares    map[string]int
	Fencing       awconfig.Fencing
}

// Fault is one error in a sheet. Line and Column count from 1, and columns
// count characters, not bytes.
type Fault struct {
	Line, Column int
	Field        string `json:",omitempty"` // heading of the column; empty if the fault is not in one field
	Message      string // what is wrong and what is allowed
}

// String formats the fault as line:column: message.
func (f Fault) String() string { return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Message) }

// VersionField is the heading of the column with the versions.
const VersionField = "Version"

// Columns lists the column headings of a sheet in the required order.
var Columns = []string{"Model", VersionField, "Replicas", "Domains", "TeamShares", "Fencing"}

const (
	colModel = iota
	colVersion
	colReplicas
	colDomains
	colTeamShares
	colFencing
)

// Inventory describes the fleet that a sheet is checked against.
type Inventory struct {
	Domains   []string       // known failure domains
	Instances map[string]int // number of instances with an engine, by domain
	Unfenced  map[string]int // number of instances whose settings say that the engine ignores fencing tokens, by domain

	Unknown bool            // the fleet is not known: domain names, capacity and fencing settings are not checked
	Out     map[string]bool // domains that operators took out of service
	Drained map[string]int  // number of the Instances that operators drained, by domain
}

// Parse parses a sheet and returns either its rows or its faults, sorted by
// position in the file.
func Parse(data []byte, inv Inventory) ([]Row, []Fault) {
	rows, faults := ParsePartial(data, inv)
	if len(faults) > 0 {
		return nil, faults
	}
	return rows, nil
}

// ParsePartial is like [Parse], but in case of faults it also returns the rows
// that have all fields. This lets callers run more checks on them and report
// all faults together.
func ParsePartial(data []byte, inv Inventory) ([]Row, []Fault) {
	result := Check(data, inv)
	return result.Rows, result.Faults
}

// Result is the outcome of [Check].
type Result struct {
	Rows     []Row   // rows that have all fields
	Faults   []Fault // reasons to refuse the sheet, sorted by position
	Warnings []Fault // entries of an acceptable sheet that have no effect or cannot be fulfilled now, sorted by position
}

// Check parses a sheet and reports its faults like [ParsePartial]. It also
// returns warnings, which are no reason to refuse the sheet.
func Check(data []byte, inv Inventory) Result {
	data, fault := checkText(data)
	if fault != nil {
		return Result{Faults: []Fault{*fault}}
	}
	p := &parser{inventory: inv, modelLines: map[string]int{}}
	p.checkEncoding(data)
	s := &scanner{data: data, comma: separator(data), line: 1, column: 1, addFault: p.addFault}
	heading, ok := s.record()
	if !ok || !isHeading(heading) {
		p.addFault(1, 1, "headings must be %s", strings.Join(Columns, ", "))
		return Result{Faults: sortFaults(p.faults)}
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
	if !inv.Unknown {
		p.checkCapacity()
	}
	return Result{Rows: p.rows, Faults: sortFaults(p.faults), Warnings: sortFaults(p.warnings)}
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

// separator returns the field separator, a semicolon if the first line has more
// of them than commas.
func separator(data []byte) byte {
	firstLine, _, _ := bytes.Cut(data, []byte("\n"))
	if bytes.Count(firstLine, []byte(";")) > bytes.Count(firstLine, []byte(",")) {
		return ';'
	}
	return ','
}
