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
	// sharePeriod is the time between two exchanges of team counters.
	sharePeriod = 500 * time.Millisecond
	// shareTo bounds the entries asked in one period. Each exchange tells both
	// sides, so up to 17 entries hear of every other one in every period; with
	// more, the entries not heard in time are taken for average ones.
	shareTo = 8
)

var rateLimited = metrics.NewCounter("arbutuswind_entry_rate_limited_total")

// admitTeam counts a request against its team's share.
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

// rateLoop shares the team counters with the other entries until ctx ends.
func (e *Entry) rateLoop(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		began := e.cfg.Clock.Now()
		select {
		case <-ctx.Done():
			return
		case <-time.After(sharePeriod):
		}
		limits := map[string]float64{}
		for name, t := range e.holder.State().Teams {
			if t.RequestsPerSecond > 0 {
				limits[name] = t.RequestsPerSecond
			}
		}
		peers := e.fleet.others()
		now := e.cfg.Clock.Now()
		e.mu.Lock()
		e.rates.SetLimits(limits)
		e.own = e.rates.EndWindow(now.Sub(began), len(peers)+1, now)
		e.mu.Unlock()
		if len(limits) > 0 {
			e.shareRates(ctx, sharePeers(peers, e.identity.Instance, round), false)
		}
	}
}

// sharePeers returns the entries that one asks in a round: the next ones after
// it in order of name, so that every pair exchanges once, and a moving part
// of them when there are many.
func sharePeers(peers []awstore.Instance, self string, round int) []awstore.Instance {
	peers = slices.Clone(peers)
	slices.SortFunc(peers, func(a, b awstore.Instance) int { return strings.Compare(a.ID, b.ID) })
	after := 0
	for after < len(peers) && peers[after].ID < self {
		after++
	}
	peers = append(peers[after:], peers[:after]...)
	half := (len(peers) + 1) / 2 // the other half asks this one
	if half <= shareTo {
		return peers[:half]
	}
	first := round * shareTo % half
	return append(slices.Clone(peers[first:half]), peers[:first]...)[:shareTo]
}

// shareRates exchanges counters with entries at once; a peer that does not
// answer within a period is left out.
func (e *Entry) shareRates(ctx context.Context, peers []awstore.Instance, leaving bool) {
	ctx, cancel := context.WithTimeout(ctx, sharePeriod)
	req := &awproto.ShareRatesRequest{
		Sender: e.identity, Rates: e.ownRates(), WindowMs: uint32(sharePeriod.Milliseconds()), Leaving: leaving,
	}
	done := make(chan struct{}, len(peers))
	for _, peer := range peers {
		go func() {
			defer func() { done <- struct{}{} }()
			reply, err := e.dialer.Entry(ctx, awrpc.Target{Address: peer.Address, Instance: peer.ID}).ShareRates(ctx, req)
			if err == nil {
				e.heardRates(peer.ID, reply.Rates)
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
	for team, d := range e.own {
		rates = append(rates, &awproto.TeamRate{
			Team: team, Demand: perWindow(d.Offered), Admitted: perWindow(d.Admitted),
		})
	}
	return rates
}

// perWindow returns a rate as requests in one window, rounded up so that a
// small demand does not vanish.
func perWindow(rate float64) uint64 { return uint64(math.Ceil(rate * sharePeriod.Seconds())) }

func (e *Entry) heardRates(entry string, rates []*awproto.TeamRate) {
	demands := map[string]awlimit.Demand{}
	for _, r := range rates {
		demands[r.Team] = awlimit.Demand{
			Offered: float64(r.Demand) / sharePeriod.Seconds(), Admitted: float64(r.Admitted) / sharePeriod.Seconds(),
		}
	}
	e.mu.Lock()
	e.rates.UpdatePeer(entry, demands, e.cfg.Clock.Now())
	e.mu.Unlock()
}

// ShareRates takes the counters of another entry and returns those of this
// one.
func (s *innerServer) ShareRates(_ context.Context, req *awproto.ShareRatesRequest) (*awproto.ShareRatesReply, error) {
	e := s.entry
	if req.Leaving {
		e.mu.Lock()
		e.rates.RemovePeer(req.GetSender().GetInstance())
		e.mu.Unlock()
	} else {
		e.heardRates(req.GetSender().GetInstance(), req.Rates)
	}
	return &awproto.ShareRatesReply{Sender: e.identity, Rates: e.ownRates()}, nil
}
