// Package awbench starts real processes on loopback and measures them.
//
// Every experiment is bounded in time, prints one JSON line per result and
// ends every process that it started.
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

// Site is a failure domain with its region.
type Site struct{ Domain, Region string }

// Sites are the failure domains of today's sizes.
var Sites = []Site{{"merrimack", "north"}, {"narragansett", "middle"}, {"champlain", "south"}}

// Cluster is a set of processes on loopback.
type Cluster struct {
	Dir      string // settings and logs
	BinDir   string
	Platform string // URL
	// TLS returns the settings of an instance; nil for plain TCP.
	TLS     func(instance string) (awsettings.TLS, error)
	Entries []*Node
	Agents  []*Node

	mu    sync.Mutex
	procs []*Process
}

// Node is an entry, or an agent with its backend server.
type Node struct {
	ID        string
	Site      Site
	Inner     string // IP:port at which others reach the process
	Callers   string // URL, entries only
	Operators string // URL, entries only
	Local     string // URL, agents only
	Backend   string // URL, agents only
	Service   string // name of the plain service
	Process   *Process
	Server    *Process // the backend server beside an agent
	Link      string   // URL of the fault proxy before Inner; empty without one
}

// Process is a started process.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// NewCluster prepares an empty cluster below a temporary directory. The
// programs are looked for beside the running one.
func NewCluster(binDir string) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "awbench-")
	if err != nil {
		return nil, eris.Wrap(err, "temporary directory")
	}
	return &Cluster{Dir: dir, BinDir: binDir}, nil
}

// Start runs a program of the project; its log goes to a file in Dir.
func (c *Cluster) Start(name, program string, args ...string) (*Process, error) {
	logFile, err := os.Create(filepath.Join(c.Dir, name+".log"))
	if err != nil {
		return nil, eris.Wrap(err, "log file")
	}
	cmd := exec.Command(filepath.Join(c.BinDir, program), args...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	// The children end with this process, also when it is killed.
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

// Wait waits until the process has ended or ctx ends.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close ends every process and removes the directory.
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

// StartPlatform starts the stand-in of the platform.
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

// StartEntry starts an entry; tune may change its settings.
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

// StartAgent starts an agent for the backend server of n, which must have
// ID, Site and Backend, and Service for a plain service.
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

// startProxy puts a fault proxy between n.Inner and the address that the
// agent binds. n.Link holds the address of the proxy's control API.
func (c *Cluster) startProxy(n *Node, target string) error {
	_, err := c.Start(n.ID+"-link", "awstandin", "proxy", "--listen", strings.TrimPrefix(n.Link, "http://"),
		"--relay", n.Inner, "--target", target)
	return err
}

// StartProxied starts a model engine and its agent behind a fault proxy,
// whose faults are switched at [Node.Link].
func (c *Cluster) StartProxied(id string, site Site, tune func(*awsettings.Agent), args ...string) (*Node, error) {
	addrs, err := freeAddresses(2)
	if err != nil {
		return nil, err
	}
	n := &Node{ID: id, Site: site, Inner: addrs[0], Link: "http://" + addrs[1]}
	return c.startBackend(n, tune, append([]string{"engine"}, args...))
}

// StartEngine starts a model engine and its agent.
func (c *Cluster) StartEngine(id string, site Site, tune func(*awsettings.Agent), args ...string) (*Node, error) {
	return c.startBackend(&Node{ID: id, Site: site}, tune, append([]string{"engine"}, args...))
}

// StartService starts a plain service and its agent.
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

// Register puts a node into the platform's instance list.
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

// Fault switches faults of a stand-in at the base URL.
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
		return eris.Errorf("%s %s: status %d: %s", method, url, resp.StatusCode, strings.TrimSpace(string(text)))
	}
	return nil
}

// GetJSON reads a JSON document.
func GetJSON(url string, into any) error {
	resp, err := http.Get(url)
	if err != nil {
		return eris.Wrapf(err, "get %s", url)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("get %s: status %d", url, resp.StatusCode)
	}
	return eris.Wrapf(json.NewDecoder(resp.Body).Decode(into), "decode %s", url)
}

// pollPeriod is the time between two looks at a state that is waited for.
const pollPeriod = 50 * time.Millisecond

// WaitFor waits until done reports true, and returns the last error of done
// when ctx ends first.
func WaitFor(ctx context.Context, what string, done func() (bool, error)) error {
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
			return eris.Wrapf(err, "waiting for %s", what)
		case <-time.After(pollPeriod):
		}
	}
}

// WaitHTTP waits until the URL answers with status 200.
func WaitHTTP(ctx context.Context, url string) error {
	return WaitFor(ctx, url, func() (bool, error) {
		err := CheckHTTP(url)
		return err == nil, err
	})
}

// CheckHTTP returns an error unless the URL answers with status 200.
func CheckHTTP(url string) error {
	resp, err := http.Get(url)
	if err != nil {
		return eris.Wrapf(err, "get %s", url)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("get %s: status %d", url, resp.StatusCode)
	}
	return nil
}

// Operator returns a client of the operators' API of an entry.
func (n *Node) Operator() *awcontrol.Client {
	return &awcontrol.Client{Base: n.Operators, HTTP: http.DefaultClient}
}

// WaitServing waits until an entry sees n agents ready with the version of
// the model.
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
