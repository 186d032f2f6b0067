package awcommand

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"arbutuswind/internal/awstandin"
)

type listenOption struct {
	Listen string `long:"listen" value-name:"ADDR" required:"true" description:"loopback address, IP:port"`
}

type platformCommand struct {
	command
	listenOption
	WritesPerSecond float64       `long:"writes" description:"store transactions per second; 0 means unlimited"`
	OriginMbit      float64       `long:"origin-mbit" description:"bandwidth of the weight origin in Mbit/s; 0 means unlimited"`
	ListLag         time.Duration `long:"list-lag" description:"delay until a change appears in the instance list"`
}

type engineCommand struct {
	command
	listenOption
	TokenInterval time.Duration `long:"token-interval" default:"2ms"`
	FirstToken    time.Duration `long:"first-token" default:"5ms"`
	ColdRequests  int           `long:"cold-requests" default:"8"`
	ColdLimit     int           `long:"cold-limit" default:"2"`
	MaxRunning    int           `long:"max-running" default:"64"`
	MemoryBytes   uint64        `long:"memory" default:"1073741824"`
	BytesPerToken uint64        `long:"bytes-per-token" default:"131072"`
	LoadTime      time.Duration `long:"load-time" default:"100ms"`
	IgnoreFencing bool          `long:"ignore-fencing"`
	ReportLag     time.Duration `long:"report-lag" default:"500ms"`
}

type serviceCommand struct {
	command
	listenOption
}

type proxyCommand struct {
	command
	listenOption
	Relay  string `long:"relay" value-name:"ADDR" required:"true" description:"address to relay from, IP:port"`
	Target string `long:"target" value-name:"ADDR" required:"true" description:"address to relay to, IP:port"`
}

// standin is a command that serves a stand-in over HTTP.
type standin interface {
	handler() http.Handler
	address() string
}

func (l listenOption) address() string { return l.Listen }

func (c *platformCommand) handler() http.Handler {
	return awstandin.NewPlatform(awstandin.PlatformConfig{
		WritesPerSecond: c.WritesPerSecond, OriginMbit: c.OriginMbit, ListLag: c.ListLag,
	}).Handler()
}

func (c *engineCommand) handler() http.Handler {
	return awstandin.NewEngine(awstandin.EngineConfig{
		TokenInterval: c.TokenInterval, FirstToken: c.FirstToken, ColdRequests: c.ColdRequests, ColdLimit: c.ColdLimit,
		MaxRunning: c.MaxRunning, MemoryBytes: c.MemoryBytes, BytesPerToken: c.BytesPerToken,
		LoadTime: c.LoadTime, Fencing: !c.IgnoreFencing, ReportLag: c.ReportLag,
	}).Handler()
}

func (c *serviceCommand) handler() http.Handler {
	return awstandin.NewService().Handler()
}

func (c *proxyCommand) handler() http.Handler {
	p := awstandin.NewProxy(c.Target)
	go func() {
		// The stand-in is useless without its relay. It exits so that the
		// benchmark notices the failure.
		if err := p.ListenAndServe(c.Relay); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(ExitFailed)
		}
	}()
	return p.Handler()
}

// Standin runs awstandin and returns its exit code.
func Standin(args []string, stdout, stderr io.Writer) int {
	p := flags.NewNamedParser("awstandin", flags.HelpFlag|flags.PassDoubleDash)
	var chosen standin
	p.CommandHandler = func(cmd flags.Commander, _ []string) error {
		chosen = cmd.(standin)
		return nil
	}
	commands := map[string]any{
		"platform": &platformCommand{}, "engine": &engineCommand{}, "service": &serviceCommand{}, "proxy": &proxyCommand{},
	}
	for name, cmd := range commands {
		if _, err := p.AddCommand(name, "Stand-in: "+name, "", cmd); err != nil {
			fmt.Fprintln(stderr, err)
			return ExitUsage
		}
	}
	if code, ok := parse(p, nil, args, stdout, stderr); !ok {
		return code
	}
	srv := &http.Server{Addr: chosen.address(), Handler: chosen.handler(), ReadHeaderTimeout: time.Minute}
	if err := srv.ListenAndServe(); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	return ExitOK
}
