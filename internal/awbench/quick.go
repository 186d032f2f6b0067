package awbench

import (
	"context"
	"time"
)

type quickKey struct{}

// WithQuick returns a context that shortens experiments to one run with shorter
// phases. Their results only show that the experiment works.
func WithQuick(ctx context.Context) context.Context { return context.WithValue(ctx, quickKey{}, true) }

func quick(ctx context.Context) bool { return ctx.Value(quickKey{}) != nil }

// repeats returns n, the number of runs of an experiment, or 1 in quick mode.
func repeats(ctx context.Context, n int) int {
	if quick(ctx) {
		return 1
	}
	return n
}

// quickDivisor divides the length of a phase in quick mode.
const quickDivisor = 3

// phase returns d, the length of a phase of an experiment, shortened in quick
// mode.
func phase(ctx context.Context, d time.Duration) time.Duration {
	if quick(ctx) {
		return d / quickDivisor
	}
	return d
}
