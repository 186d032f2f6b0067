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

// Guards against violations of NoMixedWeights and WholeAnswer during a rollout:
// each response must be complete and come from exactly one version.
func TestRolloutUnderLoad(t *testing.T) {
	f := startFleet(t, fleetConfig{})
	next, err := f.Publish("rota", "v2", awbench.RandomWeights(2, 1<<20), 128<<10)
	require.NoError(t, err)
	f.applySheet(sheetHeader + "rota,v2,3," + allDomains + ",,checked\n")
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
					t.Error("response matches neither version")
					return
				}
			}
		})
	}
	f.waitServing("v2", 3)
	close(stop)
	wg.Wait()
	f.manifest = next
	f.requireStream(0, 10, "after the rollout")
}

// Guards against a violation of NoMixedWeights when a version is published
// again under the same name during its transfer, and when the origin returns
// corrupt chunks.
func TestVersionRepublishedDuringTransfer(t *testing.T) {
	f := startFleet(t, fleetConfig{})
	require.NoError(t, awbench.Fault(f.Platform, awstandin.PlatformFault{CorruptPercent: 20}))
	pinned, err := f.Publish("rota", "v2", awbench.RandomWeights(2, 1<<20), 16<<10)
	require.NoError(t, err)
	f.applySheet(sheetHeader + "rota,v2,3," + allDomains + ",,checked\n")
	_, err = f.Publish("rota", "v2", awbench.RandomWeights(3, 1<<20), 16<<10)
	require.NoError(t, err)
	f.waitServing("v2", 3)
	f.manifest = pinned
	for i := range 3 {
		f.requireStream(i, 10, "of the pinned version")
	}
}

// Guards against losing the served version when engines cannot load the new
// one: the rollout must halt.
func TestVersionThatDoesNotLoadIsHalted(t *testing.T) {
	f := startFleet(t, fleetConfig{})
	for _, n := range f.engines {
		require.NoError(t, awbench.Fault(n.Backend, awstandin.EngineFault{FailLoad: true}))
	}
	_, err := f.Publish("rota", "v2", awbench.RandomWeights(2, 1<<20), 128<<10)
	require.NoError(t, err)
	f.applySheet(sheetHeader + "rota,v2,3," + allDomains + ",,checked\n")
	require.NoError(t, awbench.WaitFor(f.ctx, "the halt", func() (bool, error) {
		st, err := f.Entries[0].Operator().Status(f.ctx)
		if err != nil {
			return false, err
		}
		return len(st.State.Halted) == 1, fmt.Errorf("halted: %v", st.State.Halted)
	}))
	for i := range 6 {
		f.requireStream(i%3, 10, "of the version before")
	}
}

// Guards against losing the served version when the new one loads but fails
// its first requests: the rollout must halt.
func TestVersionThatFailsFirstRequestsIsHalted(t *testing.T) {
	f := startFleet(t, fleetConfig{})
	for _, n := range f.engines {
		require.NoError(t, awbench.Fault(n.Backend, awstandin.EngineFault{FailVersion: "v2"}))
	}
	_, err := f.Publish("rota", "v2", awbench.RandomWeights(2, 1<<20), 128<<10)
	require.NoError(t, err)
	f.applySheet(sheetHeader + "rota,v2,3," + allDomains + ",,checked\n")
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
	f.waitServing("v1", 3)
	for i := range 6 {
		f.requireStream(i%3, 10, "of the version before")
	}
}

// Guards against a violation of AtMostOnce when an entry is killed after it
// wrote a claim: another entry must query the agent named in the claim.
func TestEntryKilledAfterClaim(t *testing.T) {
	f := startFleet(t, fleetConfig{})
	for _, n := range f.services {
		require.NoError(t, awbench.Fault(n.Backend, awstandin.ServiceFault{DelayMs: 1500}))
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = f.caller.Service(f.ctx, f.Entries[0].Callers, "roster", "assign", "shift-7", []byte("x")) // fails because its entry is killed
	}()
	require.NoError(t, awbench.WaitFor(f.ctx, "the run", func() (bool, error) {
		return f.runsByKey()["shift-7"] == 1, fmt.Errorf("%d runs", f.runsByKey()["shift-7"])
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
	require.Equal(t, 1, f.runsByKey()["shift-7"])
}

// Guards against a violation of AtMostOnce when an agent is killed while it
// runs a call: the call must neither run again nor be reported as not-run.
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
	require.Equal(t, 1, f.runsByKey()["shift-8"])
}

// Guards against failed streams when a whole failure domain is lost at once
// with its entry, agents and backend servers.
func TestDomainKilled(t *testing.T) {
	f := startFleet(t, fleetConfig{engineArgs: slowTokens})
	r := f.startStreams(0, 3, 60)
	for _, p := range []*awbench.Process{
		f.Entries[2].Process, f.engines[2].Process, f.engines[2].Server, f.services[2].Process, f.services[2].Server,
	} {
		require.NoError(t, p.Signal(syscall.SIGKILL))
	}
	for i := range 6 {
		f.requireStream(i%2, 5, fmt.Sprintf("after the loss %d", i))
	}
	r.requireAllWhole()
}

// Guards against a violation of ColdLimit when several entries send requests at
// once: a cold engine is overloaded by more than two concurrent requests.
func TestColdEngineUnderPressure(t *testing.T) {
	f := startFleet(t, fleetConfig{engineArgs: []string{"--cold-requests", "40", "--token-interval", "5ms"}})
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() { f.requireStream(i%3, 10, fmt.Sprintf("cold %d", i)) })
	}
	wg.Wait()
	for _, n := range f.engines {
		counts := map[string]int{}
		require.NoError(t, awbench.GetJSON(n.Backend+"/admin/counts", &counts))
		require.Zero(t, counts["Overloads"])
		require.LessOrEqual(t, counts["MaxCold"], 2)
	}
}

// Guards against mixing chunks of two versions when the desired version changes
// during a transfer, and against agents that continue the outdated transfer.
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
		f.applySheet(sheetHeader + "rota," + version + ",3," + allDomains + ",,checked\n")
		if version == "v2" {
			require.NoError(t, awbench.WaitFor(f.ctx, "a transfer", fetching))
		}
	}
	f.waitServing("v3", 3)
	for _, e := range f.engines {
		var st awengine.Status
		require.NoError(t, awbench.GetJSON(e.Backend+"/status", &st))
		require.Equal(t, want, st.Digest)
	}
}

// Guards against a rollout that never completes because the new version does
// not fit in memory beside the served one: replicas must be drained first.
func TestRolloutDrainsReplicaWithoutMemory(t *testing.T) {
	const buffers = 8 * 64 << 10
	f := startFleet(t, fleetConfig{tuneAgent: func(s *awsettings.Agent) {
		s.Limits.MaxInFlight = 8
		s.Weights.MemoryBytes = buffers + 3<<19 // one and a half versions
	}})
	_, err := f.Publish("rota", "v2", awbench.RandomWeights(2, 1<<20), 128<<10)
	require.NoError(t, err)
	f.applySheet(sheetHeader + "rota,v2,3," + allDomains + ",,checked\n")
	f.waitServing("v2", 3)
}
