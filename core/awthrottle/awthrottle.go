// Package awthrottle keeps the entries to the request rates that backend servers
// name in their responses.
//
// A limit holds for all entries together. For each backend server with a limit,
// one entry issues permits at that rate; a request is sent only with a permit.
// Entries ask for permits when requests wait, so the rate goes where the callers
// are, and it is used whatever the number of entries. Shares fixed in advance do
// neither: with 50 entries and 4 requests per second, each may send one request
// every 12 seconds, whether it has a caller then or not.
//
// The issuer of a server is the first of all entries in rendezvous order that
// answers. An entry that has just started declines, because the others may not
// know it yet and ask another issuer. While an earlier issuer does not answer, it
// may still be issuing to entries that reach it, so the next one issues at a part
// of the rate. So does an entry that has just started and knows no other one.
package awthrottle

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
)

const (
	// permitTTL is how long a permit may be used.
	permitTTL = 300 * time.Millisecond
	// spareTTL is how long a permit is asked for that no request waits for.
	spareTTL = 150 * time.Millisecond
	// askRefresh is the time after which an unchanged ask is repeated, and askRetry
	// that after which one without an answer is.
	askRefresh = 200 * time.Millisecond
	askRetry   = 40 * time.Millisecond
	// minAskGap is the shortest time between two asks for one backend server.
	minAskGap = 5 * time.Millisecond
	// silenceLimit is how long an issuer may leave asks unanswered before the next
	// one is asked.
	silenceLimit = 160 * time.Millisecond
	// probeInterval is the time between two asks without a request to an issuer that
	// does not answer.
	probeInterval = 500 * time.Millisecond
	// goneAfter is the time without answers after which an entry is taken to have
	// ended.
	goneAfter = 10 * time.Second
	// declineTTL is how long an issuer that declined is not asked again.
	declineTTL = 500 * time.Millisecond
	// pauseLimit is the time between two ticks from which this process is taken to
	// have been paused. Silence of others before that is no evidence.
	pauseLimit = 100 * time.Millisecond
	// forgetAfter is how long a backend server that is not listed is remembered.
	forgetAfter = time.Minute
)

// Config configures a [Throttle].
type Config struct {
	Clock awclock.Clock
	Rand  *rand.Rand
	Self  string // name of this entry
	// Settling is the time from the start of an entry until all others know it.
	Settling time.Duration
	// OnSilence is called when an issuer of permits stops answering, and when it
	// answers again; may be nil.
	OnSilence func(entry string, silent bool)
}

// Wanted counts permits that an entry asks for, by what they are for.
type Wanted struct {
	First int // requests that can still meet their latency objective
	Late  int // other requests that wait
	Spare int // for the next request
}

func (w Wanted) total() int { return w.First + w.Late + w.Spare }

// less returns what is left to ask for with n permits held or received.
func (w Wanted) less(n int) Wanted {
	for _, c := range []*int{&w.First, &w.Late, &w.Spare} {
		k := min(n, *c)
		*c, n = *c-k, n-k
	}
	return w
}

// Throttle holds what backend servers have said, the permits of this entry, and
// those that it issues. It is not safe for concurrent use.
type Throttle struct {
	cfg      Config
	started  time.Time
	ticked   time.Time
	stopping bool
	entries  []string // all entries, with this one
	servers  map[awdirectory.Key]*server
	peers    map[string]*peer
	wants    map[string]map[awdirectory.Key]Wanted // by service
	outbox   map[string][]Notice
	limited  []awdirectory.Key // backend servers with a limit, in order
	granted  bool              // permits have arrived, or a limit was lifted
}

// server is what this entry knows of one backend server.
type server struct {
	account    Account
	heardAt    time.Time
	permits    []time.Time // when each expires
	unused     int         // expired permits, not yet returned
	spareUntil time.Time
	issuers    []string // in the order in which they are asked
	issuer     string   // asked last
	asked      Wanted   // in the last ask, less what arrived since
	askedAt    time.Time
	answered   bool // the last ask was answered
	issue      issuance
}

// New returns a throttle for which no backend server has said anything.
func New(cfg Config) *Throttle {
	now := cfg.Clock.Now()
	return &Throttle{
		cfg: cfg, started: now, ticked: now, entries: []string{cfg.Self}, servers: map[awdirectory.Key]*server{}, peers: map[string]*peer{},
		wants: map[string]map[awdirectory.Key]Wanted{}, outbox: map[string][]Notice{},
	}
}

// SetEntries replaces the names of all entries.
func (t *Throttle) SetEntries(names []string) {
	names = append(slices.Clone(names), t.cfg.Self)
	slices.Sort(names)
	names = slices.Compact(names)
	if slices.Equal(names, t.entries) {
		return
	}
	t.entries = names
	for _, s := range t.servers {
		s.issuers = nil
	}
	for name := range t.peers {
		if _, ok := slices.BinarySearch(names, name); !ok {
			delete(t.peers, name)
		}
	}
}

// AddEntry adds an entry that has sent a notice before it is in the list of all
// entries.
func (t *Throttle) AddEntry(name string) {
	if _, ok := slices.BinarySearch(t.entries, name); !ok {
		t.SetEntries(append(slices.Clone(t.entries), name))
	}
}

// SetServers forgets backend servers that are not listed and have not been heard
// of for a while.
func (t *Throttle) SetServers(listed func(awdirectory.Key) bool) {
	now := t.cfg.Clock.Now()
	for k, s := range t.servers {
		if !listed(k) && now.Sub(s.heardAt) > forgetAfter {
			delete(t.servers, k)
		}
	}
	t.listLimited()
}

// Resettle makes this entry decline to issue permits for as long as after its start,
// because the others do not know it and may ask another issuer.
func (t *Throttle) Resettle() { t.started = t.cfg.Clock.Now() }

// Stop makes this entry decline to issue permits.
func (t *Throttle) Stop() { t.stopping = true }

// Observe records the signals in a response of a backend server to a request sent
// at the given time. It returns what has changed.
func (t *Throttle) Observe(k awdirectory.Key, signals Signals, sent time.Time) Change {
	if signals == (Signals{}) && t.servers[k] == nil {
		return Change{}
	}
	s, now := t.server(k), t.cfg.Clock.Now()
	s.heardAt = now
	c := s.account.Observe(signals, sent, now)
	if !t.changed(s, c.Limit) {
		return c
	}
	for _, name := range t.entries {
		if name != t.cfg.Self {
			t.post(name, k, s, Notice{})
		}
	}
	return c
}

// Leaving reports whether a backend server has said that it is leaving.
func (t *Throttle) Leaving(k awdirectory.Key) bool {
	s := t.servers[k]
	return s != nil && s.account.Leaving
}

// PausedUntil returns the end of the pause that a backend server has asked for. It
// is in the past if there is none.
func (t *Throttle) PausedUntil(k awdirectory.Key) time.Time {
	if s := t.servers[k]; s != nil {
		return s.account.PausedUntil
	}
	return time.Time{}
}

// Greet tells an entry that has started which limits are in force.
func (t *Throttle) Greet(name string) {
	for _, k := range t.limited {
		t.post(name, k, t.servers[k], Notice{})
	}
}

func (t *Throttle) server(k awdirectory.Key) *server {
	s := t.servers[k]
	if s == nil {
		s = &server{}
		t.servers[k] = s
	}
	return s
}

// changed reacts to a change of a backend server's limit, which it returns.
func (t *Throttle) changed(s *server, changed bool) bool {
	if !changed {
		return false
	}
	if _, limited := s.account.Limit(); !limited {
		s.permits, s.unused, s.asked, s.issue = nil, 0, Wanted{}, issuance{}
		t.granted = true
	}
	t.listLimited()
	return true
}

func (t *Throttle) listLimited() {
	t.limited = nil
	for k, s := range t.servers {
		if _, limited := s.account.Limit(); limited {
			t.limited = append(t.limited, k)
		}
	}
	slices.SortFunc(t.limited, func(a, b awdirectory.Key) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartUnixMs, b.StartUnixMs))
	})
}

// Limit returns the rate limit of a backend server in requests per second, and
// whether it has one.
func (t *Throttle) Limit(k awdirectory.Key) (float64, bool) {
	if s := t.servers[k]; s != nil {
		return s.account.Limit()
	}
	return 0, false
}

// Limits returns the number of backend servers with a rate limit.
func (t *Throttle) Limits() int { return len(t.limited) }

// MaySend reports whether a request may be sent to a backend server now: it has
// no limit, or this entry holds a permit.
func (t *Throttle) MaySend(k awdirectory.Key) bool {
	s := t.servers[k]
	if s == nil {
		return true
	}
	if _, limited := s.account.Limit(); !limited {
		return true
	}
	return s.held(t.cfg.Clock.Now()) > 0
}

// held returns the number of permits that may be used. It drops expired ones.
func (s *server) held(now time.Time) int {
	for len(s.permits) > 0 && !now.Before(s.permits[0]) {
		s.permits = s.permits[1:]
		s.unused++
	}
	return len(s.permits)
}

// Sent records that a request is sent to a backend server. It uses a permit.
func (t *Throttle) Sent(k awdirectory.Key) {
	if s := t.servers[k]; s != nil && len(s.permits) > 0 {
		s.permits = s.permits[1:]
	}
}

// SetWants replaces the permits that waiting requests of a service need.
func (t *Throttle) SetWants(service string, wants map[awdirectory.Key]Wanted) {
	if len(wants) == 0 {
		delete(t.wants, service)
		return
	}
	t.wants[service] = wants
}

// WantSpare asks for a permit that the next request may use.
func (t *Throttle) WantSpare(k awdirectory.Key) {
	t.server(k).spareUntil = t.cfg.Clock.Now().Add(spareTTL)
}

// TakeGranted reports whether permits have arrived or a limit was lifted since the
// last call, so that requests that wait may be sent.
func (t *Throttle) TakeGranted() bool {
	granted := t.granted
	t.granted = false
	return granted
}

// Tick issues permits and finds issuers that do not answer. It must be called
// every few tens of milliseconds while a backend server has a limit.
func (t *Throttle) Tick() {
	now := t.cfg.Clock.Now()
	paused := now.Sub(t.ticked) > pauseLimit
	t.ticked = now
	for name, p := range t.peers {
		switch {
		case p.silentFrom.IsZero():
		case paused && !p.dead:
			p.silentFrom = now
		case now.Sub(p.silentFrom) > silenceLimit && !p.dead:
			t.setSilent(name, p, true)
		}
	}
	for _, k := range t.limited {
		t.issuePermits(k, t.servers[k], now)
	}
}

// Ask asks for the permits that are wanted and neither held nor asked for yet.
func (t *Throttle) Ask() {
	if len(t.limited) == 0 {
		return
	}
	now := t.cfg.Clock.Now()
	wants := map[awdirectory.Key]Wanted{}
	for _, byServer := range t.wants {
		for k, w := range byServer {
			wants[k] = w // a backend server belongs to one service
		}
	}
	for _, k := range t.limited {
		t.ask(k, t.servers[k], wants[k], now)
	}
}

// Pending reports whether there are notices to send.
func (t *Throttle) Pending() bool { return len(t.outbox) > 0 }

// TakePending returns the notices to send to other entries, by entry.
func (t *Throttle) TakePending() map[string][]Notice {
	out := t.outbox
	t.outbox = map[string][]Notice{}
	return out
}

// ask asks for what this entry wants of a backend server, if that has changed or
// was not answered.
func (t *Throttle) ask(k awdirectory.Key, s *server, w Wanted, now time.Time) {
	if now.Before(s.spareUntil) {
		w.Spare = 1
	}
	w = w.less(s.held(now))
	age := now.Sub(s.askedAt)
	switch {
	case w == (Wanted{}) && s.asked == (Wanted{}) && s.unused == 0:
		return
	case age < minAskGap:
		return
	case w == s.asked && s.unused == 0 && age < askRefresh && (s.answered || age < askRetry):
		return
	}
	issuer, forced, cautious := t.route(k, s, now)
	a := Ask{Wanted: w, Forced: forced, Cautious: cautious}
	if issuer == s.issuer {
		a.Returned = s.unused
	}
	s.issuer, s.unused, s.asked, s.askedAt, s.answered = issuer, 0, w, now, false
	if issuer == t.cfg.Self {
		t.accept(s, t.answer(k, s, t.cfg.Self, a, now), now)
		return
	}
	if p := t.peer(issuer); p.silentFrom.IsZero() {
		p.silentFrom = now
	}
	t.post(issuer, k, s, Notice{Ask: &a})
}

func (t *Throttle) post(to string, k awdirectory.Key, s *server, n Notice) {
	n.Server, n.Account = k, s.account
	t.outbox[to] = append(t.outbox[to], n)
}

// accept takes the permits in an answer to an ask.
func (t *Throttle) accept(s *server, a Answer, now time.Time) {
	s.answered = true
	for range a.Permits {
		s.permits = append(s.permits, now.Add(permitTTL))
		t.granted = true
	}
	s.asked = s.asked.less(a.Permits)
}

// Receive handles the notices of another entry. It returns the backend servers
// whose limit has changed.
func (t *Throttle) Receive(from string, notices []Notice) []awdirectory.Key {
	now := t.cfg.Clock.Now()
	p := t.peer(from)
	p.silentFrom = time.Time{}
	if p.dead {
		t.setSilent(from, p, false)
	}
	var changed []awdirectory.Key
	for _, n := range notices {
		s := t.server(n.Server)
		s.heardAt = now
		if t.changed(s, s.account.mergeRemote(n.Account)) {
			changed = append(changed, n.Server)
		}
		if n.Ask != nil {
			a := t.answer(n.Server, s, from, *n.Ask, now)
			t.post(from, n.Server, s, Notice{Answer: &a})
		}
		if n.Answer == nil {
			continue
		}
		if n.Answer.Declined {
			p.declinedUntil = now.Add(declineTTL)
			if s.issuer == from {
				s.asked, s.askedAt = Wanted{}, time.Time{} // ask the next issuer at once
			}
			continue
		}
		if _, limited := s.account.Limit(); limited {
			t.accept(s, *n.Answer, now)
		}
	}
	return changed
}
