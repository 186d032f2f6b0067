// Package awcommand holds the command lines of all programs.
//
// Every program exits with 0 when all went well, 1 when it failed and 2 for
// bad usage or settings.
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
	forced, stop := secondSignal()
	defer stop()
	return runDaemon(stderr, "awagent", cfg.Process, cfg.Trace, func(ctx context.Context, env environment) error {
		return awagent.New(awagent.Config{
			Settings: cfg, Clock: awclock.System{}, Logger: env.logger, Tracer: env.tracer, Incarnation: incarnation(),
			Forced: forced,
		}).Run(ctx)
	})
}

// secondSignal returns a channel that is closed by the second signal to stop,
// so that the process can count and report the requests that it cuts. A third
// one ends the process.
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

// parse reads the command line; it returns false when the program is done.
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

// incarnation returns a number that is larger for every later start, with
// random low bits for two starts in one millisecond.
func incarnation() uint64 {
	const randomBits = 16
	return uint64(time.Now().UnixMilli())<<randomBits | uint64(rand.Uint32N(1<<randomBits))
}

// memoryShare is the part of the instance's memory for the heap; stacks and
// what the kernel holds for connections need the rest.
const heapShare = 0.7

// limitMemory makes the collector work harder before the process is killed.
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
		_ = logger.Log("Message", "tracing could not start", "Error", err.Error())
		return ExitFailed
	}
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	if err := run(ctx, environment{logger: logger, tracer: tracer}); err != nil {
		_ = logger.Log("Message", "stopped with an error", "Error", err.Error())
		return ExitFailed
	}
	flushCtx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	_ = flush(flushCtx) // spans that cannot be exported are dropped
	return ExitOK
}
