package awbench

import (
	"context"
	"time"
)

type quickKey struct{}

// WithQuick marks a context for shorter experiments: one run in place of
// several and shorter phases. Their figures serve as a check only.
func WithQuick(ctx context.Context) context.Context { return context.WithValue(ctx, quickKey{}, true) }

func quick(ctx context.Context) bool { return ctx.Value(quickKey{}) != nil }

// repeats returns the number of runs of an experiment.
func repeats(ctx context.Context, n int) int {
	if quick(ctx) {
		return 1
	}
	return n
}

// quickDivisor is the share of a phase that remains of it in a quick run.
const quickDivisor = 3

// phase returns the length of a phase of an experiment.
func phase(ctx context.Context, d time.Duration) time.Duration {
	if quick(ctx) {
		return d / quickDivisor
	}
	return d
}
