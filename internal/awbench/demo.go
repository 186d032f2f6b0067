package awbench

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"arbutuswind/core/awconfig"
	"arbutuswind/io/awcontrol"
)

// DemoResult is the result of [Demo].
type DemoResult struct {
	Experiment      string
	Replicas        int
	SecondsToServe  float64
	Streams         int
	WholeStreams    int
	KeyedCalls      int
	Doubled         int
	LeftAfterMs     int64 // until all processes had applied the change that takes the domain out
	StreamsWhileOut int
	WholeWhileOut   int
}

const (
	demoSheet = "Model,Version,Replicas,Domains,TeamShares,Fencing\n" +
		"rota,v1,3,merrimack narragansett champlain,kitchen=2 parish=1,checked\n"
	demoWeightBytes = 4 << 20
	demoChunkBytes  = 256 << 10
	demoStreams     = 12
	demoTokens      = 20
)

// Demo starts a small fleet of real processes and exercises rollout, streaming
// completions, idempotent calls and taking a failure domain out.
func Demo(ctx context.Context, binDir string) (any, error) {
	c, err := NewCluster(binDir)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	res := &DemoResult{Experiment: "demo", Replicas: 3}
	if err := demoFleet(ctx, c); err != nil {
		return nil, err
	}
	m, err := c.Publish("rota", "v1", RandomWeights(1, demoWeightBytes), demoChunkBytes)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	if _, err := c.Entries[0].Operator().Apply(ctx, []byte(demoSheet), "demo", 0); err != nil {
		return nil, err
	}
	for _, e := range c.Entries {
		if err := c.WaitServing(ctx, e, "rota", "v1", res.Replicas); err != nil {
			return nil, err
		}
	}
	res.SecondsToServe = time.Since(began).Seconds()
	res.Streams = demoStreams
	if res.WholeStreams, err = demoStreamCalls(ctx, c, m.FileDigest); err != nil {
		return nil, err
	}
	if err := demoKeyedCalls(ctx, c, res); err != nil {
		return nil, err
	}
	if err := demoDomainOut(ctx, c, m.FileDigest, res); err != nil {
		return nil, err
	}
	if res.WholeStreams != res.Streams || res.WholeWhileOut != res.StreamsWhileOut || res.Doubled != 0 {
		return res, eris.New("the demo had incomplete streams or writes that ran more than once")
	}
	return res, nil
}

func demoFleet(ctx context.Context, c *Cluster) error {
	if err := c.StartPlatform(ctx); err != nil {
		return err
	}
	for i, site := range Sites {
		if _, err := c.StartEntry(fmt.Sprintf("entry-%d", i), site, nil); err != nil {
			return err
		}
		if _, err := c.StartEngine(fmt.Sprintf("engine-%d", i), site, nil); err != nil {
			return err
		}
		if _, err := c.StartService(fmt.Sprintf("roster-%d", i), "roster", site); err != nil {
			return err
		}
	}
	for _, e := range c.Entries {
		if err := WaitHTTP(ctx, e.Operators+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// demoStreamCalls sends demoStreams completions and returns how many complete
// responses with the expected text it received.
func demoStreamCalls(ctx context.Context, c *Cluster, fileDigest string) (int, error) {
	caller, whole := NewCaller(), 0
	for i := range demoStreams {
		call := Call{Model: "rota", Prompt: fmt.Sprintf("roster for kitchen %d", i), MaxTokens: demoTokens, Team: "kitchen"}
		a, err := caller.Stream(ctx, c.Entries[i%len(c.Entries)].Callers, call)
		if err != nil {
			return whole, err
		}
		if a.Whole && a.Text == call.ExpectedText(fileDigest) {
			whole++
		}
	}
	return whole, nil
}

// demoKeyedCalls sends each call twice with the same idempotency key, through
// two entries, and counts the runs beyond the first of each call.
func demoKeyedCalls(ctx context.Context, c *Cluster, res *DemoResult) error {
	caller := NewCaller()
	res.KeyedCalls = 4
	for i := range res.KeyedCalls {
		key := fmt.Sprintf("shift-%d", i)
		first, err := caller.Service(ctx, c.Entries[0].Callers, "roster", "assign", key, []byte(key))
		if err != nil {
			return err
		}
		second, err := caller.Service(ctx, c.Entries[1].Callers, "roster", "assign", key, []byte(key))
		if err != nil {
			return err
		}
		if first.Status != 200 || string(first.Body) != string(second.Body) {
			return eris.Errorf("call with idempotency key returned %d %q, then %d %q", first.Status, first.Body, second.Status, second.Body)
		}
	}
	total := map[string]int{}
	for _, n := range c.Agents {
		runs := map[string]int{}
		if n.Service == "" {
			continue
		}
		if err := GetJSON(n.Backend+"/admin/runs", &runs); err != nil {
			return err
		}
		for key, k := range runs {
			total[key] += k
		}
	}
	for _, k := range total {
		res.Doubled += k - 1
	}
	return nil
}

func demoDomainOut(ctx context.Context, c *Cluster, fileDigest string, res *DemoResult) error {
	out := awcontrol.ChangeRequest{Kind: awconfig.KindDomainOut, Target: Sites[2].Domain, Actor: "demo"}
	began := time.Now()
	acc, err := c.Entries[0].Operator().Change(ctx, out)
	if err != nil {
		return err
	}
	if err := c.WaitInForce(ctx, acc.Revision); err != nil {
		return err
	}
	res.LeftAfterMs = time.Since(began).Milliseconds()
	res.StreamsWhileOut = demoStreams
	if res.WholeWhileOut, err = demoStreamCalls(ctx, c, fileDigest); err != nil {
		return err
	}
	in := awcontrol.ChangeRequest{Kind: awconfig.KindDomainIn, Target: Sites[2].Domain, Actor: "demo"}
	if acc, err = c.Entries[1].Operator().Change(ctx, in); err != nil {
		return err
	}
	return c.WaitInForce(ctx, acc.Revision)
}

// WaitInForce waits until all entries and agents have applied at least the
// revision.
func (c *Cluster) WaitInForce(ctx context.Context, revision uint64) error {
	return WaitFor(ctx, fmt.Sprintf("revision %d on all entries and agents", revision), func() (bool, error) {
		for _, e := range c.Entries {
			st, err := e.Operator().Status(ctx)
			if err != nil {
				return false, err
			}
			if st.Revision < revision {
				return false, eris.Errorf("%s is at revision %d", e.ID, st.Revision)
			}
			for _, a := range st.Agents {
				if a.ViewRevision < revision {
					return false, eris.Errorf("%s is at revision %d", a.Instance, a.ViewRevision)
				}
			}
		}
		return true, nil
	})
}
