package awprocess_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awconfig"
	"arbutuswind/core/awweights"
	"arbutuswind/internal/awbench"
	"arbutuswind/internal/awprogram"
	"arbutuswind/internal/awstandin"
	"arbutuswind/io/awcontrol"
	"arbutuswind/io/awsettings"
)

var binDir string

func TestMain(m *testing.M) {
	os.Exit(awprogram.Run(m, func(dir string) { binDir = dir }, "arbutuswind/cmd/..."))
}

// hangLimit ends a test that hangs. No assertion depends on it.
const hangLimit = 2 * time.Minute

// fleet is a running system with one entry, one model engine and one instance
// of a service without weights in each failure domain.
type fleet struct {
	*awbench.Cluster
	t        *testing.T
	ctx      context.Context
	caller   *awbench.Caller
	manifest awweights.Manifest
	engines  []*awbench.Node
	services []*awbench.Node
}

type fleetConfig struct {
	tls        bool     // use mutual TLS for the internal protocol
	proxied    bool     // place fault-injecting proxies in front of the engines' agents
	engineArgs []string // extra arguments of the simulated model engines
	tuneAgent  func(*awsettings.Agent)
	tuneEntry  func(*awsettings.Entry)
}

const sheetHeader = "Model,Version,Replicas,Domains,TeamShares,Fencing\n"

const allDomains = "merrimack narragansett champlain"

func startFleet(t *testing.T, cfg fleetConfig) *fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
	t.Cleanup(cancel)
	c, err := awbench.NewCluster(binDir)
	require.NoError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			logTails(t, c.Dir)
		}
		c.Close()
	})
	if cfg.tls {
		ca, err := awstandin.NewAuthority()
		require.NoError(t, err)
		c.TLS = func(instance string) (awsettings.TLS, error) {
			return ca.Issue(t.TempDir(), instance, time.Now().Add(time.Hour))
		}
	}
	f := &fleet{Cluster: c, t: t, ctx: ctx, caller: awbench.NewCaller()}
	require.NoError(t, c.StartPlatform(ctx))
	for i, site := range awbench.Sites {
		_, err := c.StartEntry(fmt.Sprintf("entry-%d", i), site, cfg.tuneEntry)
		require.NoError(t, err)
		start := c.StartEngine
		if cfg.proxied {
			start = c.StartProxied
		}
		n, err := start(fmt.Sprintf("engine-%d", i), site, cfg.tuneAgent, cfg.engineArgs...)
		require.NoError(t, err)
		f.engines = append(f.engines, n)
		s, err := c.StartService(fmt.Sprintf("roster-%d", i), "roster", site)
		require.NoError(t, err)
		f.services = append(f.services, s)
	}
	for _, e := range c.Entries {
		require.NoError(t, awbench.WaitHTTP(ctx, e.Operators+"/readyz"))
	}
	f.manifest, err = c.Publish("rota", "v1", awbench.RandomWeights(1, 1<<20), 128<<10)
	require.NoError(t, err)
	f.applySheet(sheetHeader + "rota,v1,3," + allDomains + ",,checked\n")
	f.waitServing("v1", 3)
	f.waitServiceReady()
	return f
}

// logTails prints the end of every process log.
func logTails(t *testing.T, dir string) {
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, file := range files {
		data, _ := os.ReadFile(file)
		if len(data) > 0 {
			t.Logf("%s:\n%s", filepath.Base(file), data[max(0, len(data)-1500):])
		}
	}
}

func (f *fleet) applySheet(sheet string) {
	f.t.Helper()
	_, err := f.Entries[0].Operator().Apply(f.ctx, []byte(sheet), "test", 0)
	require.NoError(f.t, err)
}

// waitServing waits until every entry sees n replicas of the version.
func (f *fleet) waitServing(version string, n int) {
	f.t.Helper()
	for _, e := range f.Entries {
		require.NoError(f.t, f.WaitServing(f.ctx, e, "rota", version, n))
	}
}

// waitServiceReady waits until every entry has a ready agent of the roster
// service.
func (f *fleet) waitServiceReady() {
	f.t.Helper()
	for _, e := range f.Entries {
		require.NoError(f.t, awbench.WaitFor(f.ctx, "ready roster service", func() (bool, error) {
			st, err := e.Operator().Status(f.ctx)
			if err != nil {
				return false, err
			}
			for _, a := range st.Agents {
				if a.Model == "service/roster" && a.State == "READY" {
					return true, nil
				}
			}
			return false, errors.New("no agent of the service is ready")
		}))
	}
}

func (f *fleet) changeConfig(entry int, kind awconfig.Kind, target string) {
	f.t.Helper()
	acc, err := f.Entries[entry].Operator().Change(f.ctx, awcontrol.ChangeRequest{Kind: kind, Target: target, Actor: "test"})
	require.NoError(f.t, err)
	require.NoError(f.t, f.WaitInForce(f.ctx, acc.Revision))
}

// requireStream sends a streaming call and requires a complete response with the
// expected text.
func (f *fleet) requireStream(entry, tokens int, prompt string) {
	f.t.Helper()
	call := awbench.Call{Model: "rota", Prompt: prompt, MaxTokens: tokens, Team: "kitchen"}
	a, err := f.caller.Stream(f.ctx, f.Entries[entry].Callers, call)
	require.NoError(f.t, err)
	require.True(f.t, a.Whole, "status %d outcome %q body %s", a.Status, a.Outcome, a.Body)
	require.Equal(f.t, call.ExpectedText(f.manifest.FileDigest), a.Text)
}

// runsByKey returns the number of runs of each key, summed over all backend
// servers.
func (f *fleet) runsByKey() map[string]int {
	f.t.Helper()
	total := map[string]int{}
	for _, n := range f.services {
		counts := map[string]int{}
		require.NoError(f.t, awbench.GetJSON(n.Backend+"/admin/runs", &counts))
		for key, k := range counts {
			total[key] += k
		}
	}
	return total
}
