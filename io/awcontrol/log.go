// Package awcontrol stores the accepted configuration in the platform's table
// service and serves the operators' API over HTTP.
//
// The configuration log has one row per revision and a head row. A commit
// writes both in one transaction, so exactly one of two concurrent writers
// succeeds. The head row names the newest snapshot in the object store, which a
// process loads at start; older change rows are kept as history.
//
// If the head is behind the configuration that a process holds, the store was
// reset, for example restored from an old backup. The log then refuses changes
// until [Log.AcceptReset], and the process keeps its configuration.
package awcontrol

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"arbutuswind/core/awconfig"
	"arbutuswind/io/awstore"
)

// Keys of the table service and the object store.
const (
	headKey        = "config/head"
	changePrefix   = "config/change/"
	snapshotPrefix = "config/snapshot/"
)

const (
	// scanLimit bounds the number of changes read by one scan.
	scanLimit = 512
	// SnapshotEvery is the number of revisions between two snapshots.
	SnapshotEvery = 256
	// maxHistory bounds the number of changes that [Log.History] returns.
	maxHistory = 4096
	// maxCommitAttempts bounds how often a commit is sent if replies are lost.
	maxCommitAttempts = 3
)

// Table is the part of the table service that the log needs.
type Table interface {
	Get(ctx context.Context, key string, known uint64) (awstore.Row, error)
	Scan(ctx context.Context, from, to string, limit int) ([]awstore.Row, error)
	Commit(ctx context.Context, txn awstore.Txn) error
}

// Objects is the part of the object store that the log needs.
type Objects interface {
	GetObject(ctx context.Context, name string) ([]byte, error)
	PutObject(ctx context.Context, name string, data []byte) error
}

// Head is the value of the head row.
type Head struct {
	Revision uint64
	Digest   string   // digest of the state at Revision
	Snapshot Snapshot // newest snapshot; zero before the first one
	// AcceptedReset is the revision at which an operator last accepted a reset
	// of the store. Change rows before it may be missing or belong to another
	// history.
	AcceptedReset uint64
}

// Snapshot identifies a state in the object store.
type Snapshot struct {
	Revision uint64
	Digest   string
}

func (s Snapshot) objectName() string {
	return fmt.Sprintf("%s%020d-%s", snapshotPrefix, s.Revision, s.Digest)
}

// ConflictError reports that other changes were committed first.
type ConflictError struct {
	Winners    []awconfig.Change
	Difference []awconfig.Difference // what the refused change would alter in the current state
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	if len(e.Winners) == 0 {
		return "another change was committed first"
	}
	w := e.Winners[len(e.Winners)-1]
	return fmt.Sprintf("revision %d (%s %s by %s) was committed first", w.Revision, w.Kind, w.Target, w.Actor)
}

// ResetError reports that the store was reset: its head is older than the
// configuration of this process, or it belongs to another history.
type ResetError struct {
	Have, Store uint64
	Diverged    bool // the store has the revision with different content
}

// Error implements the error interface.
func (e *ResetError) Error() string {
	if e.Diverged {
		return fmt.Sprintf("the store is at revision %d with a different history than this process at revision %d: the store was reset; "+
			"changes are refused until an operator runs `awctl config accept-reset`", e.Store, e.Have)
	}
	return fmt.Sprintf("the store is at revision %d, but a process has seen revision %d: the store was reset; "+
		"changes are refused until an operator runs `awctl config accept-reset`", e.Store, e.Have)
}

// OutcomeUnknownError reports that a change may or may not have been written, or
// may still be written.
type OutcomeUnknownError struct {
	ChangeID string
	Cause    error
}

// Error implements the error interface.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("change %s may have been written; check the history: %v", e.ChangeID, e.Cause)
}

// Unwrap returns the error of the last commit attempt.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// Log reads and writes the configuration log. It is safe for concurrent use.
type Log struct {
	table   Table
	objects Objects
	holder  *awconfig.Holder

	highestObserved atomic.Uint64 // highest revision reported by any process

	mu              sync.Mutex
	version         uint64 // version of the head row as last read; 0 if there is none
	head            Head
	reset           *ResetError // nil unless the store was reset
	snapshotMissing bool
}

// NewLog returns a log that keeps the holder up to date.
func NewLog(table Table, objects Objects, holder *awconfig.Holder) *Log {
	return &Log{table: table, objects: objects, holder: holder}
}

func changeKey(revision uint64) string { return fmt.Sprintf("%s%020d", changePrefix, revision) }

// resetCount counts how often this process detected a reset of the store.
var resetCount = metrics.NewCounter("arbutuswind_config_store_resets_total")

// Poll reads the head row and, if it changed, updates the holder to the newest
// revision. It returns a [ResetError] if the store was reset.
func (l *Log) Poll(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.poll(ctx)
}

// ObserveRevision records that some process has seen the revision. A store whose
// head is below it was reset. This detects a reset even if no remaining entry
// holds the state of that revision.
func (l *Log) ObserveRevision(revision uint64) {
	for {
		seen := l.highestObserved.Load()
		if revision <= seen || l.highestObserved.CompareAndSwap(seen, revision) {
			return
		}
	}
}

func (l *Log) poll(ctx context.Context) error {
	// Peers update the holder too. Only revisions known before the read prove
	// that the store is behind; newer ones may have been committed meanwhile.
	before := max(l.holder.State().Revision, l.highestObserved.Load())
	row, err := l.table.Get(ctx, headKey, l.version)
	switch {
	case errors.Is(err, awstore.ErrNotModified):
		return l.checkNotBehind(before)
	case errors.Is(err, awstore.ErrNotFound):
		l.version, l.head = 0, Head{}
		return l.checkNotBehind(before)
	case err != nil:
		return err
	}
	var head Head
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return eris.Wrap(err, "decode head row")
	}
	if err := l.catchUp(ctx, head); err != nil {
		return l.recordReset(err)
	}
	l.version, l.head = row.Version, head
	return l.checkNotBehind(before)
}

// checkNotBehind returns a [ResetError] if the head as last read is older than
// before, the highest revision known before that read.
func (l *Log) checkNotBehind(before uint64) error {
	if l.head.Revision < before {
		return l.recordReset(&ResetError{Have: before, Store: l.head.Revision})
	}
	l.reset = nil
	return nil
}

func (l *Log) recordReset(err error) error {
	var reset *ResetError
	if errors.As(err, &reset) {
		if l.reset == nil {
			resetCount.Inc()
		}
		l.reset = reset
		// After a reset, a row version can occur again with different content, so
		// the next poll must read the row in full.
		l.version = 0
	}
	return err
}

// Reset returns the [ResetError] of an unresolved store reset, or nil.
func (l *Log) Reset() *ResetError {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reset
}

// Commit writes c as the revision after base. It returns a [ConflictError] if
// base is no longer the newest revision, a [ResetError] if the store was reset,
// and an [OutcomeUnknownError] if the change may or may not have been written.
func (l *Log) Commit(ctx context.Context, base uint64, c awconfig.Change) (awconfig.Change, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.poll(ctx); err != nil {
		return c, err
	}
	s := l.holder.State()
	if s.Revision != base {
		return c, l.conflict(ctx, base, c)
	}
	c.Revision, c.ChangeID = base+1, uuid.NewString()
	next, err := s.Apply(c)
	if err != nil {
		return c, err
	}
	head := l.head
	head.Revision, head.Digest = c.Revision, next.Digest()
	if l.snapshotMissing || base-head.Snapshot.Revision >= SnapshotEvery {
		if snap, err := l.writeSnapshot(ctx, s); err == nil {
			head.Snapshot = snap // if it fails, the next commit tries again
		}
	}
	return c, l.write(ctx, c, head)
}

// write commits c. If a reply is lost, it reads the row back and, if the change
// is not found, sends the same transaction again. That is safe because the
// conditions of the transaction let it take effect only once.
func (l *Log) write(ctx context.Context, c awconfig.Change, head Head) error {
	txn, err := l.transaction(c, head)
	if err != nil {
		return err
	}
	for range maxCommitAttempts {
		if err = l.table.Commit(ctx, txn); err == nil {
			break
		}
		found, readErr := l.readChange(ctx, c.Revision)
		if readErr == nil && found.ChangeID == c.ChangeID {
			err = nil
			break
		}
		if readErr == nil {
			_ = l.poll(ctx) // the result is a conflict in any case
			return l.conflict(ctx, c.Revision-1, c)
		}
		if errors.Is(readErr, awstore.ErrNotFound) && errors.Is(err, awstore.ErrConflict) {
			return &ConflictError{} // the head row changed, but the row of this revision is still free
		}
	}
	if err != nil {
		return &OutcomeUnknownError{ChangeID: c.ChangeID, Cause: err}
	}
	return l.holder.Extend(l.holder.State(), []awconfig.Change{c}, head.Digest)
}

func (l *Log) transaction(c awconfig.Change, head Head) (awstore.Txn, error) {
	row, err := json.Marshal(c)
	if err != nil {
		return awstore.Txn{}, eris.Wrap(err, "encode change")
	}
	headRow, err := json.Marshal(head)
	if err != nil {
		return awstore.Txn{}, eris.Wrap(err, "encode head")
	}
	return awstore.Txn{
		Conditions: []awstore.Condition{{Key: headKey, Version: l.version}, {Key: changeKey(c.Revision)}},
		Puts:       []awstore.Put{{Key: headKey, Value: headRow}, {Key: changeKey(c.Revision), Value: row}},
	}, nil
}

// Conflict returns the [ConflictError] for a change whose base is outdated.
func (l *Log) Conflict(ctx context.Context, base uint64, c awconfig.Change) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conflict(ctx, base, c)
}

func (l *Log) conflict(ctx context.Context, base uint64, c awconfig.Change) error {
	e := &ConflictError{}
	s := l.holder.State()
	if changes, err := l.readChanges(ctx, base, scanLimit); err == nil {
		e.Winners = changes
	}
	c.Revision = s.Revision + 1
	if next, err := s.Apply(c); err == nil {
		e.Difference = awconfig.Diff(s, next)
	}
	return e
}

// AcceptReset records an operator's decision to continue from the state of this
// process after the store was reset. The new revision is above every revision
// seen so far, so that no process returns to an older revision.
func (l *Log) AcceptReset(ctx context.Context, actor, reason string) (awconfig.Change, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var reset *ResetError
	if err := l.poll(ctx); err == nil {
		return awconfig.Change{}, eris.New("the store was not reset; there is nothing to accept")
	} else if !errors.As(err, &reset) {
		return awconfig.Change{}, err
	}
	// Read the head row again, since a head of another history was not kept.
	row, err := l.table.Get(ctx, headKey, 0)
	if err != nil && !errors.Is(err, awstore.ErrNotFound) {
		return awconfig.Change{}, err
	}
	var stored Head
	if err == nil {
		if err := json.Unmarshal(row.Value, &stored); err != nil {
			return awconfig.Change{}, eris.Wrap(err, "decode head row")
		}
	}
	l.version = row.Version
	base := l.holder.State().Clone()
	base.Revision = max(base.Revision, stored.Revision, l.highestObserved.Load())
	c := awconfig.Change{
		Revision: base.Revision + 1, ChangeID: uuid.NewString(), Kind: awconfig.KindStoreResetAccepted,
		Actor: actor, Reason: reason,
	}
	next, err := base.Apply(c)
	if err != nil {
		return c, err
	}
	snap, err := l.writeSnapshot(ctx, next)
	if err != nil {
		return c, eris.Wrap(err, "write snapshot")
	}
	head := Head{Revision: next.Revision, Digest: next.Digest(), Snapshot: snap, AcceptedReset: next.Revision}
	return c, l.writeReset(ctx, c, head, next)
}

func (l *Log) writeReset(ctx context.Context, c awconfig.Change, head Head, next *awconfig.State) error {
	txn, err := l.transaction(c, head)
	if err != nil {
		return err
	}
	if err := l.table.Commit(ctx, txn); err != nil {
		found, readErr := l.readChange(ctx, c.Revision)
		if readErr != nil {
			return &OutcomeUnknownError{ChangeID: c.ChangeID, Cause: err}
		}
		if found.ChangeID != c.ChangeID {
			return &ConflictError{Winners: []awconfig.Change{found}}
		}
	}
	if err := l.holder.Replace(next); err != nil {
		return err
	}
	return l.poll(ctx)
}
