package awcommand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"arbutuswind/core/awconfig"
	"arbutuswind/io/awcontrol"
)

type ctlOptions struct {
	Entry  string `long:"entry" value-name:"URL" env:"AWCTL_ENTRY" required:"true" description:"operators' listener of any entry, e.g. http://127.0.0.1:8081"`
	Output string `short:"o" long:"output" choice:"text" choice:"json" default:"text" description:"format of the output"`
	Actor  string `long:"actor" env:"USER" default:"operator" description:"name recorded with changes"`
}

// callTimeout bounds one command.
const callTimeout = 30 * time.Second

type ctl struct {
	opts   ctlOptions
	stdout io.Writer
}

// Ctl runs awctl and returns its exit code.
func Ctl(args []string, stdout, stderr io.Writer) int {
	c := &ctl{stdout: stdout}
	p := flags.NewNamedParser("awctl", flags.HelpFlag|flags.PassDoubleDash)
	var run func(ctx context.Context) error
	p.CommandHandler = func(cmd flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return &flags.Error{Type: flags.ErrUnknown, Message: fmt.Sprintf("unexpected argument %q", rest[0])}
		}
		run = cmd.(ctlCommand).run
		return nil
	}
	if err := c.register(p); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	if code, ok := parse(p, &c.opts, args, stdout, stderr); !ok {
		return code
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(stderr, "awctl:", err)
		return ExitFailed
	}
	return ExitOK
}

func (c *ctl) client() *awcontrol.Client {
	return &awcontrol.Client{Base: c.opts.Entry, HTTP: http.DefaultClient}
}

// ctlCommand is a subcommand of awctl.
type ctlCommand interface {
	run(ctx context.Context) error
}

// command adapts a ctlCommand to go-flags; the parser's handler runs it.
type command struct{}

// Execute implements [flags.Commander].
func (command) Execute([]string) error { return errors.New("run by the parser's handler") }

func (c *ctl) register(p *flags.Parser) error {
	add := func(to interface {
		AddCommand(string, string, string, any) (*flags.Command, error)
	}, name, short string, data any,
	) (*flags.Command, error) {
		return to.AddCommand(name, short, "", data)
	}
	if _, err := add(p, "apply", "Apply a sheet", &applyCommand{ctl: c}); err != nil {
		return err
	}
	if _, err := add(p, "status", "Show the fleet", &statusCommand{ctl: c}); err != nil {
		return err
	}
	groups := []struct {
		name, short string
		kinds       map[string]awconfig.Kind
	}{
		{"domain", "Take a failure domain out or in", map[string]awconfig.Kind{"out": awconfig.KindDomainOut, "in": awconfig.KindDomainIn}},
		{"instance", "Drain an instance or return it", map[string]awconfig.Kind{"drain": awconfig.KindInstanceDrain, "return": awconfig.KindInstanceReturn}},
	}
	for _, g := range groups {
		cmd, err := add(p, g.name, g.short, &struct{}{})
		if err != nil {
			return err
		}
		for name, kind := range g.kinds {
			if _, err := add(cmd, name, string(kind), &changeCommand{ctl: c, kind: kind}); err != nil {
				return err
			}
		}
	}
	return nil
}

// print writes v as JSON, or the text.
func (c *ctl) print(v any, text string) error {
	if c.opts.Output == "json" {
		enc := json.NewEncoder(c.stdout)
		return enc.Encode(v)
	}
	_, err := fmt.Fprintln(c.stdout, text)
	return err
}

type applyCommand struct {
	command
	ctl  *ctl
	Args struct {
		Sheet string `positional-arg-name:"SHEET" description:"CSV file"`
	} `positional-args:"yes" required:"yes"`
}

func (a *applyCommand) run(ctx context.Context) error {
	data, err := os.ReadFile(a.Args.Sheet)
	if err != nil {
		return err
	}
	acc, err := a.ctl.client().Apply(ctx, data, a.ctl.opts.Actor, 0)
	if err != nil {
		return err
	}
	return a.ctl.print(acc, fmt.Sprintf("accepted as revision %d", acc.Revision))
}

type changeCommand struct {
	command
	ctl  *ctl
	kind awconfig.Kind
	Args struct {
		Target string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

func (a *changeCommand) run(ctx context.Context) error {
	acc, err := a.ctl.client().Change(ctx, awcontrol.ChangeRequest{Kind: a.kind, Target: a.Args.Target, Actor: a.ctl.opts.Actor})
	if err != nil {
		return err
	}
	return a.ctl.print(acc, fmt.Sprintf("accepted as revision %d", acc.Revision))
}

type statusCommand struct {
	command
	ctl *ctl
}

func (a *statusCommand) run(ctx context.Context) error {
	s, err := a.ctl.client().Status(ctx)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("revision %d", s.Revision)
	for _, ag := range s.Agents {
		text += fmt.Sprintf("\n%-12s %-14s %-9s %s %s view %d", ag.Instance, ag.Domain, ag.State, ag.Model, ag.Version, ag.ViewRevision)
	}
	return a.ctl.print(s, text)
}
