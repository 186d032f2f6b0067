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
	// leaseRenewInterval is the period of the holder's writes.
	leaseRenewInterval = 2 * time.Second
	// leaseExpiry is how long the row may stay unchanged before another entry
	// takes over; three renewals may fail or be late.
	leaseExpiry = 3 * leaseRenewInterval
	// leaseReadsPerSecond bounds the reads of the row by all entries.
	leaseReadsPerSecond = 50
)

// leaseRow is the value of the lease row.
type leaseRow struct {
	Instance    string
	Incarnation uint64
}

// lease decides which entry runs the reconciler. It only saves work: two
// entries that both take themselves for the holder race on the head row of
// the configuration, where one of them loses. Expiry is measured by the
// reader's clock since it last saw the row change, so clocks need not agree.
type lease struct {
	table awcontrol.Table
	clock awclock.Clock
	self  leaseRow

	mu        sync.Mutex
	held      bool
	renewedAt time.Time // start of the last write of this holder
	version   uint64    // of the row as last seen
	changedAt time.Time // when the row was first seen at version
	nextRead  time.Time
}

func newLease(table awcontrol.Table, clock awclock.Clock, self leaseRow) *lease {
	return &lease{table: table, clock: clock, self: self}
}

// acquire reports whether this entry is the active one, and renews or takes
// the lease when that is due. entries is the number of entries that look.
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

// write renews or takes the lease. After a lost reply or a lost race the
// next look reads who holds it.
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
		l.version = 0 // read the whole row next time
		return false, nil
	}
	if err != nil {
		l.version = 0
		return false, err
	}
	l.version++ // a write raises the version by one
	l.held, l.renewedAt, l.changedAt = true, now, now
	return true, nil
}

// release gives the lease up at a planned stop, so that the next look of
// another entry takes it.
func (l *lease) release(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held {
		return
	}
	l.held = false
	_ = l.table.Commit(ctx, awstore.Txn{ // otherwise it expires
		Conditions: []awstore.Condition{{Key: leaseKey, Version: l.version}},
		Deletes:    []string{leaseKey},
	})
}
