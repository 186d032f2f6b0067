package awdispatch

import (
	"time"

	"arbutuswind/core/awdirectory"
)

// Load is what a backend server says of itself.
type Load struct {
	At         time.Time // when the report was received
	Active     int       // requests that run
	Queued     int
	Busy       bool // an order is in progress, so that it accepts nothing
	CacheUsed  int  // tokens
	CacheTotal int
	Slowdown   float64 // over 1 when it is slow
	Versions   map[string]int64
}

// server is what this entry knows of one incarnation of a backend server.
type server struct {
	info          awdirectory.Server
	load          Load
	reported      bool
	otherRequests int // requests of other entries in the last report
	allowance     int // requests that may still be sent until the next report
	ownRequests   int // requests of this entry in flight
	coldUntil     time.Time
	rejectedUntil time.Time
	replaced      bool        // another backend server answers at its address
	coldSends     []time.Time // to a cold backend server, within coldWindow
}

func (s *server) updateInfo(info awdirectory.Server, now time.Time) {
	// The list lags: what it says extends the time that is known, and a later
	// entry without a time does not end it.
	if info.ColdRemaining > 0 {
		s.coldUntil = later(s.coldUntil, now.Add(info.ColdRemaining))
	}
	s.info = info
}

// updateLoad takes a load updateLoad. The free places are shared by all entries that
// see it. What does not divide evenly goes to some of them, drawn by chance
// from 0 to 1: if each took one more, many entries would fill the last place
// many times over.
func (s *server) updateLoad(l Load, entries int, roundUpChance float64) {
	s.load, s.reported = l, true
	s.otherRequests = max(0, l.Active+l.Queued-s.ownRequests)
	free := max(0, s.info.Slots-l.Active-l.Queued)
	s.allowance = int(float64(free)/float64(entries) + roundUpChance)
}

// versions returns the weights that the backend server holds.
func (s *server) versions(now time.Time) map[string]int64 {
	if s.fresh(now) {
		return s.load.Versions
	}
	return s.info.Versions
}

func (s *server) fresh(now time.Time) bool {
	return s.reported && now.Sub(s.load.At) < reportMaxAge
}

func (s *server) cold(now time.Time) bool { return now.Before(s.coldUntil) }

// mayTakeColdRequest reports whether one more send to a cold backend server stays below
// this entry's share of the rate that it bears.
func (s *server) mayTakeColdRequest(now time.Time, rate float64, entries int) bool {
	kept := s.coldSends[:0]
	for _, at := range s.coldSends {
		if now.Sub(at) < coldWindow {
			kept = append(kept, at)
		}
	}
	s.coldSends = kept
	return len(s.coldSends) < max(1, int(rate)/entries)
}

// slowdown returns how many times slower than usual the backend server says
// that it is, at least 1.
func (s *server) slowdown(now time.Time) float64 {
	if s.fresh(now) {
		return max(1, s.load.Slowdown)
	}
	return 1
}

// capacity returns how many more requests this entry may send now, and the load
// from 0 to 1 that the backend server has.
func (s *server) capacity(now time.Time, svc awdirectory.Service, entries int) (int, float64) {
	slowdown := s.slowdown(now)
	slots := max(1, int(float64(s.info.Slots)/slowdown))
	limit := slots
	if !svc.Engine {
		limit = slots * plainRequestsPerSlot
	}
	share := (limit + entries - 1) / entries
	free := share - s.ownRequests
	load := float64(s.ownRequests) / float64(share)
	if s.fresh(now) {
		total := s.otherRequests + s.ownRequests
		free = min(limit-total, s.allowance)
		load = float64(total) / float64(limit)
	}
	load += slowdown - 1
	if svc.MaxConns > 0 {
		free = min(free, max(1, svc.MaxConns/entries)-s.ownRequests)
	}
	return free, load
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
