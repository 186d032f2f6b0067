package awloader

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
)

// pausedClock is the clock of a machine that is paused from time to time.
type pausedClock struct {
	awclock.System
	paused atomic.Int64
}

func (c *pausedClock) Now() time.Time { return c.System.Now().Add(time.Duration(c.paused.Load())) }

// pausingEngine pauses the machine before the read of a staged chunk, after which
// another chunk turns bad.
type pausingEngine struct {
	*fakeEngine
	clock          *pausedClock
	before, spoilt int
	pause          time.Duration
	spoiltAt       time.Time
	uploads        atomic.Int32
}

func (e *pausingEngine) ReadStaged(ctx context.Context, model string, index int) ([]byte, error) {
	if index == e.before && e.uploads.Load() >= testChunks && e.spoiltAt.IsZero() {
		e.spoiltAt = e.clock.Now()
		e.mu.Lock()
		e.staged[e.spoilt] = []byte("spoilt")
		e.mu.Unlock()
		e.clock.paused.Add(int64(e.pause))
	}
	return e.fakeEngine.ReadStaged(ctx, model, index)
}

func (e *pausingEngine) Stage(ctx context.Context, model string, index int, data []byte) error {
	e.uploads.Add(1)
	return e.fakeEngine.Stage(ctx, model, index, data)
}

// Guards rule WHOLE: a comparison of staged chunks must not count for an order that
// follows long after its beginning, because the machine was paused meanwhile.
func TestPausedComparisonIsRepeated(t *testing.T) {
	rng := rand.New(rand.NewPCG(40, 1))
	for range 20 {
		e := &pausingEngine{fakeEngine: newEngine(1), clock: &pausedClock{}, pause: 4 * time.Second}
		e.spoilt = rng.IntN(testChunks - 1)
		e.before = e.spoilt + 1 + rng.IntN(testChunks-e.spoilt-1) // the spoilt chunk has been compared
		source := startLoadersWithClock(t, e.clock, &fakeOrigin{}, e)
		source.setDesired(2)
		requireVersion(t, 2, e.fakeEngine)
		require.False(t, e.spoiltAt.IsZero())
	}
}
