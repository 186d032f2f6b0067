package awproof

import (
	"fmt"
	"time"

	"arbutuswind/core/awconfig"
)

// Names of the invariants defined in section 1.2 of the design page.
const (
	noMixedWeights  = "NoMixedWeights"
	coldLimit       = "ColdLimit"
	domainOut       = "DomainOut"
	wholeAnswer     = "WholeAnswer"
	notRunIsTrue    = "NotRunIsTrue"
	atMostOnce      = "AtMostOnce"
	leaving         = "Leaving"
	gracefulStop    = "GracefulStop"
	configMonotonic = "ConfigMonotonic"
)

var invariants = []string{
	noMixedWeights, coldLimit, domainOut, wholeAnswer, notRunIsTrue, atMostOnce, leaving, gracefulStop, configMonotonic,
}

// exclusionLimit is the time within which a domain or instance that was taken
// out of service must stop receiving new work.
const exclusionLimit = 2 * time.Second

// oracle checks the invariants against observed events only, independently of
// the decisions that led to them. It keeps the first violation.
type oracle struct {
	violated, detail string

	runsByKey  map[string]int       // number of runs by key
	ran        map[string]bool      // attempts passed to a backend server
	notRun     map[string]bool      // attempts whose call was reported as not run
	excluded   map[string]exclusion // domains and instances that must not get new work
	revisions  map[string]uint64    // latest revision by process and incarnation
	digests    map[uint64]string    // state digest by revision; not compared after a store rollback
	rolledBack bool

	eventCounts map[string]int // number of checked events by kind
}

// exclusion records when a domain or instance was taken out of service and
// how many faults had occurred by then.
type exclusion struct {
	at     time.Time
	faults int
}

func newOracle() *oracle {
	return &oracle{
		runsByKey: map[string]int{}, ran: map[string]bool{}, notRun: map[string]bool{}, excluded: map[string]exclusion{},
		revisions: map[string]uint64{}, digests: map[uint64]string{}, eventCounts: map[string]int{},
	}
}

func (o *oracle) fail(invariant, format string, args ...any) {
	if o.violated == "" {
		o.violated, o.detail = invariant, fmt.Sprintf(format, args...)
	}
}

// recordRun records that an agent passes new work to its backend server.
func (o *oracle) recordRun(m *machine, a *agent, key, attempt string) {
	o.eventCounts["run"]++
	o.ran[attempt] = true
	if o.notRun[attempt] {
		o.fail(notRunIsTrue, "attempt %s runs after it was reported as not run", attempt)
	}
	if key != "" {
		if o.runsByKey[key]++; o.runsByKey[key] > 1 {
			o.fail(atMostOnce, "key %s runs a second time as attempt %s", key, attempt)
		}
	}
	if running := len(a.running) + 1; a.believesCold && running > maxColdInFlight {
		o.fail(coldLimit, "%d requests run on cold %s", running, a.id)
	}
	for name, inv := range map[string]string{a.domain: domainOut, a.id: leaving} {
		// A later fault can delay the exclusion beyond the limit.
		if q, ok := o.excluded[name]; ok && q.faults == m.faults && m.clock.Now().Sub(q.at) > exclusionLimit {
			o.fail(inv, "%s gets new work %s after %s was taken out", a.id, m.clock.Now().Sub(q.at), name)
		}
	}
}

// recordNotRun records that a caller was told that its call did not run.
func (o *oracle) recordNotRun(attempt string) {
	o.eventCounts["refused"]++
	o.notRun[attempt] = true
	if o.ran[attempt] {
		o.fail(notRunIsTrue, "attempt %s ran and was reported as not run", attempt)
	}
}

// recordAnswer records a response that the caller accepts as complete.
func (o *oracle) recordAnswer(c *call) {
	o.eventCounts["answered"]++
	if len(c.tokens) != callTokens {
		o.fail(wholeAnswer, "call %d ends after %d of %d tokens", c.id, len(c.tokens), callTokens)
	}
	for i, got := range c.tokens {
		if got.Call != c.id || got.Index != i {
			o.fail(wholeAnswer, "call %d has token %d of call %d at index %d", c.id, got.Index, got.Call, i)
		}
		if got.Weights != c.tokens[0].Weights || got.Weights == "" {
			o.fail(noMixedWeights, "call %d mixes weights %q and %q", c.id, c.tokens[0].Weights, got.Weights)
		}
	}
}

// recordLoad records that an agent reports weights as ready.
func (o *oracle) recordLoad(a *agent, data string) {
	o.eventCounts["loaded"]++
	if data != publishedWeights[a.ready] {
		o.fail(noMixedWeights, "%s serves weights %q as version %s", a.id, data, a.ready)
	}
}

// recordStop records a planned stop that interrupts n requests.
func (o *oracle) recordStop(name string, n int) {
	o.eventCounts["stopped"]++
	if n > 0 {
		o.fail(gracefulStop, "%s stops with %d requests running", name, n)
	}
}

// recordConfig records the configuration state in force in a process.
func (o *oracle) recordConfig(process string, s *awconfig.State) {
	o.eventCounts["config"]++
	if s.Revision < o.revisions[process] {
		o.fail(configMonotonic, "%s goes from revision %d back to %d", process, o.revisions[process], s.Revision)
	}
	o.revisions[process] = s.Revision
	if previous, ok := o.digests[s.Revision]; ok && previous != s.Digest() && !o.rolledBack {
		o.fail(configMonotonic, "revision %d has two different states", s.Revision)
	}
	o.digests[s.Revision] = s.Digest()
}
