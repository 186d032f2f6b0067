package awcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/jessevdk/go-flags"

	"arbutuswind/internal/awbench"
)

// experiment starts processes from binDir and returns its result, or a list of
// results, each of which is printed as a JSON line.
type experiment func(ctx context.Context, binDir string) (any, error)

var experiments = map[string]experiment{
	"burst":       awbench.Burst,
	"capacity":    awbench.Capacity,
	"claims":      awbench.Claims,
	"config":      awbench.Config,
	"demo":        awbench.Demo,
	"domain":      awbench.Domain,
	"overhead":    awbench.Overhead,
	"slowreaders": awbench.SlowReaders,
}

type benchCommand struct {
	command
	run experiment
}

func (c *benchCommand) experiment() experiment { return c.run }

// experimentCommand is a command that runs a single experiment.
type experimentCommand interface{ experiment() experiment }

type rolloutCommand struct {
	command
	awbench.RolloutOptions
}

func (c *rolloutCommand) experiment() experiment {
	return func(ctx context.Context, binDir string) (any, error) {
		return awbench.Rollout(ctx, binDir, c.RolloutOptions)
	}
}

// allCommand runs all experiments, one after the other.
type allCommand struct{ command }

// allReplicas holds the replica counts of the rollouts that the command all
// runs; allQuickReplicas holds those with --quick.
var (
	allReplicas      = []int{6, 24, 96}
	allQuickReplicas = []int{6, 24}
)

func (*allCommand) jobs(quick bool) ([]job, error) {
	var list []job
	for _, name := range slices.Sorted(maps.Keys(experiments)) {
		list = append(list, job{name, experiments[name]})
	}
	replicas, only := allReplicas, ""
	if quick {
		replicas, only = allQuickReplicas, "exchange"
	}
	for _, n := range replicas {
		c := &rolloutCommand{}
		// Parsing no arguments sets the defaults given in the option tags.
		if _, err := flags.NewParser(&c.RolloutOptions, flags.None).ParseArgs(nil); err != nil {
			return nil, err
		}
		c.Replicas, c.Only = n, only
		list = append(list, job{fmt.Sprintf("rollout of %d replicas", n), c.experiment()})
	}
	return list, nil
}

// job is a named experiment.
type job struct {
	name string
	run  experiment
}

// benchOptions holds the options common to all experiments.
type benchOptions struct {
	Report string `long:"report" value-name:"FILE" description:"write the results as an HTML page with plots"`
	Quick  bool   `long:"quick" description:"run shorter phases, each once; the figures are only good for a quick check"`
}

// benchTimeout limits the duration of one experiment.
const benchTimeout = 5 * time.Minute

// Bench runs awbench and returns its exit code.
func Bench(args []string, stdout, stderr io.Writer) int {
	var opts benchOptions
	p := flags.NewNamedParser("awbench", flags.HelpFlag|flags.PassDoubleDash)
	var list []job
	p.CommandHandler = func(cmd flags.Commander, _ []string) error {
		if all, ok := cmd.(*allCommand); ok {
			var err error
			list, err = all.jobs(opts.Quick)
			return err
		}
		list = []job{{p.Active.Name, cmd.(experimentCommand).experiment()}}
		return nil
	}
	if err := addExperiments(p); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	if code, ok := parse(p, &opts, args, stdout, stderr); !ok {
		return code
	}
	self, err := os.Executable()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	sections, code := runJobs(list, opts.Quick, filepath.Dir(self), stdout, stderr)
	if opts.Report == "" {
		return code
	}
	if err := writeReport(opts.Report, sections); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	return code
}

func addExperiments(p *flags.Parser) error {
	for name, run := range experiments {
		if _, err := p.AddCommand(name, "Run experiment "+name, "", &benchCommand{run: run}); err != nil {
			return err
		}
	}
	if _, err := p.AddCommand("rollout", "Run experiment rollout", "", &rolloutCommand{}); err != nil {
		return err
	}
	_, err := p.AddCommand("all", "Run all experiments", "", &allCommand{})
	return err
}

// runJobs runs the experiments and prints the results of each when it ends.
// The exit code is ExitFailed if an experiment failed or missed its targets.
func runJobs(jobs []job, quick bool, binDir string, stdout, stderr io.Writer) ([]awbench.Section, int) {
	code := ExitOK
	var sections []awbench.Section
	for _, j := range jobs {
		ctx, cancel := context.WithTimeout(context.Background(), benchTimeout)
		if quick {
			ctx = awbench.WithQuick(ctx)
		}
		result, err := j.run(ctx, binDir)
		cancel()
		printResults(stdout, result)
		s := awbench.Section{Name: j.name, Result: result}
		if err != nil {
			fmt.Fprintf(stderr, "awbench: %s: %v\n", j.name, err)
			s.Err, code = err.Error(), ExitFailed
		}
		sections = append(sections, s)
	}
	return sections, code
}

func writeReport(file string, sections []awbench.Section) error {
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := awbench.WriteReport(out, sections); err != nil {
		_ = out.Close()
		return err
	}
	return out.Close()
}

// printResults writes one JSON line per result. A result of type []any holds
// several results.
func printResults(w io.Writer, result any) {
	list, ok := result.([]any)
	if !ok && result != nil {
		list = []any{result}
	}
	for _, r := range list {
		_ = json.NewEncoder(w).Encode(r) // the reader may have closed the pipe
	}
}
