package awproto

import (
	"time"

	"arbutuswind/core/awquarantine"
)

// NewFacts returns the message for facts.
func NewFacts(f awquarantine.Facts, now time.Time) *Facts {
	age := func(at time.Time) uint64 { return uint64(max(0, now.Sub(at).Microseconds())) }
	x := &Facts{}
	for _, c := range f.Crashes {
		x.Crashes = append(x.Crashes, &CrashFact{
			Engine: Text(c.Engine), Request: Text(c.Request), Parts: texts(c.Parts), SentAgeUs: age(c.Sent), AgeUs: age(c.At), Cancelled: c.Cancelled,
		})
	}
	for _, s := range f.Sound {
		x.Sound = append(x.Sound, &SoundFact{Part: Text(s.Part), AgeUs: age(s.At)})
	}
	for _, r := range f.Refuted {
		x.Refuted = append(x.Refuted, &RefutedFact{Engine: Text(r.Engine), AgeUs: age(r.At)})
	}
	return x
}

// Decode returns the facts in the message.
func (x *Facts) Decode(now time.Time) awquarantine.Facts {
	at := func(ageUs uint64) time.Time { return now.Add(-time.Duration(min(ageUs, maxAgeUs)) * time.Microsecond) }
	var f awquarantine.Facts
	for _, c := range x.Crashes {
		f.Crashes = append(f.Crashes, awquarantine.Crash{
			Engine: c.Engine, Request: c.Request, Parts: c.Parts, Sent: at(c.SentAgeUs), At: at(c.AgeUs), Cancelled: c.Cancelled,
		})
	}
	for _, s := range x.Sound {
		f.Sound = append(f.Sound, awquarantine.Sound{Part: s.Part, At: at(s.AgeUs)})
	}
	for _, r := range x.Refuted {
		f.Refuted = append(f.Refuted, awquarantine.Refutation{Engine: r.Engine, At: at(r.AgeUs)})
	}
	return f
}

// maxAgeUs bounds the age of a fact, one day, so that it cannot overflow.
const maxAgeUs = uint64(24 * time.Hour / time.Microsecond)
