package awprocess_test

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awconfig"
	"arbutuswind/internal/awbench"
	"arbutuswind/internal/awstandin"
	"arbutuswind/io/awcontrol"
)

// slowTokens slows the engines down so that a failure can be injected while a
// stream is running.
var slowTokens = []string{"--token-interval", "20ms"}

// backgroundStreams collects the results of streaming calls that run in the
// background.
type backgroundStreams struct {
	f       *fleet
	wg      sync.WaitGroup
	mu      sync.Mutex
	answers []awbench.Answer
	errs    []error
}

func (f *fleet) startStreams(entry, streams, tokens int) *backgroundStreams {
	r := &backgroundStreams{f: f}
	for i := range streams {
		r.wg.Go(func() {
			call := awbench.Call{Model: "rota", Prompt: fmt.Sprintf("long %d", i), MaxTokens: tokens, Team: "kitchen"}
			a, err := f.caller.Stream(f.ctx, f.Entries[entry].Callers, call)
			if a.Whole && a.Text != call.ExpectedText(f.manifest.FileDigest) {
				err = errors.New("complete response with a wrong text")
			}
			r.mu.Lock()
			r.answers, r.errs = append(r.answers, a), append(r.errs, err)
			r.mu.Unlock()
		})
	}
	require.NoError(f.t, awbench.WaitFor(f.ctx, "running streams", func() (bool, error) {
		total := 0
		for _, n := range f.engines {
			counts := map[string]int{}
			if err := awbench.GetJSON(n.Backend+"/admin/counts", &counts); err != nil {
				continue
			}
			total += counts["Running"]
		}
		return total >= streams, fmt.Errorf("%d streams are running", total)
	}))
	return r
}

// requireAllWhole waits for all streams and requires complete responses.
func (r *backgroundStreams) requireAllWhole() {
	r.f.t.Helper()
	r.wg.Wait()
	for i, a := range r.answers {
		require.NoError(r.f.t, r.errs[i])
		require.True(r.f.t, a.Whole, "status %d outcome %q body %s", a.Status, a.Outcome, a.Body)
	}
}

// Guards against a violation of WholeAnswer when an agent is killed during a
// stream.
func TestAgentKilledInMidStream(t *testing.T) {
	f := startFleet(t, fleetConfig{engineArgs: slowTokens})
	r := f.startStreams(0, 3, 100)
	require.NoError(t, f.engines[0].Process.Signal(syscall.SIGKILL))
	r.requireAllWhole()
}

// Guards against a violation of WholeAnswer when an engine restarts during a
// stream.
func TestEngineRestartsInMidStream(t *testing.T) {
	f := startFleet(t, fleetConfig{engineArgs: slowTokens})
	r := f.startStreams(0, 3, 100)
	require.NoError(t, awbench.Fault(f.engines[0].Backend, awstandin.EngineFault{Restart: true}))
	r.requireAllWhole()
}

// Guards against a violation of WholeAnswer when an entry is killed and the
// caller mistakes the closed connection for the end of the stream.
func TestEntryKilledInMidStream(t *testing.T) {
	f := startFleet(t, fleetConfig{engineArgs: slowTokens})
	r := f.startStreams(0, 3, 200)
	require.NoError(t, f.Entries[0].Process.Signal(syscall.SIGKILL))
	r.wg.Wait()
	for i, a := range r.answers {
		require.False(t, a.Whole)
		require.Error(t, r.errs[i])
	}
	f.requireStream(1, 10, "after the loss of an entry")
}

// Guards against a violation of GracefulStop when an agent is stopped while
// long streams are running.
func TestAgentStopsGracefully(t *testing.T) {
	f := startFleet(t, fleetConfig{engineArgs: slowTokens})
	r := f.startStreams(0, 3, 100)
	for _, n := range f.engines[:2] {
		require.NoError(t, n.Process.Signal(syscall.SIGTERM))
	}
	r.requireAllWhole()
	for _, n := range f.engines[:2] {
		require.NoError(t, n.Process.Wait(f.ctx), "a graceful stop exits with 0")
	}
	f.requireStream(0, 10, "after the stop")
}

// Guards against a violation of GracefulStop when an entry is stopped while
// long streams are running.
func TestEntryStopsGracefully(t *testing.T) {
	f := startFleet(t, fleetConfig{engineArgs: slowTokens})
	r := f.startStreams(0, 3, 100)
	require.NoError(t, f.Entries[0].Process.Signal(syscall.SIGTERM))
	r.requireAllWhole()
	require.NoError(t, f.Entries[0].Process.Wait(f.ctx))
}

// Guards against a violation of DomainOut: an engine in a domain that was taken
// out of service must get no new work, and running streams must continue.
func TestDomainOutAndBack(t *testing.T) {
	f := startFleet(t, fleetConfig{engineArgs: slowTokens})
	r := f.startStreams(2, 3, 100)
	f.changeConfig(0, awconfig.KindDomainOut, awbench.Sites[2].Domain)
	before := f.startedCompletions(f.engines[2])
	for i := range 6 {
		f.requireStream(i%3, 5, fmt.Sprintf("while out %d", i))
	}
	require.Equal(t, before, f.startedCompletions(f.engines[2]), "new work reached the domain")
	r.requireAllWhole()
	f.changeConfig(1, awconfig.KindDomainIn, awbench.Sites[2].Domain)
	f.requireStream(2, 5, "after the return")
}

// startedCompletions returns the number of completions that an engine has
// started.
func (f *fleet) startedCompletions(n *awbench.Node) int {
	f.t.Helper()
	counts := map[string]int{}
	require.NoError(f.t, awbench.GetJSON(n.Backend+"/admin/counts", &counts))
	return counts["Started"]
}

// Guards against a store outage that stops streaming calls, or that violates
// AtMostOnce or NotRunIsTrue for calls that need a claim.
func TestStoreDown(t *testing.T) {
	f := startFleet(t, fleetConfig{})
	require.NoError(t, awbench.Fault(f.Platform, awstandin.PlatformFault{StoreDown: true}))
	f.requireStream(0, 10, "while the store is down")
	a, err := f.caller.Service(f.ctx, f.Entries[0].Callers, "roster", "assign", "shift-1", []byte("x"))
	require.NoError(t, err)
	require.Equal(t, "not-run", a.Outcome, "status %d body %s", a.Status, a.Body)
	require.Zero(t, f.runsByKey()["shift-1"])
	_, err = f.Entries[0].Operator().Change(f.ctx, awcontrol.ChangeRequest{
		Kind: awconfig.KindDomainOut, Target: awbench.Sites[2].Domain, Actor: "test",
	})
	var refused *awcontrol.APIError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, http.StatusServiceUnavailable, refused.Status)

	require.NoError(t, awbench.Fault(f.Platform, map[string]bool{"StoreDown": false}))
	a, err = f.caller.Service(f.ctx, f.Entries[1].Callers, "roster", "assign", "shift-1", []byte("x"))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status, "outcome %q body %s", a.Outcome, a.Body)
	require.Equal(t, 1, f.runsByKey()["shift-1"])
}

// Guards against a violation of AtMostOnce when the store commits a write but
// its reply is lost.
func TestLostWriteAnswer(t *testing.T) {
	f := startFleet(t, fleetConfig{})
	for i := range 4 {
		key := fmt.Sprintf("order-%d", i)
		require.NoError(t, awbench.Fault(f.Platform, awstandin.PlatformFault{LoseReplies: 1 + i%2}))
		a, err := f.caller.Service(f.ctx, f.Entries[0].Callers, "roster", "order", key, []byte(key))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, a.Status, "outcome %q body %s", a.Outcome, a.Body)
		again, err := f.caller.Service(f.ctx, f.Entries[1].Callers, "roster", "order", key, []byte(key))
		require.NoError(t, err)
		require.Equal(t, string(a.Body), string(again.Body))
		require.Equal(t, 1, f.runsByKey()[key])
	}
}

// Guards against a violation of AtMostOnce when a backend server runs a call
// but its response is lost.
func TestLostServiceAnswer(t *testing.T) {
	f := startFleet(t, fleetConfig{})
	for _, n := range f.services {
		require.NoError(t, awbench.Fault(n.Backend, awstandin.ServiceFault{LoseReplies: 3}))
	}
	for i := range 3 {
		a, err := f.caller.Service(f.ctx, f.Entries[i].Callers, "roster", "order", "order-9", []byte("x"))
		require.NoError(t, err)
		require.NotEqual(t, http.StatusOK, a.Status)
		require.NotEqual(t, "not-run", a.Outcome, "the call ran once")
	}
	require.Equal(t, 1, f.runsByKey()["order-9"])
}

// Guards against a violation of ConfigMonotonic when two operators change the
// configuration concurrently. One change must succeed; the conflict returned to
// the other operator must contain it.
func TestOperatorsRace(t *testing.T) {
	f := startFleet(t, fleetConfig{})
	st, err := f.Entries[0].Operator().Status(f.ctx)
	require.NoError(t, err)
	base := st.Revision
	errs := make([]error, 2)
	var wg sync.WaitGroup
	for i := range errs {
		wg.Go(func() {
			_, errs[i] = f.Entries[i].Operator().Change(f.ctx, awcontrol.ChangeRequest{
				Kind: awconfig.KindDomainOut, Target: awbench.Sites[i+1].Domain, Actor: fmt.Sprintf("operator-%d", i), Base: base,
			})
		})
	}
	wg.Wait()
	won, lost := errs[0], errs[1]
	if won != nil {
		won, lost = lost, won
	}
	require.NoError(t, won, "one change must succeed")
	var conflict *awcontrol.APIError
	require.ErrorAs(t, lost, &conflict)
	require.Equal(t, http.StatusConflict, conflict.Status)
	// The conflict may also list placements that the reconciler committed.
	var operators []awconfig.Change
	for _, w := range conflict.Refusal.Winners {
		if w.ByOperator() {
			operators = append(operators, w)
		}
	}
	require.Len(t, operators, 1)
}

// Guards against two agents that control the same engine.
func TestSecondAgentOnInstance(t *testing.T) {
	f := startFleet(t, fleetConfig{})
	p, err := f.Start("second-agent", "awagent", "--config", f.Dir+"/engine-0.toml")
	require.NoError(t, err)
	require.Error(t, p.Wait(f.ctx), "the second agent must exit")
	f.requireStream(0, 10, "with the first agent")
}

// Guards against routing new work over links that are stalled, drop one
// direction or refuse connections.
func TestBrokenLinks(t *testing.T) {
	faults := map[string]awstandin.ProxyFault{
		"Stall": {Stall: true}, "DropToServer": {DropToServer: true}, "DropToClient": {DropToClient: true}, "Refuse": {Refuse: true},
	}
	f := startFleet(t, fleetConfig{proxied: true})
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			link := f.engines[1].Link
			require.NoError(t, awbench.Fault(link, fault))
			if fault.Refuse {
				require.NoError(t, postReset(link))
			}
			f.waitAgentState(1, "engine-1", func(s string) bool { return s == "SILENT" })
			for i := range 4 {
				f.requireStream(1, 5, fmt.Sprintf("%s %d", name, i))
			}
			require.NoError(t, awbench.Fault(link, map[string]bool{
				"Stall": false, "DropToServer": false, "DropToClient": false, "Refuse": false,
			}))
			require.NoError(t, postReset(link))
			f.waitAgentState(1, "engine-1", func(s string) bool { return s == "READY" || s == "COLD" })
		})
	}
}

func postReset(link string) error {
	resp, err := http.Post(link+"/reset", "", strings.NewReader(""))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// waitAgentState waits until an entry reports a wanted state of an agent. An
// agent that the entry does not list counts as SILENT.
func (f *fleet) waitAgentState(entry int, agent string, want func(string) bool) {
	f.t.Helper()
	require.NoError(f.t, awbench.WaitFor(f.ctx, "state of "+agent, func() (bool, error) {
		st, err := f.Entries[entry].Operator().Status(f.ctx)
		if err != nil {
			return false, err
		}
		for _, a := range st.Agents {
			if a.Instance == agent {
				return want(a.State), errors.New(a.State)
			}
		}
		return want("SILENT"), errors.New("unknown")
	}))
}

// Guards against an agent that acts on outdated configuration after a pause.
// Its domain is taken out of service during the pause, so it must accept no new
// work when it resumes.
func TestAgentPausedAndResumed(t *testing.T) {
	f := startFleet(t, fleetConfig{})
	n := f.engines[1]
	require.NoError(t, n.Process.Signal(syscall.SIGSTOP))
	f.waitAgentState(0, n.ID, func(s string) bool { return s == "SILENT" })
	acc, err := f.Entries[0].Operator().Change(f.ctx, awcontrol.ChangeRequest{
		Kind: awconfig.KindDomainOut, Target: n.Site.Domain, Actor: "test",
	})
	require.NoError(t, err)
	for i := range 3 {
		f.requireStream(i, 5, fmt.Sprintf("while paused %d", i))
	}
	before := f.startedCompletions(n)
	require.NoError(t, n.Process.Signal(syscall.SIGCONT))
	for i := range 6 {
		f.requireStream(i%3, 5, fmt.Sprintf("after waking %d", i))
	}
	require.NoError(t, f.WaitInForce(f.ctx, acc.Revision))
	require.Equal(t, before, f.startedCompletions(n), "new work reached the domain")
}

// Guards against a violation of ConfigMonotonic when the store is restored from
// an older copy.
func TestStoreRolledBack(t *testing.T) {
	f := startFleet(t, fleetConfig{})
	require.NoError(t, post(f.Platform+"/admin/save"))
	f.changeConfig(0, awconfig.KindDomainOut, awbench.Sites[2].Domain)
	st, err := f.Entries[0].Operator().Status(f.ctx)
	require.NoError(t, err)
	require.NoError(t, post(f.Platform+"/admin/restore"))
	_, err = f.Entries[1].Operator().Change(f.ctx, awcontrol.ChangeRequest{
		Kind: awconfig.KindDomainOut, Target: awbench.Sites[1].Domain, Actor: "test",
	})
	require.Error(t, err, "changes must be refused until an operator accepts the reset")
	for _, e := range f.Entries {
		now, err := e.Operator().Status(f.ctx)
		require.NoError(t, err)
		require.GreaterOrEqual(t, now.Revision, st.Revision)
		require.True(t, now.State.Domains[awbench.Sites[2].Domain].Out, "the change was reverted")
	}
}

func post(url string) error {
	resp, err := http.Post(url, "", strings.NewReader(""))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
