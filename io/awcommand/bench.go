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
	"capacity": awbench.Capacity,
	"demo":     awbench.Demo,
	"domain":   awbench.Domain,
	"overhead": awbench.Overhead,
}

type benchCommand struct {
	command
	run experiment
}

// benchTimeout bounds one experiment.
const benchTimeout = 5 * time.Minute

// Bench runs awbench and returns its exit code.
func Bench(args []string, stdout, stderr io.Writer) int {
	p := flags.NewNamedParser("awbench", flags.HelpFlag|flags.PassDoubleDash)
	var chosen experiment
	p.CommandHandler = func(cmd flags.Commander, _ []string) error {
		chosen = cmd.(*benchCommand).run
		return nil
	}
	for name, run := range experiments {
		if _, err := p.AddCommand(name, "Experiment "+name, "", &benchCommand{run: run}); err != nil {
			fmt.Fprintln(stderr, err)
			return ExitUsage
		}
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
	if result != nil {
		_ = json.NewEncoder(stdout).Encode(result)
	}
	if err != nil {
		fmt.Fprintln(stderr, "awbench:", err)
		return ExitFailed
	}
	return ExitOK
}
