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
	"arbutuswind/io/awhttp"
)

type ctlOptions struct {
	Entry  string `long:"entry" value-name:"URL" env:"AWCTL_ENTRY" description:"URL of the operators' listener of any entry, e.g. http://127.0.0.1:8081"`
	Output string `short:"o" long:"output" choice:"text" choice:"json" default:"text" description:"format of the output"`
	Actor  string `long:"actor" env:"USER" default:"operator" description:"name recorded with changes"`
}

// callTimeout limits the duration of a command, not counting --wait.
const callTimeout = 30 * time.Second

type ctl struct {
	opts   ctlOptions
	stdout io.Writer
	stderr io.Writer
}

// errReported makes awctl exit with code 1 without printing an error, because
// the output of the command already gives the reason.
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
	if c.opts.Entry == "" && chosen.needsEntry() {
		fmt.Fprintln(stderr, "the required flag `--entry' was not specified")
		return ExitUsage
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
	var unreadable *unreadableError
	if errors.As(err, &unreadable) {
		return ExitUsage
	}
	return ExitFailed
}

// printError prints an error as JSON, with the details that the entry returned.
func (c *ctl) printError(err error) {
	body := awcontrol.Refusal{Error: err.Error()}
	var api *awcontrol.APIError
	if errors.As(err, &api) {
		body = api.Refusal
	}
	_ = json.NewEncoder(c.stderr).Encode(body)
}

func newEntryClient() *http.Client {
	return &http.Client{Transport: awhttp.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment})}
}

func (c *ctl) client() *awcontrol.Client {
	return &awcontrol.Client{Base: c.opts.Entry, HTTP: newEntryClient()}
}

// ctlCommand is a subcommand of awctl.
type ctlCommand interface {
	run(ctx context.Context) error
	limit() time.Duration // timeout of the whole command, including --wait
	needsEntry() bool     // the command cannot run without --entry
}

// command implements [flags.Commander] for the commands that embed it. Their
// Execute is never called: the parser's CommandHandler handles them.
type command struct{}

// Execute implements [flags.Commander].
func (command) Execute([]string) error {
	return errors.New("commands are run by the parser's CommandHandler")
}

func (command) limit() time.Duration { return callTimeout }

func (command) needsEntry() bool { return true }

const ctlHelp = `awctl manages a fleet through the operators' listener of any entry.

Exit codes: 0 success, 1 failure or refusal, 2 invalid usage. For check: 0 no
findings, 1 findings, 2 invalid usage or an input that cannot be read.

Examples:
  awctl check sheet.csv
  export AWCTL_ENTRY=http://127.0.0.1:8081
  awctl validate sheet.csv
  awctl diff sheet.csv
  awctl apply sheet.csv --wait
  awctl domain out serra --wait
  awctl status -o json`

// group is a set of subcommands of one command, such as "domain".
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
		{"check", "Check a sheet without an entry, or against what is in force", "Reports errors, entries without effect, limits that cannot be met, and differences. Differences do not change the exit code.\n\nExample: awctl check sheet.csv --against http://127.0.0.1:8081 -o json", &checkCommand{ctl: c}},
		{"validate", "Check a sheet", "Reports every error with its line and column. Exit code 1 if there is any. Without --entry, checks only what needs no fleet.\n\nExample: awctl validate sheet.csv", &validateCommand{ctl: c}},
		{"diff", "Show what a sheet would change", "Changes nothing.\n\nExample: awctl diff sheet.csv -o json", &diffCommand{ctl: c}},
		{"apply", "Apply a sheet, either whole or not at all", "Example: awctl apply sheet.csv --wait --wait-timeout 30s", &applyCommand{ctl: c}},
		{"status", "Show the fleet", "Example: awctl status -o json", &statusCommand{ctl: c}},
	} {
		if _, err := p.AddCommand(sub.name, sub.short, sub.long, sub.data); err != nil {
			return err
		}
	}
	for _, g := range []group{
		{"rollout", "Show the progress of rollouts", []subcommand{
			{"status", "Show how many replicas of each model serve its version", "Exit code 1 if a version is halted.\n\nExample: awctl rollout status", &rolloutStatusCommand{ctl: c}},
		}},
		{"domain", "Take a failure domain out of service or return it", []subcommand{
			{"out", "Take a domain out of service", "Example: awctl domain out serra --reason 'power work' --wait", change(awconfig.KindDomainOut)},
			{"in", "Return a domain to service", "Example: awctl domain in serra", change(awconfig.KindDomainIn)},
		}},
		{"instance", "Drain an instance or return it to service", []subcommand{
			{"drain", "Stop sending new requests to an instance", "Example: awctl instance drain engine-7", change(awconfig.KindInstanceDrain)},
			{"return", "Return an instance to service", "Example: awctl instance return engine-7", change(awconfig.KindInstanceReturn)},
		}},
		{"team", "Limit the request rates of teams", []subcommand{
			{"limit", "Limit a team's requests per second across all entries", "A rate of 0 removes the limit.\n\nExample: awctl team limit kitchen 50", &teamLimitCommand{ctl: c}},
		}},
		{"config", "Inspect the configuration log", []subcommand{
			{"history", "Show the latest changes", "Example: awctl config history -n 50", &historyCommand{ctl: c}},
			{"accept-reset", "Continue after the store was reset to an older state", "Keeps the newest configuration that the entry holds and continues the log after it.\n\nExample: awctl config accept-reset --reason 'store restored from backup'", &acceptResetCommand{ctl: c}},
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

// print writes v if the output format is JSON, else text.
func (c *ctl) print(v any, text string) error {
	if c.opts.Output == "json" {
		return json.NewEncoder(c.stdout).Encode(v)
	}
	_, err := fmt.Fprintln(c.stdout, text)
	return err
}

// sheetArgs holds the argument of the commands that read a sheet.
type sheetArgs struct {
	Args struct {
		Sheet string `positional-arg-name:"SHEET" description:"CSV file; - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

func (s *sheetArgs) read() ([]byte, error) {
	return readInput(s.Args.Sheet)
}

// readInput reads a file, or the standard input if the name is "-".
func readInput(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// waitOptions holds the options of commands that can wait until their change is
// in force everywhere.
type waitOptions struct {
	Wait        bool          `long:"wait" description:"wait until the change is in force everywhere and show the progress"`
	WaitTimeout time.Duration `long:"wait-timeout" default:"60s" description:"timeout of --wait"`
}

func (w *waitOptions) limit() time.Duration {
	if w.Wait {
		return callTimeout + w.WaitTimeout
	}
	return callTimeout
}

// progressPollInterval is the time between two progress queries of --wait.
const progressPollInterval = 200 * time.Millisecond

// changeOutput is the JSON output of a command that makes a change.
type changeOutput struct {
	awcontrol.Accepted
	Progress *awcontrol.Progress `json:",omitempty"`
}

// finish prints the revision of an accepted change. With --wait it also waits
// until the change is in force everywhere and prints the progress.
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
		return fmt.Errorf("revision %d is accepted but not in force everywhere: %w; behind: %v", acc.Revision, err, progress.Behind)
	}
	return c.print(out, fmt.Sprintf("in force everywhere: %d entries, %d agent watches", progress.Entries, progress.Watches))
}

func (c *ctl) wait(ctx context.Context, revision uint64) (awcontrol.Progress, error) {
	var last awcontrol.Progress
	for {
		p, err := c.client().Progress(ctx, revision)
		if err == nil {
			if c.opts.Output == "text" && (p.EntriesInForce != last.EntriesInForce || p.WatchesInForce != last.WatchesInForce) {
				fmt.Fprintf(c.stdout, "%d of %d entries, %d of %d agent watches\n",
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
