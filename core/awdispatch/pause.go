package awdispatch

import (
	"time"
)

// pauseSpread is the time over which entries start to send to a backend server
// again after a pause that it has asked them for.
const pauseSpread = 500 * time.Millisecond

// pausedUntil returns when the pause that a backend server has asked for ends for
// this entry. It is in the past if there is none.
func (d *Dispatcher) pausedUntil(s *server) time.Time {
	until := d.cfg.Throttle.PausedUntil(s.info.Key())
	if until.IsZero() {
		return until
	}
	return until.Add(time.Duration(s.rounding * float64(pauseSpread)))
}

// pauseEnd returns when the first backend server that may run a request takes
// requests again, and whether all of them have asked for a pause.
func (d *Dispatcher) pauseEnd(req *Request, now time.Time) (end time.Time, paused bool) {
	for _, s := range d.byService[req.Service] {
		if !d.usable(s, req, now) {
			continue
		}
		until := d.pausedUntil(s)
		if !now.Before(until) {
			return time.Time{}, false
		}
		if !paused || until.Before(end) {
			end, paused = until, true
		}
	}
	return end, paused
}
