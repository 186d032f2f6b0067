package awcommand

import (
	"context"
	"io"

	"github.com/go-kit/log/level"

	"arbutuswind/core/awclock"
	"arbutuswind/io/awload"
	"arbutuswind/io/awloader"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
	"arbutuswind/io/awsettings"
	"arbutuswind/platform"
)

// Loader runs awloader and returns its exit code.
func Loader(args []string, stdout, stderr io.Writer) int {
	ignoreHangup()
	opts, code, ok := parseDaemon("awloader", args, stdout, stderr)
	if !ok {
		return code
	}
	cfg, err := awsettings.LoadLoader(opts.Config)
	if err != nil || opts.Check {
		return settingsExitCode(err, stderr)
	}
	limitMemory(cfg.Limits.MemoryMiB)
	return runDaemon(stdout, "awloader", cfg.Process, awsettings.Trace{}, func(ctx context.Context, env environment) error {
		// awloader uses Bounds only to spread its loads over time and to time
		// its reads of the store. Changed settings are validated here and take
		// effect at the next start.
		watchSettings(ctx, settingsWatch{
			Logger: env.logger, File: opts.Config, Load: awsettings.LoadLoader, Started: cfg, Apply: func(awsettings.Fleet) {},
		})
		return runLoader(ctx, cfg, env)
	})
}

func runLoader(ctx context.Context, cfg awsettings.Fleet, env environment) error {
	guard := newGuard(cfg.Limits, env.logger)
	inner, err := awrpc.Listen(innerAddress(cfg), nil)
	if err != nil {
		return err
	}
	inner = awrpc.Guard(inner, guard)
	socket, err := awload.Listen(innerAddress(cfg), awclock.System{})
	if err != nil {
		return err
	}
	started := incarnation()
	go guard.Run(ctx)
	go func() {
		if err := serveMetrics(ctx, cfg, env.logger, guard); err != nil {
			_ = level.Warn(env.logger).Log("Message", "metrics are not served", "Error", err.Error())
		}
	}()
	_ = level.Info(env.logger).Log("Message", "started", "Backend", cfg.Backend.Address, "Service", cfg.Backend.Service)
	return awloader.New(awloader.Config{
		Clock: awclock.Boot{}, Logger: env.logger, Engine: platform.NewEngine(cfg.Backend.Address), Origin: platform.NewOrigin(),
		Source: &platform.LoaderSource{StoreSource: &platform.StoreSource{Store: platform.NewStore(cfg.Store.Address), Regions: cfg.Regions}},
		Socket: socket,
		Identity: &awproto.ProcessIdentity{
			Process: "awloader", Instance: cfg.Process.Instance, Domain: cfg.Process.Domain, Region: cfg.Process.Region,
			Incarnation: started, Address: innerAddress(cfg),
		},
		Backend: cfg.Backend.Address, Service: cfg.Backend.Service, InnerPort: cfg.Listen.InnerPort, LinkMbit: cfg.Limits.LinkMbit,
		MaxStaleness: cfg.Bounds.Version.Std(), Regions: cfg.Regions, Seed: started,
	}).Run(ctx, inner)
}
