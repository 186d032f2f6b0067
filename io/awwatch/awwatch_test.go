package awwatch

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
)

var errStoreDown = errors.New("store is away")

// fakeStore is a stand-in of the fakeStore.
type fakeStore struct {
	mu             sync.Mutex
	down           bool // answers fail, and reads that are held open hang
	historyGone    bool // the history is gone, once
	config         uint64
	modelVersions  map[string]int64
	servers        []awdirectory.Server
	ages           map[int64]time.Duration
	sinceRevisions []uint64 // revisions that the operators' rows were read from
	longPolls      chan struct{}
}

func (s *fakeStore) Operator(ctx context.Context, since uint64, wait time.Duration) (OperatorRows, error) {
	s.mu.Lock()
	s.sinceRevisions = append(s.sinceRevisions, since)
	config, away, gone := s.config, s.down, s.historyGone
	s.historyGone = false
	s.mu.Unlock()
	switch {
	case gone && since > 0:
		return OperatorRows{}, ErrHistoryGone
	case away && wait <= time.Millisecond:
		return OperatorRows{}, errStoreDown
	case since == config:
		// Nothing has changed: held open, and silent for good.
		select {
		case s.longPolls <- struct{}{}:
		default:
		}
		<-ctx.Done()
		return OperatorRows{}, ctx.Err()
	}
	return OperatorRows{Revision: config, Config: &awdirectory.Config{Version: config}, DesiredVersions: s.modelVersions}, nil
}

func (s *fakeStore) Servers(context.Context, uint64) (ServerRows, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return ServerRows{}, errStoreDown
	}
	return ServerRows{Revision: 1, Put: s.servers, Unreadable: []string{"forged"}}, nil
}

func (s *fakeStore) Entries(context.Context) ([]string, error) { return []string{"a", "b"}, nil }

func (s *fakeStore) VersionAges(context.Context, string, int64, time.Duration) (map[int64]time.Duration, error) {
	return s.ages, nil
}

func (s *fakeStore) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func startWatcher(t *testing.T, s *fakeStore) (configs chan uint64, states chan State) {
	t.Helper()
	configs, states = make(chan uint64, 64), make(chan State, 4096)
	s.longPolls = make(chan struct{}, 64)
	w := New(Config{
		Clock: awclock.System{}, Logger: log.NewNopLogger(), Source: s, MaxStaleness: time.Hour, RecordFirstSeen: true,
		OnConfig: func(c *awdirectory.Config) bool { configs <- c.Version; return true },
		OnState:  func(st State) { states <- st }, ServersInterval: time.Millisecond, EntriesInterval: time.Millisecond, LongPollTimeout: time.Hour,
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go w.Run(ctx)
	return configs, states
}

// Guards CONFIG and HOME: a read that the store holds open must not outlive an
// outage; the configuration changed meanwhile, and no answer ever comes.
func TestOutageAbortsLongPoll(t *testing.T) {
	s := &fakeStore{config: 1}
	configs, _ := startWatcher(t, s)
	require.Equal(t, uint64(1), <-configs)
	<-s.longPolls
	s.locked(func() { s.down = true })
	for seen := 0; seen < 3; { // the outage has been noticed
		s.locked(func() { seen = len(s.sinceRevisions) })
		time.Sleep(time.Millisecond)
	}
	s.locked(func() { s.down, s.config = false, 2 })
	require.Equal(t, uint64(2), <-configs)
}

// Guards against changes that are missed because the store has dropped its
// history.
func TestFullReadAfterHistoryIsGone(t *testing.T) {
	s := &fakeStore{config: 1}
	configs, _ := startWatcher(t, s)
	require.Equal(t, uint64(1), <-configs)
	<-s.longPolls
	s.locked(func() { s.historyGone, s.down = true, true })
	for gone := true; gone; { // the lost history has been met
		s.locked(func() { gone = s.historyGone })
		time.Sleep(time.Millisecond)
	}
	s.locked(func() { s.down, s.config = false, 5 })
	require.Equal(t, uint64(5), <-configs)
	s.locked(func() { require.Contains(t, s.sinceRevisions[2:], uint64(0)) })
}

// Guards VERSION: the bound of a version holds for a process that started after
// the next one was named.
func TestPreviousVersionBoundSurvivesRestart(t *testing.T) {
	s := &fakeStore{config: 1, modelVersions: map[string]int64{"m": 3}, ages: map[int64]time.Duration{2: time.Hour, 3: 0}}
	_, states := startWatcher(t, s)
	for st := range states {
		if f := st.Floors["m"]; len(f) == 2 {
			require.Equal(t, int64(2), awdirectory.FloorAt(f, time.Now()))
			return
		}
	}
}

// Guards VERSION: after a restart of all processes a version counts from when
// it was first seen, not from the restart.
func TestFirstSeenTimeSurvivesRestart(t *testing.T) {
	s := &fakeStore{config: 1, modelVersions: map[string]int64{"m": 2}, ages: map[int64]time.Duration{2: time.Hour}}
	_, states := startWatcher(t, s)
	for st := range states {
		if f := st.Floors["m"]; len(f) > 0 && awdirectory.FloorAt(f, time.Now()) == 2 && st.Entries == 2 {
			return
		}
	}
}
