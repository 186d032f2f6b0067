package awwatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// retryPerEntry is the growth of the longest retry delay with the number of
	// entries. All of them together probe the store at most about 30 to 60 times a
	// second, and the few of a small fleet notice its return at once.
	retryPerEntry = 30 * time.Millisecond
	// firstRetryDelay is the longest delay after the first failed read. It
	// doubles with each further one, up to maxRetryDelay.
	firstRetryDelay = 400 * time.Millisecond
	// maxOutageWait is how long a table waits for the probes of another one.
	// The store may fail for one table only.
	maxOutageWait = 2 * time.Second
)

// outage coordinates the reads of an unavailable store: only the table whose
// read failed first probes the store, and the others wait until it succeeds. A
// store that turns a process away charges for each call, and a store that has
// just returned would get the reads of all tables of all processes at once.
type outage struct {
	maxWait time.Duration // how long a table waits for the probes of another one

	mu     sync.Mutex
	prober string        // table that probes the store; empty if it is available
	over   chan struct{} // closed when the prober succeeds
}

// begin records a failed read. It reports whether an outage begins with it.
func (o *outage) begin(table string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.prober != "" {
		return false
	}
	o.prober, o.over = table, make(chan struct{})
	return true
}

// end records a successful read, which ends the outage if the table probes.
func (o *outage) end(table string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.prober == table {
		o.prober = ""
		close(o.over)
	}
}

// active reports whether the store is unavailable.
func (o *outage) active() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.prober != ""
}

// await blocks while another table probes the store, up to maxWait.
func (o *outage) await(ctx context.Context, table string) {
	o.mu.Lock()
	wait := o.prober != "" && o.prober != table
	over := o.over
	o.mu.Unlock()
	if wait {
		WaitFor(ctx, over, o.maxWait)
	}
}

// maxRetryDelay returns the longest delay after a failed read with the given
// number of entries. limit bounds it.
func maxRetryDelay(entries int, limit time.Duration) time.Duration {
	return min(limit, max(firstRetryDelay, time.Duration(entries)*retryPerEntry))
}

// delayAfter returns the delay after the last of a number of failed reads in a row.
func delayAfter(err error, failures int, limit time.Duration) time.Duration {
	if failures == 1 && errors.Is(err, ErrSilent) {
		return 0 // one lost response says nothing about the next call
	}
	return retryDelay(failures, limit)
}

// retryDelay returns a random delay after the given number of failed reads in a
// row, so that processes do not retry together.
func retryDelay(failures int, limit time.Duration) time.Duration {
	d := min(limit, firstRetryDelay<<min(failures-1, 10))
	return d/2 + time.Duration(rand.Int64N(int64(d/2)+1))
}
