package awcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"

	"arbutuswind/internal/awbench"
)

// experiment runs processes and returns one result for a JSON line.
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

// runnable is a command that runs an experiment.
type runnable interface{ experiment() experiment }

type rolloutCommand struct {
	command
	awbench.RolloutOptions
}

func (c *rolloutCommand) experiment() experiment {
	return func(ctx context.Context, binDir string) (any, error) {
		return awbench.Rollout(ctx, binDir, c.RolloutOptions)
	}
}

// benchTimeout bounds one experiment.
const benchTimeout = 5 * time.Minute

// Bench runs awbench and returns its exit code.
func Bench(args []string, stdout, stderr io.Writer) int {
	p := flags.NewNamedParser("awbench", flags.HelpFlag|flags.PassDoubleDash)
	var chosen experiment
	p.CommandHandler = func(cmd flags.Commander, _ []string) error {
		chosen = cmd.(runnable).experiment()
		return nil
	}
	for name, run := range experiments {
		if _, err := p.AddCommand(name, "Experiment "+name, "", &benchCommand{run: run}); err != nil {
			fmt.Fprintln(stderr, err)
			return ExitUsage
		}
	}
	if _, err := p.AddCommand("rollout", "Experiment rollout", "", &rolloutCommand{}); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	if code, ok := parse(p, nil, args, stdout, stderr); !ok {
		return code
	}
	self, err := os.Executable()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	ctx, cancel := context.WithTimeout(context.Background(), benchTimeout)
	defer cancel()
	result, err := chosen(ctx, filepath.Dir(self))
	printResults(stdout, result)
	if err != nil {
		fmt.Fprintln(stderr, "awbench:", err)
		return ExitFailed
	}
	return ExitOK
}

// printResults writes one JSON line per result.
func printResults(w io.Writer, result any) {
	list, ok := result.([]any)
	if !ok && result != nil {
		list = []any{result}
	}
	for _, r := range list {
		_ = json.NewEncoder(w).Encode(r) // the reader may be gone
	}
}
