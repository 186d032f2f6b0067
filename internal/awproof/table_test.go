package awproof

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"

	"arbutuswind/io/awstore"
)

// store is an in-memory table service and object store. It can be made
// unavailable, lose replies to commits, and be rolled back.
type store struct {
	rows, saved   map[string]awstore.Row
	objects       map[string][]byte
	down          bool
	repliesToLose int
}

var (
	errDown = errors.New("store is down")
	errLost = errors.New("reply lost")
)

func newStore() *store {
	return &store{rows: map[string]awstore.Row{}, saved: map[string]awstore.Row{}, objects: map[string][]byte{}}
}

func (s *store) Get(_ context.Context, key string, known uint64) (awstore.Row, error) {
	row, ok := s.rows[key]
	switch {
	case s.down:
		return row, errDown
	case !ok:
		return row, awstore.ErrNotFound
	case known != 0 && known == row.Version:
		return row, awstore.ErrNotModified
	}
	return row, nil
}

func (s *store) Scan(_ context.Context, from, to string, limit int) ([]awstore.Row, error) {
	if s.down {
		return nil, errDown
	}
	var rows []awstore.Row
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		if key >= from && key < to && len(rows) < limit {
			rows = append(rows, s.rows[key])
		}
	}
	return rows, nil
}

func (s *store) Commit(_ context.Context, txn awstore.Txn) error {
	if s.down {
		return errDown
	}
	for _, c := range txn.Conditions {
		if s.rows[c.Key].Version != c.Version {
			return awstore.ErrConflict
		}
	}
	for _, p := range txn.Puts {
		s.rows[p.Key] = awstore.Row{Key: p.Key, Version: s.rows[p.Key].Version + 1, Value: p.Value}
	}
	for _, key := range txn.Deletes {
		delete(s.rows, key)
	}
	if s.repliesToLose > 0 {
		s.repliesToLose--
		return errLost
	}
	return nil
}

func (s *store) GetObject(_ context.Context, name string) ([]byte, error) {
	if data, ok := s.objects[name]; ok && !s.down {
		return data, nil
	}
	return nil, awstore.ErrNotFound
}

func (s *store) PutObject(_ context.Context, name string, data []byte) error {
	if s.down {
		return errDown
	}
	s.objects[name] = data
	return nil
}

// rollBack reverts the rows with the prefix to the saved copy.
func (s *store) rollBack(prefix string) {
	maps.DeleteFunc(s.rows, func(key string, _ awstore.Row) bool { return strings.HasPrefix(key, prefix) })
	for key, row := range s.saved {
		if strings.HasPrefix(key, prefix) {
			s.rows[key] = row
		}
	}
}

func (s *store) save() { s.saved = maps.Clone(s.rows) }
