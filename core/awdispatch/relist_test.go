package awdispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awdirectory"
)

// Guards against overload of a backend server whose registration lapses while it
// runs requests and is then listed again.
func TestRelistedServerKeepsItsRunningRequests(t *testing.T) {
	s := newSimulation(1, 1, 0)
	d := s.entries[0]
	d.SetServices([]awdirectory.Service{{Name: "s"}})
	info := s.engines[0].info
	info.Slots = 1
	list := []awdirectory.Server{info}
	d.SetServers(list)
	submit := func() *Grant {
		var got Decision
		ticket := d.Submit(Request{Service: "s", Deadline: s.clock.Now().Add(time.Second)}, func(dec Decision) { got = dec })
		d.Cancel(ticket)
		return got.Grant
	}
	for range 2 {
		running := []*Grant{submit(), submit()}
		require.NotNil(t, running[0])
		require.NotNil(t, running[1])
		d.SetServers(nil)
		d.SetServers(list)
		require.Nil(t, submit(), "more requests than the server takes at once")
		d.Release(running[0], Succeeded)
		d.Release(running[1], Succeeded)
	}
}

// Guards against failures of requests that a backend server's earlier incarnation
// ran, which say nothing about the one that is listed now.
func TestFailuresOfEarlierIncarnationDoNotEject(t *testing.T) {
	s := newSimulation(1, 4, 0)
	d := s.entries[0]
	list := make([]awdirectory.Server, len(s.engines))
	for i, e := range s.engines {
		list[i] = e.info
	}
	var running []*Grant
	for len(running) < 4*simSlots {
		d.Submit(Request{Service: "s", Model: "m", Deadline: s.clock.Now().Add(time.Second)}, func(dec Decision) { running = append(running, dec.Grant) })
	}
	list[0].StartUnixMs++
	d.SetServers(list)
	for _, g := range running {
		if g.Server.ID == list[0].ID {
			d.Release(g, Failed)
		}
	}
	require.False(t, d.ejector.IsEjected(list[0].ID, s.clock.Now()))
	require.Len(t, d.servers, len(list), "an incarnation that is gone must be forgotten")
}
