package awdispatch

import "time"

// Engines admit the requests in their own queue by priority. This queue is the only
// place in which requests of all entries meet. So that the most urgent ones come first
// across entries, a few of them may be sent to an engine beyond its slots.

// maxBeyondSlots is the number of requests that may wait in the queue of an engine, of
// all entries together. The shares are rounded and reports are late, so a few more may
// for a moment. A request there can no longer go to another engine.
const maxBeyondSlots = 2

// extraShares holds how many requests this entry may send to an engine, in addition to
// its share of the free slots, by the number of requests that may wait there.
type extraShares [maxBeyondSlots + 1]int

// updateExtraShares divides the room in the queue of an engine among its entries after
// a load report.
func (s *server) updateExtraShares(entries int) {
	over := max(0, s.load.Active+s.load.Queued-s.info.Slots)
	for k := range s.extra {
		s.extra[k] = 0
		if over < k {
			s.extra[k] = s.share(float64(k-over), entries)
		}
	}
}

// beyondSlots returns the number of requests that may wait in the queue of an engine
// when one of this kind is sent. Late requests and those of the least urgent rank do not
// wait there.
func (d *Dispatcher) beyondSlots(req *Request) int {
	c := d.contended[req.Service]
	if c == nil || req.Late || !d.services[req.Service].Engine {
		return 0
	}
	return max(0, min(maxBeyondSlots, c.ranks.LeastUrgent-req.Rank))
}

// beyondSlotsAt returns the same for one engine and a request that is to be sent beyond
// the slots. Engines that are cold or have a rate limit get nothing beyond them.
func (d *Dispatcher) beyondSlotsAt(s *server, req *Request, now time.Time) int {
	if req.beyond == 0 || s.cold(now) {
		return 0
	}
	if _, limited := d.cfg.Throttle.Limit(s.info.Key()); limited {
		return 0
	}
	return req.beyond
}

// bestBeyondSlots returns the best engine for an urgent request for which none has a
// free slot. It considers only the engines that are related to this entry, or those
// that are not if it is related to none.
func (d *Dispatcher) bestBeyondSlots(req *Request, now time.Time, related bool) choice {
	beyond := d.beyondSlots(req)
	if beyond == 0 || d.floorDue(req) {
		return choice{} // the less urgent need a slot that becomes free
	}
	r := *req
	r.beyond = beyond
	return d.best(&r, now, related)
}
