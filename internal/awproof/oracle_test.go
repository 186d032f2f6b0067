package awproof

import (
	"fmt"
	"time"

	"arbutuswind/core/awconfig"
)

// The invariants of section 1.2 of the design page.
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

// noWorkAfter is the target for domains and instances that are taken out.
const noWorkAfter = 2 * time.Second

// oracle knows what happened and not why. It keeps the first violation.
type oracle struct {
	broken, detail string

	runs      map[string]int    // of a key
	ran       map[string]bool   // attempts handed to a backend server
	notRun    map[string]bool   // attempts whose call was reported as not run
	outAt     map[string]quiet  // domains and instances that may get no new work
	revisions map[string]uint64 // by process and incarnation
	digests   map[uint64]string // by revision, until the store is set back
	setBack   bool

	seen map[string]int // how often each kind of event was checked
}

// quiet is a decision that no new work may go somewhere, with the number of
// faults before it.
type quiet struct {
	at     time.Time
	faults int
}

func newOracle() *oracle {
	return &oracle{
		runs: map[string]int{}, ran: map[string]bool{}, notRun: map[string]bool{}, outAt: map[string]quiet{},
		revisions: map[string]uint64{}, digests: map[uint64]string{}, seen: map[string]int{},
	}
}

func (o *oracle) fail(invariant, format string, args ...any) {
	if o.broken == "" {
		o.broken, o.detail = invariant, fmt.Sprintf(format, args...)
	}
}

// handed notes that an agent hands new work to its backend server.
func (o *oracle) handed(m *machine, a *agent, key, attempt string) {
	o.seen["run"]++
	o.ran[attempt] = true
	if o.notRun[attempt] {
		o.fail(notRunIsTrue, "attempt %s runs after it was reported as not run", attempt)
	}
	if key != "" {
		if o.runs[key]++; o.runs[key] > 1 {
			o.fail(atMostOnce, "key %s runs a second time as attempt %s", key, attempt)
		}
	}
	if running := len(a.running) + 1; a.knowsCold && running > engineCold {
		o.fail(coldLimit, "%d requests run on cold %s", running, a.id)
	}
	for name, inv := range map[string]string{a.domain: domainOut, a.id: leaving} {
		// A fault since the decision may keep it from being known in time.
		if q, ok := o.outAt[name]; ok && q.faults == m.faults && m.clock.Now().Sub(q.at) > noWorkAfter {
			o.fail(inv, "%s gets new work %s after %s was taken out", a.id, m.clock.Now().Sub(q.at), name)
		}
	}
}

// refused notes that a caller was told that its call did not run.
func (o *oracle) refused(attempt string) {
	o.seen["refused"]++
	o.notRun[attempt] = true
	if o.ran[attempt] {
		o.fail(notRunIsTrue, "attempt %s ran and was reported as not run", attempt)
	}
}

// answered notes a response that the caller takes for whole.
func (o *oracle) answered(c *call) {
	o.seen["answered"]++
	if len(c.text) != callTokens {
		o.fail(wholeAnswer, "call %d ends after %d of %d tokens", c.id, len(c.text), callTokens)
	}
	for i, got := range c.text {
		if got.Call != c.id || got.Index != i {
			o.fail(wholeAnswer, "call %d has token %d of call %d at place %d", c.id, got.Index, got.Call, i)
		}
		if got.Weights != c.text[0].Weights || got.Weights == "" {
			o.fail(noMixedWeights, "call %d mixes weights %q and %q", c.id, c.text[0].Weights, got.Weights)
		}
	}
}

// loaded notes that an agent reports weights as ready.
func (o *oracle) loaded(a *agent, data string) {
	o.seen["loaded"]++
	if data != published[a.ready] {
		o.fail(noMixedWeights, "%s serves %q as %s", a.id, data, a.ready)
	}
}

// stopped notes a planned stop that interrupts n requests.
func (o *oracle) stopped(name string, n int) {
	o.seen["stopped"]++
	if n > 0 {
		o.fail(gracefulStop, "%s stops under %d requests", name, n)
	}
}

// config notes the state in force in a process.
func (o *oracle) config(process string, s *awconfig.State) {
	o.seen["config"]++
	if s.Revision < o.revisions[process] {
		o.fail(configMonotonic, "%s goes from revision %d back to %d", process, o.revisions[process], s.Revision)
	}
	o.revisions[process] = s.Revision
	if was, ok := o.digests[s.Revision]; ok && was != s.Digest() && !o.setBack {
		o.fail(configMonotonic, "two states of revision %d", s.Revision)
	}
	o.digests[s.Revision] = s.Digest()
}
