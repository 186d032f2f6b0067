package awdispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awmember"
)

// Guards against overload of a cold backend server. Entries that do not
// communicate must together stay within its rate limit in any second.
func TestColdServerRateLimit(t *testing.T) {
	s := newSimulation(5, 2, 80*time.Millisecond)
	s.service.ColdRate = 10
	for _, d := range s.entries {
		d.SetServices([]awdirectory.Service{s.service})
		cold := s.engines[0].info
		cold.ColdRemaining = time.Minute
		d.SetServers([]awdirectory.Server{cold, s.engines[1].info})
	}
	s.run(10*time.Second, func(int) float64 { return 40 })
	arrivals := s.engines[0].arrivals
	require.NotEmpty(t, arrivals)
	for i := range arrivals {
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(arrivals[i]) < time.Second {
				n++
			}
		}
		require.LessOrEqual(t, n, 10)
	}
}

// Guards rule FAILBACK with more entries than the requests a second that a cold
// engine can handle: the shares of all entries must add up to about its rate,
// whether or not it is related to a few entries only.
func TestColdServerRateLimitOfManyEntries(t *testing.T) {
	const rate = 14
	for _, related := range []bool{false, true} {
		s := newSimulation(53, 10, 100*time.Millisecond)
		s.service.ColdRate = rate
		cold := s.engines[0].info
		cold.ColdRemaining = time.Minute
		list := []awdirectory.Server{cold}
		for _, e := range s.engines[1:] {
			list = append(list, e.info)
		}
		if related {
			s.relate()
		}
		for _, d := range s.entries {
			d.SetServices([]awdirectory.Service{s.service})
			d.SetServers(list)
		}
		s.run(5*time.Second, func(int) float64 { return 20 })
		arrivals := s.engines[0].arrivals
		require.Greater(t, len(arrivals), rate, "related: %v", related)
		for i := range arrivals {
			inSecond := 0
			for _, at := range arrivals[i:] {
				if at.Sub(arrivals[i]) < time.Second {
					inSecond++
				}
			}
			require.LessOrEqual(t, inSecond, rate+rate/2, "related: %v", related)
		}
	}
}

// Guards rule FAILBACK when entries fall back to engines that are not related to
// them: the rate of a cold engine belongs to its related entries.
func TestColdEngineTakesNoRequestsOfOtherEntries(t *testing.T) {
	s := newSimulation(53, 1, 100*time.Millisecond)
	cold := s.engines[0].info
	cold.ColdRemaining = time.Minute
	for _, d := range s.entries {
		d.SetSharers(map[string]int{"10.9.9.9:1": 4}) // an engine that has failed
		d.SetServers([]awdirectory.Server{cold})
	}
	s.run(3*time.Second, func(int) float64 { return 5 })
	require.Empty(t, s.engines[0].arrivals)
}

// Guards against requests that start on an outdated version of the weights,
// against requests to an engine that is loading weights, and against requests
// that are queued although no backend server can become usable in time.
func TestUnusableWeights(t *testing.T) {
	s := newSimulation(1, 1, 0)
	d := s.entries[0]
	submit := func() Decision {
		var got Decision
		d.Submit(Request{Service: "s", Model: "m", Deadline: s.clock.Now().Add(time.Second)}, func(dec Decision) { got = dec })
		return got
	}
	require.NotNil(t, submit().Grant)
	d.SetFloors(map[string][]awdirectory.Floor{"m": {{Version: 2, From: s.clock.Now().Add(time.Second)}}})
	require.NotNil(t, submit().Grant, "before the floor takes effect")
	s.clock.Advance(time.Second)
	refused := submit()
	require.Nil(t, refused.Grant)
	require.Equal(t, NoServer, refused.Refusal)
	key := s.engines[0].info.Key()
	d.Report(key, Load{At: s.clock.Now(), Versions: map[string]int64{"m": 2}})
	require.NotNil(t, submit().Grant, "the load report takes precedence over the server list")
	d.Report(key, Load{At: s.clock.Now(), Versions: map[string]int64{"m": 2}, Busy: true})
	require.Nil(t, submit().Grant)
}

// Guards against new requests to a backend server in a failure domain out of
// service, to one that is draining, to one in a region that is not allowed, and to
// one that failed the request before.
func TestUnusableServers(t *testing.T) {
	for name, change := range map[string]func(d *Dispatcher, s *awdirectory.Server, r *Request){
		"domain out": func(d *Dispatcher, s *awdirectory.Server, _ *Request) {
			d.SetDomainsOut(map[string]bool{s.Domain: true})
		},
		"leaving": func(_ *Dispatcher, s *awdirectory.Server, _ *Request) { s.Draining = true },
		"region": func(_ *Dispatcher, _ *awdirectory.Server, r *Request) {
			r.Allowed = func(region string) bool { return region == "elsewhere" }
		},
		"failed before": func(_ *Dispatcher, s *awdirectory.Server, r *Request) {
			r.Avoid = map[awdirectory.Key]bool{s.Key(): true}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(1, 1, 0)
			req := Request{Service: "s", Model: "m", Deadline: s.clock.Now().Add(time.Second)}
			info := s.engines[0].info
			change(s.entries[0], &info, &req)
			s.entries[0].SetServers([]awdirectory.Server{info})
			var got Decision
			s.entries[0].Submit(req, func(dec Decision) { got = dec })
			require.Nil(t, got.Grant)
			require.Positive(t, got.RetryAfter)
		})
	}
}

// Guards against requests that are sent again and again to backend servers that
// refuse connections, however many of them do.
func TestUnreachableServersAreLeftAlone(t *testing.T) {
	s := newSimulation(1, 4, 0)
	d := s.entries[0]
	const length, refusing = 10 * time.Second, 3
	outcomes, sends := map[string]Outcome{}, map[string]int{}
	var list []awdirectory.Server
	for i, e := range s.engines {
		e.info.Domain, e.info.Region = "d0", "d0"
		list = append(list, e.info)
		if i < refusing {
			outcomes[e.info.ID] = Unreachable
		}
	}
	d.SetServers(list)
	for begin := s.clock.Now(); s.clock.Now().Sub(begin) < length; s.clock.Advance(10 * time.Millisecond) {
		var got Decision
		d.Submit(Request{Service: "s", Model: "m", Deadline: s.clock.Now().Add(time.Second)}, func(dec Decision) { got = dec })
		if got.Grant != nil {
			sends[got.Grant.Server.ID]++
			d.Release(got.Grant, outcomes[got.Grant.Server.ID])
		}
	}
	for id := range outcomes {
		require.Positive(t, sends[id])
		require.LessOrEqual(t, sends[id], int(length/maxUnreachableTime)+4)
	}
	require.GreaterOrEqual(t, sends[s.engines[refusing].info.ID], 900, "requests do not wait for the others")

	back := s.engines[0].info
	d.Release(&Grant{Server: back}, Unreachable)
	usable := d.Availability("s", "m").Usable
	d.Report(back.Key(), Load{At: s.clock.Now(), Versions: map[string]int64{"m": 1}})
	require.Equal(t, usable+1, d.Availability("s", "m").Usable, "a report shows that the engine is back")
}

// Guards against a silent server that keeps getting requests, and against one
// that stays without any after it has gone on.
func TestSilentServerGetsNoNewRequestsUntilItGoesOn(t *testing.T) {
	clock := awclock.NewFake(time.Unix(0, 0))
	d := New(Config{Clock: clock, Rand: rand.New(rand.NewPCG(1, 1)), Domain: "d", Region: "r", Eject: awmember.DefaultEjectConfig()})
	d.SetServices([]awdirectory.Service{{Name: "s"}})
	servers := []awdirectory.Server{{ID: "near", Service: "s", Domain: "d", Region: "r", Slots: 8}}
	for _, id := range []string{"b", "c", "e"} {
		servers = append(servers, awdirectory.Server{ID: id, Service: "s", Domain: "far", Region: "far", Slots: 8})
	}
	d.SetServers(servers)
	grant := func() (g *Grant) {
		d.Submit(Request{Service: "s", Deadline: clock.Now().Add(time.Second)}, func(dec Decision) { g = dec.Grant })
		require.NotNil(t, g)
		return g
	}
	running := grant()
	require.Equal(t, "near", running.Server.ID)
	for range awmember.DefaultEjectConfig().Failures {
		d.RecordSilence(running.Server.Key())
	}
	require.NotEqual(t, "near", grant().Server.ID)
	d.Release(running, Succeeded)
	require.Equal(t, "near", grant().Server.ID)
}
