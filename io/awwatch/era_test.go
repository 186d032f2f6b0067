package awwatch

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
)

// drillSource is a store whose rows a test replaces. Reads of changes return all rows.
type drillSource struct {
	Source
	mu       sync.Mutex
	operator OperatorRows
	servers  ServerRows
	recorded int
}

func (s *drillSource) Operator(ctx context.Context, since awdirectory.Position, _ time.Duration) (OperatorRows, error) {
	Sleep(ctx, time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.operator
	if !since.IsZero() && since.Era != rows.Revision.Era {
		return OperatorRows{}, ErrHistoryGone
	}
	rows.Config = &awdirectory.Config{Version: 1}
	return rows, ctx.Err()
}

func (s *drillSource) Servers(_ context.Context, since awdirectory.Position, _ time.Duration) (ServerRows, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !since.IsZero() && since.Era != s.servers.Revision.Era {
		return ServerRows{}, ErrHistoryGone
	}
	return s.servers, nil
}

func (s *drillSource) VersionAges(context.Context, string, int64, time.Duration) (map[int64]time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recorded++
	return nil, nil
}

// set replaces the rows by those of an era.
func (s *drillSource) set(era uint64, out map[string]bool, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := awdirectory.Position{Era: era, Version: 5}
	s.operator = OperatorRows{Revision: at, DomainsOut: out, DesiredVersions: map[string]int64{"m": 2}}
	s.servers = ServerRows{Revision: at, Put: []awdirectory.Server{{ID: "s", StartUnixMs: 1, Draining: draining}}}
}

// Guards rules EVAC and DRAIN through a drill in which the store loses its last seconds,
// and against times of versions that stay lost with it.
func TestCautionAfterOlderCopy(t *testing.T) {
	source := &drillSource{}
	source.set(1, map[string]bool{"north": true, "south": true}, true)
	var mu sync.Mutex
	var last State
	w := New(Config{
		Clock: awclock.System{}, Logger: log.NewNopLogger(), Source: source, MaxStaleness: time.Hour, RecordFirstSeen: true,
		OnConfig: func(*awdirectory.Config) bool { return true }, ServersInterval: time.Millisecond, LongPollTimeout: time.Millisecond,
		MaxRetryDelay: time.Millisecond, EraCaution: time.Second,
		OnState: func(s State) {
			mu.Lock()
			defer mu.Unlock()
			last = s
		},
	})
	go w.Run(t.Context())
	await := func(what string, ok func(s State) bool) {
		t.Helper()
		require.Eventually(t, func() bool {
			mu.Lock()
			defer mu.Unlock()
			return len(last.Servers) == 1 && ok(last)
		}, time.Minute, time.Millisecond, what)
	}
	await("first read", func(s State) bool { return s.DomainsOut["north"] && s.Servers[0].Draining })
	eras := func() uint64 {
		var operator, servers uint64
		done := make(chan struct{})
		w.update(t.Context(), func() { operator, servers = w.eras.operator, w.eras.servers; close(done) })
		<-done
		return min(operator, servers)
	}

	source.set(2, map[string]bool{"east": true}, false)
	require.Eventually(t, func() bool { return eras() == 2 }, time.Minute, time.Millisecond)
	mu.Lock()
	require.Equal(t, map[string]bool{"north": true, "south": true, "east": true}, last.DomainsOut)
	require.True(t, last.Servers[0].Draining)
	mu.Unlock()
	source.set(2, map[string]bool{"east": true, "north": true}, false) // written again
	await("end of the caution", func(s State) bool {
		return s.DomainsOut["north"] && !s.DomainsOut["south"] && !s.Servers[0].Draining
	})
	source.mu.Lock()
	defer source.mu.Unlock()
	require.GreaterOrEqual(t, source.recorded, 2, "the time of the version is recorded again")
}

// Guards against entries that give up their shares while the store is away because one
// that has just started, and knows no list, does not count them.
func TestEntryWithoutListCountsAll(t *testing.T) {
	w := New(Config{Clock: awclock.System{}, Self: "a"})
	require.True(t, w.EntryAnswer("b").Counted)
	w.tracker.observe([]awdirectory.Registration{{Entry: awdirectory.Entry{Name: "a"}}}, time.Now())
	require.False(t, w.EntryAnswer("b").Counted)
	require.True(t, w.EntryAnswer("a").Counted)
}
