package awdispatch

import (
	"time"

	"arbutuswind/core/awdirectory"
)

// FreeSlots returns the free slots of a service's backend servers that sent a load
// report lately and are in service, whether or not this entry may use them.
func (d *Dispatcher) FreeSlots(service string) int {
	now := d.cfg.Clock.Now()
	free := 0
	for _, s := range d.byService[service] {
		if s.hasFreshLoad(now) && !s.load.Busy && !s.info.Draining && !d.domainsOut[s.info.Domain] {
			free += max(0, s.freeNow(now))
		}
	}
	return free
}

// freeNow returns the free slots of an engine according to its last report and what
// this entry has sent since. It is negative if the engine has more requests than slots.
func (s *server) freeNow(now time.Time) int {
	return max(1, int(float64(s.info.Slots)/s.slowdown(now))) - s.otherRequests - s.ownRequests
}

// mayRunOn reports whether the backend server may still run a request that ended with an
// outcome. Engines notice up to 0.5 s later that a request was withdrawn, so its slot
// is not used again before the next report.
func mayRunOn(outcome Outcome) bool {
	return outcome == Failed || outcome == Abandoned || outcome == Unreachable
}

// remainingShare returns how many more requests this entry may send before the next
// report. A share allows for a number of requests in flight, so a slot that a request
// of this entry leaves is used again at once. No other entry can know of it before the
// next report. With equal shares it is not: an entry that has many slots would keep them
// whatever the others need.
func (s *server) remainingShare() int {
	if s.load.Shared {
		return s.quota - s.ownRequests
	}
	return s.allowance
}

// HasShare reports whether the last load report of a backend server, if it is recent,
// held this entry's share of the free slots.
func (d *Dispatcher) HasShare(k awdirectory.Key) bool {
	s := d.servers[k]
	return s != nil && s.load.Shared && s.hasFreshLoad(d.cfg.Clock.Now())
}

// WaitingFor returns the number of queued requests for a service.
func (d *Dispatcher) WaitingFor(service string) int { return len(d.queues[service]) }

// Spread is how unevenly the load of a service's backend servers is distributed, from
// their recent load reports.
type Spread struct {
	Servers    int     // with a recent report
	Peak, Mean float64 // requests at a server per slot
}

// Spread returns the spread of the load of a service's backend servers.
func (d *Dispatcher) Spread(service string) Spread {
	now := d.cfg.Clock.Now()
	var sp Spread
	for _, s := range d.byService[service] {
		if !s.hasFreshLoad(now) {
			continue
		}
		load := float64(s.otherRequests+s.ownRequests) / float64(max(1, s.info.Slots))
		sp.Servers, sp.Peak, sp.Mean = sp.Servers+1, max(sp.Peak, load), sp.Mean+load
	}
	sp.Mean /= float64(max(1, sp.Servers))
	return sp
}
