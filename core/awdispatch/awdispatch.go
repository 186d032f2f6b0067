// Package awdispatch implements the dispatcher of an entry: it assigns each
// request to a backend server, queues it or refuses it.
//
// Entries do not communicate while they dispatch a request. Each knows its own
// requests exactly and those of other entries only from load reports that are
// tens of milliseconds old. Between two reports an entry uses only its share of
// the free capacity in the last one, so that several entries do not fill the
// same capacity twice. Limits for all entries together, such as the request
// rate to a cold backend server, are divided by the number of entries that may
// be alive.
//
// In a large fleet each engine is related to a few entries, which get its load
// reports and share its slots, and an entry sends to its related engines only.
// With 53 entries before 150 engines of 8 slots, all of them together would know
// each engine by a report a second and get a seventh of a slot each. Other
// engines are used if no related one may run a request, for example if only one
// region is allowed and its related engines have failed.
//
// An engine is never sent more requests than it runs at once. A request queued
// inside an engine can no longer go to another one, and under overload such
// queues delay all requests. The exception are a few urgent requests for a contended
// service; see beyondSlots.
//
// A request that finds no free capacity is queued for as long as it can still
// meet its latency objective, and refused at once if its turn is expected
// later than that. Refused callers retry, and the retries are late. Under
// overload, late requests would displace requests that can still meet their
// objective; those would be refused, retry and be late as well. Late requests
// are therefore queued behind the others of their priority. They also get nothing
// that one of the others was refused for lack of a moment before: capacity becomes
// free at one entry while another entry, or the same one shortly before, refuses.
//
// Contended services have an order, waits and a floor of their own; see
// [Dispatcher.SetContended].
package awdispatch

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awmember"
	"arbutuswind/core/awthrottle"
)

// EntriesPerEngine is the number of entries to which an engine should be related;
// see [Dispatcher.SetSharers]. With fewer entries, each knows the free slots of
// its engines better, until the uneven load of the entries weighs more.
const EntriesPerEngine = 4

const (
	// reportMaxAge is the age from which a load report is ignored. Reports
	// arrive several times a second.
	reportMaxAge = 600 * time.Millisecond
	// plainRequestsPerSlot is the number of requests per slot that a backend
	// server of a plain service, one without model engines, may have at once.
	// Such servers queue a few requests themselves.
	plainRequestsPerSlot = 2
	// coldWindow is the window over which requests to a cold backend server
	// are counted: the one second of the rate limit plus the network jitter.
	coldWindow = 1200 * time.Millisecond
	// rejectedBackoff is how long a backend server that rejected a request for
	// lack of capacity gets no new ones: about the time until a slot is free.
	rejectedBackoff = 100 * time.Millisecond
	// minUnreachableTime is how long a backend server that refused a connection gets
	// no requests, unless a load report shows that it is back. It doubles with each
	// further refusal up to maxUnreachableTime.
	minUnreachableTime = 250 * time.Millisecond
	maxUnreachableTime = time.Second
	// maxWaitShare is the share of the latency objective that a request may
	// spend in the queue. The network and the first event need the rest.
	maxWaitShare = 0.25
	// lateMaxWait is how long a request that can no longer meet its objective
	// may wait: about the time in which a busy fleet frees slots. A late
	// request that waited longer would take a slot from a newer one that can
	// still meet its objective.
	lateMaxWait = 150 * time.Millisecond
	// keptForOthersTime is how long free capacity is kept from late requests after
	// one that could still meet its objective was refused.
	keptForOthersTime = 100 * time.Millisecond
)

// Config configures a [Dispatcher].
type Config struct {
	Clock  awclock.Clock
	Rand   *rand.Rand
	Self   string // name of this entry
	Domain string // failure domain of this entry
	Region string // region of this entry
	Eject  awmember.EjectConfig
	// Throttle limits what is sent to backend servers that ask for fewer requests.
	// If nil, this entry alone keeps to their limits.
	Throttle *awthrottle.Throttle
}

// Request describes a request to dispatch.
type Request struct {
	Service  string
	Model    string // empty for plain services
	Priority int    // 0 is the most urgent
	Rank     int    // orders requests of one priority for a contended service; 0 is the most urgent
	Team     string // has a fair share of a contended service
	// MaxWait is how long the request may wait for free capacity.
	MaxWait time.Duration
	// Late marks a request that can no longer meet its latency objective.
	Late     bool
	Deadline time.Time
	Tokens   int                      // engine cache that it needs, in tokens
	Allowed  func(region string) bool // nil allows every region
	Version  int64                    // required version of the weights; 0 accepts any current one
	Avoid    map[awdirectory.Key]bool // backend servers that failed this request before
	Proven   bool                     // the request needs a backend server that is not silent

	beyond int // requests that may wait in an engine's queue when this one is sent; see beyondSlots
}

// Outcome is the result of an attempt, as far as it concerns the backend
// server.
type Outcome int

// The outcomes.
const (
	Succeeded   Outcome = iota
	Failed              // the connection broke, timed out or returned an invalid response
	Rejected            // the backend server had no free capacity
	Replaced            // another backend server answers at the address
	Unreachable         // the backend server refused the connection, so its process is not running
	Abandoned           // the caller disconnected or the deadline passed
	NotSent             // the grant was returned before anything was sent
)

// Refusal is the reason why a request was refused.
type Refusal int

// The reasons.
const (
	NoServer Refusal = iota // no usable backend server for the request
	NoRoom                  // no capacity is expected to become free in time
)

// Dispatcher assigns requests to backend servers. It is not safe for
// concurrent use.
type Dispatcher struct {
	cfg             Config
	servers         map[awdirectory.Key]*server
	byService       map[string][]*server
	domainsOut      map[string]bool                // failure domains taken out of service
	floors          map[string][]awdirectory.Floor // by model: oldest versions that may start a request
	entryCount      int                            // entries that may be alive, with this one
	sharers         map[string]int                 // by address of an engine related to this entry: entries that share it
	services        map[string]awdirectory.Service
	queues          map[string][]*Ticket
	lastRefused     map[string]refusedRequest // by service; see refuseNoRoom
	assignmentRates map[string]*assignmentRate
	ejector         *awmember.Ejector
	submissions     uint64
	evidence        map[string]*serviceEvidence // by service; see Began
	running         map[*Grant]*runningWork
	contended       map[string]*contention // by service; see SetContended
}

// New returns a dispatcher without backend servers.
func New(cfg Config) *Dispatcher {
	if cfg.Throttle == nil {
		cfg.Throttle = awthrottle.New(awthrottle.Config{Clock: cfg.Clock, Rand: cfg.Rand, Self: cfg.Self})
	}
	return &Dispatcher{
		cfg: cfg, servers: map[awdirectory.Key]*server{}, byService: map[string][]*server{}, domainsOut: map[string]bool{},
		floors: map[string][]awdirectory.Floor{}, entryCount: 1, services: map[string]awdirectory.Service{},
		queues: map[string][]*Ticket{}, lastRefused: map[string]refusedRequest{}, assignmentRates: map[string]*assignmentRate{}, ejector: awmember.NewEjector(cfg.Eject),
	}
}

// WaitLimit returns how long a request may wait for free capacity, and whether
// it is already too late for its latency objective. Age is the time that the
// caller has waited so far, including earlier attempts.
func WaitLimit(objective, age time.Duration) (maxWait time.Duration, late bool) {
	if left := time.Duration(maxWaitShare*float64(objective)) - age; left > 0 {
		return left, false
	}
	return lateMaxWait, true
}

// SetEntryCount sets the number of entries that may be alive, including this
// one.
func (d *Dispatcher) SetEntryCount(n int) { d.entryCount = max(1, n) }

// SetSharers replaces the relations to engines: the number of entries that share
// an engine, by the addresses of those related to this entry. Services without
// any related engine are shared by all entries.
func (d *Dispatcher) SetSharers(sharers map[string]int) {
	d.sharers = sharers
	for _, s := range d.servers {
		s.sharers = sharers[s.info.Address]
	}
}

// SetServices replaces the services.
func (d *Dispatcher) SetServices(list []awdirectory.Service) {
	clear(d.services)
	for _, s := range list {
		d.services[s.Name] = s
	}
}

// SetDomainsOut replaces the set of failure domains that get no new requests.
func (d *Dispatcher) SetDomainsOut(domains map[string]bool) { d.domainsOut = domains }

// SetFloors replaces the version floors, by model.
func (d *Dispatcher) SetFloors(floors map[string][]awdirectory.Floor) { d.floors = floors }

// SetServers replaces the list of backend servers. It keeps the state of
// incarnations that are still listed or still run requests of this entry.
func (d *Dispatcher) SetServers(list []awdirectory.Server) {
	now := d.cfg.Clock.Now()
	present := map[awdirectory.Key]bool{}
	clear(d.byService)
	for _, info := range list {
		k := info.Key()
		present[k] = true
		s := d.servers[k]
		if s == nil {
			s = &server{rounding: d.rounding(info.Address)}
			d.servers[k] = s
		}
		s.updateInfo(info, now)
		s.listed = true
		s.sharers = d.sharers[info.Address]
		d.byService[info.Service] = append(d.byService[info.Service], s)
	}
	for k, s := range d.servers {
		if !present[k] {
			s.listed = false
			d.forgetUnused(k, s)
		}
	}
	d.assignAllQueued()
}

// forgetUnused drops the state of an incarnation that is neither listed nor runs
// requests of this entry.
func (d *Dispatcher) forgetUnused(k awdirectory.Key, s *server) {
	if s.listed || s.ownRequests > 0 {
		return
	}
	delete(d.servers, k)
	d.ejector.Forget(ejectID(k))
}

// Report records a load report. It ignores reports from unknown incarnations.
func (d *Dispatcher) Report(k awdirectory.Key, l Load) {
	s := d.servers[k]
	if s == nil {
		return
	}
	s.updateLoad(l, s.entries(d.entryCount), d.cfg.Rand.Float64())
	d.assignQueued(s.info.Service)
}

// Heard records that bytes of a response have arrived from a backend server.
func (d *Dispatcher) Heard(k awdirectory.Key) {
	if s := d.servers[k]; s != nil {
		s.heardAt = d.cfg.Clock.Now()
	}
}

// Silent reports whether nothing arrives any more from a backend server that used to
// send load reports: neither those nor bytes of a response.
func (d *Dispatcher) Silent(k awdirectory.Key) bool {
	s := d.servers[k]
	return s != nil && s.silent(d.cfg.Clock.Now())
}

// Tick assigns queued requests for which there is free capacity and refuses
// those that have waited too long. The caller calls it every few milliseconds
// while requests are queued.
func (d *Dispatcher) Tick() { d.assignAllQueued() }

// Waiting returns the number of queued requests.
func (d *Dispatcher) Waiting() int {
	n := 0
	for _, q := range d.queues {
		n += len(q)
	}
	return n
}

// Availability describes the backend servers of a service, for logs.
type Availability struct {
	Known   int // listed
	Usable  int // can get requests for the model now, whether or not they have free capacity
	Related int // of Usable, those related to this entry
}

// Availability returns the availability of a service's backend servers for
// requests for a model.
func (d *Dispatcher) Availability(service, model string) Availability {
	now := d.cfg.Clock.Now()
	var a Availability
	for _, s := range d.byService[service] {
		a.Known++
		if d.usable(s, &Request{Service: service, Model: model}, now) {
			a.Usable++
			if s.sharers > 0 {
				a.Related++
			}
		}
	}
	return a
}

// rounding returns a number in [0, 1) that is spread evenly over the entries of a
// backend server.
func (d *Dispatcher) rounding(address string) float64 {
	return float64(xxhash.Sum64String(d.cfg.Self+"|"+address)>>11) / (1 << 53)
}

func ejectID(k awdirectory.Key) string { return k.ID }
