package awdispatch

import (
	"time"

	"arbutuswind/core/awdirectory"
)

// Load is a load report of a backend server.
type Load struct {
	At         time.Time // when the report was received
	Active     int       // running requests
	Queued     int
	Busy       bool             // a load order is in progress; the server accepts no requests
	CacheUsed  int              // in tokens
	CacheTotal int              // in tokens; 0 if unknown
	Slowdown   float64          // how many times slower than usual; over 1 if slow
	Versions   map[string]int64 // loaded version of the weights, by model
	Shared     bool             // the report holds this entry's share of the free slots
	Share      int              // if Shared: slots that this entry may use until the next report
}

// server holds what this entry knows about one incarnation of a backend server.
type server struct {
	info          awdirectory.Server
	listed        bool    // false if it has left the list but still runs requests of this entry
	sharers       int     // entries related to it, with this one; 0 if this entry is not related to it
	rounding      float64 // rounds this entry's shares of its limits; see share
	load          Load
	reported      bool
	heardAt       time.Time // when anything last arrived from it: a load report or bytes of a response
	otherRequests int       // requests of other entries, from the last report
	allowance     int       // requests that this entry may still send before the next report
	quota         int       // if load.Shared: requests of this entry that may be in flight until the next report
	extra         extraShares
	ownRequests   int // requests of this entry in flight
	coldUntil     time.Time
	rejectedUntil time.Time
	refusals      int         // connections refused in a row
	reachableFrom time.Time   // after a refused connection
	replaced      bool        // another backend server answers at its address
	evidence      *evidence   // nil unless the work of its requests is estimated
	coldSends     []time.Time // requests sent while the backend server is cold, within coldWindow
}

func (s *server) updateInfo(info awdirectory.Server, now time.Time) {
	// The server list may be outdated. It can therefore extend the cold period
	// but not shorten or end it.
	if info.ColdRemaining > 0 {
		s.coldUntil = later(s.coldUntil, now.Add(info.ColdRemaining))
	}
	if s.info.Address != info.Address {
		s.replaced = false // another server answers at the old address
	}
	s.info = info
}

// updateLoad records a load report and computes this entry's share of the free
// slots in it, unless the report holds one. All entries see the same report, so
// they divide the slots among themselves. The fraction that remains is rounded up
// at random; roundUpChance is drawn uniformly from 0 to 1. If every entry rounded
// up, many entries would use the same last slot.
func (s *server) updateLoad(l Load, entries int, roundUpChance float64) {
	s.load, s.reported = l, true
	s.heardAt = later(s.heardAt, l.At)
	s.refusals, s.reachableFrom = 0, time.Time{}
	s.otherRequests = max(0, l.Active+l.Queued-s.ownRequests)
	free := max(0, s.info.Slots-l.Active-l.Queued)
	s.allowance = int(float64(free)/float64(entries) + roundUpChance)
	s.quota = s.ownRequests + l.Share
	s.updateExtraShares(entries)
}

// refusedConnection records a refused connection.
func (s *server) refusedConnection(now time.Time) {
	s.reachableFrom = now.Add(min(maxUnreachableTime, minUnreachableTime<<min(s.refusals, 8)))
	s.refusals++
}

// versions returns the versions of the weights that the backend server holds, by
// model: from a recent load report if there is one, else from the server list.
func (s *server) versions(now time.Time) map[string]int64 {
	if s.hasFreshLoad(now) {
		return s.load.Versions
	}
	return s.info.Versions
}

// MayBegin reports whether a request that was sent with a grant may still begin. If
// not, it must be withdrawn: the version of the weights that the backend server
// holds has run out while the request waited there.
func (d *Dispatcher) MayBegin(grant *Grant, model string) bool {
	now, version := d.cfg.Clock.Now(), grant.Version
	if s := d.servers[grant.Server.Key()]; s != nil {
		version = max(version, s.versions(now)[model]) // it only rises, and may be unknown now
	}
	return version >= awdirectory.BeginFloorAt(d.floors[model], now)
}

func (s *server) hasFreshLoad(now time.Time) bool {
	return s.reported && now.Sub(s.load.At) < reportMaxAge
}

// silent reports whether the backend server's load reports have stopped and nothing
// else has arrived from it for as long. Its instance may be frozen or unreachable,
// and what was sent there may neither run nor be withdrawn.
func (s *server) silent(now time.Time) bool {
	return s.reported && !s.hasFreshLoad(now) && now.Sub(s.heardAt) >= reportMaxAge
}

func (s *server) cold(now time.Time) bool { return now.Before(s.coldUntil) }

// entries returns the number of entries that share the backend server. all is
// the number of all entries.
func (s *server) entries(all int) int {
	if s.sharers > 0 {
		return s.sharers
	}
	return all
}

// share returns this entry's share of a limit for all entries together. Shares
// are rounded up for some entries and down for others, so that they add up to
// about the limit. If all entries rounded up, 53 of them would send 53 requests
// to a server that can handle 14.
func (s *server) share(limit float64, entries int) int {
	return int(limit/float64(entries) + s.rounding)
}

// mayTakeColdRequest reports whether one more request to a cold backend server
// stays within this entry's share of its rate limit, in requests a second. An
// engine's limit belongs to the entries related to it.
func (s *server) mayTakeColdRequest(now time.Time, svc awdirectory.Service, allEntries int, hasRelations bool) bool {
	if svc.Engine && hasRelations && s.sharers == 0 {
		return false
	}
	kept := s.coldSends[:0]
	for _, at := range s.coldSends {
		if now.Sub(at) < coldWindow {
			kept = append(kept, at)
		}
	}
	s.coldSends = kept
	return len(s.coldSends) < s.share(svc.ColdRate, s.entries(allEntries))
}

// slowdown returns how many times slower than usual the backend server reports
// to be, at least 1.
func (s *server) slowdown(now time.Time) float64 {
	if s.hasFreshLoad(now) {
		return max(1, s.load.Slowdown)
	}
	return 1
}

// silentLoad is added to the load of a backend server whose load reports have
// stopped, so that it gets requests only if no other one that runs at its usual
// speed has free capacity. It may be silent itself. Requests of other entries, and
// those that were given up but still run, are not known.
const silentLoad = 2

// capacity returns how many more requests this entry may send now, and the load
// of the backend server: 1 is full. The part of the slowdown above 1 is added to
// the load. beyond is the number of requests that may wait in the server's queue.
func (s *server) capacity(now time.Time, svc awdirectory.Service, allEntries, beyond int) (int, float64) {
	slowdown := s.slowdown(now)
	slots := max(1, int(float64(s.info.Slots)/slowdown))
	limit := slots
	entries := s.entries(allEntries)
	share := s.share(float64(limit), entries)
	if !svc.Engine {
		// These servers are not related to some entries only. They reject what
		// they cannot queue, so each entry may try one request.
		limit = slots * plainRequestsPerSlot
		share = (limit + entries - 1) / entries
	}
	free := share - s.ownRequests
	load := float64(s.ownRequests) / float64(max(1, share))
	switch {
	case s.hasFreshLoad(now):
		total := s.otherRequests + s.ownRequests
		free = min(limit+beyond-total, s.remainingShare()+s.extra[beyond])
		load = float64(total) / float64(limit)
	case s.reported:
		load += silentLoad
	}
	load += slowdown - 1
	if svc.MaxConns > 0 {
		free = min(free, max(1, svc.MaxConns/allEntries)-s.ownRequests)
	}
	return free, load
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
