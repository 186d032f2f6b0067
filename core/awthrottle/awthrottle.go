// Package awthrottle keeps an entry to what backend servers ask for in their
// responses.
package awthrottle

import (
	"time"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
)

// Config configures a [Throttle].
type Config struct {
	Clock awclock.Clock
}

// Throttle holds what backend servers have said. It is not safe for concurrent
// use.
type Throttle struct {
	cfg     Config
	servers map[awdirectory.Key]*server
}

type server struct {
	account Account
}

// New returns a throttle for which no backend server has said anything.
func New(cfg Config) *Throttle {
	return &Throttle{cfg: cfg, servers: map[awdirectory.Key]*server{}}
}

// Observe records the signals in a response of a backend server to a request sent
// at the given time. It reports whether the limit of the server has changed.
func (t *Throttle) Observe(k awdirectory.Key, s Signals, sent time.Time) bool {
	srv := t.servers[k]
	if srv == nil {
		if s == (Signals{}) {
			return false
		}
		srv = &server{}
		t.servers[k] = srv
	}
	return srv.account.observe(s, sent, t.cfg.Clock.Now())
}

// Limit returns the rate limit of a backend server in requests per second, and
// whether it has one.
func (t *Throttle) Limit(k awdirectory.Key) (float64, bool) {
	if srv := t.servers[k]; srv != nil {
		return srv.account.Limit()
	}
	return 0, false
}

// Limits returns the number of backend servers with a rate limit.
func (t *Throttle) Limits() int {
	n := 0
	for _, srv := range t.servers {
		if _, ok := srv.account.Limit(); ok {
			n++
		}
	}
	return n
}
