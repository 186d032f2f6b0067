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

// world is a fleet whose agents follow the configuration.
type world struct {
	state     *awconfig.State
	instances map[string]*awplace.Instance
	hidden    map[string]bool // not in the instance list for now
	now       time.Time
	cfg       awplace.Config
	broken    string // digest that no engine loads
}

func newWorld(n int) *world {
	w := &world{
		state: awconfig.NewState(), instances: map[string]*awplace.Instance{}, hidden: map[string]bool{},
		now: time.Unix(1000, 0), cfg: awplace.Config{MissingAfter: missingAfter, Started: time.Unix(0, 0)},
	}
	for i := range n {
		w.add(fmt.Sprintf("i%03d", i), domains[i%len(domains)])
	}
	return w
}

func (w *world) add(id, domain string) {
	w.instances[id] = &awplace.Instance{ID: id, Domain: domain, LastSeen: w.now}
}

func (w *world) apply(c awconfig.Change) {
	c.Revision = w.state.Revision + 1
	s, err := w.state.Apply(c)
	if err != nil {
		panic(err)
	}
	w.state = s
}

func (w *world) sheet(version string, replicas int) {
	w.apply(awconfig.Change{Kind: awconfig.KindApplySheet, Models: []awconfig.Model{{
		Name: "rota", Version: version, Digest: version, Replicas: replicas, Domains: domains,
	}}})
}

func (w *world) observed() []awplace.Instance {
	var list []awplace.Instance
	for id, in := range w.instances {
		if !w.hidden[id] {
			in.LastSeen = w.now
		}
		if w.now.Sub(in.LastSeen) <= missingAfter {
			list = append(list, *in)
		}
	}
	slices.SortFunc(list, func(a, b awplace.Instance) int { return int(w.now.Sub(a.LastSeen) - w.now.Sub(b.LastSeen)) })
	return list
}

// step lets the reconciler act once and reports whether it changed anything.
func (w *world) step() bool {
	observed := w.observed()
	if digest, reason, ok := awplace.VersionToHalt(w.state, observed); ok {
		w.apply(awconfig.Change{Kind: awconfig.KindHaltVersion, Target: digest, Reason: reason})
		return true
	}
	moves := awplace.Plan(w.state, observed, w.cfg, w.now)
	if moves == nil {
		return false
	}
	w.apply(awconfig.Change{Kind: awconfig.KindPlace, Placements: moves})
	return true
}

// follow lets every agent reach its placement, and fetch the next version.
func (w *world) follow() {
	for id, in := range w.instances {
		v := w.state.View(id, in.Domain)
		switch {
		case v.Placement.Model == "":
			in.ServingDigest = ""
		case v.Placement.Digest == w.broken:
			in.ServingDigest, in.FailedDigest, in.FailureReason = "", w.broken, "engine refused it"
		default:
			in.ServingDigest = v.Placement.Digest
		}
		if v.Next != nil {
			in.HeldDigest = v.Next.Digest
		}
	}
}

func (w *world) settle(t require.TestingT) {
	for range 200 {
		changed := w.step()
		w.follow()
		w.now = w.now.Add(time.Second)
		if !changed && !w.step() {
			return
		}
		w.follow()
	}
	require.Fail(t, "the reconciler does not come to rest")
}

func (w *world) serving(digest string) int {
	n := 0
	for id, in := range w.instances {
		if !w.hidden[id] && in.ServingDigest != "" && (digest == "" || in.ServingDigest == digest) &&
			w.state.Placements[id].Digest == in.ServingDigest {
			n++
		}
	}
	return n
}

// Guards against a version change that takes more replicas out than allowed,
// moves instances before they hold the version, or leaves surplus replicas.
func TestVersionChangeIsBounded(t *testing.T) {
	for _, c := range []struct {
		name                  string
		instances, replicas   int
		unavailable, surge    int
		leastServing, mostOld int
	}{
		{"defaults, no free instance", 24, 24, 0, 0, 18, 0},
		{"surge only", 15, 12, -1, 3, 12, 0},
		{"neither bound nor room", 6, 6, -1, -1, 5, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(c.instances)
			w.cfg.MaxUnavailable, w.cfg.MaxSurge = c.unavailable, c.surge
			w.sheet("v1", c.replicas)
			w.settle(t)
			require.Equal(t, c.replicas, w.serving("v1"))
			w.sheet("v2", c.replicas)
			w.step()
			for id, p := range w.state.Placements {
				if w.instances[id].ServingDigest == "v1" {
					require.Equal(t, "v1", p.Digest, "%s does not hold v2 yet", id)
				}
			}
			for range 100 {
				w.follow()
				w.step()
				require.GreaterOrEqual(t, w.serving(""), c.leastServing)
				w.now = w.now.Add(time.Second)
			}
			require.Equal(t, c.replicas, w.serving("v2"))
			require.Len(t, w.state.Placements, c.replicas)
		})
	}
}

// Guards against a version that does not fit beside the old one never being
// rolled out, and against draining more than MaxUnavailable for it.
func TestDrainedWay(t *testing.T) {
	w := newWorld(8)
	w.sheet("v1", 8)
	w.settle(t)
	w.sheet("v2", 8)
	for _, in := range w.instances {
		in.NoRoomDigest = "v2"
	}
	require.True(t, w.step())
	require.Equal(t, 6, w.serving("v1"))
	w.settle(t)
	require.Equal(t, 8, w.serving("v2"))
}

// Guards against a version that fails to load taking the fleet down, and
// against one broken instance halting a version that others serve.
func TestFailedVersionIsHalted(t *testing.T) {
	w := newWorld(8)
	w.sheet("v1", 8)
	w.settle(t)
	w.broken = "v2"
	w.sheet("v2", 8)
	for range 20 {
		w.follow()
		w.step()
		require.GreaterOrEqual(t, w.serving("v1"), 6)
	}
	require.Contains(t, w.state.Halted, "v2")
	require.Equal(t, 8, w.serving("v1"))

	one := newWorld(8)
	one.sheet("v1", 8)
	one.settle(t)
	one.sheet("v2", 8)
	one.settle(t)
	one.instances["i003"].ServingDigest, one.instances["i003"].FailedDigest = "", "v2"
	_, _, halted := awplace.VersionToHalt(one.state, one.observed())
	require.False(t, halted)
}

// Guards against an entry that has just started replacing every instance, and
// against a domain out of service losing its placements.
func TestNothingMovesWithoutReason(t *testing.T) {
	w := newWorld(12)
	w.sheet("v1", 9)
	w.settle(t)
	fresh := w.cfg
	fresh.Started = w.now
	require.Nil(t, awplace.Plan(w.state, nil, fresh, w.now))

	before := w.state.Placements
	w.apply(awconfig.Change{Kind: awconfig.KindDomainOut, Target: domains[1]})
	w.settle(t)
	require.Equal(t, before, w.state.Placements)
	perDomain := map[string]int{}
	for id := range before {
		perDomain[w.instances[id].Domain]++
	}
	require.Equal(t, map[string]int{domains[0]: 3, domains[1]: 3, domains[2]: 3}, perDomain)
}

// Guards against thrash when the instance list flaps, and against a fleet
// that drifts away from the sheet through deaths and restarts.
func TestChurnEndsWhereItBegan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(18)
		w.sheet("v1", 12)
		w.settle(t)
		version := 1
		for i := range rapid.IntRange(1, 40).Draw(t, "events") {
			ids := make([]string, 0, len(w.instances))
			for id := range w.instances {
				ids = append(ids, id)
			}
			slices.Sort(ids)
			id := rapid.SampledFrom(ids).Draw(t, "instance")
			switch rapid.SampledFrom([]string{"flap", "restart", "replace", "upgrade"}).Draw(t, "event") {
			case "flap":
				before := w.state.Placements
				w.hidden[id] = true
				for range 10 {
					w.now = w.now.Add(time.Second)
					w.step()
				}
				require.Equal(t, before, w.state.Placements, "a flap moved something")
				delete(w.hidden, id)
			case "restart":
				w.instances[id].ServingDigest, w.instances[id].HeldDigest = "", ""
			case "replace":
				domain := w.instances[id].Domain
				delete(w.instances, id)
				w.add(fmt.Sprintf("n%03d", i), domain)
				w.now = w.now.Add(time.Second)
			case "upgrade":
				version++
				w.sheet(fmt.Sprintf("v%d", version), 12)
			}
			w.settle(t)
		}
		w.now = w.now.Add(2 * missingAfter)
		w.settle(t)
		require.Equal(t, 12, w.serving(fmt.Sprintf("v%d", version)))
		require.Len(t, w.state.Placements, 12)
	})
}
