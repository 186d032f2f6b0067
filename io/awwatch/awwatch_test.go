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

var errStoreDown = errors.New("store is unavailable")

// fakeStore is a [Source] for tests.
type fakeStore struct {
	mu             sync.Mutex
	down           bool          // reads fail, except long polls, which hang
	historyGone    chan struct{} // a value ends the long poll with ErrHistoryGone
	config         uint64
	modelVersions  map[string]int64
	servers        []awdirectory.Server
	ages           map[int64]time.Duration
	sinceRevisions []uint64      // since arguments of the reads of the operators' rows
	longPolls      chan struct{} // receives a value when a long poll starts
}

func (s *fakeStore) Operator(ctx context.Context, since awdirectory.Position, wait time.Duration) (OperatorRows, error) {
	s.mu.Lock()
	s.sinceRevisions = append(s.sinceRevisions, since.Version)
	config, down := s.config, s.down
	s.mu.Unlock()
	switch {
	case down && wait <= time.Millisecond:
		return OperatorRows{}, errStoreDown
	case since.Version == config:
		// Nothing has changed: the long poll never returns.
		select {
		case s.longPolls <- struct{}{}:
		default:
		}
		select {
		case <-s.historyGone:
			return OperatorRows{}, ErrHistoryGone
		case <-ctx.Done():
			return OperatorRows{}, ctx.Err()
		}
	}
	return OperatorRows{Revision: awdirectory.Position{Version: config}, Config: &awdirectory.Config{Version: config}, DesiredVersions: s.modelVersions}, nil
}

func (s *fakeStore) Servers(context.Context, awdirectory.Position, time.Duration) (ServerRows, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return ServerRows{}, errStoreDown
	}
	return ServerRows{Revision: awdirectory.Position{Version: 1}, Put: s.servers, Unreadable: []string{"forged"}}, nil
}

func (s *fakeStore) Entries(context.Context) ([]awdirectory.Registration, error) {
	return []awdirectory.Registration{{Entry: awdirectory.Entry{Name: "a"}}, {Entry: awdirectory.Entry{Name: "b"}}}, nil
}

func (s *fakeStore) VersionAges(context.Context, string, int64, time.Duration) (map[int64]time.Duration, error) {
	return s.ages, nil
}

func (s *fakeStore) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func startWatcher(t *testing.T, s *fakeStore) (w *Watcher, configs chan uint64, states chan State) {
	t.Helper()
	configs, states = make(chan uint64, 64), make(chan State, 4096)
	s.longPolls = make(chan struct{}, 64)
	w = New(Config{
		Clock: awclock.System{}, Logger: log.NewNopLogger(), Source: s, MaxStaleness: time.Hour, Stable: 3 * time.Second, RecordFirstSeen: true,
		OnConfig: func(c *awdirectory.Config) bool { configs <- c.Version; return true },
		OnState:  func(st State) { states <- st }, ServersInterval: time.Millisecond, EntriesInterval: time.Millisecond, LongPollTimeout: time.Hour,
		MaxRetryDelay: time.Millisecond,
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go w.Run(ctx)
	return w, configs, states
}

// Guards rules CONFIG and HOME: a process must not keep an old configuration after
// an outage of the store. The long poll from before the outage never gets a
// response and must be aborted, since the configuration may have changed
// meanwhile.
func TestOutageAbortsLongPoll(t *testing.T) {
	s := &fakeStore{config: 1}
	w, configs, _ := startWatcher(t, s)
	require.Equal(t, uint64(1), <-configs)
	<-s.longPolls
	s.locked(func() { s.down = true })
	require.Eventually(t, func() bool { return !w.Connected() }, time.Minute, time.Millisecond)
	s.locked(func() { s.down, s.config = false, 2 })
	require.Equal(t, uint64(2), <-configs)
}

// Guards rules CONFIG, EVAC and HOME: while operators write configurations in
// quick succession, the changes since before an outage hold all of them. On a
// link between regions they arrived several seconds after the newest was due.
func TestOperatorRowsAreReadInFullAfterOutage(t *testing.T) {
	s := &fakeStore{config: 1}
	w, configs, _ := startWatcher(t, s)
	require.Equal(t, uint64(1), <-configs)
	<-s.longPolls
	s.locked(func() { s.down = true })
	require.Eventually(t, func() bool { return !w.Connected() }, time.Minute, time.Millisecond)
	s.locked(func() { s.down, s.config = false, 25 })
	require.Equal(t, uint64(25), <-configs)
	s.locked(func() {
		require.Equal(t, uint64(1), s.sinceRevisions[1], "long poll before the outage")
		require.Equal(t, uint64(0), s.sinceRevisions[2])
	})
}

// Guards rule CONFIG: configurations written in quick succession must not be read
// one by one. With 25 of them in two seconds, the link of a region with eleven
// entries was busy for longer than the newest was due.
func TestConfigurationsInQuickSuccession(t *testing.T) {
	now := time.Unix(1000, 0)
	config := func(version uint64) *awdirectory.Config { return &awdirectory.Config{Version: version} }
	var p configPace
	require.True(t, p.observe(config(3), now))
	require.False(t, p.inSuccession)
	require.True(t, p.observe(config(4), now.Add(successionGap)))
	require.False(t, p.inSuccession, "a single change is read with the changes")
	require.True(t, p.observe(config(5), now.Add(successionGap+configPause)))
	require.True(t, p.inSuccession)
	require.True(t, p.observe(config(9), now.Add(successionGap+2*configPause)))
	require.True(t, p.inSuccession)
	require.False(t, p.observe(config(9), now.Add(successionGap+3*configPause)))
	require.False(t, p.inSuccession, "the succession has ended")
	require.False(t, p.observe(nil, now.Add(time.Hour)))
}

// Guards against three tables of each process calling a store that turns them
// away: only the table whose read failed first probes it.
func TestOneTableProbesDuringOutage(t *testing.T) {
	o := outage{maxWait: time.Hour}
	ctx := context.Background()
	require.True(t, o.begin(tableServers))
	require.False(t, o.begin(tableOperator))
	o.await(ctx, tableServers) // the prober does not wait
	done := make(chan struct{})
	go func() { o.await(ctx, tableOperator); close(done) }()
	o.end(tableOperator) // a read that was under way
	require.True(t, o.active())
	select {
	case <-done:
		require.Fail(t, "a table that does not probe was read")
	case <-time.After(10 * time.Millisecond):
	}
	o.end(tableServers)
	<-done
	require.False(t, o.active())

	o = outage{maxWait: time.Millisecond}
	require.True(t, o.begin(tableServers))
	o.await(ctx, tableOperator) // the store may fail for one table only
}

// Guards against retries that are all sent at once, and against delays above the limit.
func TestRetryDelayGrows(t *testing.T) {
	for failures, longest := range map[int]time.Duration{1: firstRetryDelay, 2: 2 * firstRetryDelay, 9: time.Second, 900: time.Second} {
		d := retryDelay(failures, time.Second)
		require.LessOrEqual(t, d, longest)
		require.GreaterOrEqual(t, d, longest/2)
	}
}

// Guards against a small fleet that learns of new versions a second late after an
// outage, and against a large one that probes the store hundreds of times a second.
func TestRetryDelayFollowsTheNumberOfEntries(t *testing.T) {
	const limit = 1500 * time.Millisecond
	require.Equal(t, firstRetryDelay, maxRetryDelay(0, limit))
	require.Equal(t, firstRetryDelay, maxRetryDelay(5, limit))
	require.Equal(t, 600*time.Millisecond, maxRetryDelay(20, limit))
	require.Equal(t, limit, maxRetryDelay(53, limit))
	require.Equal(t, time.Millisecond, maxRetryDelay(53, time.Millisecond))
}

// Guards against missing changes after the store has dropped its change history:
// the watcher must read the whole table again.
func TestFullReadAfterHistoryIsGone(t *testing.T) {
	s := &fakeStore{config: 1, historyGone: make(chan struct{})}
	_, configs, _ := startWatcher(t, s)
	require.Equal(t, uint64(1), <-configs)
	<-s.longPolls
	s.locked(func() { s.config = 5 })
	s.historyGone <- struct{}{}
	require.Equal(t, uint64(5), <-configs)
	s.locked(func() { require.Equal(t, []uint64{0, 1, 0}, s.sinceRevisions[:3]) })
}

// Guards rule VERSION: a process that starts after a newer version became desired
// must still enforce the staleness limit of the previous one.
func TestPreviousVersionLimitSurvivesRestart(t *testing.T) {
	s := &fakeStore{config: 1, modelVersions: map[string]int64{"m": 3}, ages: map[int64]time.Duration{2: time.Hour, 3: 0}}
	_, _, states := startWatcher(t, s)
	for st := range states {
		if f := st.Floors["m"]; len(f) == 2 {
			require.Equal(t, int64(2), awdirectory.FloorAt(f, time.Now()))
			return
		}
	}
}

// Guards rule VERSION: the limit of a version that was named while no entry ran must
// hold as soon as the entries must keep to limits, not only MaxStaleness after their
// start. One that an entry has recorded keeps its recorded age.
func TestVersionNamedWhileNobodyRan(t *testing.T) {
	const stable = 3 * time.Second // startWatcher sets MaxStaleness to an hour
	for recorded, ages := range map[bool]map[int64]time.Duration{false: nil, true: {2: time.Minute}} {
		s := &fakeStore{config: 1, modelVersions: map[string]int64{"m": 2}, ages: ages}
		_, _, states := startWatcher(t, s)
		for st := range states {
			f := st.Floors["m"]
			if len(f) == 0 || len(st.Entries) < 2 {
				continue
			}
			atOnce := awdirectory.FloorAt(f, time.Now()) == 2
			require.False(t, atOnce, "the entry has just started")
			soon := awdirectory.BeginFloorAt(f, time.Now().Add(stable)) == 2
			if soon != recorded {
				break // before the recorded age is known, it is not used
			}
		}
	}
}

// Guards rule VERSION: a staleness limit must not start anew when all processes
// restart; it must count from when the version was first seen.
func TestFirstSeenTimeSurvivesRestart(t *testing.T) {
	s := &fakeStore{config: 1, modelVersions: map[string]int64{"m": 2}, ages: map[int64]time.Duration{2: time.Hour}}
	_, _, states := startWatcher(t, s)
	for st := range states {
		if f := st.Floors["m"]; len(f) > 0 && awdirectory.FloorAt(f, time.Now()) == 2 && len(st.Entries) == 2 {
			return
		}
	}
}
