package awdispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awthrottle"
)

// widenInterval is the time after which a waiting request asks one more backend
// server for a permit. Asking all of them at once would take permits from other
// entries that have requests for them.
const widenInterval = 15 * time.Millisecond

// updateWants asks for the permits that the waiting requests of a service need.
func (d *Dispatcher) updateWants(service string, now time.Time) {
	if d.cfg.Throttle.Limits() == 0 {
		d.cfg.Throttle.SetWants(service, nil)
		return
	}
	wants := map[awdirectory.Key]awthrottle.Wanted{}
	for _, t := range d.queues[service] {
		n := 1 + int(now.Sub(t.submitted)/widenInterval)
		list, usable := d.throttled(&t.req, now, true)
		if !usable {
			list, _ = d.throttled(&t.req, now, false)
		}
		wait := func(s throttledServer) float64 { return float64(wants[s.key].First+wants[s.key].Late) / s.rate }
		point := func(s throttledServer) float64 { return math.Mod(s.rounding+t.salt, 1) }
		slices.SortFunc(list, func(a, b throttledServer) int {
			return cmp.Or(cmp.Compare(wait(a), wait(b)), cmp.Compare(point(a), point(b)))
		})
		for _, s := range list[:min(n, len(list))] {
			w := wants[s.key]
			if t.req.Late {
				w.Late++
			} else {
				w.First++
			}
			wants[s.key] = w
		}
	}
	d.cfg.Throttle.SetWants(service, wants)
}

// throttledServer is a backend server that has capacity for a request, but may get
// it only with a permit.
type throttledServer struct {
	key      awdirectory.Key
	rate     float64 // requests per second
	rounding float64
}

// throttled returns the backend servers with a rate limit and capacity for a
// request, among those that are related to this entry, or among the others. It
// also reports whether any of them may run the request.
func (d *Dispatcher) throttled(req *Request, now time.Time, related bool) (list []throttledServer, usable bool) {
	for _, s := range d.byService[req.Service] {
		if (s.sharers > 0) != related || !d.usable(s, req, now) {
			continue
		}
		usable = true
		k := s.info.Key()
		rate, limited := d.cfg.Throttle.Limit(k)
		if _, ok := d.freeCapacity(s, req, now); ok && limited {
			list = append(list, throttledServer{k, rate, s.rounding})
		}
	}
	return list, usable
}
