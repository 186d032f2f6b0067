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
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{servers: map[string]Server{}, lapsedUntil: map[string]time.Time{}}
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

// Put adds or replaces a backend server.
func (t *Table) Put(s Server) {
	t.servers[s.ID] = s
	delete(t.lapsedUntil, s.ID)
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
		delete(t.servers, id)
		delete(t.lapsedUntil, id)
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

// Expire removes lapsed servers whose grace period has ended and reports whether
// it removed any.
func (t *Table) Expire(now time.Time) bool {
	dropped := false
	for id, until := range t.lapsedUntil {
		if !now.Before(until) {
			delete(t.lapsedUntil, id)
			delete(t.servers, id)
			dropped = true
		}
	}
	return dropped
}

// Servers returns all backend servers, sorted by id.
func (t *Table) Servers() []Server {
	list := make([]Server, 0, len(t.servers))
	for _, id := range slices.Sorted(maps.Keys(t.servers)) {
		list = append(list, t.servers[id])
	}
	return list
}
