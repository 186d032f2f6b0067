package awmember

import (
	"time"
)

// EjectConfig configures an [Ejector].
type EjectConfig struct {
	Failures        int           // consecutive failures that eject an agent
	Base            time.Duration // time out of routing, doubled with each ejection in a row
	Max             time.Duration
	MaxEjectedShare float64 // of the known agents, 0 to 1
}

// DefaultEjectConfig returns the bounds used by entries.
func DefaultEjectConfig() EjectConfig {
	return EjectConfig{Failures: 3, Base: 5 * time.Second, Max: time.Minute, MaxEjectedShare: 0.3}
}

type outlier struct {
	failures int // in a row
	ejected  int // times in a row
	until    time.Time
}

// Ejector takes agents whose requests fail in a row out of routing. It is not
// safe for concurrent use.
type Ejector struct {
	cfg      EjectConfig
	outliers map[string]*outlier // agents without recent failures have no entry
}

// NewEjector returns an ejector that has ejected nothing.
func NewEjector(cfg EjectConfig) *Ejector {
	return &Ejector{cfg: cfg, outliers: map[string]*outlier{}}
}

// RecordSuccess notes a whole answer, which ends the agent's series of failures.
func (e *Ejector) RecordSuccess(instance string) { delete(e.outliers, instance) }

// RecordFailure notes a failure that the agent or its backend server caused. It
// reports whether the agent is ejected by it; known is the number of agents
// that the share counts from.
func (e *Ejector) RecordFailure(instance string, known int, now time.Time) bool {
	o := e.outliers[instance]
	if o == nil {
		o = &outlier{}
		e.outliers[instance] = o
	}
	o.failures++
	if o.failures < e.cfg.Failures || o.until.After(now) {
		return false
	}
	if float64(e.count(now)+1) > e.cfg.MaxEjectedShare*float64(known) {
		return false // a shared cause makes many fail; ejecting them all helps nobody
	}
	d := e.cfg.Base << min(o.ejected, 8)
	o.until = now.Add(min(d, e.cfg.Max))
	o.ejected++
	// One more failure after the return ejects it again.
	o.failures = e.cfg.Failures - 1
	return true
}

// IsEjected reports whether an agent is out of routing now.
func (e *Ejector) IsEjected(instance string, now time.Time) bool {
	o := e.outliers[instance]
	return o != nil && o.until.After(now)
}

// Forget drops what is known about an agent that is gone.
func (e *Ejector) Forget(instance string) { delete(e.outliers, instance) }

func (e *Ejector) count(now time.Time) int {
	n := 0
	for _, o := range e.outliers {
		if o.until.After(now) {
			n++
		}
	}
	return n
}
