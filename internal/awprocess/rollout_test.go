package awprocess_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/internal/awbench"
	"arbutuswind/internal/awstandin"
	"arbutuswind/io/awengine"
	"arbutuswind/io/awsettings"
)

// Guards NoMixedWeights and WholeAnswer while a new version replaces the one
// that serves: each answer is whole and of one of the two.
func TestRolloutUnderLoad(t *testing.T) {
	f := startFleet(t, fleetConfig{})
	next, err := f.Publish("rota", "v2", awbench.RandomWeights(2, 1<<20), 128<<10)
	require.NoError(t, err)
	f.apply(sheetHead + "rota,v2,3," + allDomains + ",,checked\n")
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				call := awbench.Call{Model: "rota", Prompt: fmt.Sprintf("%d %d", i, n), MaxTokens: 20, Team: "kitchen"}
				a, err := f.caller.Stream(f.ctx, f.Entries[i].Callers, call)
				if err != nil || !a.Whole {
					t.Errorf("status %d outcome %q error %v body %s", a.Status, a.Outcome, err, a.Body)
					return
				}
				if a.Text != call.ExpectedText(f.manifest.FileDigest) && a.Text != call.ExpectedText(next.FileDigest) {
					t.Error("an answer is of neither version")
					return
				}
			}
		})
	}
	f.serving("v2", 3)
	close(stop)
	wg.Wait()
	f.manifest = next
	f.stream(0, 10, "after the rollout")
}

// Guards NoMixedWeights against a version that is published again under its
// name while it spreads, and against corrupted chunks of the origin.
func TestVersionChangesInMidTransfer(t *testing.T) {
	f := startFleet(t, fleetConfig{})
	require.NoError(t, awbench.Fault(f.Platform, awstandin.PlatformFault{CorruptPercent: 20}))
	pinned, err := f.Publish("rota", "v2", awbench.RandomWeights(2, 1<<20), 16<<10)
	require.NoError(t, err)
	f.apply(sheetHead + "rota,v2,3," + allDomains + ",,checked\n")
	_, err = f.Publish("rota", "v2", awbench.RandomWeights(3, 1<<20), 16<<10)
	require.NoError(t, err)
	f.serving("v2", 3)
	f.manifest = pinned
	for i := range 3 {
		f.stream(i, 10, "of the pinned version")
	}
}

// Guards the version that serves against one that its engines cannot load.
func TestVersionThatDoesNotLoadIsHalted(t *testing.T) {
	f := startFleet(t, fleetConfig{})
	for _, n := range f.engines {
		require.NoError(t, awbench.Fault(n.Backend, awstandin.EngineFault{FailLoad: true}))
	}
	_, err := f.Publish("rota", "v2", awbench.RandomWeights(2, 1<<20), 128<<10)
	require.NoError(t, err)
	f.apply(sheetHead + "rota,v2,3," + allDomains + ",,checked\n")
	require.NoError(t, awbench.WaitFor(f.ctx, "the halt", func() (bool, error) {
		st, err := f.Entries[0].Operator().Status(f.ctx)
		if err != nil {
			return false, err
		}
		return len(st.State.Halted) == 1, fmt.Errorf("halted: %v", st.State.Halted)
	}))
	for i := range 6 {
		f.stream(i%3, 10, "of the version before")
	}
}

// Guards the version that serves against one that loads and then fails its
// first requests.
func TestVersionThatFailsFirstRequestsIsHalted(t *testing.T) {
	f := startFleet(t, fleetConfig{})
	for _, n := range f.engines {
		require.NoError(t, awbench.Fault(n.Backend, awstandin.EngineFault{FailVersion: "v2"}))
	}
	_, err := f.Publish("rota", "v2", awbench.RandomWeights(2, 1<<20), 128<<10)
	require.NoError(t, err)
	f.apply(sheetHead + "rota,v2,3," + allDomains + ",,checked\n")
	require.NoError(t, awbench.WaitFor(f.ctx, "the halt", func() (bool, error) {
		for i := range 3 {
			call := awbench.Call{Model: "rota", Prompt: "first", MaxTokens: 2, Team: "kitchen"}
			if _, err := f.caller.Stream(f.ctx, f.Entries[i].Callers, call); err != nil {
				return false, err
			}
		}
		st, err := f.Entries[0].Operator().Status(f.ctx)
		if err != nil {
			return false, err
		}
		return len(st.State.Halted) == 1, fmt.Errorf("halted: %v", st.State.Halted)
	}))
	f.serving("v1", 3)
	for i := range 6 {
		f.stream(i%3, 10, "of the version before")
	}
}

// Guards AtMostOnce against an entry that dies after it has claimed: another
// entry asks the agent that the claim names.
func TestEntryKilledAfterClaim(t *testing.T) {
	f := startFleet(t, fleetConfig{})
	for _, n := range f.services {
		require.NoError(t, awbench.Fault(n.Backend, awstandin.ServiceFault{DelayMs: 1500}))
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = f.caller.Service(f.ctx, f.Entries[0].Callers, "roster", "assign", "shift-7", []byte("x")) // its entry dies
	}()
	require.NoError(t, awbench.WaitFor(f.ctx, "the run", func() (bool, error) {
		return f.runs()["shift-7"] == 1, fmt.Errorf("%d runs", f.runs()["shift-7"])
	}))
	require.NoError(t, f.Entries[0].Process.Signal(syscall.SIGKILL))
	<-done
	require.NoError(t, awbench.WaitFor(f.ctx, "the recorded answer", func() (bool, error) {
		a, err := f.caller.Service(f.ctx, f.Entries[1].Callers, "roster", "assign", "shift-7", []byte("x"))
		if err != nil {
			return false, err
		}
		require.NotEqual(t, "not-run", a.Outcome, "the call ran")
		return a.Status == http.StatusOK, fmt.Errorf("status %d outcome %q", a.Status, a.Outcome)
	}))
	a, err := f.caller.Service(f.ctx, f.Entries[2].Callers, "roster", "assign", "shift-7", []byte("other"))
	require.NoError(t, err)
	require.Equal(t, http.StatusUnprocessableEntity, a.Status, "another body under the same key")
	require.Equal(t, 1, f.runs()["shift-7"])
}

// Guards AtMostOnce against an agent that dies while it runs a call: nobody
// may run it again, and nobody may call it not-run.
func TestAgentKilledWhileRunningCall(t *testing.T) {
	f := startFleet(t, fleetConfig{})
	for _, n := range f.services {
		require.NoError(t, awbench.Fault(n.Backend, awstandin.ServiceFault{DelayMs: 3000}))
	}
	answered := make(chan awbench.Answer, 1)
	go func() {
		a, _ := f.caller.Service(f.ctx, f.Entries[0].Callers, "roster", "assign", "shift-8", []byte("x"))
		answered <- a
	}()
	running := -1
	require.NoError(t, awbench.WaitFor(f.ctx, "the run", func() (bool, error) {
		for i, n := range f.services {
			runs := map[string]int{}
			if err := awbench.GetJSON(n.Backend+"/admin/runs", &runs); err == nil && runs["shift-8"] == 1 {
				running = i
				return true, nil
			}
		}
		return false, fmt.Errorf("no run yet")
	}))
	require.NoError(t, f.services[running].Process.Signal(syscall.SIGKILL))
	require.NotEqual(t, "not-run", (<-answered).Outcome)
	for i := range 3 {
		a, err := f.caller.Service(f.ctx, f.Entries[i].Callers, "roster", "assign", "shift-8", []byte("x"))
		require.NoError(t, err)
		require.NotEqual(t, http.StatusOK, a.Status)
		require.NotEqual(t, "not-run", a.Outcome)
	}
	require.Equal(t, 1, f.runs()["shift-8"])
}

// Guards repeatable calls against the sudden loss of a failure domain with
// its entry, agents and backend servers.
func TestDomainKilled(t *testing.T) {
	f := startFleet(t, fleetConfig{engineArgs: slowTokens})
	r := f.background(0, 3, 60)
	for _, p := range []*awbench.Process{
		f.Entries[2].Process, f.engines[2].Process, f.engines[2].Server, f.services[2].Process, f.services[2].Server,
	} {
		require.NoError(t, p.Signal(syscall.SIGKILL))
	}
	for i := range 6 {
		f.stream(i%2, 5, fmt.Sprintf("after the loss %d", i))
	}
	r.allWhole()
}

// Guards ColdLimit against many entries that push at once: the engines break
// when they hold more than two requests while they are cold.
func TestColdEngineUnderPressure(t *testing.T) {
	f := startFleet(t, fleetConfig{engineArgs: []string{"--cold-requests", "40", "--token-interval", "5ms"}})
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() { f.stream(i%3, 10, fmt.Sprintf("cold %d", i)) })
	}
	wg.Wait()
	for _, n := range f.engines {
		counts := map[string]int{}
		require.NoError(t, awbench.GetJSON(n.Backend+"/admin/counts", &counts))
		require.Zero(t, counts["Overloads"])
		require.LessOrEqual(t, counts["MaxCold"], 2)
	}
}

// Guards against chunks of two versions being mixed when the version changes
// while the last one is still being fetched, and against agents that finish a
// transfer nobody wants.
func TestVersionChangesDuringTransfer(t *testing.T) {
	f := startFleet(t, fleetConfig{tuneAgent: func(s *awsettings.Agent) { s.Weights.LinkMbit = 8 }})
	fetching := func() (bool, error) {
		st, err := f.Entries[0].Operator().Status(f.ctx)
		if err != nil {
			return false, err
		}
		for _, a := range st.Agents {
			if a.Chunks > 0 && a.ChunksHeld > 0 && a.ChunksHeld < a.Chunks {
				return true, nil
			}
		}
		return false, nil
	}
	want := ""
	for i, version := range []string{"v2", "v3"} {
		m, err := f.Publish("rota", version, awbench.RandomWeights(uint64(i)+2, 4<<20), 64<<10)
		require.NoError(t, err)
		want = m.FileDigest
		f.apply(sheetHead + "rota," + version + ",3," + allDomains + ",,checked\n")
		if version == "v2" {
			require.NoError(t, awbench.WaitFor(f.ctx, "a transfer", fetching))
		}
	}
	f.serving("v3", 3)
	for _, e := range f.engines {
		var st awengine.Status
		require.NoError(t, awbench.GetJSON(e.Backend+"/status", &st))
		require.Equal(t, want, st.Digest)
	}
}

// Guards against a version that does not fit beside the served one never
// arriving: its replicas must be drained first.
func TestVersionWithoutRoomIsDrained(t *testing.T) {
	const buffers = 8 * 64 << 10
	f := startFleet(t, fleetConfig{tuneAgent: func(s *awsettings.Agent) {
		s.Limits.MaxInFlight = 8
		s.Weights.MemoryBytes = buffers + 3<<19 // one and a half versions
	}})
	_, err := f.Publish("rota", "v2", awbench.RandomWeights(2, 1<<20), 128<<10)
	require.NoError(t, err)
	f.apply(sheetHead + "rota,v2,3," + allDomains + ",,checked\n")
	f.serving("v2", 3)
}
