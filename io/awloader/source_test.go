package awloader

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
	"arbutuswind/io/awload"
	"arbutuswind/io/awwatch"
)

// countingSource is an [awwatch.Source] that counts its calls.
type countingSource struct {
	fakeSource
	operatorReads int
	down          chan struct{} // if set, reads of the operators' rows fail and send to it
	serverReads   []uint64      // since arguments
	gone          bool          // the next read of changes fails
	changes       awwatch.ServerRows
}

func (s *countingSource) Operator(_ context.Context, since awdirectory.Position, _ time.Duration) (awwatch.OperatorRows, error) {
	s.operatorReads++
	if s.down != nil {
		s.down <- struct{}{}
		return awwatch.OperatorRows{}, errDown
	}
	return awwatch.OperatorRows{Revision: awdirectory.Position{Version: since.Version + 1}}, nil
}

func (s *countingSource) Servers(_ context.Context, since awdirectory.Position, _ time.Duration) (awwatch.ServerRows, error) {
	s.serverReads = append(s.serverReads, since.Version)
	if since.IsZero() {
		return awwatch.ServerRows{Revision: awdirectory.Position{Version: 7}, Put: []awdirectory.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}}, nil
	}
	if s.gone {
		s.gone = false
		return awwatch.ServerRows{}, awwatch.ErrHistoryGone
	}
	return s.changes, nil
}

// Guards against loaders that each read the configuration and hold a read of the
// store open: while entries send what is needed, the store is not read, and a
// version that arrives between two calls is not missed.
func TestEntriesReplaceReadsOfTheStore(t *testing.T) {
	ctx := context.Background()
	clock := awclock.NewFake(time.Unix(1000, 0))
	store := &countingSource{}
	source := newRelayedSource(store, clock, log.NewNopLogger(), "s")
	source.firstWait = 0
	rows, err := source.Operator(ctx, awdirectory.Position{}, time.Hour)
	require.NoError(t, err)
	require.Equal(t, uint64(1), rows.Revision.Version, "no entry has sent anything")
	require.Equal(t, 1, store.operatorReads)

	fleet := awload.Fleet{Model: "m", Chunks: 96, ChunkBytes: 10, Origin: "o", OriginDomain: "d", Versions: map[string]int64{"m": 2}}
	source.firstWait = time.Hour
	source.relay(fleet)
	rows, err = source.Operator(ctx, awdirectory.Position{}, time.Hour)
	require.NoError(t, err)
	require.Equal(t, awdirectory.Model{Name: "m", Chunks: 96, ChunkBytes: 10}, rows.Config.Service("s").Model)
	require.Equal(t, awdirectory.Origin{Address: "o", Domain: "d"}, rows.Config.Services[1].Origin)
	require.Equal(t, map[string]int64{"m": 2}, rows.DesiredVersions)

	newer := fleet
	newer.Versions = map[string]int64{"m": 3}
	source.relay(newer)
	source.relay(fleet) // from an entry that lags behind
	rows, err = source.Operator(ctx, rows.Revision, time.Hour)
	require.NoError(t, err)
	require.Equal(t, map[string]int64{"m": 3}, rows.DesiredVersions)

	rows, err = source.Operator(ctx, rows.Revision, time.Millisecond)
	require.NoError(t, err)
	require.Nil(t, rows.Config, "nothing has changed")
	require.Equal(t, 1, store.operatorReads)

	clock.Advance(relayTTL)
	_, err = source.Operator(ctx, rows.Revision, time.Hour)
	require.NoError(t, err)
	require.Equal(t, 2, store.operatorReads, "the entries are silent")
}

// Guards against loaders that learn of a version up to two seconds after an outage
// of the store, because they wait before they read the store again while an entry
// is back in touch.
func TestEntryEndsTheWaitForTheStore(t *testing.T) {
	store := &countingSource{down: make(chan struct{})}
	source := newRelayedSource(store, awclock.NewFake(time.Unix(1000, 0)), log.NewNopLogger(), "s")
	source.firstWait, source.retryDelay = 0, time.Hour
	rows := make(chan awwatch.OperatorRows)
	go func() {
		got, err := source.Operator(context.Background(), awdirectory.Position{Version: 3}, time.Hour)
		require.NoError(t, err)
		rows <- got
	}()
	<-store.down
	source.relay(awload.Fleet{Model: "m", Versions: map[string]int64{"m": 3}})
	require.Equal(t, map[string]int64{"m": 3}, (<-rows).DesiredVersions)
}

// Guards against a saturated link between regions: every loader read the whole
// list of backend servers each second of a transfer.
func TestServerListReadsChanges(t *testing.T) {
	store := &countingSource{changes: awwatch.ServerRows{
		Revision: awdirectory.Position{Version: 9}, Put: []awdirectory.Server{{ID: "d"}}, Removed: []string{"a"}, Unreadable: []string{"b"},
	}}
	list := serverList{table: awdirectory.NewTable()}
	now := time.Unix(1000, 0)
	ids := func() (out []string) {
		servers, err := list.read(context.Background(), store, now, time.Second)
		require.NoError(t, err)
		for _, s := range servers {
			out = append(out, s.ID)
		}
		return out
	}
	require.Equal(t, []string{"a", "b", "c"}, ids())
	now = now.Add(time.Second / 2)
	require.Equal(t, []string{"a", "b", "c"}, ids(), "the last read is recent enough")
	now = now.Add(time.Second / 2)
	require.Equal(t, []string{"c", "d"}, ids())
	now = now.Add(time.Second)
	store.gone = true
	require.Equal(t, []string{"a", "b", "c"}, ids())
	require.Equal(t, []uint64{0, 7, 9, 0}, store.serverReads)
}

// Guards against loads of a version that are spread beyond the limit of the
// weights that the engines have, because an earlier version was skipped.
func TestWeightsAreUsableUntilTheFirstLaterVersion(t *testing.T) {
	clock := awclock.NewFake(time.Unix(1000, 0))
	named := func(version int64, ago time.Duration) target {
		return target{version: version, desiredSince: clock.Now().Add(-ago)}
	}
	l := &Loader{
		cfg:     Config{Clock: clock, MaxStaleness: 10 * time.Second},
		desired: []target{named(3, time.Second), named(2, 5*time.Second)},
	}
	require.Equal(t, 5*time.Second, l.usableUntil(1).Sub(clock.Now()))
	require.Equal(t, 9*time.Second, l.usableUntil(2).Sub(clock.Now()))
}
