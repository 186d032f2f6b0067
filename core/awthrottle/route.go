package awthrottle

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutuswind/core/awdirectory"
)

// peer is what this entry knows of another one as an issuer.
type peer struct {
	silentFrom    time.Time // first ask without an answer; zero if there is none
	dead          bool
	probedAt      time.Time
	declinedUntil time.Time
}

func (t *Throttle) peer(name string) *peer {
	p := t.peers[name]
	if p == nil {
		p = &peer{}
		t.peers[name] = p
	}
	return p
}

func (t *Throttle) setSilent(name string, p *peer, silent bool) {
	p.dead = silent
	if t.cfg.OnSilence != nil {
		t.cfg.OnSilence(name, silent)
	}
}

// route returns the issuer to ask for a backend server's permits, and how. It
// probes those before it that do not answer.
func (t *Throttle) route(k awdirectory.Key, s *server, now time.Time) (issuer string, forced, cautious bool) {
	declined := ""
	for _, name := range t.candidates(k, s) {
		if name == t.cfg.Self {
			if t.issues(now) {
				return name, false, cautious
			}
			declined = cmp.Or(declined, name)
			continue
		}
		p := t.peer(name)
		switch {
		case p.dead:
			cautious = cautious || now.Sub(p.silentFrom) < goneAfter
			if now.Sub(p.probedAt) >= probeInterval {
				p.probedAt = now
				t.post(name, k, s, Notice{Ask: &Ask{}})
			}
		case now.Before(p.declinedUntil):
			declined = cmp.Or(declined, name)
		default:
			return name, false, cautious
		}
	}
	alone := len(t.entries) == 1 && now.Sub(t.started) < t.cfg.Settling
	return cmp.Or(declined, t.cfg.Self), true, cautious || alone
}

// candidates returns all entries in the order in which they are asked for permits
// of a backend server.
func (t *Throttle) candidates(k awdirectory.Key, s *server) []string {
	if s.issuers == nil {
		rank := make(map[string]uint64, len(t.entries))
		for _, name := range t.entries {
			rank[name] = xxhash.Sum64String(k.String() + "|" + name)
		}
		s.issuers = slices.Clone(t.entries)
		slices.SortFunc(s.issuers, func(a, b string) int { return cmp.Compare(rank[a], rank[b]) })
	}
	return s.issuers
}
