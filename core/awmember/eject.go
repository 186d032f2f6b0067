package awmember

import (
	"time"
)

// EjectConfig configures an [Ejector].
type EjectConfig struct {
	Failures        int           // consecutive failures that eject an agent
	Base            time.Duration // duration of an ejection, doubled with each consecutive one
	Max             time.Duration // maximum duration of an ejection
	MaxEjectedShare float64       // fraction of the known agents, 0 to 1
}

// DefaultEjectConfig returns the configuration used by entries.
func DefaultEjectConfig() EjectConfig {
	return EjectConfig{Failures: 3, Base: 5 * time.Second, Max: time.Minute, MaxEjectedShare: 0.3}
}

type outlier struct {
	failures     int // consecutive failures
	ejections    int // consecutive ejections
	ejectedUntil time.Time
}

// Ejector temporarily removes agents with consecutive request failures from
// routing. It is not safe for concurrent use.
type Ejector struct {
	cfg      EjectConfig
	outliers map[string]*outlier // has only agents with recent failures
}

// NewEjector returns an ejector without ejected agents.
func NewEjector(cfg EjectConfig) *Ejector {
	return &Ejector{cfg: cfg, outliers: map[string]*outlier{}}
}

// RecordSuccess records a complete response, which resets the agent's failures and
// ends its ejection.
func (e *Ejector) RecordSuccess(instance string) { delete(e.outliers, instance) }

// RecordFailure records a failure caused by the agent or its backend server and
// reports whether it led to an ejection. known is the number of agents to which
// MaxEjectedShare applies.
func (e *Ejector) RecordFailure(instance string, known int, now time.Time) bool {
	o := e.outliers[instance]
	if o == nil {
		o = &outlier{}
		e.outliers[instance] = o
	}
	o.failures++
	if o.failures < e.cfg.Failures || o.ejectedUntil.After(now) {
		return false
	}
	if float64(e.ejectedCount(now)+1) > e.cfg.MaxEjectedShare*float64(known) {
		return false // many failures indicate a shared cause, which ejection cannot avoid
	}
	d := e.cfg.Base << min(o.ejections, 8)
	o.ejectedUntil = now.Add(min(d, e.cfg.Max))
	o.ejections++
	// After the ejection ends, a single failure ejects the agent again.
	o.failures = e.cfg.Failures - 1
	return true
}

// IsEjected reports whether an agent is ejected at the given time.
func (e *Ejector) IsEjected(instance string, now time.Time) bool {
	o := e.outliers[instance]
	return o != nil && o.ejectedUntil.After(now)
}

// Forget removes the state of an agent that no longer exists.
func (e *Ejector) Forget(instance string) { delete(e.outliers, instance) }

func (e *Ejector) ejectedCount(now time.Time) int {
	n := 0
	for _, o := range e.outliers {
		if o.ejectedUntil.After(now) {
			n++
		}
	}
	return n
}
