package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// gatewaySettings is the template of the deploy file, filled in as for a small
// deployment.
const gatewaySettings = `[Process]
Instance = "%[1]s"
Domain = "zone-a"
Region = "region-a"
Processors = 1

[Regions]
"zone-a" = "region-a"

[Listen]
Address = "%[2]s"
InnerPort = %[3]d
Callers = "%[2]s:%[4]d"
Ready = "%[2]s:%[5]d"

[Store]
Address = "%[6]s"

[Bounds]
RetryRatio = 0.2
RetryFloor = 104
RetryWindow = "10s"
Version = "8000ms"
Grace = "8s"
DrainNotice = "2000ms"
Stable = "3000ms"

[Limits]
MemoryMiB = 284
MaxFiles = 4100
LinkMbit = 1000.0

[Duties]
Names = []
`

// gateway is a machine with an awgateway process.
type gateway struct {
	name    string
	ip      string
	front   string // address for clients
	ready   string // address of the readiness endpoint
	command []string
	log     string
	cmd     *exec.Cmd
	exited  chan struct{}
}

// innerPort is the first port of port_range, the same on all machines. It is chosen
// when the lab starts.
var innerPort int

// freePort returns a port that is free on an IP for TCP.
func freePort(ip string) (int, error) {
	lis, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer lis.Close()
	return lis.Addr().(*net.TCPAddr).Port, nil
}

var runLine = regexp.MustCompile(`(?m)^run = "(target/awgateway [^"]*)"`)

// gatewayCommand returns the words of the gateway's command in the deploy file, with
// the path of the settings file replaced.
func gatewayCommand(settings string) ([]string, error) {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	m := runLine.FindStringSubmatch(string(deploy))
	if m == nil {
		return nil, fmt.Errorf("no command of awgateway in the deploy file")
	}
	words := strings.Fields(m[1])
	words[len(words)-1] = settings
	return words, nil
}

// newGateway prepares machine number n.
func newGateway(dir string, n int, storeAddress string) (*gateway, error) {
	g := &gateway{name: fmt.Sprintf("edge-zone-a-%d", n), ip: fmt.Sprintf("127.0.9.%d", n)}
	if innerPort == 0 {
		port, err := freePort(g.ip)
		if err != nil {
			return nil, err
		}
		innerPort = port
	}
	front, err := freePort(g.ip)
	if err != nil {
		return nil, err
	}
	ready, err := freePort(g.ip)
	if err != nil {
		return nil, err
	}
	g.front, g.ready = fmt.Sprintf("%s:%d", g.ip, front), fmt.Sprintf("%s:%d", g.ip, ready)
	file := filepath.Join(dir, g.name+".conf")
	g.log = filepath.Join(dir, g.name+".log")
	text := fmt.Sprintf(gatewaySettings, g.name, g.ip, innerPort, front, ready, storeAddress)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	g.command, err = gatewayCommand(file)
	return g, err
}

func (g *gateway) start() error {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	g.cmd = exec.Command(g.command[0], g.command[1:]...)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.exited = make(chan struct{})
	go func() { _ = g.cmd.Wait(); close(g.exited) }() // killed at the end
	return nil
}

// kill ends the process.
func (g *gateway) kill() {
	if g.cmd == nil || g.cmd.Process == nil {
		return
	}
	_ = g.cmd.Process.Kill() // fails if it has ended
	<-g.exited
}

// awaitReady waits until the readiness endpoint answers 200.
func (g *gateway) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + g.ready + "/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", g.name, limit)
}
