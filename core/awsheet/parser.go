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
	inventory  Inventory
	rows       []Row
	demand     []demand
	faults     []Fault
	warnings   []Fault
	modelLines map[string]int // line of the first row of each model
}

// demand is the number of replicas that one row wants in its domains.
type demand struct {
	field    field // states the number of replicas
	replicas int
	domains  []string
}

func (p *parser) addFault(line, column int, format string, args ...any) {
	p.faults = append(p.faults, Fault{Line: line, Column: column, Message: fmt.Sprintf(format, args...)})
}

func (p *parser) addFaultAt(f field, format string, args ...any) {
	p.faults = append(p.faults, newFault(f, format, args...))
}

func newFault(f field, format string, args ...any) Fault {
	return Fault{Line: f.line, Column: f.column, Field: f.heading, Message: fmt.Sprintf(format, args...)}
}

// sortFaults sorts faults by position and cuts the list after [MaxFaults].
func sortFaults(list []Fault) []Fault {
	slices.SortStableFunc(list, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	if more := len(list) - MaxFaults; more > 0 {
		list = append(list[:MaxFaults], Fault{
			Line: list[MaxFaults].Line, Column: 1, Message: fmt.Sprintf("%d more faults are not shown", more),
		})
	}
	return list
}

func (p *parser) parseRow(rec []field) {
	if len(rec) != len(Columns) {
		p.addFaultAt(rec[min(len(rec), len(Columns)+1)-1], "%d fields; want %d: %s", len(rec), len(Columns), strings.Join(Columns, ", "))
		return
	}
	for i := range rec {
		rec[i].heading = Columns[i]
	}
	row := Row{
		Line: rec[colModel].line, VersionColumn: rec[colVersion].column,
		Model: p.parseName(rec[colModel], "model"), Version: p.parseName(rec[colVersion], "version"),
	}
	if firstLine, ok := p.modelLines[row.Model]; ok && row.Model != "" {
		p.addFaultAt(rec[colModel], "model %q is already in line %d; want one row per model", row.Model, firstLine)
	} else {
		p.modelLines[row.Model] = row.Line
	}
	row.Replicas = p.parseNumber(rec[colReplicas], strings.TrimSpace(rec[colReplicas].text), 0, MaxReplicas, "number of replicas")
	row.Domains = p.parseDomains(rec[colDomains])
	row.TeamShares = p.parseShares(rec[colTeamShares])
	row.Fencing = p.parseFencing(rec[colFencing], row.Domains)
	p.rows = append(p.rows, row)
	p.checkEffect(rec, row)
	if row.Replicas > 0 {
		p.demand = append(p.demand, demand{field: rec[colReplicas], replicas: row.Replicas, domains: row.Domains})
	}
}

// parseName returns the text of a field that must hold exactly one name.
func (p *parser) parseName(f field, what string) string {
	text := strings.TrimSpace(f.text)
	switch {
	case text == "":
		p.addFaultAt(f, "%s is empty; want a name", what)
	case len(text) > MaxNameBytes:
		p.addFaultAt(f, "%s name has %d bytes; want at most %d", what, len(text), MaxNameBytes)
	case strings.ContainsFunc(text, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) || r == '/' }):
		p.addFaultAt(f, "%s %q contains a space, a slash or a control character; want a name without them", what, text)
	}
	return text
}

// parseNumber returns the integer in text, or 0 and a fault for the field if it
// is not an integer in the given range.
func (p *parser) parseNumber(f field, text string, minValue, maxValue int, what string) int {
	n, err := strconv.ParseInt(text, 10, 64)
	switch {
	case errors.Is(err, strconv.ErrRange):
		p.addFaultAt(f, "%s is too large for a %s; want %d to %d", text, what, minValue, maxValue)
	case err != nil:
		p.addFaultAt(f, "%q is not a %s; want %d to %d", text, what, minValue, maxValue)
	case n < int64(minValue) || n > int64(maxValue):
		p.addFaultAt(f, "%d is not allowed as a %s; want %d to %d", n, what, minValue, maxValue)
	default:
		return int(n)
	}
	return 0
}

// splitList splits a field at white space and returns the items with their
// positions in the file.
func splitList(f field) []field {
	var list []field
	column, line, start := f.column, f.line, -1
	if f.quoted {
		column++
	}
	itemColumn := column
	endItem := func(end int) {
		if start >= 0 {
			list = append(list, field{text: f.text[start:end], line: line, column: itemColumn, heading: f.heading})
			start = -1
		}
	}
	for i, r := range f.text {
		switch {
		case r == '\n':
			endItem(i)
			line, column = line+1, 0
		case unicode.IsSpace(r):
			endItem(i)
		case start < 0:
			start, itemColumn = i, column
		}
		column++
		if r == '"' {
			column++ // a quote inside a quoted field is doubled in the file
		}
	}
	endItem(len(f.text))
	return list
}

func (p *parser) parseDomains(f field) []string {
	var domains []string
	for _, item := range splitList(f) {
		switch {
		case slices.Contains(domains, item.text):
			p.addFaultAt(item, "domain %q is listed twice; want each domain once", item.text)
		case !p.inventory.Unknown && !slices.Contains(p.inventory.Domains, item.text):
			p.addFaultAt(item, "unknown domain %q; want %s", item.text, p.domainChoices())
		default:
			domains = append(domains, item.text)
		}
	}
	if len(splitList(f)) == 0 {
		p.addFaultAt(f, "no domain; want %s", p.domainChoices())
	}
	return domains
}

// domainChoices says for a fault which domains are allowed.
func (p *parser) domainChoices() string {
	switch {
	case p.inventory.Unknown:
		return "one or more domains with instances"
	case len(p.inventory.Domains) == 0:
		return "a domain with instances (the instance list has none)"
	}
	return "one or more of " + strings.Join(p.inventory.Domains, ", ")
}

func (p *parser) parseShares(f field) map[string]int {
	shares := map[string]int{}
	for _, item := range splitList(f) {
		team, weight, ok := strings.Cut(item.text, "=")
		if !ok || team == "" || weight == "" {
			p.addFaultAt(item, "%q is not a team share; want team=weight", item.text)
			continue
		}
		if len(team) > MaxNameBytes {
			p.addFaultAt(item, "team name has %d bytes; want at most %d", len(team), MaxNameBytes)
			continue
		}
		if _, ok := shares[team]; ok {
			p.addFaultAt(item, "team %q is listed twice; want each team once", team)
			continue
		}
		weightField := item
		weightField.column += utf8.RuneCountInString(team) + 1
		shares[team] = p.parseNumber(weightField, weight, 1, MaxWeight, "weight")
	}
	return shares
}

func (p *parser) parseFencing(f field, domains []string) awconfig.Fencing {
	v := awconfig.Fencing(strings.TrimSpace(f.text))
	if v != awconfig.FencingChecked && v != awconfig.FencingIgnored {
		p.addFaultAt(f, "%q is not allowed; want checked or ignored", string(v))
		return v
	}
	if v == awconfig.FencingIgnored {
		return v
	}
	for _, d := range domains {
		if n := p.inventory.Unfenced[d]; n > 0 {
			p.addFaultAt(f, "the settings of %d instances in %s say that the engine ignores fencing tokens; want ignored", n, d)
		}
	}
	return v
}

// checkEffect warns of fields that have no effect or cannot be fulfilled in the
// present state of the fleet. The domains of each row are considered alone, not
// together with other rows.
func (p *parser) checkEffect(rec []field, row Row) {
	if row.Replicas == 0 {
		if len(row.TeamShares) > 0 {
			p.addWarning(rec[colTeamShares], "team shares have no effect on a model without replicas")
		}
		return
	}
	if len(row.Domains) == 0 {
		return // already reported as a fault
	}
	listed, inService, out := 0, 0, 0
	for _, d := range row.Domains {
		listed += p.inventory.Instances[d]
		if p.inventory.Out[d] {
			out++
			continue
		}
		inService += p.inventory.Instances[d] - p.inventory.Drained[d]
	}
	switch {
	case out == len(row.Domains):
		p.addWarning(rec[colDomains], "every domain of the model is out of service; no replica can serve")
	case !p.inventory.Unknown && row.Replicas <= listed && row.Replicas > inService:
		p.addWarning(rec[colReplicas], "%d replicas are requested, but %d of the %d instances in these domains are in service", row.Replicas, inService, listed)
	}
}

func (p *parser) addWarning(f field, format string, args ...any) {
	p.warnings = append(p.warnings, newFault(f, format, args...))
}

// checkCapacity reports rows that want more replicas than their domains have
// instances. All rows fit only if, for each set of domains, the rows that may
// use no other domains fit into the set together. With few domains, every union
// of the rows' domains is checked; otherwise only the domains of each row and
// those of all rows together. A set that contains one already reported is
// skipped.
func (p *parser) checkCapacity() {
	sets := p.setsToCheck()
	slices.SortStableFunc(sets, func(a, b map[string]bool) int { return len(a) - len(b) })
	var exceeded []map[string]bool
	for _, set := range sets {
		if slices.ContainsFunc(exceeded, func(f map[string]bool) bool { return isSubset(slices.Collect(maps.Keys(f)), set) }) {
			continue
		}
		available, wanted := 0, 0
		for d := range set {
			available += p.inventory.Instances[d]
		}
		for _, d := range p.demand {
			if !isSubset(d.domains, set) {
				continue
			}
			wanted += d.replicas
			if wanted > available {
				p.addFaultAt(d.field, "%d replicas are requested up to this row in %s, where there are %d instances; want fewer replicas or more domains",
					wanted, strings.Join(slices.Sorted(maps.Keys(set)), " "), available)
				exceeded = append(exceeded, set)
				break
			}
		}
	}
}

// isSubset reports whether there are domains and all of them are in the set.
func isSubset(domains []string, set map[string]bool) bool {
	for _, d := range domains {
		if !set[d] {
			return false
		}
	}
	return len(domains) > 0
}

// maxSubsetDomains is the largest number of domains for which all unions are
// checked. The design size of 9 domains has 2^9 sets.
const maxSubsetDomains = 10

// setsToCheck returns the sets of domains that [parser.checkCapacity] checks.
func (p *parser) setsToCheck() []map[string]bool {
	names := slices.Clone(p.inventory.Domains)
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
	union := map[string]bool{}
	for _, d := range p.demand {
		set := map[string]bool{}
		for _, name := range d.domains {
			set[name], union[name] = true, true
		}
		sets = append(sets, set)
	}
	return append(sets, union)
}

// isUnion reports whether the set is the union of the domains of some rows.
func (p *parser) isUnion(set map[string]bool) bool {
	covered := map[string]bool{}
	for _, d := range p.demand {
		if isSubset(d.domains, set) {
			for _, name := range d.domains {
				covered[name] = true
			}
		}
	}
	return len(covered) == len(set)
}
