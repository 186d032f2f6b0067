package awgateway

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awretry"
)

// Guards rule BUDGET when settings with other limits are read on SIGHUP.
func TestNewRetryLimitsDoNotRefillBudgets(t *testing.T) {
	clock := awclock.NewFake(time.Unix(1000, 0))
	limits := awretry.WindowConfig{MinRetries: 4, Window: 10 * time.Second}
	g := New(Config{Clock: clock, Logger: log.NewNopLogger(), Retry: limits})
	allowed := 0
	for i := range 8 {
		limits.Ratio = float64(i)
		g.SetRetry(limits)
		for g.retryBudget("s").AllowRetry(clock.Now(), 1) {
			allowed++
		}
	}
	require.Equal(t, 4, allowed)
}
