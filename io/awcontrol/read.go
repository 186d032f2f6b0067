package awcontrol

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"arbutuswind/core/awconfig"
	"arbutuswind/io/awstore"
)

// catchUp updates the holder to the head. It returns a [ResetError] if the head
// belongs to a different history than the holder's state.
func (l *Log) catchUp(ctx context.Context, head Head) error {
	s := l.holder.State()
	switch {
	case head.Revision < s.Revision:
		return nil // a peer may have been faster; checkNotBehind decides
	case head.Revision == s.Revision:
		if head.Revision > 0 && s.Digest() != head.Digest {
			return &ResetError{Have: s.Revision, Store: head.Revision, Diverged: true}
		}
		return nil
	case head.AcceptedReset > s.Revision:
		// An operator accepted a reset, so the rows in between may be missing or
		// belong to another history.
		return l.loadSnapshot(ctx, head)
	}
	if head.Revision-s.Revision > scanLimit && head.Snapshot.Revision > s.Revision {
		if err := l.checkSameHistory(ctx, s); err != nil {
			return err
		}
		if err := l.loadSnapshot(ctx, head); err == nil {
			return nil
		}
		l.snapshotMissing = true
	}
	err := l.replayChanges(ctx, s, head)
	var revisionErr *awconfig.RevisionError
	if errors.As(err, &revisionErr) && head.Snapshot.Revision > s.Revision {
		return l.loadSnapshot(ctx, head)
	}
	return err
}

// checkSameHistory returns a [ResetError] if the store no longer has the change
// that led to s. After a reset the store has a different change at that revision
// or none.
func (l *Log) checkSameHistory(ctx context.Context, s *awconfig.State) error {
	last, ok := l.holder.LastChange()
	if !ok || last.Revision != s.Revision {
		return nil // s came from a snapshot; the digest is compared at the head
	}
	found, err := l.readChange(ctx, s.Revision)
	if errors.Is(err, awstore.ErrNotFound) || err == nil && found.ChangeID != last.ChangeID {
		return &ResetError{Have: s.Revision, Store: s.Revision, Diverged: true}
	}
	return err
}

// readChange reads the change of one revision.
func (l *Log) readChange(ctx context.Context, revision uint64) (awconfig.Change, error) {
	row, err := l.table.Get(ctx, changeKey(revision), 0)
	if err != nil {
		return awconfig.Change{}, err
	}
	return awconfig.DecodeChange(row.Value)
}

// replayChanges applies the changes from s to the head in bounded scans. If the
// snapshot named by the head was found missing, it is written again when that
// revision is reached.
func (l *Log) replayChanges(ctx context.Context, s *awconfig.State, head Head) error {
	for s.Revision < head.Revision {
		to := head.Revision
		if snap := head.Snapshot.Revision; l.snapshotMissing && snap > s.Revision {
			to = snap
		}
		changes, err := l.readNext(ctx, s, min(scanLimit, int(to-s.Revision)))
		if err != nil {
			return err
		}
		if len(changes) == 0 {
			return &awconfig.RevisionError{Have: s.Revision, Got: head.Revision}
		}
		next, err := s.ApplyAll(changes)
		if err != nil {
			return err
		}
		if l.snapshotMissing && next.Revision == head.Snapshot.Revision && next.Digest() == head.Snapshot.Digest {
			_, _ = l.writeSnapshot(ctx, next) // if it fails, the next process that needs the snapshot tries again
		}
		if next.Revision < head.Revision {
			s = next
			continue
		}
		err = l.holder.Extend(s, changes, head.Digest)
		var digestErr *awconfig.DigestError
		if errors.As(err, &digestErr) {
			return &ResetError{Have: l.holder.State().Revision, Store: head.Revision, Diverged: true}
		}
		return err
	}
	return nil
}

// readNext returns at most limit changes after s. If the change that led to s is
// known, the same scan also reads and checks it, which saves the separate read
// of [Log.checkSameHistory].
func (l *Log) readNext(ctx context.Context, s *awconfig.State, limit int) ([]awconfig.Change, error) {
	last, ok := l.holder.LastChange()
	if !ok || last.Revision != s.Revision {
		return l.readChanges(ctx, s.Revision, limit)
	}
	changes, err := l.readChanges(ctx, s.Revision-1, limit+1)
	if err != nil {
		return nil, err
	}
	if len(changes) == 0 || changes[0].ChangeID != last.ChangeID {
		return nil, &ResetError{Have: s.Revision, Store: s.Revision, Diverged: true}
	}
	return changes[1:], nil
}

// loadSnapshot loads the newest snapshot and applies the changes after it.
func (l *Log) loadSnapshot(ctx context.Context, head Head) error {
	s, err := l.readSnapshot(ctx, head.Snapshot)
	if err != nil {
		return err
	}
	if s.Revision == head.Revision {
		return l.holder.Replace(s)
	}
	return l.replayChanges(ctx, s, head)
}

func (l *Log) readSnapshot(ctx context.Context, snap Snapshot) (*awconfig.State, error) {
	data, err := l.objects.GetObject(ctx, snap.objectName())
	if err != nil {
		return nil, eris.Wrapf(err, "read snapshot of revision %d", snap.Revision)
	}
	s, err := awconfig.DecodeState(data)
	if err != nil {
		return nil, err
	}
	if got := s.Digest(); got != snap.Digest {
		return nil, &awconfig.DigestError{Revision: snap.Revision, Want: snap.Digest, Got: got}
	}
	return s, nil
}

func (l *Log) writeSnapshot(ctx context.Context, s *awconfig.State) (Snapshot, error) {
	data, err := s.Encode()
	if err != nil {
		return Snapshot{}, err
	}
	snap := Snapshot{Revision: s.Revision, Digest: s.Digest()}
	if err := l.objects.PutObject(ctx, snap.objectName(), data); err != nil {
		return Snapshot{}, err
	}
	l.snapshotMissing = false
	return snap, nil
}

// readChanges returns at most limit changes after the revision.
func (l *Log) readChanges(ctx context.Context, after uint64, limit int) ([]awconfig.Change, error) {
	rows, err := l.table.Scan(ctx, changeKey(after+1), changePrefix+"~", limit)
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

// History returns the last n changes, oldest first. n is limited to 4096.
func (l *Log) History(ctx context.Context, n uint64) ([]awconfig.Change, error) {
	revision := l.holder.State().Revision
	n = min(n, revision, maxHistory)
	after := revision - n
	var list []awconfig.Change
	for uint64(len(list)) < n {
		page, err := l.readChanges(ctx, after, min(scanLimit, int(n)-len(list)))
		if err != nil {
			return nil, err
		}
		if len(page) == 0 {
			break // the rows were lost in a reset of the store
		}
		list = append(list, page...)
		after = page[len(page)-1].Revision
	}
	return list, nil
}

// Since returns at most 512 changes after the revision.
func (l *Log) Since(ctx context.Context, revision uint64) ([]awconfig.Change, error) {
	return l.readChanges(ctx, revision, scanLimit)
}
