// Command harness runs the scripted cases of the review. It starts the project's
// programs as separate processes with the commands of the deploy file, and
// stand-ins for clients, replicas and the platform's store. All addresses are
// loopback addresses.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could
// not run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	// runLimit is the longest time that a case may take.
	runLimit = 110 * time.Second
)

// errNotRun wraps the reasons for which a case could not run.
var errNotRun = errors.New("case could not run")

// caseFunc runs a case. It returns the violations that it saw.
type caseFunc func(ctx context.Context, w *world) ([]string, error)

var cases = map[string]caseFunc{
	"spoilt-weights": runSpoiltWeights,
	"short-silence":  runShortSilence,
	"two-issuers":    runTwoIssuers,
	"foreign-entry":  runForeignEntry,
}

func main() {
	name := flag.String("case", "", "name of the case")
	recordFile := flag.String("record", "", "file to which the record is written")
	flag.Parse()
	os.Exit(run(*name, *recordFile, os.Getenv("TROUBLE") != "0"))
}

func run(name, recordFile string, trouble bool) int {
	f := cases[name]
	if f == nil {
		fmt.Fprintln(os.Stderr, "unknown case:", name)
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	w, err := newWorld(trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	violations, err := f(ctx, w)
	if err == nil && ctx.Err() != nil {
		err = fmt.Errorf("%w: %w", errNotRun, ctx.Err())
	}
	w.close()
	code := exitHeld
	switch {
	case err != nil:
		w.record.add("result", "could not run: %v", err)
		code = exitNotRun
	case len(violations) > 0:
		for _, v := range violations[:min(len(violations), 20)] {
			w.record.add("broken", "%s", v)
		}
		w.record.add("result", "rule broken, %d violations", len(violations))
		code = exitBroken
	default:
		w.record.add("result", "rule held")
	}
	if err := w.record.write(recordFile); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	fmt.Printf("%s trouble=%t: %s\n", name, trouble, w.record.last())
	return code
}
