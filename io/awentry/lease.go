package awentry

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"arbutuswind/core/awclock"
	"arbutuswind/io/awcontrol"
	"arbutuswind/io/awstore"
)

const (
	leaseKey = "reconciler/lease"
	// leaseRenewInterval is the time between two renewals by the holder.
	leaseRenewInterval = 2 * time.Second
	// leaseExpiry is how long the row may stay unchanged before another entry
	// takes over; up to three renewals may fail or be late.
	leaseExpiry = 3 * leaseRenewInterval
	// leaseReadsPerSecond limits the reads of the row by all entries together.
	leaseReadsPerSecond = 50
)

// leaseRow is the value of the lease row.
type leaseRow struct {
	Instance    string
	Incarnation uint64
}

// lease decides which entry runs the reconciler. It only avoids duplicate work:
// if two entries both act as the holder, they conflict on the head row of the
// configuration, and one of them loses. A reader measures expiry with its own
// clock from when it last saw the row change, so clocks need not be synchronized.
type lease struct {
	table awcontrol.Table
	clock awclock.Clock
	self  leaseRow

	mu        sync.Mutex
	held      bool
	renewedAt time.Time // start of the last write by this entry
	version   uint64    // of the row when last read
	changedAt time.Time // when the row was first read at version
	nextRead  time.Time
}

func newLease(table awcontrol.Table, clock awclock.Clock, self leaseRow) *lease {
	return &lease{table: table, clock: clock, self: self}
}

// acquire reports whether this entry holds the lease, and renews or takes it when
// due. entries is the number of entries that read the row.
func (l *lease) acquire(ctx context.Context, entries int) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if l.held && now.Sub(l.renewedAt) < leaseRenewInterval {
		return true, nil
	}
	if l.held {
		return l.write(ctx, now)
	}
	if now.Before(l.nextRead) {
		return false, nil
	}
	l.nextRead = now.Add(max(leaseRenewInterval, time.Duration(entries)*time.Second/leaseReadsPerSecond))
	row, err := l.table.Get(ctx, leaseKey, l.version)
	switch {
	case errors.Is(err, awstore.ErrNotModified):
		if now.Sub(l.changedAt) < leaseExpiry {
			return false, nil
		}
		return l.write(ctx, now)
	case errors.Is(err, awstore.ErrNotFound):
		l.version = 0
		return l.write(ctx, now)
	case err != nil:
		return false, err
	}
	l.version, l.changedAt = row.Version, now
	return false, nil
}

// write renews or takes the lease. After a lost reply or a conflict, the next read
// shows who holds it.
func (l *lease) write(ctx context.Context, now time.Time) (bool, error) {
	value, err := json.Marshal(l.self)
	if err != nil {
		return false, eris.Wrap(err, "encode lease")
	}
	l.held = false
	err = l.table.Commit(ctx, awstore.Txn{
		Conditions: []awstore.Condition{{Key: leaseKey, Version: l.version}},
		Puts:       []awstore.Put{{Key: leaseKey, Value: value}},
	})
	if errors.Is(err, awstore.ErrConflict) {
		l.version = 0 // fetch the row unconditionally next time
		return false, nil
	}
	if err != nil {
		l.version = 0
		return false, err
	}
	l.version++ // a write increments the version by one
	l.held, l.renewedAt, l.changedAt = true, now, now
	return true, nil
}

// release gives up the lease at a planned stop, so that another entry takes it at
// its next read.
func (l *lease) release(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held {
		return
	}
	l.held = false
	_ = l.table.Commit(ctx, awstore.Txn{ // if this fails, the lease expires
		Conditions: []awstore.Condition{{Key: leaseKey, Version: l.version}},
		Deletes:    []string{leaseKey},
	})
}
