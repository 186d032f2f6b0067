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

// hangLimit ends a test that hangs. No verdict depends on it.
const hangLimit = 2 * time.Minute

// fleet is a running system with one entry, one engine and one plain service
// in each failure domain.
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
	tls        bool     // the internal protocol runs over mutual TLS
	proxied    bool     // engines' agents stand behind fault proxies
	engineArgs []string // of the model engine stand-ins
	tuneAgent  func(*awsettings.Agent)
	tuneEntry  func(*awsettings.Entry)
}

const sheetHead = "Model,Version,Replicas,Domains,TeamShares,Fencing\n"

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
	f.apply(sheetHead + "rota,v1,3," + allDomains + ",,checked\n")
	f.serving("v1", 3)
	f.serviceReady()
	return f
}

// logTails shows the end of every process log of a failed test.
func logTails(t *testing.T, dir string) {
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, file := range files {
		data, _ := os.ReadFile(file)
		if len(data) > 0 {
			t.Logf("%s:\n%s", filepath.Base(file), data[max(0, len(data)-1500):])
		}
	}
}

func (f *fleet) apply(sheet string) {
	f.t.Helper()
	_, err := f.Entries[0].Operator().Apply(f.ctx, []byte(sheet), "test", 0)
	require.NoError(f.t, err)
}

// serving waits until every entry sees n replicas of the version.
func (f *fleet) serving(version string, n int) {
	f.t.Helper()
	for _, e := range f.Entries {
		require.NoError(f.t, f.WaitServing(f.ctx, e, "rota", version, n))
	}
}

// serviceReady waits until every entry has an agent of the plain service.
func (f *fleet) serviceReady() {
	f.t.Helper()
	for _, e := range f.Entries {
		require.NoError(f.t, awbench.WaitFor(f.ctx, "plain service", func() (bool, error) {
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

func (f *fleet) change(entry int, kind awconfig.Kind, target string) {
	f.t.Helper()
	acc, err := f.Entries[entry].Operator().Change(f.ctx, awcontrol.ChangeRequest{Kind: kind, Target: target, Actor: "test"})
	require.NoError(f.t, err)
	require.NoError(f.t, f.WaitInForce(f.ctx, acc.Revision))
}

// stream sends a call that must be answered whole with the expected text.
func (f *fleet) stream(entry, tokens int, prompt string) {
	f.t.Helper()
	call := awbench.Call{Model: "rota", Prompt: prompt, MaxTokens: tokens, Team: "kitchen"}
	a, err := f.caller.Stream(f.ctx, f.Entries[entry].Callers, call)
	require.NoError(f.t, err)
	require.True(f.t, a.Whole, "status %d outcome %q body %s", a.Status, a.Outcome, a.Body)
	require.Equal(f.t, call.ExpectedText(f.manifest.FileDigest), a.Text)
}

// runs returns how often each key ran on any backend server.
func (f *fleet) runs() map[string]int {
	f.t.Helper()
	total := map[string]int{}
	for _, n := range f.services {
		one := map[string]int{}
		require.NoError(f.t, awbench.GetJSON(n.Backend+"/admin/runs", &one))
		for key, k := range one {
			total[key] += k
		}
	}
	return total
}
