package awthrottle

import (
	"slices"
	"time"

	"arbutuswind/core/awdirectory"
)

// Notice is what one entry tells another about a backend server.
type Notice struct {
	Server  awdirectory.Key
	Account Account
	Ask     *Ask    // nil if nothing is asked
	Answer  *Answer // nil if nothing is answered
}

// Ask asks an issuer for permits. It replaces earlier asks of the same entry for
// the same backend server.
type Ask struct {
	Wanted   Wanted
	Returned int  // permits that were not used in time
	Forced   bool // all issuers have declined
	Cautious bool // an issuer with precedence may still issue
}

// Answer answers an ask, or follows one when more permits can be issued.
type Answer struct {
	Permits  int
	Declined bool // the entry does not issue permits now
}

const (
	// askTTL is how long an ask is served.
	askTTL = 500 * time.Millisecond
)

// issuance holds the permits of one backend server that this entry issues.
type issuance struct {
	bucket Bucket
	asks   []*pendingAsk // at most one of each entry
}

type pendingAsk struct {
	entry    string
	wanted   Wanted
	cautious bool
	at       time.Time
}

// issues reports whether this entry issues permits unless it is forced to.
func (t *Throttle) issues(now time.Time) bool {
	return !t.stopping && now.Sub(t.started) >= t.cfg.Settling
}

// answer handles an ask. It issues what it can, to other entries too.
func (t *Throttle) answer(k awdirectory.Key, s *server, from string, a Ask, now time.Time) Answer {
	if !a.Forced && !t.issues(now) {
		return Answer{Declined: true}
	}
	rate, limited := s.account.Limit()
	if !limited {
		// The response to one request shows which of the two entries is right.
		return Answer{Permits: min(1, a.Wanted.total())}
	}
	i := &s.issue
	i.refill(rate, now)
	i.bucket.Return(a.Returned, rate)
	i.asks = slices.DeleteFunc(i.asks, func(p *pendingAsk) bool { return p.entry == from })
	if a.Wanted.total() > 0 {
		i.asks = append(i.asks, &pendingAsk{entry: from, wanted: a.Wanted, cautious: a.Cautious, at: now})
	}
	permits := t.issueAll(s)
	own := permits[from]
	delete(permits, from)
	t.deliver(k, s, permits, now)
	return Answer{Permits: own}
}

// issuePermits issues what has accumulated.
func (t *Throttle) issuePermits(k awdirectory.Key, s *server, now time.Time) {
	rate, limited := s.account.Limit()
	if !limited || len(s.issue.asks) == 0 {
		return
	}
	s.issue.refill(rate, now)
	t.deliver(k, s, t.issueAll(s), now)
}

func (t *Throttle) deliver(k awdirectory.Key, s *server, permits map[string]int, now time.Time) {
	for name, n := range permits {
		if name == t.cfg.Self {
			t.accept(s, Answer{Permits: n}, now)
			continue
		}
		t.post(name, k, s, Notice{Answer: &Answer{Permits: n}})
	}
}

// cautiousShare is the part of the rate at which permits are issued while another
// issuer may be at work.
const cautiousShare = 0.25

// refill adds the permits since the last call, and fewer if another issuer may be at
// work. It drops asks that were not repeated.
func (i *issuance) refill(rate float64, now time.Time) {
	i.asks = slices.DeleteFunc(i.asks, func(p *pendingAsk) bool { return now.Sub(p.at) > askTTL })
	sole := slices.ContainsFunc(i.asks, func(p *pendingAsk) bool { return !p.cautious })
	if len(i.asks) > 0 && !sole {
		rate *= cautiousShare
	}
	i.bucket.Refill(rate, now)
}

// issueAll issues permits while there are any, and returns them by entry. Requests
// that can still meet their objective come first. Within a class, entries are
// served in proportion to what they ask for.
func (t *Throttle) issueAll(s *server) map[string]int {
	i := &s.issue
	permits := map[string]int{}
	for _, class := range []func(*Wanted) *int{
		func(w *Wanted) *int { return &w.First },
		func(w *Wanted) *int { return &w.Late },
		func(w *Wanted) *int { return &w.Spare },
	} {
		total := 0
		for _, a := range i.asks {
			total += *class(&a.wanted)
		}
		for ; total > 0 && i.bucket.Take(); total-- {
			p := i.pick(class, t.cfg.Rand.IntN(total))
			*class(&p.wanted)--
			permits[p.entry]++
		}
	}
	return permits
}

// pick returns the ask for the permit at the given position of a class.
func (i *issuance) pick(class func(*Wanted) *int, position int) *pendingAsk {
	for _, p := range i.asks {
		if position -= *class(&p.wanted); position < 0 {
			return p
		}
	}
	panic("awthrottle: position beyond the number of permits asked for")
}
