package awbalance

import (
	"math"
	"time"

	"arbutuswind/core/awdirectory"
)

// meterTime is the time constant of a [Meter]. Shorter times follow the randomness of
// arrivals: an entry that sends a server 2 requests a second counts 4 in this time.
const meterTime = 2 * time.Second

// rate is an exponentially weighted count of events.
type rate struct {
	count float64
	at    time.Time // of count
}

func (r *rate) add(now time.Time) {
	r.count, r.at = r.countAt(now)+1, now
}

func (r *rate) countAt(now time.Time) float64 {
	if r.count == 0 {
		return 0
	}
	return r.count * math.Exp(-max(0, now.Sub(r.at)).Seconds()/meterTime.Seconds())
}

// perSecond returns the rate of events.
func (r *rate) perSecond(now time.Time) float64 { return r.countAt(now) / meterTime.Seconds() }

// Meter measures the demand of one entry for one service. The zero value is ready to
// use. It is not safe for concurrent use.
type Meter struct {
	sent    map[awdirectory.Key]*rate
	refused rate
}

// Sent records that a request was sent to a backend server.
func (m *Meter) Sent(k awdirectory.Key, now time.Time) {
	r := m.sent[k]
	if r == nil {
		if m.sent == nil {
			m.sent = map[awdirectory.Key]*rate{}
		}
		r = &rate{}
		m.sent[k] = r
	}
	r.add(now)
}

// Refused records that a request was refused for lack of capacity.
func (m *Meter) Refused(now time.Time) { m.refused.add(now) }

// Demand returns the requests a second that the entry wants to send to a backend
// server: those that it has sent there lately, and its part of those that it had to
// refuse or still holds in its queue. Servers is the number of servers among which the
// latter are divided, as any of them may run them.
func (m *Meter) Demand(k awdirectory.Key, waiting, servers int, now time.Time) float64 {
	unmet := m.refused.perSecond(now) + float64(waiting)/meterTime.Seconds()
	d := unmet / float64(max(1, servers))
	if r := m.sent[k]; r != nil {
		d += r.perSecond(now)
	}
	return d
}

// Retain forgets the backend servers that are not listed.
func (m *Meter) Retain(listed func(awdirectory.Key) bool) {
	for k := range m.sent {
		if !listed(k) {
			delete(m.sent, k)
		}
	}
}
