package awdirectory

import (
	"maps"
	"slices"
	"time"
)

// Server is a backend server as the store lists it.
type Server struct {
	ID            string
	StartUnixMs   int64 // start, Unix milliseconds; another value is another incarnation
	Service       string
	Address       string // IP:port
	Domain        string
	Region        string
	Slots         int
	Draining      bool
	ColdRemaining time.Duration // time for which it stays cold, when listed
	Versions      map[string]int64
}

// Key identifies an incarnation of a backend server.
type Key struct {
	ID          string
	StartUnixMs int64
}

// Key returns the identity of the incarnation.
func (s *Server) Key() Key { return Key{ID: s.ID, StartUnixMs: s.StartUnixMs} }

// lapseAfter is the time without the store, counted from the first failed
// read, from which entries may have lapsed because of it.
const lapseAfter = time.Second

// ReregistrationGrace is the time after the end of an outage of the store in which
// entries of backend servers that lapsed during the outage are waited for. They
// are back within two seconds; the end of an outage is noticed up to a second
// late, and a backend server that really left must get nothing two seconds
// after that.
const ReregistrationGrace = time.Second

// Table holds the listed backend servers. It is not safe for concurrent use.
type Table struct {
	servers map[string]Server
	lapsed  map[string]time.Time // removed by an outage; used until then
	away    time.Time            // first failed read of the outage; zero while the store answers
	backAt  time.Time            // end of the last outage
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{servers: map[string]Server{}, lapsed: map[string]time.Time{}}
}

// MarkStoreUnavailable notes that the list could not be read.
func (t *Table) MarkStoreUnavailable(now time.Time) {
	if t.away.IsZero() {
		t.away = now
	}
}

// MarkStoreAvailable notes that the list could be read.
func (t *Table) MarkStoreAvailable(now time.Time) {
	if !t.away.IsZero() && now.Sub(t.away) >= lapseAfter {
		t.backAt = now
	}
	t.away = time.Time{}
}

// Put adds or replaces a backend server.
func (t *Table) Put(s Server) {
	t.servers[s.ID] = s
	delete(t.lapsed, s.ID)
}

// Remove notes that the store has dropped an entry. One that lapsed because its
// backend server could not reach the store either stays usable until
// [ReregistrationGrace] after the outage. Any other, and one that was leaving, is gone
// at once.
func (t *Table) Remove(id string, now time.Time) {
	s, ok := t.servers[id]
	until := t.backAt.Add(ReregistrationGrace)
	if !ok || s.Draining || t.backAt.IsZero() || !now.Before(until) {
		delete(t.servers, id)
		delete(t.lapsed, id)
		return
	}
	t.lapsed[id] = until
}

// Replace takes a whole list of the store.
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

// Expire drops lapsed entries that did not come back and reports whether it
// dropped one.
func (t *Table) Expire(now time.Time) bool {
	dropped := false
	for id, until := range t.lapsed {
		if !now.Before(until) {
			delete(t.lapsed, id)
			delete(t.servers, id)
			dropped = true
		}
	}
	return dropped
}

// Servers returns all backend servers in the order of their ids.
func (t *Table) Servers() []Server {
	list := make([]Server, 0, len(t.servers))
	for _, id := range slices.Sorted(maps.Keys(t.servers)) {
		list = append(list, t.servers[id])
	}
	return list
}
