// Package awcontrol keeps the accepted configuration in the platform's table
// service and offers it to operators over HTTP.
//
// The log has one row per revision and a head row. A commit is one
// transaction on both, so that of two racing writers exactly one wins.
package awcontrol

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"arbutuswind/core/awconfig"
	"arbutuswind/io/awstore"
)

// Keys of the table service.
const (
	headKey      = "config/head"
	changePrefix = "config/change/"
)

// scanLimit bounds the changes read at once.
const scanLimit = 512

// Table is the part of the table service that the log needs.
type Table interface {
	Get(ctx context.Context, key string, known uint64) (awstore.Row, error)
	Scan(ctx context.Context, from, to string, limit int) ([]awstore.Row, error)
	Commit(ctx context.Context, txn awstore.Txn) error
}

// Head is the value of the head row.
type Head struct {
	Revision uint64
	Digest   string // of the state at Revision
}

// ConflictError reports that other changes were committed first.
type ConflictError struct{ Winners []awconfig.Change }

// Error implements the error interface.
func (e *ConflictError) Error() string {
	if len(e.Winners) == 0 {
		return "another change was committed first"
	}
	w := e.Winners[len(e.Winners)-1]
	return fmt.Sprintf("revision %d (%s %s by %s) was committed first", w.Revision, w.Kind, w.Target, w.Actor)
}

// ResetError reports that the store holds an older head than this process.
type ResetError struct{ Have, Store uint64 }

// Error implements the error interface.
func (e *ResetError) Error() string {
	return fmt.Sprintf("the store is at revision %d, this process at %d: the store was set back", e.Store, e.Have)
}

// Log reads and writes the configuration log. It is safe for concurrent use.
type Log struct {
	table  Table
	holder *awconfig.Holder

	mu      sync.Mutex
	version uint64 // of the head row as last read; 0 before the first change
}

// NewLog returns a log that feeds the holder.
func NewLog(table Table, holder *awconfig.Holder) *Log {
	return &Log{table: table, holder: holder}
}

func changeKey(revision uint64) string { return fmt.Sprintf("%s%020d", changePrefix, revision) }

// Poll reads the head row if it changed and brings the holder up to it. It
// returns a [ResetError] when the store was set back.
func (l *Log) Poll(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.poll(ctx)
}

func (l *Log) poll(ctx context.Context) error {
	row, err := l.table.Get(ctx, headKey, l.version)
	switch {
	case errors.Is(err, awstore.ErrNotModified):
		return nil
	case errors.Is(err, awstore.ErrNotFound):
		if have := l.holder.State().Revision; have > 0 {
			return &ResetError{Have: have}
		}
		return nil
	case err != nil:
		return err
	}
	var head Head
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return eris.Wrap(err, "decode head row")
	}
	have := l.holder.State().Revision
	if head.Revision < have {
		return &ResetError{Have: have, Store: head.Revision}
	}
	if err := l.catchUp(ctx, head); err != nil {
		return err
	}
	l.version = row.Version
	return nil
}

func (l *Log) catchUp(ctx context.Context, head Head) error {
	for l.holder.State().Revision < head.Revision {
		changes, err := l.read(ctx, l.holder.State().Revision)
		if err != nil {
			return err
		}
		if len(changes) == 0 {
			return eris.Errorf("changes after revision %d are missing", l.holder.State().Revision)
		}
		if err := l.holder.ApplyAll(changes); err != nil {
			return err
		}
	}
	return nil
}

func (l *Log) read(ctx context.Context, after uint64) ([]awconfig.Change, error) {
	rows, err := l.table.Scan(ctx, changeKey(after+1), changePrefix+"~", scanLimit)
	if err != nil {
		return nil, err
	}
	changes := make([]awconfig.Change, 0, len(rows))
	for _, row := range rows {
		c, err := awconfig.DecodeChange(row.Value)
		if err != nil {
			return nil, err
		}
		changes = append(changes, c)
	}
	return changes, nil
}

// Commit writes c as the revision after base. It returns a [ConflictError]
// when the log has moved on, and any other error when it is not known
// whether the change was written.
func (l *Log) Commit(ctx context.Context, base uint64, c awconfig.Change) (awconfig.Change, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.poll(ctx); err != nil {
		return c, err
	}
	s := l.holder.State()
	if s.Revision != base {
		return c, l.conflict(ctx, base)
	}
	c.Revision, c.ChangeID = base+1, uuid.NewString()
	next, err := s.Apply(c)
	if err != nil {
		return c, err
	}
	txn, err := l.transaction(c, Head{Revision: c.Revision, Digest: next.Digest()})
	if err != nil {
		return c, err
	}
	if err := l.table.Commit(ctx, txn); err != nil {
		return c, l.settle(ctx, base, c, err)
	}
	return c, l.poll(ctx)
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

// settle finds out whether a commit with the error cause took effect.
func (l *Log) settle(ctx context.Context, base uint64, c awconfig.Change, cause error) error {
	changes, err := l.read(ctx, base)
	if err != nil {
		return eris.Wrapf(cause, "change %s may have been written", c.ChangeID)
	}
	for _, other := range changes {
		if other.ChangeID == c.ChangeID {
			return l.poll(ctx)
		}
	}
	if len(changes) == 0 {
		return cause
	}
	_ = l.poll(ctx) // the conflict is the answer either way
	return &ConflictError{Winners: changes}
}

func (l *Log) conflict(ctx context.Context, base uint64) error {
	changes, err := l.read(ctx, base)
	if err != nil {
		return &ConflictError{}
	}
	return &ConflictError{Winners: changes}
}

// History returns the last n changes, oldest first.
func (l *Log) History(ctx context.Context, n uint64) ([]awconfig.Change, error) {
	revision := l.holder.State().Revision
	return l.read(ctx, revision-min(n, revision))
}
