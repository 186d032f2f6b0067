// Package awcontrol keeps the accepted configuration in the platform's table
// service and offers it to operators over HTTP.
//
// The log has one row per revision and a head row. A commit is one
// transaction on both, so that of two racing writers exactly one wins. The
// head names the newest snapshot in the object store, from which a process
// starts; older change rows stay for the history. A head that is behind what
// a process holds means that the store was set back: the log then refuses
// changes until [Log.AcceptReset], and the process keeps what it holds.
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
	// scanLimit bounds the changes read at once.
	scanLimit = 512
	// SnapshotEvery is the number of revisions after which a snapshot is due.
	SnapshotEvery = 256
	// maxHistory bounds one answer to operators.
	maxHistory = 4096
	// maxCommitAttempts bounds how often a commit is sent whose reply was lost.
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
	Digest   string   // of the state at Revision
	Snapshot Snapshot // the newest one; the zero value before the first
	// AcceptedReset is the revision at which an operator last accepted that
	// the store was set back. Change rows before it may be missing or belong
	// to another history.
	AcceptedReset uint64
}

// Snapshot names a state in the object store.
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
	Difference []awconfig.Difference // what the refused change would alter now
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	if len(e.Winners) == 0 {
		return "another change was committed first"
	}
	w := e.Winners[len(e.Winners)-1]
	return fmt.Sprintf("revision %d (%s %s by %s) was committed first", w.Revision, w.Kind, w.Target, w.Actor)
}

// ResetError reports that the store holds an older head than this process,
// or another history.
type ResetError struct {
	Have, Store uint64
	Diverged    bool // the store has the revision, but with another content
}

// Error implements the error interface.
func (e *ResetError) Error() string {
	if e.Diverged {
		return fmt.Sprintf("the store is at revision %d with another history than this process at %d: the store was set back; "+
			"changes are refused until an operator runs `awctl config accept-reset`", e.Store, e.Have)
	}
	return fmt.Sprintf("the store is at revision %d, a process of the system at %d: the store was set back; "+
		"changes are refused until an operator runs `awctl config accept-reset`", e.Store, e.Have)
}

// OutcomeUnknownError reports a change of which it is not known whether it was or
// will be written.
type OutcomeUnknownError struct {
	ChangeID string
	Cause    error
}

// Error implements the error interface.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("change %s may have been written, look for it in the history: %v", e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// Log reads and writes the configuration log. It is safe for concurrent use.
type Log struct {
	table   Table
	objects Objects
	holder  *awconfig.Holder

	highestObserved atomic.Uint64 // highest revision that any process was seen to hold

	mu              sync.Mutex
	version         uint64 // of the head row as last read; 0 before the first change
	head            Head
	reset           *ResetError // nil while store and holder agree
	snapshotMissing bool
}

// NewLog returns a log that feeds the holder.
func NewLog(table Table, objects Objects, holder *awconfig.Holder) *Log {
	return &Log{table: table, objects: objects, holder: holder}
}

func changeKey(revision uint64) string { return fmt.Sprintf("%s%020d", changePrefix, revision) }

// resetCount counts how often this process found the store set back.
var resetCount = metrics.NewCounter("arbutuswind_config_store_resets_total")

// Poll reads the head row if it changed and brings the holder up to it. It
// returns a [ResetError] when the store was set back.
func (l *Log) Poll(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.poll(ctx)
}

// ObserveRevision notes that a process holds the revision. A store whose head stays
// below it was set back, also when no entry is left that has the state.
func (l *Log) ObserveRevision(revision uint64) {
	for {
		seen := l.highestObserved.Load()
		if revision <= seen || l.highestObserved.CompareAndSwap(seen, revision) {
			return
		}
	}
}

func (l *Log) poll(ctx context.Context) error {
	// Peers feed the holder as well. Only what was held or witnessed before
	// the read can prove that the store is behind.
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

// checkNotBehind checks the head as last read against a revision known before that.
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
		// Row versions of the old history may come again with other content.
		l.version = 0
	}
	return err
}

// Reset returns the [ResetError] while the store is set back, otherwise nil.
func (l *Log) Reset() *ResetError {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reset
}

// Commit writes c as the revision after base. It returns a [ConflictError]
// when the log has moved on, a [ResetError] when the store was set back, and
// an [OutcomeUnknownError] when it is not known whether the change was written.
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
			head.Snapshot = snap // a failure is made up for by the next commit
		}
	}
	return c, l.write(ctx, c, head)
}

// write commits c and settles lost replies. The same transaction is sent
// again when its change is not found, since its conditions let it take
// effect only once.
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
			_ = l.poll(ctx) // the conflict is the answer either way
			return l.conflict(ctx, c.Revision-1, c)
		}
		if errors.Is(readErr, awstore.ErrNotFound) && errors.Is(err, awstore.ErrConflict) {
			return &ConflictError{} // the head moved in a way that leaves this revision free
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

// Conflict returns the [ConflictError] of a change whose base is too old.
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

// AcceptReset records the decision of an operator that the state held here
// is the accepted one although the store was set back. The log goes on above
// every revision seen, so that no process goes back.
func (l *Log) AcceptReset(ctx context.Context, actor, reason string) (awconfig.Change, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var reset *ResetError
	if err := l.poll(ctx); err == nil {
		return awconfig.Change{}, eris.New("the store was not set back; there is nothing to accept")
	} else if !errors.As(err, &reset) {
		return awconfig.Change{}, err
	}
	// The row is read again, since a diverged one was not taken over.
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
