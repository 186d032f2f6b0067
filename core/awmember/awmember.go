// Package awmember decides which agents exist and which of them are alive.
//
// Agents become known through announcements and through the instance list,
// which lags. Each start of an agent has a larger incarnation than the one
// before; what an older incarnation says is dropped. Watch streams give
// liveness: each side counts its messages and echoes the other's counter, so
// that a link that works in one direction only is found. Outliers are ejected
// from routing for a while, but never more than a share of the fleet.
package awmember

import (
	"time"
)

// AgentInfo names an agent and where it is.
type AgentInfo struct {
	Instance    string
	Address     string
	Domain      string
	Region      string
	Service     string // plain service it fronts; empty for model engines
	Leaving     bool
	Incarnation uint64 // 0 when only the instance list has named it
}

// Config holds the periods of a [Table].
type Config struct {
	MissingAfter time.Duration // silence on every path before an agent is forgotten
}

// member is one known agent.
type member struct {
	info      AgentInfo
	listed    bool // shown by the last instance list
	announced bool // announced since it was forgotten
	lastSeen  time.Time
}

// Table holds the known agents. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	members map[string]*member
	changes uint64
}

// Generation returns a number that is raised whenever an agent appears, goes or
// changes its place. Signs of life alone leave it as it is, so that work that
// depends on who is there need not be done for each of them.
func (t *Table) Generation() uint64 { return t.changes }

// set stores what is known about a member.
func (t *Table) set(m *member, in AgentInfo) {
	if m.info != in {
		m.info = in
		t.changes++
	}
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table { return &Table{cfg: cfg, members: map[string]*member{}} }

// ApplyAnnouncement takes an announcement of an agent. It returns false for one of an
// older incarnation than known.
func (t *Table) ApplyAnnouncement(in AgentInfo, now time.Time) bool {
	m, ok := t.members[in.Instance]
	if ok && in.Incarnation < m.info.Incarnation {
		return false
	}
	if !ok {
		m = &member{}
		t.members[in.Instance] = m
	}
	if in.Service == "" {
		in.Service = m.info.Service
	}
	// An instance that the list shows as leaving does not return by an
	// announcement of the same incarnation.
	if ok && in.Incarnation == m.info.Incarnation {
		in.Leaving = in.Leaving || m.info.Leaving
	}
	t.set(m, in)
	m.announced, m.lastSeen = true, now
	return true
}

// ApplyInstanceList takes a whole instance list. An address that an announcement has given
// stays until a later incarnation changes it, because the list lags.
func (t *Table) ApplyInstanceList(list []AgentInfo, now time.Time) {
	for _, m := range t.members {
		m.listed = false
	}
	for _, in := range list {
		m, ok := t.members[in.Instance]
		if !ok {
			m = &member{}
			t.members[in.Instance] = m
		}
		m.listed, m.lastSeen = true, now
		if m.announced {
			in.Address, in.Incarnation = m.info.Address, m.info.Incarnation
		}
		t.set(m, in)
	}
	for id, m := range t.members {
		if !m.listed && now.Sub(m.lastSeen) > t.cfg.MissingAfter {
			delete(t.members, id)
			t.changes++
		}
	}
}

// RecordReport notes a report of an agent on its Watch stream. It returns false for
// one of an older incarnation than known.
func (t *Table) RecordReport(instance string, incarnation uint64, now time.Time) bool {
	m, ok := t.members[instance]
	if !ok {
		return false
	}
	if incarnation < m.info.Incarnation {
		return false
	}
	m.info.Incarnation, m.lastSeen = incarnation, now // same place, so no change
	return true
}

// Get returns a known agent and when it was last seen on any path.
func (t *Table) Get(instance string) (info AgentInfo, lastSeen time.Time, ok bool) {
	m, ok := t.members[instance]
	if !ok {
		return AgentInfo{}, time.Time{}, false
	}
	return m.info, m.lastSeen, true
}

// All calls f for every known agent, in no order.
func (t *Table) All(f func(info AgentInfo, lastSeen time.Time)) {
	for _, m := range t.members {
		f(m.info, m.lastSeen)
	}
}
