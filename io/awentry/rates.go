package awentry

import (
	"context"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"arbutuswind/core/awlimit"
	"arbutuswind/core/awoutcome"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
	"arbutuswind/io/awstore"
)

const (
	// rateExchangeInterval is the time between two exchanges of team counters.
	rateExchangeInterval = 500 * time.Millisecond
	// rateExchangeFanout limits the entries called in one interval. Each exchange
	// informs both sides, so up to 17 entries hear from all others in every
	// interval. With more, entries not heard from in time are assumed to have
	// average demand.
	rateExchangeFanout = 8
)

var rateLimited = metrics.NewCounter("arbutuswind_entry_rate_limited_total")

// admitTeam counts a request against this entry's share of the team's rate.
func (e *Entry) admitTeam(team string) error {
	e.mu.Lock()
	ok, after := e.rates.Admit(team, e.cfg.Clock.Now())
	e.mu.Unlock()
	if ok {
		return nil
	}
	rateLimited.Inc()
	return &awoutcome.Error{
		Outcome: awoutcome.NotRun, Reason: awoutcome.RateLimited,
		Detail: "team is above its rate", RetryAfterMs: after,
	}
}

// rateLoop exchanges the team counters with the other entries until ctx ends.
func (e *Entry) rateLoop(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		start := e.cfg.Clock.Now()
		select {
		case <-ctx.Done():
			return
		case <-time.After(rateExchangeInterval):
		}
		limits := map[string]float64{}
		for name, t := range e.holder.State().Teams {
			if t.RequestsPerSecond > 0 {
				limits[name] = t.RequestsPerSecond
			}
		}
		peers := e.fleet.otherEntries()
		now := e.cfg.Clock.Now()
		e.mu.Lock()
		e.rates.SetLimits(limits)
		e.ownDemand = e.rates.EndWindow(now.Sub(start), len(peers)+1, now)
		e.mu.Unlock()
		if len(limits) > 0 {
			e.exchangeRates(ctx, rateExchangePeers(peers, e.identity.Instance, round), false)
		}
	}
}

// rateExchangePeers returns the entries to call in a round: those that follow self
// in the order of IDs, so that each pair exchanges once. If there are too many, it
// returns a window that moves from round to round.
func rateExchangePeers(peers []awstore.Instance, self string, round int) []awstore.Instance {
	peers = slices.Clone(peers)
	slices.SortFunc(peers, func(a, b awstore.Instance) int { return strings.Compare(a.ID, b.ID) })
	next := 0
	for next < len(peers) && peers[next].ID < self {
		next++
	}
	peers = append(peers[next:], peers[:next]...)
	half := (len(peers) + 1) / 2 // the other half calls this entry
	if half <= rateExchangeFanout {
		return peers[:half]
	}
	first := round * rateExchangeFanout % half
	return append(slices.Clone(peers[first:half]), peers[:first]...)[:rateExchangeFanout]
}

// exchangeRates exchanges counters with the peers concurrently. It ignores peers
// that do not answer within one interval.
func (e *Entry) exchangeRates(ctx context.Context, peers []awstore.Instance, leaving bool) {
	ctx, cancel := context.WithTimeout(ctx, rateExchangeInterval)
	req := &awproto.ShareRatesRequest{
		Sender: e.identity, Rates: e.ownRates(), WindowMs: uint32(rateExchangeInterval.Milliseconds()), Leaving: leaving,
	}
	done := make(chan struct{}, len(peers))
	for _, peer := range peers {
		go func() {
			defer func() { done <- struct{}{} }()
			reply, err := e.dialer.Entry(ctx, awrpc.Target{Address: peer.Address, Instance: peer.ID}).ShareRates(ctx, req)
			if err == nil {
				e.recordPeerRates(peer.ID, reply.Rates)
			}
		}()
	}
	for range peers {
		<-done
	}
	cancel()
}

func (e *Entry) ownRates() []*awproto.TeamRate {
	e.mu.Lock()
	defer e.mu.Unlock()
	var rates []*awproto.TeamRate
	for team, d := range e.ownDemand {
		rates = append(rates, &awproto.TeamRate{
			Team: team, Demand: requestsPerWindow(d.Offered), Admitted: requestsPerWindow(d.Admitted),
		})
	}
	return rates
}

// requestsPerWindow converts a rate per second to requests per window, rounded up
// so that a small demand does not become zero.
func requestsPerWindow(rate float64) uint64 {
	return uint64(math.Ceil(rate * rateExchangeInterval.Seconds()))
}

func (e *Entry) recordPeerRates(entry string, rates []*awproto.TeamRate) {
	demands := map[string]awlimit.Demand{}
	for _, r := range rates {
		demands[r.Team] = awlimit.Demand{
			Offered: float64(r.Demand) / rateExchangeInterval.Seconds(), Admitted: float64(r.Admitted) / rateExchangeInterval.Seconds(),
		}
	}
	e.mu.Lock()
	e.rates.UpdatePeer(entry, demands, e.cfg.Clock.Now())
	e.mu.Unlock()
}

// ShareRates records the counters of another entry and returns those of this one.
func (s *innerServer) ShareRates(_ context.Context, req *awproto.ShareRatesRequest) (*awproto.ShareRatesReply, error) {
	e := s.entry
	if req.Leaving {
		e.mu.Lock()
		e.rates.RemovePeer(req.GetSender().GetInstance())
		e.mu.Unlock()
	} else {
		e.recordPeerRates(req.GetSender().GetInstance(), req.Rates)
	}
	return &awproto.ShareRatesReply{Sender: e.identity, Rates: e.ownRates()}, nil
}
