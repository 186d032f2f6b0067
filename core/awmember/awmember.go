// Package awmember tracks the known agents and whether they are alive and
// healthy.
//
// [Table] learns about agents from their announcements and from the instance
// list, which lags behind. Each start of an agent has a larger incarnation
// number than the previous one, and messages of an older incarnation are
// ignored. [Liveness] checks a Watch stream: each side numbers its messages and
// echoes the other side's latest number, so that a link that works in only one
// direction is detected. [Ejector] temporarily removes failing agents from
// routing, up to a fraction of the fleet.
package awmember

import (
	"time"
)

// AgentInfo describes an agent and its location.
type AgentInfo struct {
	Instance    string
	Address     string
	Domain      string
	Region      string
	Service     string // plain service that it proxies; empty for model engines
	Leaving     bool
	Incarnation uint64 // 0 if the agent is known only from the instance list
}

// Config holds the settings of a [Table].
type Config struct {
	// MissingAfter is the time without any sign of life after which an agent is
	// removed. It is checked whenever an instance list is applied.
	MissingAfter time.Duration
}

// member is one known agent.
type member struct {
	info      AgentInfo
	listed    bool // in the last instance list
	announced bool // has announced itself
	lastSeen  time.Time
}

// Table holds the known agents. It is not safe for concurrent use.
type Table struct {
	cfg        Config
	members    map[string]*member
	generation uint64
}

// Generation returns a number that increases whenever an agent is added or
// removed, or an announcement or instance list changes its [AgentInfo]. Reports
// and other mere signs of life do not increase it, so that callers can skip work
// that depends only on the set of agents.
func (t *Table) Generation() uint64 { return t.generation }

// setInfo replaces the info of a member and increases the generation if the info
// differs.
func (t *Table) setInfo(m *member, in AgentInfo) {
	if m.info != in {
		m.info = in
		t.generation++
	}
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table { return &Table{cfg: cfg, members: map[string]*member{}} }

// ApplyAnnouncement applies an announcement of an agent. It returns false if the
// announcement is of an older incarnation than the known one.
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
	// An announcement of the same incarnation does not revoke the leaving state
	// that the instance list has reported.
	if ok && in.Incarnation == m.info.Incarnation {
		in.Leaving = in.Leaving || m.info.Leaving
	}
	t.setInfo(m, in)
	m.announced, m.lastSeen = true, now
	return true
}

// ApplyInstanceList applies a complete instance list. Addresses and incarnations
// from announcements take precedence, because the list lags behind.
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
		t.setInfo(m, in)
	}
	for id, m := range t.members {
		if !m.listed && now.Sub(m.lastSeen) > t.cfg.MissingAfter {
			delete(t.members, id)
			t.generation++
		}
	}
}

// RecordReport records that an agent has sent a report on its Watch stream. It
// returns false if the agent is not known or the report is of an older
// incarnation than the known one.
func (t *Table) RecordReport(instance string, incarnation uint64, now time.Time) bool {
	m, ok := t.members[instance]
	if !ok {
		return false
	}
	if incarnation < m.info.Incarnation {
		return false
	}
	m.info.Incarnation, m.lastSeen = incarnation, now // a new incarnation alone does not change the generation
	return true
}

// Get returns a known agent and the time of its last sign of life: an
// announcement, a report or an instance list that includes it.
func (t *Table) Get(instance string) (info AgentInfo, lastSeen time.Time, ok bool) {
	m, ok := t.members[instance]
	if !ok {
		return AgentInfo{}, time.Time{}, false
	}
	return m.info, m.lastSeen, true
}

// All calls f for every known agent, in no particular order.
func (t *Table) All(f func(info AgentInfo, lastSeen time.Time)) {
	for _, m := range t.members {
		f(m.info, m.lastSeen)
	}
}
