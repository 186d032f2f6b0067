package awcommand

import (
	"context"
	"io"

	"arbutuswind/io/awsettings"
)

// Loader runs awloader and returns its exit code.
func Loader(args []string, stdout, stderr io.Writer) int {
	opts, code, ok := parseDaemon("awloader", args, stdout, stderr)
	if !ok {
		return code
	}
	cfg, err := awsettings.LoadLoader(opts.Config)
	if err != nil || opts.Check {
		return checked(err, stderr)
	}
	return runDaemon(stdout, "awloader", cfg.Process, awsettings.Trace{}, func(ctx context.Context, env environment) error {
		<-ctx.Done()
		return nil
	})
}
