package awconfig

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Difference is one field that differs between two configurations.
type Difference struct {
	Subject string // e.g. "model rota"
	Field   string
	Was     string // empty if the value is new
	Becomes string // empty if the value is removed
}

// String formats the difference as one line.
func (d Difference) String() string {
	return fmt.Sprintf("%s: %s: %s -> %s", d.Subject, d.Field, orNone(d.Was), orNone(d.Becomes))
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// DiffSheet returns what applying a sheet with these models would change,
// sorted by model name.
func DiffSheet(s *State, models []Model) []Difference {
	wanted := make(map[string]Model, len(models))
	for _, m := range models {
		wanted[m.Name] = m
	}
	return diffModels(s.Models, wanted)
}

// Diff returns the differences between two states. It leaves out teams. It also
// leaves out placements, because they are derived from the rest of the state.
func Diff(was, becomes *State) []Difference {
	list := diffModels(was.Models, becomes.Models)
	list = append(list, diffMaps("domain ", "State", was.Domains, becomes.Domains, func(d DomainState) string {
		if d.Out {
			return "out"
		}
		return "in"
	})...)
	list = append(list, diffMaps("instance ", "State", was.Instances, becomes.Instances, func(i InstanceState) string {
		if i.Drained {
			return "drained"
		}
		return "in service"
	})...)
	return append(list, diffMaps("version ", "Halted", was.Halted, becomes.Halted, func(reason string) string { return "halted: " + reason })...)
}

func diffModels(was, becomes map[string]Model) []Difference {
	var list []Difference
	fields := func(m Model) []string {
		return []string{
			m.Version, m.Digest, strconv.Itoa(m.Replicas), strings.Join(m.Domains, " "),
			formatShares(m.TeamShares), string(m.Fencing),
		}
	}
	names := []string{"Version", "Digest", "Replicas", "Domains", "TeamShares", "Fencing"}
	for _, name := range unionKeys(was, becomes) {
		oldValues, newValues := make([]string, len(names)), make([]string, len(names))
		if m, ok := was[name]; ok {
			oldValues = fields(m)
		}
		if m, ok := becomes[name]; ok {
			newValues = fields(m)
		}
		for i := range names {
			if oldValues[i] != newValues[i] {
				list = append(list, Difference{Subject: "model " + name, Field: names[i], Was: oldValues[i], Becomes: newValues[i]})
			}
		}
	}
	return list
}

func diffMaps[V any](prefix, field string, was, becomes map[string]V, format func(V) string) []Difference {
	var list []Difference
	for _, name := range unionKeys(was, becomes) {
		d := Difference{Subject: prefix + name, Field: field}
		if v, ok := was[name]; ok {
			d.Was = format(v)
		}
		if v, ok := becomes[name]; ok {
			d.Becomes = format(v)
		}
		if d.Was != d.Becomes {
			list = append(list, d)
		}
	}
	return list
}

func unionKeys[V any](a, b map[string]V) []string {
	names := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(names)
	return slices.Compact(names)
}

func formatShares(m map[string]int) string {
	var list []string
	for _, team := range slices.Sorted(maps.Keys(m)) {
		list = append(list, team+"="+strconv.Itoa(m[team]))
	}
	return strings.Join(list, " ")
}

// RemovedShare returns the fraction of the configured replicas that applying a
// sheet with these models would remove, from 0 to 1.
func RemovedShare(s *State, models []Model) float64 {
	wanted := map[string]int{}
	for _, m := range models {
		wanted[m.Name] = m.Replicas
	}
	have, removed := 0, 0
	for name, m := range s.Models {
		have += m.Replicas
		removed += max(0, m.Replicas-wanted[name])
	}
	if have == 0 {
		return 0
	}
	return float64(removed) / float64(have)
}
