package main

import (
	"net/http"
	"time"
)

const (
	plainService = "ledger"
	plainServers = 3
	plainSlots   = 6
	perSecond    = 40
	settleTime   = 2 * time.Second // from the readiness of the gateways to the first request
)

// windows is a trouble that comes more than once.
type windows struct {
	begin    time.Time
	on, off  time.Duration
	troubled int // servers
	chance   float64
}

// The doses are those of entries of the site file: garble with how "extra late", share
// 0.6, x 0.03 and for_s 5.0, and srv_grey with how "errors", share 0.14, x 0.45 and
// for_s 6.5. A share is rounded to whole servers, at least one.
var (
	garbleExtra = windows{on: 5 * time.Second, off: 2 * time.Second, troubled: 2, chance: 0.03}
	greyErrors  = windows{on: 6500 * time.Millisecond, off: 2 * time.Second, troubled: 1, chance: 0.45}
)

// length returns the length of a load with n windows.
func (w windows) length(n int) time.Duration { return time.Duration(n)*(w.on+w.off) + w.off }

// active reports whether the trouble is on.
func (w windows) active() bool {
	since := time.Since(w.begin) - w.off
	return since >= 0 && since%(w.on+w.off) < w.on
}

// playPlain sends requests of a non_idempotent route through two gateways to three
// servers, of which some have a trouble in n windows.
func playPlain(l *lab, w windows, n int, how reply) ([]outcome, error) {
	l.store.put("op", "config", operatorConfig(plainService, "non_idempotent"))
	var servers []*server
	for i := range plainServers {
		s, err := newServer(i+1, plainService, l.rec, l.store)
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	fronts, err := l.startGateways(2)
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	w.begin = time.Now()
	if l.trouble {
		for _, s := range servers[:w.troubled] {
			s.setTrouble(func() reply {
				if w.active() && s.chance(w.chance) {
					return how
				}
				return reply{}
			})
		}
	}
	return newClient(l.rec).load(fronts, "/assign/2f", perSecond, w.length(n)), nil
}

// lateRejection is an answer of a server that turns a request away, without the id of a
// request.
const lateRejection = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// extraAnswer checks TWICE while some servers send bytes that belong to no request
// where the next answer is due.
func extraAnswer(l *lab) (int, error) {
	outcomes, err := playPlain(l, garbleExtra, 5, reply{early: lateRejection})
	broken := 0
	for _, o := range outcomes {
		if n := l.rec.runCount(o.attempt); n > 1 {
			broken++
			l.rec.note("TWICE: %s ran %d times, its client got %d", o.attempt, n, o.status)
		}
	}
	return broken, err
}

// own503 checks REFUSED while a server fails part of the requests that it runs with a
// 503 of its own, which does not say that the request has not run.
func own503(l *lab) (int, error) {
	outcomes, err := playPlain(l, greyErrors, 3, reply{status: http.StatusServiceUnavailable})
	broken := 0
	for _, o := range outcomes {
		if n := l.rec.runCount(o.attempt); n > 0 && o.promisesNotRun() {
			broken++
			l.rec.note("REFUSED: %s was answered %d, signed %t, and ran %d times", o.attempt, o.status, o.signed, n)
		}
	}
	return broken, err
}
