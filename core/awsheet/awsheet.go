// Package awsheet reads the planners' sheet, a CSV file that states what
// should run where.
package awsheet

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"strconv"
	"strings"

	"arbutuswind/core/awconfig"
)

// Row is one row of the sheet.
type Row struct {
	Line       int
	Model      string
	Version    string
	Replicas   int
	Domains    []string
	TeamShares map[string]int
	Fencing    awconfig.Fencing
}

// Fault is one error in a sheet.
type Fault struct {
	Line, Column int
	Message      string // what is wrong and what is allowed
}

// String returns the fault as line:column: message.
func (f Fault) String() string { return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Message) }

// Columns lists the headings of the sheet.
var Columns = []string{"Model", "Version", "Replicas", "Domains", "TeamShares", "Fencing"}

// Facts is what a sheet is checked against.
type Facts struct {
	Domains   []string       // known failure domains
	Instances map[string]int // instances with an engine by domain
}

// Parse reads a sheet and returns its rows or all its faults.
func Parse(data []byte, facts Facts) ([]Row, []Fault) {
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	r := csv.NewReader(bytes.NewReader(data))
	if head, _, _ := bytes.Cut(data, []byte("\n")); bytes.Count(head, []byte(";")) > bytes.Count(head, []byte(",")) {
		r.Comma = ';'
	}
	r.FieldsPerRecord = -1
	records, err := r.ReadAll()
	if err != nil {
		return nil, []Fault{{Line: 1, Column: 1, Message: err.Error()}}
	}
	if len(records) == 0 || strings.Join(records[0], ",") != strings.Join(Columns, ",") {
		return nil, []Fault{{Line: 1, Column: 1, Message: "headings must be " + strings.Join(Columns, ", ")}}
	}
	p := &parser{facts: facts, seen: map[string]int{}}
	for i, rec := range records[1:] {
		p.row(i+2, rec)
	}
	return p.rows, p.faults
}

type parser struct {
	facts  Facts
	rows   []Row
	faults []Fault
	seen   map[string]int
}

func (p *parser) fault(line, column int, format string, args ...any) {
	p.faults = append(p.faults, Fault{Line: line, Column: column, Message: fmt.Sprintf(format, args...)})
}

func (p *parser) row(line int, rec []string) {
	if len(rec) != len(Columns) {
		p.fault(line, len(rec), "%d fields; want %d", len(rec), len(Columns))
		return
	}
	row := Row{Line: line, Model: rec[0], Version: rec[1], Domains: strings.Fields(rec[3]), Fencing: awconfig.Fencing(rec[5])}
	if first, ok := p.seen[row.Model]; ok {
		p.fault(line, 1, "model %q stands in line %d already; want one row a model", row.Model, first)
	}
	p.seen[row.Model] = line
	n, err := strconv.Atoi(rec[2])
	if err != nil || n < 0 {
		p.fault(line, 3, "%q is not a number of replicas; want 0 or more", rec[2])
	}
	row.Replicas = n
	for _, d := range row.Domains {
		if _, ok := p.facts.Instances[d]; !ok {
			p.fault(line, 4, "unknown domain %q; want one of %s", d, strings.Join(p.facts.Domains, ", "))
		}
	}
	row.TeamShares = p.shares(line, rec[4])
	if row.Fencing != awconfig.FencingChecked && row.Fencing != awconfig.FencingIgnored {
		p.fault(line, 6, "%q is not allowed; want checked or ignored", rec[5])
	}
	p.rows = append(p.rows, row)
}

func (p *parser) shares(line int, text string) map[string]int {
	shares := map[string]int{}
	for _, field := range strings.Fields(text) {
		team, weight, ok := strings.Cut(field, "=")
		n, err := strconv.Atoi(weight)
		if !ok || team == "" || err != nil || n < 1 {
			p.fault(line, 5, "%q is not a team share; want team=weight with a weight of 1 or more", field)
			continue
		}
		shares[team] = n
	}
	return shares
}
