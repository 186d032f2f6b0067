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

// fullEngines is an entry before two engines of one slot, both taken.
type fullEngines struct {
	*Dispatcher
	clock   *awclock.Fake
	running map[string]*Grant // by region
}

func newFullEngines() *fullEngines {
	clock := awclock.NewFake(time.Unix(1000, 0))
	e := &fullEngines{clock: clock, running: map[string]*Grant{}}
	e.Dispatcher = New(Config{Clock: clock, Rand: rand.New(rand.NewPCG(1, 2)), Self: "e", Eject: awmember.DefaultEjectConfig()})
	e.SetServices([]awdirectory.Service{{Name: "s", Engine: true}})
	var list []awdirectory.Server
	for _, region := range []string{"north", "south"} {
		list = append(list, awdirectory.Server{ID: region, Service: "s", Address: region, Region: region, Slots: 1, Versions: map[string]int64{"m": 1}})
	}
	e.SetServers(list)
	for range list {
		e.submit(Request{MaxWait: time.Second})
	}
	return e
}

// submit submits a request and returns the region in which it runs, once it does.
func (e *fullEngines) submit(req Request) *string {
	req.Service, req.Model, req.Deadline = "s", "m", e.clock.Now().Add(time.Minute)
	region := new(string)
	e.Submit(req, func(dec Decision) {
		if dec.Grant != nil {
			*region = dec.Grant.Server.Region
			e.running[*region] = dec.Grant
		}
	})
	return region
}

func (e *fullEngines) wait(d time.Duration) {
	e.clock.Advance(d)
	e.Tick()
}

func onlyIn(region string) func(string) bool { return func(r string) bool { return r == region } }

// Guards against a late request that takes capacity for lack of which a request
// that could still meet its objective was refused just before.
func TestLateRequestLeavesPlaceToOthers(t *testing.T) {
	e := newFullEngines()
	e.submit(Request{MaxWait: 10 * time.Millisecond, Priority: 1, Allowed: onlyIn("south")})
	e.wait(10 * time.Millisecond)
	late := e.submit(Request{MaxWait: time.Second, Priority: 1, Late: true})
	e.Release(e.running["south"], Succeeded)
	require.Empty(t, *late)
	next := e.submit(Request{MaxWait: time.Second, Priority: 1})
	require.Equal(t, "south", *next)
	e.Release(e.running["north"], Succeeded)
	require.Equal(t, "north", *late, "a place that the refused request could not use")

	urgent := e.submit(Request{MaxWait: time.Second, Late: true})
	e.Release(e.running["south"], Succeeded)
	require.Equal(t, "south", *urgent, "more urgent than the refused request")

	late = e.submit(Request{MaxWait: time.Second, Priority: 1, Late: true})
	e.Release(e.running["south"], Succeeded)
	require.Empty(t, *late)
	e.wait(keptForOthersTime)
	require.Equal(t, "south", *late, "nobody else came")
}
