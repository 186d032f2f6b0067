// Package awdispatch decides at one entry which backend server runs a request
// now, which request waits and which is refused.
//
// Entries do not talk to each other on the way of a request. Each sees its own
// requests exactly and those of others through load reports that are some
// tens of milliseconds old. Between two reports an entry takes only its share
// of the room that the last one showed, so that entries that see the same
// room do not fill it twice. Bounds that hold for all entries together, such
// as the rate into a cold backend server, are divided by the number of entries
// that may be alive.
//
// An engine gets no more than it runs at once: a request that waits inside an
// engine has lost the choice of another, and under overload those that wait
// there make everybody late.
//
// A request that finds no room waits for as long as it can still be answered
// in time; one whose turn would come later is refused at once. Refused callers
// come back and are late then. Under overload they would take the places of
// those that can still be answered in time, who would be refused and come back
// late in their turn. So those that are late already come second.
package awdispatch

import (
	"math/rand/v2"
	"time"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awmember"
)

const (
	// reportMaxAge is the age up to which a load report describes a backend
	// server; reports come several times a second.
	reportMaxAge = 600 * time.Millisecond
	// plainRequestsPerSlot is the number of requests for each slot of a plain service
	// that may be there at once; its replicas queue a few.
	plainRequestsPerSlot = 2
	// coldWindow is the window in which sends to a cold backend server are
	// counted: the second of the bound and the jitter of the way there.
	coldWindow = 1200 * time.Millisecond
	// rejectedBackoff keeps requests away from a backend server that has just
	// rejected one for want of room; about the time in which a slot frees up.
	rejectedBackoff = 100 * time.Millisecond
	// maxWaitShare is the part of the latency objective that a request may
	// wait for room; the rest is needed for the way and the first event.
	maxWaitShare = 0.25
	// lateMaxWait is how long a request waits that can no longer be answered
	// inside its objective: about the time in which a busy fleet frees places.
	// One that waits longer takes the place of a later one that can.
	lateMaxWait = 150 * time.Millisecond
)

// Config configures a [Dispatcher].
type Config struct {
	Clock  awclock.Clock
	Rand   *rand.Rand
	Domain string // of this entry
	Region string
	Eject  awmember.EjectConfig
}

// Request describes what is to run.
type Request struct {
	Service  string
	Model    string // empty for plain services
	Priority int    // 0 is the most urgent
	// MaxWait is how long the request may wait for room.
	MaxWait time.Duration
	// Late marks a request that can no longer be answered inside its
	// objective.
	Late     bool
	Deadline time.Time
	Tokens   int                      // memory that it needs at an engine
	Allowed  func(region string) bool // nil allows every region
	Version  int64                    // weights that it must meet; 0 accepts any current ones
	Avoid    map[awdirectory.Key]bool // backend servers that have failed it
}

// Outcome states how an attempt ended, as far as it tells about the backend
// server.
type Outcome int

// The outcomes.
const (
	Succeeded Outcome = iota
	Failed            // it broke off, was silent or answered something that is no answer
	Rejected          // it had no room
	Replaced          // another backend server has the address
	Abandoned         // the caller left or the time was up
)

// Refusal states why a request was refused.
type Refusal int

// The reasons.
const (
	NoServer Refusal = iota // no backend server is there that may run it
	NoRoom                  // none will have room in time
)

// Dispatcher places requests. It is not safe for concurrent use.
type Dispatcher struct {
	cfg            Config
	servers        map[awdirectory.Key]*server
	byService      map[string][]*server
	domainsOut     map[string]bool                // failure domains taken out of service
	floors         map[string][]awdirectory.Floor // oldest version of a model that may begin a request
	entryCount     int
	services       map[string]awdirectory.Service
	queues         map[string][]*Ticket
	placementRates map[string]*placementRate
	ejector        *awmember.Ejector
}

// New returns a dispatcher that knows no backend server.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg: cfg, servers: map[awdirectory.Key]*server{}, byService: map[string][]*server{}, domainsOut: map[string]bool{},
		floors: map[string][]awdirectory.Floor{}, entryCount: 1, services: map[string]awdirectory.Service{},
		queues: map[string][]*Ticket{}, placementRates: map[string]*placementRate{}, ejector: awmember.NewEjector(cfg.Eject),
	}
}

// WaitLimit returns how long a request may wait for room, and whether it is
// late already. Age is the time that the caller has waited so far, in earlier
// attempts too.
func WaitLimit(objective, age time.Duration) (maxWait time.Duration, late bool) {
	if left := time.Duration(maxWaitShare*float64(objective)) - age; left > 0 {
		return left, false
	}
	return lateMaxWait, true
}

// SetEntryCount sets the number of entries that may be alive, this one included.
func (d *Dispatcher) SetEntryCount(n int) { d.entryCount = max(1, n) }

// SetServices takes the services of a new configuration.
func (d *Dispatcher) SetServices(list []awdirectory.Service) {
	clear(d.services)
	for _, s := range list {
		d.services[s.Name] = s
	}
}

// SetDomainsOut replaces the failure domains that get no new work.
func (d *Dispatcher) SetDomainsOut(domains map[string]bool) { d.domainsOut = domains }

// SetFloors replaces the floors of the versions of each model.
func (d *Dispatcher) SetFloors(floors map[string][]awdirectory.Floor) { d.floors = floors }

// SetServers replaces the list of backend servers. What is known about
// incarnations that remain is kept.
func (d *Dispatcher) SetServers(list []awdirectory.Server) {
	now := d.cfg.Clock.Now()
	present := map[awdirectory.Key]bool{}
	clear(d.byService)
	for _, info := range list {
		k := info.Key()
		present[k] = true
		s := d.servers[k]
		if s == nil {
			s = &server{}
			d.servers[k] = s
		}
		s.updateInfo(info, now)
		d.byService[info.Service] = append(d.byService[info.Service], s)
	}
	for k := range d.servers {
		if !present[k] {
			delete(d.servers, k)
			d.ejector.Forget(ejectID(k))
		}
	}
	d.placeAllWaiting()
}

// Report takes a load report; one of an unknown incarnation is dropped.
func (d *Dispatcher) Report(k awdirectory.Key, l Load) {
	s := d.servers[k]
	if s == nil {
		return
	}
	s.updateLoad(l, d.entryCount, d.cfg.Rand.Float64())
	d.placeWaiting(s.info.Service)
}

// Tick refuses requests that have waited too long and places those for which
// there is room now. It is called every few milliseconds while requests wait.
func (d *Dispatcher) Tick() { d.placeAllWaiting() }

// Waiting returns the number of requests that wait.
func (d *Dispatcher) Waiting() int {
	n := 0
	for _, q := range d.queues {
		n += len(q)
	}
	return n
}

// Servers returns how many backend servers of a service are known and how many
// of them may get requests for a model now.
func (d *Dispatcher) Servers(service, model string) (known, usable int) {
	now := d.cfg.Clock.Now()
	for _, s := range d.byService[service] {
		known++
		if d.usable(s, &Request{Service: service, Model: model}, now) {
			usable++
		}
	}
	return known, usable
}

func ejectID(k awdirectory.Key) string { return k.ID }
