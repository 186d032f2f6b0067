package awloader

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// silentEngine is an engine that falls silent when it gets its first load order. It
// carries the order out shortly after it has answered again.
type silentEngine struct {
	*fakeEngine
	silence, orderDelay time.Duration
	onSilence           func()

	once  sync.Once
	mu    sync.Mutex
	until time.Time
}

func (e *silentEngine) silent() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.until) {
		return errDown
	}
	return nil
}

func (e *silentEngine) Status(ctx context.Context) (Status, error) {
	if err := e.silent(); err != nil {
		return Status{}, err
	}
	return e.fakeEngine.Status(ctx)
}

func (e *silentEngine) ReadStaged(ctx context.Context, model string, index int) ([]byte, error) {
	if err := e.silent(); err != nil {
		return nil, err
	}
	return e.fakeEngine.ReadStaged(ctx, model, index)
}

func (e *silentEngine) Stage(ctx context.Context, model string, index int, data []byte) error {
	if err := e.silent(); err != nil {
		return err
	}
	return e.fakeEngine.Stage(ctx, model, index, data)
}

func (e *silentEngine) Load(ctx context.Context, model string, version, orders int64) error {
	err := e.silent()
	e.once.Do(func() {
		e.mu.Lock()
		e.until = time.Now().Add(e.silence)
		e.mu.Unlock()
		time.AfterFunc(e.silence+e.orderDelay, func() { _ = e.fakeEngine.Load(ctx, model, version, orders) })
		e.onSilence()
		err = errDown
	})
	if err != nil {
		return err
	}
	return e.fakeEngine.Load(ctx, model, version, orders)
}

// Guards rule WHOLE, and against a load that is ordered twice, when an engine falls
// silent at an order, goes on and carries it out, while a later version is named.
func TestSilentEngineCarriesOutItsOrder(t *testing.T) {
	for _, later := range []bool{false, true} {
		e := &silentEngine{fakeEngine: newEngine(1), silence: 1200 * time.Millisecond, orderDelay: 30 * time.Millisecond, onSilence: func() {}}
		source := startLoaders(t, &fakeOrigin{}, e)
		want, orders := int64(2), int64(1)
		if later {
			want, orders = 3, 2
			e.onSilence = func() { source.setDesired(3) }
		}
		source.setDesired(2)
		requireVersion(t, want, e.fakeEngine)
		e.fakeEngine.mu.Lock()
		require.Equal(t, orders, e.acceptedOrders)
		e.fakeEngine.mu.Unlock()
	}
}
