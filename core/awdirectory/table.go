package awdirectory

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// Server is a backend server as listed in the store.
type Server struct {
	ID            string
	StartUnixMs   int64 // start time in Unix milliseconds; identifies the incarnation
	Service       string
	Address       string // IP:port
	Domain        string
	Region        string
	Slots         int
	Draining      bool
	ColdRemaining time.Duration    // time for which it stays in cold start, as of when it was listed
	Versions      map[string]int64 // loaded versions of weights, by model
}

// Key identifies an incarnation of a backend server.
type Key struct {
	ID          string
	StartUnixMs int64
}

// String returns the key as text.
func (k Key) String() string { return k.ID + "|" + strconv.FormatInt(k.StartUnixMs, 10) }

// Key returns the key of the server's incarnation.
func (s *Server) Key() Key { return Key{ID: s.ID, StartUnixMs: s.StartUnixMs} }

// minLapsingOutage is the shortest outage of the store, counted from the first
// failed read, that may have caused registrations of backend servers to lapse.
const minLapsingOutage = time.Second

// ReregistrationGrace is the time after an outage of the store for which backend
// servers whose registrations lapsed during the outage are kept, so that they
// can register again. They do so within two seconds, and the end of the outage
// is noticed up to one second late. The grace period must be short, because a
// backend server that has really left must receive no requests two seconds
// after its registration was removed.
const ReregistrationGrace = time.Second

// Table holds the listed backend servers. Servers whose registrations may have
// lapsed because of an outage of the store are kept for a short time. It is not
// safe for concurrent use.
type Table struct {
	servers          map[string]Server
	lapsedUntil      map[string]time.Time // by id; when to drop servers that lapsed during an outage
	unavailableSince time.Time            // first failed read of an outage; zero while the store is available
	recoveredAt      time.Time            // end of the last outage

	// While the list may be older than what is known, before distrustUntil, an entry does
	// not take back that its start is leaving or has left. deferred holds, by id, entries
	// that would.
	distrustUntil time.Time
	left          map[Key]time.Time // when starts were removed from the list
	deferred      map[string]Server
}

// memoryOfLeft is how long a removal is remembered. A copy from which a store comes back
// is some seconds old.
const memoryOfLeft = time.Minute

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		servers: map[string]Server{}, lapsedUntil: map[string]time.Time{}, left: map[Key]time.Time{}, deferred: map[string]Server{},
	}
}

// MarkStoreUnavailable records that the list could not be read.
func (t *Table) MarkStoreUnavailable(now time.Time) {
	if t.unavailableSince.IsZero() {
		t.unavailableSince = now
	}
}

// MarkStoreAvailable records that the list could be read.
func (t *Table) MarkStoreAvailable(now time.Time) {
	if !t.unavailableSince.IsZero() && now.Sub(t.unavailableSince) >= minLapsingOutage {
		t.recoveredAt = now
	}
	t.unavailableSince = time.Time{}
}

// Distrust records that the store has come back from an older copy, so that the list may
// be older than what is known until the given time. Rows that the copy lacks are kept
// like those that lapse during an outage.
func (t *Table) Distrust(now, until time.Time) {
	t.distrustUntil, t.recoveredAt = until, now
}

// Put adds or replaces a backend server.
func (t *Table) Put(s Server) {
	delete(t.deferred, s.ID)
	if !t.distrustUntil.IsZero() && !s.Draining && t.hasLeft(s.Key()) {
		t.deferred[s.ID] = s
		s.Draining = true
	}
	t.servers[s.ID] = s
	delete(t.lapsedUntil, s.ID)
}

// hasLeft reports whether a start has said that it is leaving, or was removed.
func (t *Table) hasLeft(k Key) bool {
	if _, removed := t.left[k]; removed {
		return true
	}
	s, ok := t.servers[k.ID]
	return ok && s.Key() == k && s.Draining
}

// drop removes a backend server.
func (t *Table) drop(id string, now time.Time) {
	if s, ok := t.servers[id]; ok {
		t.left[s.Key()] = now
	}
	delete(t.servers, id)
	delete(t.lapsedUntil, id)
	delete(t.deferred, id)
}

// Remove handles the removal of a backend server from the store's list. Within
// [ReregistrationGrace] after an outage of the store, the registration may have
// lapsed only because the backend server could not reach the store either; the
// server is then kept until the grace period ends. Otherwise, or if the server
// was draining, it is removed immediately.
func (t *Table) Remove(id string, now time.Time) {
	s, ok := t.servers[id]
	until := t.recoveredAt.Add(ReregistrationGrace)
	if !ok || s.Draining || t.recoveredAt.IsZero() || !now.Before(until) {
		t.drop(id, now)
		return
	}
	t.lapsedUntil[id] = until
}

// Replace applies a complete list of the store.
func (t *Table) Replace(list []Server, now time.Time) {
	present := map[string]bool{}
	for _, s := range list {
		present[s.ID] = true
		t.Put(s)
	}
	for id := range t.servers {
		if !present[id] {
			t.Remove(id, now)
		}
	}
}

// Expire removes lapsed servers whose grace period has ended, and takes entries as they
// are when the list is no longer distrusted. It reports whether it changed any.
func (t *Table) Expire(now time.Time) bool {
	changed := false
	for id, until := range t.lapsedUntil {
		if !now.Before(until) {
			t.drop(id, now)
			changed = true
		}
	}
	for k, at := range t.left {
		if now.Sub(at) >= memoryOfLeft {
			delete(t.left, k)
		}
	}
	if !t.distrustUntil.IsZero() && !now.Before(t.distrustUntil) {
		t.distrustUntil = time.Time{}
		for _, s := range t.deferred {
			t.servers[s.ID] = s
			changed = true
		}
		clear(t.deferred)
	}
	return changed
}

// Servers returns all backend servers, sorted by id.
func (t *Table) Servers() []Server {
	list := make([]Server, 0, len(t.servers))
	for _, id := range slices.Sorted(maps.Keys(t.servers)) {
		list = append(list, t.servers[id])
	}
	return list
}
