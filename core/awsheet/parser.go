package awsheet

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"arbutuswind/core/awconfig"
)

type parser struct {
	facts  Inventory
	rows   []Row
	demand []demand
	faults []Fault
	seen   map[string]int // line of each model
}

// demand is the replicas of one row and where they are stated.
type demand struct {
	at       field
	replicas int
	domains  []string
}

func (p *parser) fault(line, column int, format string, args ...any) {
	p.faults = append(p.faults, Fault{Line: line, Column: column, Message: fmt.Sprintf(format, args...)})
}

func (p *parser) at(f field, format string, args ...any) { p.fault(f.line, f.column, format, args...) }

func (p *parser) sorted() []Fault {
	slices.SortStableFunc(p.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	if more := len(p.faults) - MaxFaults; more > 0 {
		p.faults = append(p.faults[:MaxFaults], Fault{
			Line: p.faults[MaxFaults].Line, Column: 1, Message: fmt.Sprintf("%d more faults are not shown", more),
		})
	}
	return p.faults
}

func (p *parser) row(rec []field) {
	if len(rec) != len(Columns) {
		p.at(rec[min(len(rec), len(Columns)+1)-1], "%d fields; want %d: %s", len(rec), len(Columns), strings.Join(Columns, ", "))
		return
	}
	row := Row{
		Line: rec[colModel].line, VersionColumn: rec[colVersion].column,
		Model: p.name(rec[colModel], "model"), Version: p.name(rec[colVersion], "version"),
	}
	if first, ok := p.seen[row.Model]; ok && row.Model != "" {
		p.at(rec[colModel], "model %q stands in line %d already; want one row for each model", row.Model, first)
	} else {
		p.seen[row.Model] = row.Line
	}
	row.Replicas = p.number(rec[colReplicas], strings.TrimSpace(rec[colReplicas].text), 0, MaxReplicas, "number of replicas")
	row.Domains = p.domains(rec[colDomains])
	row.TeamShares = p.shares(rec[colTeamShares])
	row.Fencing = p.fencing(rec[colFencing], row.Domains)
	p.rows = append(p.rows, row)
	if row.Replicas > 0 {
		p.demand = append(p.demand, demand{at: rec[colReplicas], replicas: row.Replicas, domains: row.Domains})
	}
}

// name returns the text of a field that must hold one name.
func (p *parser) name(f field, what string) string {
	text := strings.TrimSpace(f.text)
	switch {
	case text == "":
		p.at(f, "%s is empty; want a name", what)
	case len(text) > MaxNameBytes:
		p.at(f, "%s has %d bytes; want at most %d", what, len(text), MaxNameBytes)
	case strings.ContainsFunc(text, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) || r == '/' }):
		p.at(f, "%s %q holds a space, a slash or a control character; want a name without", what, text)
	}
	return text
}

func (p *parser) number(f field, text string, least, most int, what string) int {
	n, err := strconv.ParseInt(text, 10, 64)
	switch {
	case errors.Is(err, strconv.ErrRange):
		p.at(f, "%s is too large for a %s; want %d to %d", text, what, least, most)
	case err != nil:
		p.at(f, "%q is not a %s; want %d to %d", text, what, least, most)
	case n < int64(least) || n > int64(most):
		p.at(f, "%d is not allowed as a %s; want %d to %d", n, what, least, most)
	default:
		return int(n)
	}
	return 0
}

// items splits a list and keeps the place of each item.
func items(f field) []field {
	var list []field
	column, line, start := f.column, f.line, -1
	if f.quoted {
		column++
	}
	at := column
	flush := func(end int) {
		if start >= 0 {
			list = append(list, field{text: f.text[start:end], line: line, column: at})
			start = -1
		}
	}
	for i, r := range f.text {
		switch {
		case r == '\n':
			flush(i)
			line, column = line+1, 0
		case unicode.IsSpace(r):
			flush(i)
		case start < 0:
			start, at = i, column
		}
		column++
		if r == '"' {
			column++ // it is doubled in the file
		}
	}
	flush(len(f.text))
	return list
}

func (p *parser) domains(f field) []string {
	var domains []string
	for _, item := range items(f) {
		switch {
		case slices.Contains(domains, item.text):
			p.at(item, "domain %q stands twice; want each domain once", item.text)
		case !slices.Contains(p.facts.Domains, item.text):
			p.at(item, "unknown domain %q; want %s", item.text, oneOf(p.facts.Domains))
		default:
			domains = append(domains, item.text)
		}
	}
	if len(items(f)) == 0 {
		p.at(f, "no domain; want %s", oneOf(p.facts.Domains))
	}
	return domains
}

func oneOf(names []string) string {
	if len(names) == 0 {
		return "a domain with instances (the instance list shows none)"
	}
	return "one or more of " + strings.Join(names, ", ")
}

func (p *parser) shares(f field) map[string]int {
	shares := map[string]int{}
	for _, item := range items(f) {
		team, weight, ok := strings.Cut(item.text, "=")
		if !ok || team == "" || weight == "" {
			p.at(item, "%q is not a team share; want team=weight", item.text)
			continue
		}
		if len(team) > MaxNameBytes {
			p.at(item, "team has %d bytes; want at most %d", len(team), MaxNameBytes)
			continue
		}
		if _, ok := shares[team]; ok {
			p.at(item, "team %q stands twice; want each team once", team)
			continue
		}
		weightAt := item
		weightAt.column += utf8.RuneCountInString(team) + 1
		shares[team] = p.number(weightAt, weight, 1, MaxWeight, "weight")
	}
	return shares
}

func (p *parser) fencing(f field, domains []string) awconfig.Fencing {
	v := awconfig.Fencing(strings.TrimSpace(f.text))
	if v != awconfig.FencingChecked && v != awconfig.FencingIgnored {
		p.at(f, "%q is not allowed; want checked or ignored", string(v))
		return v
	}
	if v == awconfig.FencingIgnored {
		return v
	}
	for _, d := range domains {
		if n := p.facts.Unfenced[d]; n > 0 {
			p.at(f, "settings of %d instances in %s say that the engine ignores fencing tokens; want ignored", n, d)
		}
	}
	return v
}

// capacity compares the replicas with the instances of the allowed domains.
// The rows of a set of domains fit only if the rows that may use no other
// domains fit into it together, so every union of the rows' domains is tried
// while there are few, and each row and all rows together otherwise. A set
// that contains one already reported is skipped.
func (p *parser) capacity() {
	sets := p.domainSets()
	slices.SortStableFunc(sets, func(a, b map[string]bool) int { return len(a) - len(b) })
	var full []map[string]bool
	for _, set := range sets {
		if slices.ContainsFunc(full, func(f map[string]bool) bool { return within(slices.Collect(maps.Keys(f)), set) }) {
			continue
		}
		have, want := 0, 0
		for d := range set {
			have += p.facts.Instances[d]
		}
		for _, d := range p.demand {
			if !within(d.domains, set) {
				continue
			}
			want += d.replicas
			if want > have {
				p.at(d.at, "%d replicas up to this row in %s, which have %d instances; want fewer replicas or more domains",
					want, strings.Join(slices.Sorted(maps.Keys(set)), " "), have)
				full = append(full, set)
				break
			}
		}
	}
}

func within(domains []string, set map[string]bool) bool {
	for _, d := range domains {
		if !set[d] {
			return false
		}
	}
	return len(domains) > 0
}

// maxSubsetDomains bounds the unions tried: 2^9 sets at the design size of 9
// domains.
const maxSubsetDomains = 10

func (p *parser) domainSets() []map[string]bool {
	names := slices.Clone(p.facts.Domains)
	var sets []map[string]bool
	if len(names) <= maxSubsetDomains {
		for mask := 1; mask < 1<<len(names); mask++ {
			set := map[string]bool{}
			for i, name := range names {
				if mask&(1<<i) != 0 {
					set[name] = true
				}
			}
			if p.isUnion(set) {
				sets = append(sets, set)
			}
		}
		return sets
	}
	all := map[string]bool{}
	for _, d := range p.demand {
		set := map[string]bool{}
		for _, name := range d.domains {
			set[name], all[name] = true, true
		}
		sets = append(sets, set)
	}
	return append(sets, all)
}

// isUnion reports whether the set is the union of the domains of rows.
func (p *parser) isUnion(set map[string]bool) bool {
	covered := map[string]bool{}
	for _, d := range p.demand {
		if within(d.domains, set) {
			for _, name := range d.domains {
				covered[name] = true
			}
		}
	}
	return len(covered) == len(set)
}
