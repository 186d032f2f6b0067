package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of a machine. Each machine has a loopback address of its own.
const (
	frontPort, readyPort, innerPort, metricsPort, appPort = 8005, 8002, 7700, 9464, 8001
	deployConfig                                          = "/etc/arbutuswind/boot.conf"
)

// world is the platform of one run: a store, machines and replicas.
type world struct {
	trouble  bool
	dir      string
	deploy   deployFile
	template string
	record   *recorder
	store    *store
	subnet   int
	machines int
	closed   sync.Once

	mu        sync.Mutex
	processes []*process
	servers   []*http.Server
}

func newWorld(trouble bool) (*world, error) {
	w := &world{trouble: trouble, record: &recorder{started: time.Now()}, subnet: rand.IntN(1 << 14)}
	var err error
	if w.deploy, err = loadDeployFile(); err != nil {
		return nil, err
	}
	data, err := os.ReadFile(w.deploy.Roles["gateway"].Template)
	if err != nil {
		return nil, err
	}
	w.template = string(data)
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	w.store = newStore(w)
	return w, nil
}

// close ends all processes and servers of the run.
func (w *world) close() {
	w.closed.Do(func() {
		w.mu.Lock()
		processes, servers := w.processes, w.servers
		w.mu.Unlock()
		for _, p := range processes {
			p.kill()
		}
		for _, s := range servers {
			_ = s.Close()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(w.dir)
		} else {
			fmt.Fprintln(os.Stderr, "logs in", w.dir)
		}
	})
}

// newIP returns a loopback address on which all ports of a machine are free.
func (w *world) newIP() (string, error) {
	for range 200 {
		w.machines++
		n := w.subnet*64 + w.machines
		ip := fmt.Sprintf("127.%d.%d.%d", 64+n>>16&63, n>>8&255, n&255)
		if n&255 != 0 && n&255 != 255 && portsFree(ip) {
			return ip, nil
		}
	}
	return "", fmt.Errorf("%w: no free loopback address", errNotRun)
}

func portsFree(ip string) bool {
	for _, port := range []int{frontPort, readyPort, innerPort, metricsPort, appPort} {
		lis, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = lis.Close()
	}
	return true
}

// listen serves h on an address until the run ends.
func (w *world) listen(addr string, h http.Handler) (string, error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("%w: %w", errNotRun, err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	go func() { _ = s.Serve(lis) }() // ends when the run closes the server
	return lis.Addr().String(), nil
}

// process is a program of the project on one machine.
type process struct {
	w          *world
	role       string
	node, zone string
	ip         string
	config     string
	inRotation atomic.Bool // as the platform's balancer sees it; gateways only

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// front returns the address for clients.
func (p *process) front() string { return net.JoinHostPort(p.ip, strconv.Itoa(frontPort)) }

// app returns the address of the replica on the machine.
func (p *process) app() string { return net.JoinHostPort(p.ip, strconv.Itoa(appPort)) }

// newGateway prepares a machine of class edge that runs the role gateway.
func (w *world) newGateway(node, zone string) (*process, error) {
	p := &process{w: w, role: "gateway", node: node, zone: zone}
	return p, p.prepare(func(s settings) {
		s["listen.front_addr"] = p.front()
		s["listen.readiness_addr"] = net.JoinHostPort(p.ip, strconv.Itoa(readyPort))
		s["limits.memory_mb"], s["limits.link_mbps"] = 284, 1000.0
	})
}

// newLoader prepares a machine of class side that runs the role loader.
func (w *world) newLoader(node, zone, service string) (*process, error) {
	p := &process{w: w, role: "loader", node: node, zone: zone}
	return p, p.prepare(func(s settings) {
		s["app"], s["service"] = p.app(), service
		s["limits.memory_mb"], s["limits.link_mbps"] = 152, 7.3
	})
}

func (p *process) prepare(extend func(settings)) error {
	var err error
	if p.ip, err = p.w.newIP(); err != nil {
		return err
	}
	storeAddress, err := p.w.listen("127.0.0.1:0", p.w.store.forMachine(p.node))
	if err != nil {
		return err
	}
	s := baseSettings(p.node, p.zone, p.ip, storeAddress)
	extend(s)
	p.config = filepath.Join(p.w.dir, p.node+".toml")
	if err := os.WriteFile(p.config, []byte(s.render(p.w.template)), 0o600); err != nil {
		return err
	}
	p.w.mu.Lock()
	p.w.processes = append(p.w.processes, p)
	p.w.mu.Unlock()
	return nil
}

// start runs the command of the deploy file with the settings of the machine.
func (p *process) start() error {
	words := strings.Fields(strings.ReplaceAll(p.w.deploy.Roles[p.role].Run, deployConfig, p.config))
	log, err := os.OpenFile(filepath.Join(p.w.dir, p.node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(words[0], words[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "ARBUTUSWIND_SETTINGS=" + p.config}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	p.w.record.add("process", "%s started", p.node)
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait() // the state is recorded
		p.w.record.add("process", "%s ended: %s", p.node, cmd.ProcessState)
		close(done)
	}(p.cmd, p.done)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.w.record.add("signal", "%s to %s", s, p.node)
		_ = p.cmd.Process.Signal(s) // it may have ended
	}
}

func (p *process) ended() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

func (p *process) kill() {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-done:
		return
	default:
	}
	_ = cmd.Process.Kill() // it may have ended
	<-done
}

// restartGracefully sends SIGTERM, SIGKILL after the grace period, and starts the
// process again after a short delay.
func (p *process) restartGracefully(ctx context.Context) error {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended():
	case <-time.After(graceS * time.Second):
		p.kill()
	case <-ctx.Done():
		return ctx.Err()
	}
	sleep(ctx, restartDelay*time.Millisecond)
	return p.start()
}

// watchReadiness takes a gateway out of rotation after two failed checks of its
// readiness and back after a good one, as the platform's balancer does.
func (p *process) watchReadiness(ctx context.Context) {
	client := http.Client{Timeout: time.Second}
	url := "http://" + net.JoinHostPort(p.ip, strconv.Itoa(readyPort)) + "/readiness"
	misses := 0
	for ctx.Err() == nil {
		resp, err := client.Get(url)
		good := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		if misses++; good {
			misses = 0
		}
		if good || misses >= 2 {
			p.inRotation.Store(good)
		}
		sleep(ctx, time.Second)
	}
}

// startGateways starts gateways and waits until all are in rotation.
func (w *world) startGateways(ctx context.Context, gateways []*process) error {
	for _, p := range gateways {
		if err := p.start(); err != nil {
			return err
		}
		go p.watchReadiness(ctx)
	}
	return waitFor(ctx, 15*time.Second, "gateways are ready", func() bool {
		for _, p := range gateways {
			if !p.inRotation.Load() {
				return false
			}
		}
		return true
	})
}

// waitFor waits until a condition holds.
func waitFor(ctx context.Context, limit time.Duration, what string, cond func() bool) error {
	end := time.Now().Add(limit)
	for !cond() {
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("%w: not in time: %s", errNotRun, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
