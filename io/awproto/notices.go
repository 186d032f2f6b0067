package awproto

import (
	"time"

	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awthrottle"
)

// NewNotice returns the message for a notice.
func NewNotice(n awthrottle.Notice, now time.Time) *Notice {
	age := func(at time.Time) *uint64 {
		if at.IsZero() {
			return nil
		}
		us := uint64(max(0, now.Sub(at).Microseconds()))
		return &us
	}
	x := &Notice{
		Server: Text(n.Server.ID), StartUnixMs: n.Server.StartUnixMs, RateLimit: n.Account.Rate,
		NamedAgeUs: age(n.Account.NamedAt), LiftedAgeUs: age(n.Account.LiftedAt),
	}
	if a := n.Ask; a != nil {
		x.Ask = &PermitAsk{
			First: uint32(a.Wanted.First), Late: uint32(a.Wanted.Late), Spare: uint32(a.Wanted.Spare),
			Returned: uint32(a.Returned), Forced: a.Forced, Cautious: a.Cautious,
		}
	}
	if a := n.Answer; a != nil {
		x.Answer = &PermitAnswer{Permits: uint32(a.Permits), Declined: a.Declined}
	}
	return x
}

// maxPermits bounds the numbers of permits in a notice.
const maxPermits = 1000

// Decode returns the notice in the message.
func (x *Notice) Decode(now time.Time) awthrottle.Notice {
	at := func(ageUs *uint64) time.Time {
		if ageUs == nil {
			return time.Time{}
		}
		return now.Add(-time.Duration(min(*ageUs, maxAgeUs)) * time.Microsecond)
	}
	permits := func(n uint32) int { return int(min(n, maxPermits)) }
	n := awthrottle.Notice{
		Server:  awdirectory.Key{ID: x.Server, StartUnixMs: x.StartUnixMs},
		Account: awthrottle.Account{NamedAt: at(x.NamedAgeUs), LiftedAt: at(x.LiftedAgeUs)}.WithRate(x.RateLimit),
	}
	if a := x.Ask; a != nil {
		n.Ask = &awthrottle.Ask{
			Wanted:   awthrottle.Wanted{First: permits(a.First), Late: permits(a.Late), Spare: permits(a.Spare)},
			Returned: permits(a.Returned), Forced: a.Forced, Cautious: a.Cautious,
		}
	}
	if a := x.Answer; a != nil {
		n.Answer = &awthrottle.Answer{Permits: permits(a.Permits), Declined: a.Declined}
	}
	return n
}
