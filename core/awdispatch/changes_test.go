package awdispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awmember"
)

// Checks that each request is decided exactly once and in time, and that no server
// gets more requests than it takes, while services, servers, domains, versions and
// entries change and load reports come and stop.
func TestRequestsAreDecidedDespiteChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := awclock.NewFake(time.Unix(1000, 0))
		d := New(Config{Clock: clock, Rand: rand.New(rand.NewPCG(1, 2)), Eject: awmember.DefaultEjectConfig()})
		var all []awdirectory.Server
		for i := range 4 {
			all = append(all, awdirectory.Server{
				ID: fmt.Sprint("i", i), Service: fmt.Sprint("s", i%2), Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: fmt.Sprint("d", i), Slots: 2,
				Versions: map[string]int64{"m": 1},
			})
		}
		type submitted struct {
			ticket    *Ticket
			due       time.Time
			decisions int
		}
		var requests []*submitted
		running := map[awdirectory.Key][]*Grant{}
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				d.SetServers(rapid.SliceOfNDistinct(rapid.SampledFrom(all), 0, 4, func(s awdirectory.Server) string { return s.ID }).Draw(t, "servers"))
			case 1:
				var services []awdirectory.Service
				for i := range rapid.IntRange(0, 2).Draw(t, "services") {
					services = append(services, awdirectory.Service{Name: fmt.Sprint("s", i), Engine: true, ColdRate: 10})
				}
				d.SetServices(services)
			case 2:
				d.SetDomainsOut(map[string]bool{fmt.Sprint("d", rapid.IntRange(0, 5).Draw(t, "domain")): true})
			case 3:
				d.SetFloors(map[string][]awdirectory.Floor{"m": {{Version: rapid.Int64Range(0, 2).Draw(t, "floor"), From: clock.Now()}}})
			case 4:
				k := all[rapid.IntRange(0, 3).Draw(t, "reporting")].Key()
				d.Report(k, Load{At: clock.Now(), Active: len(running[k]), Versions: map[string]int64{"m": rapid.Int64Range(1, 2).Draw(t, "version")}})
			case 5:
				k := all[rapid.IntRange(0, 3).Draw(t, "answering")].Key()
				if list := running[k]; len(list) > 0 {
					running[k] = list[1:]
					d.Release(list[0], rapid.SampledFrom([]Outcome{Succeeded, Failed, Rejected, Abandoned, Unreachable, NotSent}).Draw(t, "outcome"))
				}
			default:
				r := &submitted{}
				requests = append(requests, r)
				wait := time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * time.Millisecond
				r.due = clock.Now().Add(wait)
				r.ticket = d.Submit(Request{
					Service: fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "service")), Model: "m", MaxWait: wait, Deadline: clock.Now().Add(time.Second),
				}, func(dec Decision) {
					r.decisions++
					if dec.Grant != nil {
						k := dec.Grant.Server.Key()
						running[k] = append(running[k], dec.Grant)
					}
				})
			}
			clock.Advance(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			d.Tick()
			for _, r := range requests {
				require.LessOrEqual(t, r.decisions, 1)
				require.True(t, r.decisions == 1 || clock.Now().Before(r.due), "undecided after its wait")
			}
			for k, list := range running {
				require.LessOrEqual(t, len(list), 2*plainRequestsPerSlot, "requests at %s", k)
			}
		}
	})
}
