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

// callTimeout bounds one command that does not wait.
const callTimeout = 30 * time.Second

type ctl struct {
	opts   ctlOptions
	stdout io.Writer
	stderr io.Writer
}

// errNoted ends a command with exit code 1 whose output says why already.
var errReported = errors.New("failed")

// Ctl runs awctl and returns its exit code.
func Ctl(args []string, stdout, stderr io.Writer) int {
	c := &ctl{stdout: stdout, stderr: stderr}
	p := flags.NewNamedParser("awctl", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = ctlHelp
	var chosen ctlCommand
	p.CommandHandler = func(cmd flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return &flags.Error{Type: flags.ErrUnknown, Message: fmt.Sprintf("unexpected argument %q", rest[0])}
		}
		chosen = cmd.(ctlCommand)
		return nil
	}
	if err := c.register(p); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	if code, ok := parse(p, &c.opts, args, stdout, stderr); !ok {
		return code
	}
	ctx, cancel := context.WithTimeout(context.Background(), chosen.limit())
	defer cancel()
	err := chosen.run(ctx)
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errReported):
	case c.opts.Output == "json":
		c.printError(err)
	default:
		fmt.Fprintln(stderr, "awctl:", err)
	}
	return ExitFailed
}

// refused prints an error as JSON, with all that the entry told about it.
func (c *ctl) printError(err error) {
	body := awcontrol.Refusal{Error: err.Error()}
	var api *awcontrol.APIError
	if errors.As(err, &api) {
		body = api.Refusal
	}
	_ = json.NewEncoder(c.stderr).Encode(body)
}

func (c *ctl) client() *awcontrol.Client {
	return &awcontrol.Client{Base: c.opts.Entry, HTTP: http.DefaultClient}
}

// ctlCommand is a subcommand of awctl.
type ctlCommand interface {
	run(ctx context.Context) error
	limit() time.Duration // of the whole command
}

// command adapts a ctlCommand to go-flags; the parser's handler runs it.
type command struct{}

// Execute implements [flags.Commander].
func (command) Execute([]string) error { return errors.New("run by the parser's handler") }

func (command) limit() time.Duration { return callTimeout }

const ctlHelp = `awctl drives a fleet through the operators' listener of any entry.

Exit codes: 0 success, 1 failure or refusal, 2 invalid usage.

Examples:
  export AWCTL_ENTRY=http://127.0.0.1:8081
  awctl validate sheet.csv
  awctl diff sheet.csv
  awctl apply sheet.csv --wait
  awctl domain out serra --wait
  awctl status -o json`

// group is a set of subcommands with a common first word.
type group struct {
	name, short string
	commands    []subcommand
}

type subcommand struct {
	name, short, long string
	data              ctlCommand
}

func (c *ctl) register(p *flags.Parser) error {
	change := func(kind awconfig.Kind) ctlCommand { return &changeCommand{ctl: c, kind: kind} }
	for _, sub := range []subcommand{
		{"validate", "Check a sheet", "Reports every fault with line and column. Exit code 1 when there is one.\n\nExample: awctl validate sheet.csv", &validateCommand{ctl: c}},
		{"diff", "Show what a sheet would change", "Changes nothing.\n\nExample: awctl diff sheet.csv -o json", &diffCommand{ctl: c}},
		{"apply", "Apply a sheet, all or nothing", "Example: awctl apply sheet.csv --wait --wait-timeout 30s", &applyCommand{ctl: c}},
		{"status", "Show the fleet", "Example: awctl status -o json", &statusCommand{ctl: c}},
	} {
		if _, err := p.AddCommand(sub.name, sub.short, sub.long, sub.data); err != nil {
			return err
		}
	}
	for _, g := range []group{
		{"rollout", "Follow rollouts", []subcommand{
			{"status", "Show how far each model is at its version", "Exit code 1 when a version is halted.\n\nExample: awctl rollout status", &rolloutStatusCommand{ctl: c}},
		}},
		{"domain", "Take a failure domain out or in", []subcommand{
			{"out", "Take a domain out of service", "Example: awctl domain out serra --reason 'power work' --wait", change(awconfig.KindDomainOut)},
			{"in", "Bring a domain back", "Example: awctl domain in serra", change(awconfig.KindDomainIn)},
		}},
		{"instance", "Drain an instance or return it", []subcommand{
			{"drain", "Send an instance no new work", "Example: awctl instance drain engine-7", change(awconfig.KindInstanceDrain)},
			{"return", "Return an instance to service", "Example: awctl instance return engine-7", change(awconfig.KindInstanceReturn)},
		}},
		{"team", "Limit teams", []subcommand{
			{"limit", "Limit the requests a second of a team over all entries", "A rate of 0 lifts the limit.\n\nExample: awctl team limit kitchen 50", &teamLimitCommand{ctl: c}},
		}},
		{"config", "Look at the log of the configuration", []subcommand{
			{"history", "Show the last changes", "Example: awctl config history -n 50", &historyCommand{ctl: c}},
			{"accept-reset", "Go on after the store was set back", "Keeps the newest configuration that the entry holds and continues the log above it.\n\nExample: awctl config accept-reset --reason 'store restored from backup'", &acceptResetCommand{ctl: c}},
		}},
	} {
		cmd, err := p.AddCommand(g.name, g.short, "", &struct{}{})
		if err != nil {
			return err
		}
		for _, sub := range g.commands {
			if _, err := cmd.AddCommand(sub.name, sub.short, sub.long, sub.data); err != nil {
				return err
			}
		}
	}
	return nil
}

// print writes v as JSON, or the text.
func (c *ctl) print(v any, text string) error {
	if c.opts.Output == "json" {
		return json.NewEncoder(c.stdout).Encode(v)
	}
	_, err := fmt.Fprintln(c.stdout, text)
	return err
}

// sheetArgs is the argument of the commands that take a sheet.
type sheetArgs struct {
	Args struct {
		Sheet string `positional-arg-name:"SHEET" description:"CSV file; - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

func (s *sheetArgs) read() ([]byte, error) {
	if s.Args.Sheet == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(s.Args.Sheet)
}

// waitOptions let a command wait until its change is in force.
type waitOptions struct {
	Wait        bool          `long:"wait" description:"wait until the change is in force everywhere and show how far it is"`
	WaitTimeout time.Duration `long:"wait-timeout" default:"60s" description:"time after which --wait fails"`
}

func (w *waitOptions) limit() time.Duration {
	if w.Wait {
		return callTimeout + w.WaitTimeout
	}
	return callTimeout
}

// progressPeriod is the time between two looks of --wait.
const progressPollInterval = 200 * time.Millisecond

// changeOutput is what a command that changes something prints.
type changeOutput struct {
	awcontrol.Accepted
	Progress *awcontrol.Progress `json:",omitempty"`
}

// finish prints the answer to a change and waits when that is asked for.
func (c *ctl) finish(ctx context.Context, acc awcontrol.Accepted, w waitOptions) error {
	text := fmt.Sprintf("accepted as revision %d", acc.Revision)
	if acc.NoOp {
		text = fmt.Sprintf("already in effect at revision %d; nothing changed", acc.Revision)
	}
	if !w.Wait {
		return c.print(changeOutput{Accepted: acc}, text)
	}
	ctx, cancel := context.WithTimeout(ctx, w.WaitTimeout)
	defer cancel()
	if c.opts.Output == "text" {
		fmt.Fprintln(c.stdout, text)
	}
	progress, err := c.wait(ctx, acc.Revision)
	out := changeOutput{Accepted: acc, Progress: &progress}
	if err != nil {
		if c.opts.Output == "json" {
			_ = c.print(out, "")
		}
		return fmt.Errorf("revision %d is accepted but not everywhere: %w; behind: %v", acc.Revision, err, progress.Behind)
	}
	return c.print(out, fmt.Sprintf("in force everywhere: %d entries, %d watches of agents", progress.Entries, progress.Watches))
}

func (c *ctl) wait(ctx context.Context, revision uint64) (awcontrol.Progress, error) {
	var last awcontrol.Progress
	for {
		p, err := c.client().Progress(ctx, revision)
		if err == nil {
			if c.opts.Output == "text" && (p.EntriesInForce != last.EntriesInForce || p.WatchesInForce != last.WatchesInForce) {
				fmt.Fprintf(c.stdout, "%d of %d entries, %d of %d watches of agents\n",
					p.EntriesInForce, p.Entries, p.WatchesInForce, p.Watches)
			}
			last = p
			if p.Everywhere {
				return p, nil
			}
		}
		select {
		case <-ctx.Done():
			if err == nil {
				err = ctx.Err()
			}
			return last, err
		case <-time.After(progressPollInterval):
		}
	}
}
