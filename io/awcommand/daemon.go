// Package awcommand implements the command lines of all programs.
//
// Every program exits with 0 on success, 1 on failure and 2 on invalid usage or
// settings.
package awcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"arbutuswind/core/awclock"
	"arbutuswind/io/awagent"
	"arbutuswind/io/awentry"
	"arbutuswind/io/awsettings"
	"arbutuswind/io/awtelemetry"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

type daemonOptions struct {
	Config string `long:"config" value-name:"FILE" required:"true" description:"settings file, TOML"`
	Check  bool   `long:"check" description:"check the settings and exit"`
}

// Entry runs awentry and returns its exit code.
func Entry(args []string, stdout, stderr io.Writer) int {
	opts, code, ok := parseDaemon("awentry", args, stdout, stderr)
	if !ok {
		return code
	}
	cfg, err := awsettings.LoadEntry(opts.Config)
	if err != nil || opts.Check {
		return settingsExitCode(err, stderr)
	}
	limitMemory(cfg.Limits.MemoryMiB)
	forced, stop := secondSignal()
	defer stop()
	return runDaemon(stderr, "awentry", cfg.Process, cfg.Trace, func(ctx context.Context, env environment) error {
		return awentry.New(awentry.Config{
			Settings: cfg, Clock: awclock.System{}, Logger: env.logger, Tracer: env.tracer, Incarnation: incarnation(),
			Forced: forced,
		}).Run(ctx)
	})
}

// Agent runs awagent and returns its exit code.
func Agent(args []string, stdout, stderr io.Writer) int {
	opts, code, ok := parseDaemon("awagent", args, stdout, stderr)
	if !ok {
		return code
	}
	cfg, err := awsettings.LoadAgent(opts.Config)
	if err != nil || opts.Check {
		return settingsExitCode(err, stderr)
	}
	// Weights fill what they are given, without garbage.
	debug.SetMemoryLimit(int64(heapShare*float64(cfg.Limits.MemoryMiB<<20)) + int64(cfg.Weights.MemoryBytes))
	forced, stop := secondSignal()
	defer stop()
	return runDaemon(stderr, "awagent", cfg.Process, cfg.Trace, func(ctx context.Context, env environment) error {
		return awagent.New(awagent.Config{
			Settings: cfg, Clock: awclock.System{}, Logger: env.logger, Tracer: env.tracer, Incarnation: incarnation(),
			Forced: forced,
		}).Run(ctx)
	})
}

// secondSignal returns a channel that is closed on the second SIGINT or
// SIGTERM, so that the process can count and report the requests that it then
// aborts. A third signal ends the process. The returned function stops the
// signal handling.
func secondSignal() (<-chan struct{}, func()) {
	signals, forced := make(chan os.Signal, 2), make(chan struct{})
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		<-signals
		close(forced)
		signal.Stop(signals)
	}()
	return forced, func() { signal.Stop(signals) }
}

func parseDaemon(name string, args []string, stdout, stderr io.Writer) (daemonOptions, int, bool) {
	var opts daemonOptions
	code, ok := parse(flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash), &opts, args, stdout, stderr)
	return opts, code, ok
}

// parse parses the command line. It returns false and an exit code if the
// program should exit, after a usage error or after printing the help.
func parse(p *flags.Parser, opts any, args []string, stdout, stderr io.Writer) (int, bool) {
	if opts != nil {
		if _, err := p.AddGroup("Options", "", opts); err != nil {
			fmt.Fprintln(stderr, err)
			return ExitUsage, false
		}
	}
	rest, err := p.ParseArgs(args)
	var fe *flags.Error
	switch {
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, err)
		return ExitOK, false
	case err != nil:
		fmt.Fprintln(stderr, err)
		return ExitUsage, false
	case len(rest) > 0:
		fmt.Fprintf(stderr, "unexpected argument %q\n", rest[0])
		return ExitUsage, false
	}
	return ExitOK, true
}

func settingsExitCode(err error, stderr io.Writer) int {
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	return ExitOK
}

// incarnation returns a number that increases with every start of a process.
// Its low bits are random, so that two starts in one millisecond differ.
func incarnation() uint64 {
	const randomBits = 16
	return uint64(time.Now().UnixMilli())<<randomBits | uint64(rand.Uint32N(1<<randomBits))
}

// heapShare is the fraction of the instance's memory that is meant for the heap;
// stacks and kernel memory for connections need the rest.
const heapShare = 0.7

// limitMemory sets a soft memory limit, near which the garbage collector runs
// more often, so that the process is not killed for lack of memory.
func limitMemory(mib int) { debug.SetMemoryLimit(int64(heapShare * float64(mib<<20))) }

const flushTimeout = 2 * time.Second

func runDaemon(
	stderr io.Writer, name string, p awsettings.Process, tr awsettings.Trace, run func(context.Context, environment) error,
) int {
	if p.Processors > 0 {
		runtime.GOMAXPROCS(p.Processors)
	}
	lines := awtelemetry.NewLines(stderr)
	defer lines.Close()
	logger := awtelemetry.NewLogger(lines, name, p.Instance)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	tracer, flush, err := awtelemetry.NewTracer(ctx, awtelemetry.TraceConfig{Endpoint: tr.Endpoint, SampleRatio: tr.SampleRatio}, name)
	if err != nil {
		_ = logger.Log("Message", "failed to start tracing", "Error", err.Error())
		return ExitFailed
	}
	// Restores the default signal handling after the first signal, so that a
	// second one ends the process at once unless secondSignal handles it.
	context.AfterFunc(ctx, stop)
	if err := run(ctx, environment{logger: logger, tracer: tracer}); err != nil {
		_ = logger.Log("Message", "stopped with an error", "Error", err.Error())
		return ExitFailed
	}
	flushCtx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	_ = flush(flushCtx) // spans that cannot be exported in time are dropped
	return ExitOK
}
