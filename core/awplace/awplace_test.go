package awplace_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutuswind/core/awconfig"
	"arbutuswind/core/awplace"
)

const missingAfter = 15 * time.Second

var domains = []string{"merrimack", "narragansett", "champlain"}

// testFleet simulates a fleet whose agents follow the configuration.
type testFleet struct {
	state      *awconfig.State
	instances  map[string]*awplace.Instance
	unlisted   map[string]bool // temporarily missing from the instance list
	now        time.Time
	cfg        awplace.Config
	unloadable string // digest that every engine fails to load
}

func newTestFleet(n int) *testFleet {
	f := &testFleet{
		state: awconfig.NewState(), instances: map[string]*awplace.Instance{}, unlisted: map[string]bool{},
		now: time.Unix(1000, 0), cfg: awplace.Config{MissingAfter: missingAfter, Started: time.Unix(0, 0)},
	}
	for i := range n {
		f.add(fmt.Sprintf("i%03d", i), domains[i%len(domains)])
	}
	return f
}

func (f *testFleet) add(id, domain string) {
	f.instances[id] = &awplace.Instance{ID: id, Domain: domain, LastSeen: f.now}
}

func (f *testFleet) apply(c awconfig.Change) {
	c.Revision = f.state.Revision + 1
	s, err := f.state.Apply(c)
	if err != nil {
		panic(err)
	}
	f.state = s
}

func (f *testFleet) applySheet(version string, replicas int) {
	f.apply(awconfig.Change{Kind: awconfig.KindApplySheet, Models: []awconfig.Model{{
		Name: "rota", Version: version, Digest: version, Replicas: replicas, Domains: domains,
	}}})
}

func (f *testFleet) observed() []awplace.Instance {
	var list []awplace.Instance
	for id, in := range f.instances {
		if !f.unlisted[id] {
			in.LastSeen = f.now
		}
		if f.now.Sub(in.LastSeen) <= missingAfter {
			list = append(list, *in)
		}
	}
	slices.SortFunc(list, func(a, b awplace.Instance) int { return int(f.now.Sub(a.LastSeen) - f.now.Sub(b.LastSeen)) })
	return list
}

// reconcile runs one step of the reconciler and reports whether it changed
// anything.
func (f *testFleet) reconcile() bool {
	observed := f.observed()
	if digest, reason, ok := awplace.VersionToHalt(f.state, observed); ok {
		f.apply(awconfig.Change{Kind: awconfig.KindHaltVersion, Target: digest, Reason: reason})
		return true
	}
	changes := awplace.Plan(f.state, observed, f.cfg, f.now)
	if changes == nil {
		return false
	}
	f.apply(awconfig.Change{Kind: awconfig.KindPlace, Placements: changes})
	return true
}

// syncAgents makes every agent load the version it is placed for and fetch the
// next one.
func (f *testFleet) syncAgents() {
	for id, in := range f.instances {
		v := f.state.View(id, in.Domain)
		switch {
		case v.Placement.Model == "":
			in.ServingDigest = ""
		case v.Placement.Digest == f.unloadable:
			in.ServingDigest, in.FailedDigest, in.FailureReason = "", f.unloadable, "engine failed to load it"
		default:
			in.ServingDigest = v.Placement.Digest
		}
		if v.Next != nil {
			in.HeldDigest = v.Next.Digest
		}
	}
}

func (f *testFleet) converge(t require.TestingT) {
	for range 200 {
		changed := f.reconcile()
		f.syncAgents()
		f.now = f.now.Add(time.Second)
		if !changed && !f.reconcile() {
			return
		}
		f.syncAgents()
	}
	require.Fail(t, "the reconciler does not converge")
}

// serving returns the number of listed instances that serve the digest they are
// placed for; an empty digest counts all versions.
func (f *testFleet) serving(digest string) int {
	n := 0
	for id, in := range f.instances {
		if !f.unlisted[id] && in.ServingDigest != "" && (digest == "" || in.ServingDigest == digest) &&
			f.state.Placements[id].Digest == in.ServingDigest {
			n++
		}
	}
	return n
}

// Guards against a version change that makes more replicas unavailable than
// allowed, moves instances before they hold the new version, or leaves surplus
// replicas behind.
func TestVersionChangeIsBounded(t *testing.T) {
	for _, c := range []struct {
		name                    string
		instances, replicas     int
		unavailable, surge      int
		minServing, maxOutdated int
	}{
		{"defaults, no free instance", 24, 24, 0, 0, 18, 0},
		{"surge only", 15, 12, -1, 3, 12, 0},
		{"no unavailable replicas, no free instance", 6, 6, -1, -1, 5, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(c.instances)
			f.cfg.MaxUnavailable, f.cfg.MaxSurge = c.unavailable, c.surge
			f.applySheet("v1", c.replicas)
			f.converge(t)
			require.Equal(t, c.replicas, f.serving("v1"))
			f.applySheet("v2", c.replicas)
			f.reconcile()
			for id, p := range f.state.Placements {
				if f.instances[id].ServingDigest == "v1" {
					require.Equal(t, "v1", p.Digest, "%s moved before it held v2", id)
				}
			}
			for range 100 {
				f.syncAgents()
				f.reconcile()
				require.GreaterOrEqual(t, f.serving(""), c.minServing)
				f.now = f.now.Add(time.Second)
			}
			require.Equal(t, c.replicas, f.serving("v2"))
			require.Len(t, f.state.Placements, c.replicas)
		})
	}
}

// Guards against a rollout that never starts because instances have no room for
// the new version in addition to the old one, and against one that takes more
// than MaxUnavailable replicas out of service for it.
func TestVersionWithoutRoomIsRolledOut(t *testing.T) {
	f := newTestFleet(8)
	f.applySheet("v1", 8)
	f.converge(t)
	f.applySheet("v2", 8)
	for _, in := range f.instances {
		in.NoRoomDigest = "v2"
	}
	require.True(t, f.reconcile())
	require.Equal(t, 6, f.serving("v1"))
	f.converge(t)
	require.Equal(t, 8, f.serving("v2"))
}

// Guards against a version that no engine can load being rolled out to the whole
// fleet, and against one faulty instance halting a version that others serve.
func TestFailedVersionIsHalted(t *testing.T) {
	f := newTestFleet(8)
	f.applySheet("v1", 8)
	f.converge(t)
	f.unloadable = "v2"
	f.applySheet("v2", 8)
	for range 20 {
		f.syncAgents()
		f.reconcile()
		require.GreaterOrEqual(t, f.serving("v1"), 6)
	}
	require.Contains(t, f.state.Halted, "v2")
	require.Equal(t, 8, f.serving("v1"))

	single := newTestFleet(8)
	single.applySheet("v1", 8)
	single.converge(t)
	single.applySheet("v2", 8)
	single.converge(t)
	single.instances["i003"].ServingDigest, single.instances["i003"].FailedDigest = "", "v2"
	_, _, halted := awplace.VersionToHalt(single.state, single.observed())
	require.False(t, halted)
}

// Guards against a newly started entry replacing instances that it has not
// observed yet, and against moving placements off a domain that is out of
// service.
func TestPlacementsKeptAfterStartAndDomainOut(t *testing.T) {
	f := newTestFleet(12)
	f.applySheet("v1", 9)
	f.converge(t)
	justStarted := f.cfg
	justStarted.Started = f.now
	require.Nil(t, awplace.Plan(f.state, nil, justStarted, f.now))

	before := f.state.Placements
	f.apply(awconfig.Change{Kind: awconfig.KindDomainOut, Target: domains[1]})
	f.converge(t)
	require.Equal(t, before, f.state.Placements)
	perDomain := map[string]int{}
	for id := range before {
		perDomain[f.instances[id].Domain]++
	}
	require.Equal(t, map[string]int{domains[0]: 3, domains[1]: 3, domains[2]: 3}, perDomain)
}

// Guards against placements that move when an instance briefly disappears from
// the instance list, and against a fleet that no longer matches the sheet after
// restarts, replaced instances and version changes.
func TestConvergesAfterChurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(18)
		f.applySheet("v1", 12)
		f.converge(t)
		version := 1
		for i := range rapid.IntRange(1, 40).Draw(t, "events") {
			ids := make([]string, 0, len(f.instances))
			for id := range f.instances {
				ids = append(ids, id)
			}
			slices.Sort(ids)
			id := rapid.SampledFrom(ids).Draw(t, "instance")
			switch rapid.SampledFrom([]string{"flap", "restart", "replace", "upgrade"}).Draw(t, "event") {
			case "flap":
				before := f.state.Placements
				f.unlisted[id] = true
				for range 10 {
					f.now = f.now.Add(time.Second)
					f.reconcile()
				}
				require.Equal(t, before, f.state.Placements, "a placement moved while an instance was briefly missing")
				delete(f.unlisted, id)
			case "restart":
				f.instances[id].ServingDigest, f.instances[id].HeldDigest = "", ""
			case "replace":
				domain := f.instances[id].Domain
				delete(f.instances, id)
				f.add(fmt.Sprintf("n%03d", i), domain)
				f.now = f.now.Add(time.Second)
			case "upgrade":
				version++
				f.applySheet(fmt.Sprintf("v%d", version), 12)
			}
			f.converge(t)
		}
		f.now = f.now.Add(2 * missingAfter)
		f.converge(t)
		require.Equal(t, 12, f.serving(fmt.Sprintf("v%d", version)))
		require.Len(t, f.state.Placements, 12)
	})
}
