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

var errAway = errors.New("store is away")

// store is a stand-in of the store.
type store struct {
	mu      sync.Mutex
	away    bool // answers fail, and reads that are held open hang
	gone    bool // the history is gone, once
	config  uint64
	named   map[string]int64
	servers []awdirectory.Server
	ages    map[int64]time.Duration
	since   []uint64 // revisions that the operators' rows were read from
	held    chan struct{}
}

func (s *store) Operator(ctx context.Context, since uint64, wait time.Duration) (OperatorRows, error) {
	s.mu.Lock()
	s.since = append(s.since, since)
	config, away, gone := s.config, s.away, s.gone
	s.gone = false
	s.mu.Unlock()
	switch {
	case gone && since > 0:
		return OperatorRows{}, ErrHistoryGone
	case away && wait <= time.Millisecond:
		return OperatorRows{}, errAway
	case since == config:
		// Nothing has changed: held open, and silent for good.
		select {
		case s.held <- struct{}{}:
		default:
		}
		<-ctx.Done()
		return OperatorRows{}, ctx.Err()
	}
	return OperatorRows{Revision: config, Config: &awdirectory.Config{Version: config}, ModelVersions: s.named}, nil
}

func (s *store) Servers(context.Context, uint64) (ServerRows, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return ServerRows{}, errAway
	}
	return ServerRows{Revision: 1, Put: s.servers, Unreadable: []string{"forged"}}, nil
}

func (s *store) Entries(context.Context) ([]string, error) { return []string{"a", "b"}, nil }

func (s *store) VersionAges(context.Context, string, int64, time.Duration) (map[int64]time.Duration, error) {
	return s.ages, nil
}

func (s *store) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func start(t *testing.T, s *store) (configs chan uint64, states chan State) {
	t.Helper()
	configs, states = make(chan uint64, 64), make(chan State, 4096)
	s.held = make(chan struct{}, 64)
	w := New(Config{
		Clock: awclock.System{}, Logger: log.NewNopLogger(), Source: s, VersionBound: time.Hour, RecordFirstSeen: true,
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
func TestHeldReadEndsWithAnOutage(t *testing.T) {
	s := &store{config: 1}
	configs, _ := start(t, s)
	require.Equal(t, uint64(1), <-configs)
	<-s.held
	s.set(func() { s.away = true })
	for seen := 0; seen < 3; { // the outage has been noticed
		s.set(func() { seen = len(s.since) })
		time.Sleep(time.Millisecond)
	}
	s.set(func() { s.away, s.config = false, 2 })
	require.Equal(t, uint64(2), <-configs)
}

// Guards against changes that are missed because the store has dropped its
// history.
func TestWholeReadAfterLostHistory(t *testing.T) {
	s := &store{config: 1}
	configs, _ := start(t, s)
	require.Equal(t, uint64(1), <-configs)
	<-s.held
	s.set(func() { s.gone, s.away = true, true })
	for gone := true; gone; { // the lost history has been met
		s.set(func() { gone = s.gone })
		time.Sleep(time.Millisecond)
	}
	s.set(func() { s.away, s.config = false, 5 })
	require.Equal(t, uint64(5), <-configs)
	s.set(func() { require.Contains(t, s.since[2:], uint64(0)) })
}

// Guards VERSION: the bound of a version holds for a process that started after
// the next one was named.
func TestVersionBeforeOutlivesARestart(t *testing.T) {
	s := &store{config: 1, named: map[string]int64{"m": 3}, ages: map[int64]time.Duration{2: time.Hour, 3: 0}}
	_, states := start(t, s)
	for st := range states {
		if f := st.Floors["m"]; len(f) == 2 {
			require.Equal(t, int64(2), awdirectory.FloorAt(f, time.Now()))
			return
		}
	}
}

// Guards VERSION: after a restart of all processes a version counts from when
// it was first seen, not from the restart.
func TestNamedVersionOutlivesARestart(t *testing.T) {
	s := &store{config: 1, named: map[string]int64{"m": 2}, ages: map[int64]time.Duration{2: time.Hour}}
	_, states := start(t, s)
	for st := range states {
		if f := st.Floors["m"]; len(f) > 0 && awdirectory.FloorAt(f, time.Now()) == 2 && st.Entries == 2 {
			return
		}
	}
}
