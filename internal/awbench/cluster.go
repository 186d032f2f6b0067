// Package awbench runs benchmarks against real processes on loopback.
//
// Every experiment has a time limit, prints one JSON line per result and ends
// all processes that it started.
package awbench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"arbutuswind/internal/awport"
	"arbutuswind/io/awcontrol"
	"arbutuswind/io/awsettings"
	"arbutuswind/io/awstore"
)

// Site is a failure domain and the region it belongs to.
type Site struct{ Domain, Region string }

// Sites are the failure domains of the fleet at its current size, one per
// region.
var Sites = []Site{{"merrimack", "north"}, {"narragansett", "middle"}, {"champlain", "south"}}

// Cluster holds the processes of an experiment and their addresses.
type Cluster struct {
	Dir      string // holds settings files and logs
	BinDir   string
	Platform string // URL
	// TLS returns the TLS settings of an instance. If nil, all connections are
	// plain TCP.
	TLS     func(instance string) (awsettings.TLS, error)
	Entries []*Node
	Agents  []*Node

	mu    sync.Mutex
	procs []*Process
}

// Node is an entry or an agent; an agent has a backend server.
type Node struct {
	ID        string
	Site      Site
	Inner     string // IP:port at which other processes reach this one
	Callers   string // URL, entries only
	Operators string // URL, entries only
	Local     string // URL, agents only
	Backend   string // URL, agents only
	Service   string // name of the plain service; empty for a model engine
	Process   *Process
	Server    *Process // backend server of an agent
	Link      string   // URL of the control API of the fault proxy in front of the agent; empty without one
}

// Process is a child process that [Cluster.Start] started.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// NewCluster returns a cluster without processes that keeps its files in a new
// temporary directory. Programs are started from binDir.
func NewCluster(binDir string) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "awbench-")
	if err != nil {
		return nil, eris.Wrap(err, "create temporary directory")
	}
	return &Cluster{Dir: dir, BinDir: binDir}, nil
}

// Start runs a program from BinDir. Its output goes to name.log in Dir.
func (c *Cluster) Start(name, program string, args ...string) (*Process, error) {
	logFile, err := os.Create(filepath.Join(c.Dir, name+".log"))
	if err != nil {
		return nil, eris.Wrap(err, "create log file")
	}
	cmd := exec.Command(filepath.Join(c.BinDir, program), args...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	// The kernel kills the child when this process ends, even if it is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", program)
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		_ = logFile.Close()
		close(p.done)
	}()
	c.mu.Lock()
	c.procs = append(c.procs, p)
	c.mu.Unlock()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(sig os.Signal) error { return p.cmd.Process.Signal(sig) }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Wait waits until the process ends and returns its exit error, or the error
// of ctx if that ends first.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close kills all processes and removes the directory, which is kept if
// AWBENCH_KEEP is set.
func (c *Cluster) Close() {
	c.mu.Lock()
	procs := c.procs
	c.mu.Unlock()
	for _, p := range procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range procs {
		<-p.done
	}
	if os.Getenv("AWBENCH_KEEP") == "" {
		_ = os.RemoveAll(c.Dir)
	}
}

func (c *Cluster) writeSettings(name string, v any) (string, error) {
	data, err := toml.Marshal(v)
	if err != nil {
		return "", eris.Wrap(err, "encode settings")
	}
	file := filepath.Join(c.Dir, name+".toml")
	return file, eris.Wrap(os.WriteFile(file, data, 0o600), "write settings")
}

// StartPlatform starts the simulated platform and waits until it responds.
func (c *Cluster) StartPlatform(ctx context.Context, args ...string) error {
	addr, err := awport.FreeAddress()
	if err != nil {
		return err
	}
	c.Platform = "http://" + addr
	if _, err := c.Start("platform", "awstandin", append([]string{"platform", "--listen", addr}, args...)...); err != nil {
		return err
	}
	return WaitHTTP(ctx, c.Platform+"/instances")
}

// StartEntry starts an entry and registers it. If tune is not nil, it may
// change the settings first.
func (c *Cluster) StartEntry(id string, site Site, tune func(*awsettings.Entry)) (*Node, error) {
	addrs, err := freeAddresses(3)
	if err != nil {
		return nil, err
	}
	n := &Node{ID: id, Site: site, Inner: addrs[0], Callers: "http://" + addrs[1], Operators: "http://" + addrs[2]}
	cfg := awsettings.DefaultEntry()
	cfg.Process.Instance, cfg.Process.Domain, cfg.Process.Region = id, site.Domain, site.Region
	cfg.Listen = awsettings.EntryListen{Inner: addrs[0], Callers: addrs[1], Operators: addrs[2]}
	cfg.Platform = c.platformSettings()
	if cfg.TLS, err = c.tlsSettings(id); err != nil {
		return nil, err
	}
	if tune != nil {
		tune(&cfg)
	}
	file, err := c.writeSettings(id, cfg)
	if err != nil {
		return nil, err
	}
	if n.Process, err = c.Start(id, "awentry", "--config", file); err != nil {
		return nil, err
	}
	c.Entries = append(c.Entries, n)
	return n, c.Register(n, "entry")
}

// StartAgent starts an agent for the backend server of n and registers it. The
// caller sets n.ID, n.Site and n.Backend, and n.Service for a plain service. If
// tune is not nil, it may change the settings first.
func (c *Cluster) StartAgent(n *Node, tune func(*awsettings.Agent)) error {
	addrs, err := freeAddresses(2)
	if err != nil {
		return err
	}
	n.Local = "http://" + addrs[1]
	if n.Inner == "" {
		n.Inner = addrs[0]
	}
	cfg := awsettings.DefaultAgent()
	cfg.Process.Instance, cfg.Process.Domain, cfg.Process.Region = n.ID, n.Site.Domain, n.Site.Region
	cfg.Listen = awsettings.AgentListen{Inner: addrs[0], Advertised: n.Inner, Local: addrs[1]}
	cfg.Platform = c.platformSettings()
	if cfg.TLS, err = c.tlsSettings(n.ID); err != nil {
		return err
	}
	cfg.Backend.URL, cfg.Backend.Service = n.Backend, n.Service
	cfg.Weights.StoreRegion = Sites[0].Region
	if tune != nil {
		tune(&cfg)
	}
	file, err := c.writeSettings(n.ID, cfg)
	if err != nil {
		return err
	}
	if n.Link != "" {
		if err := c.startProxy(n, addrs[0]); err != nil {
			return err
		}
	}
	if n.Process, err = c.Start(n.ID, "awagent", "--config", file); err != nil {
		return err
	}
	c.Agents = append(c.Agents, n)
	return c.Register(n, "agent")
}

// startProxy starts a fault proxy that listens on n.Inner and forwards to
// target, the address that the agent binds. Its control API listens on n.Link.
func (c *Cluster) startProxy(n *Node, target string) error {
	_, err := c.Start(n.ID+"-link", "awstandin", "proxy", "--listen", strings.TrimPrefix(n.Link, "http://"),
		"--relay", n.Inner, "--target", target)
	return err
}

// StartProxied starts a model engine and an agent behind a fault proxy. Faults
// are set through the control API at [Node.Link].
func (c *Cluster) StartProxied(id string, site Site, tune func(*awsettings.Agent), args ...string) (*Node, error) {
	addrs, err := freeAddresses(2)
	if err != nil {
		return nil, err
	}
	n := &Node{ID: id, Site: site, Inner: addrs[0], Link: "http://" + addrs[1]}
	return c.startBackend(n, tune, append([]string{"engine"}, args...))
}

// StartEngine starts a simulated model engine and its agent. The args are
// passed to the engine.
func (c *Cluster) StartEngine(id string, site Site, tune func(*awsettings.Agent), args ...string) (*Node, error) {
	return c.startBackend(&Node{ID: id, Site: site}, tune, append([]string{"engine"}, args...))
}

// StartService starts a simulated plain service and its agent.
func (c *Cluster) StartService(id, service string, site Site) (*Node, error) {
	return c.startBackend(&Node{ID: id, Site: site, Service: service}, nil, []string{"service"})
}

func (c *Cluster) startBackend(n *Node, tune func(*awsettings.Agent), args []string) (*Node, error) {
	addr, err := awport.FreeAddress()
	if err != nil {
		return nil, err
	}
	n.Backend = "http://" + addr
	n.Server, err = c.Start(n.ID+"-backend", "awstandin", append(args, "--listen", addr)...)
	if err != nil {
		return nil, err
	}
	return n, c.StartAgent(n, tune)
}

func (c *Cluster) tlsSettings(instance string) (awsettings.TLS, error) {
	if c.TLS == nil {
		return awsettings.TLS{Plain: true}, nil
	}
	return c.TLS(instance)
}

func (c *Cluster) platformSettings() awsettings.Platform {
	return awsettings.Platform{
		TableURL: c.Platform, ObjectURL: c.Platform, OriginURL: c.Platform,
		InstanceListURL: c.Platform + "/instances", Timeout: awsettings.Duration(2 * time.Second),
	}
}

func freeAddresses(n int) ([]string, error) {
	var addrs []string
	for range n {
		addr, err := awport.FreeAddress()
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, addr)
	}
	return addrs, nil
}

// Register adds a node to the platform's instance list.
func (c *Cluster) Register(n *Node, role string) error {
	return c.put("/instances", awstore.Instance{
		ID: n.ID, Role: role, Address: n.Inner, Domain: n.Site.Domain, Region: n.Site.Region, Service: n.Service,
		MemoryBytes: 1 << 30,
	})
}

func (c *Cluster) put(path string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "encode")
	}
	return send(http.MethodPut, c.Platform+path, data)
}

// Fault sets the faults that the simulator at the base URL injects.
func Fault(base string, fault any) error {
	data, err := json.Marshal(fault)
	if err != nil {
		return eris.Wrap(err, "encode fault")
	}
	return send(http.MethodPost, base+"/fault", data)
}

func send(method, url string, data []byte) error {
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrapf(err, "%s %s", method, url)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return eris.Errorf("%s %s: unexpected status %d: %s", method, url, resp.StatusCode, strings.TrimSpace(string(text)))
	}
	return nil
}

// GetJSON fetches a URL and decodes the JSON response into the value.
func GetJSON(url string, into any) error {
	resp, err := http.Get(url)
	if err != nil {
		return eris.Wrapf(err, "get %s", url)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("get %s: unexpected status %d", url, resp.StatusCode)
	}
	return eris.Wrapf(json.NewDecoder(resp.Body).Decode(into), "decode %s", url)
}

// pollPeriod is the interval at which [WaitFor] polls.
const pollPeriod = 50 * time.Millisecond

// WaitFor polls done until it returns true. If ctx ends first, WaitFor returns
// the last error of done, or that of ctx if done returned none.
func WaitFor(ctx context.Context, condition string, done func() (bool, error)) error {
	for {
		ok, err := done()
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			if err == nil {
				err = ctx.Err()
			}
			return eris.Wrapf(err, "waiting for %s", condition)
		case <-time.After(pollPeriod):
		}
	}
}

// WaitHTTP waits until the URL responds with status 200.
func WaitHTTP(ctx context.Context, url string) error {
	return WaitFor(ctx, url, func() (bool, error) {
		err := CheckHTTP(url)
		return err == nil, err
	})
}

// CheckHTTP returns an error unless the URL responds with status 200.
func CheckHTTP(url string) error {
	resp, err := http.Get(url)
	if err != nil {
		return eris.Wrapf(err, "get %s", url)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("get %s: unexpected status %d", url, resp.StatusCode)
	}
	return nil
}

// Operator returns a client for the operator API of an entry.
func (n *Node) Operator() *awcontrol.Client {
	return &awcontrol.Client{Base: n.Operators, HTTP: http.DefaultClient}
}

// WaitServing waits until the status of an entry lists at least n agents ready
// with the version of the model.
func (c *Cluster) WaitServing(ctx context.Context, entry *Node, model, version string, n int) error {
	return WaitFor(ctx, fmt.Sprintf("%d replicas of %s %s", n, model, version), func() (bool, error) {
		st, err := entry.Operator().Status(ctx)
		if err != nil {
			return false, err
		}
		ready := 0
		for _, a := range st.Agents {
			if a.Model == model && a.Version == version {
				ready++
			}
		}
		return ready >= n, eris.Errorf("%d replicas are ready", ready)
	})
}
