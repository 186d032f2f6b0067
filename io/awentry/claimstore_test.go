package awentry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awledger"
	"arbutuswind/io/awsettings"
	"arbutuswind/io/awstore"
)

// memoryTable is an in-memory table service that can lose replies and fail
// transactions.
type memoryTable struct {
	mu          sync.Mutex
	rows        map[string]awstore.Row
	lostReplies int           // number of transactions whose replies are lost
	failedTxns  int           // number of transactions that are not run
	hold        chan struct{} // transactions wait until it is closed; may be nil
	commits     int
	conflict    int
}

var errReplyLost = errors.New("reply lost")

func (m *memoryTable) Get(_ context.Context, key string, _ uint64) (awstore.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.rows[key]
	if !ok {
		return row, awstore.ErrNotFound
	}
	return row, nil
}

func (m *memoryTable) Scan(_ context.Context, from, to string, limit int) ([]awstore.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []awstore.Row
	for key, row := range m.rows {
		if key >= from && key < to && len(rows) < limit {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (m *memoryTable) Commit(_ context.Context, txn awstore.Txn) error {
	if m.hold != nil {
		<-m.hold
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failedTxns > 0 {
		m.failedTxns--
		return errReplyLost
	}
	m.commits++
	for _, c := range txn.Conditions {
		if m.rows[c.Key].Version != c.Version {
			m.conflict++
			return awstore.ErrConflict
		}
	}
	for _, p := range txn.Puts {
		m.rows[p.Key] = awstore.Row{Key: p.Key, Version: m.rows[p.Key].Version + 1, Value: p.Value}
	}
	for _, key := range txn.Deletes {
		delete(m.rows, key)
	}
	if m.lostReplies > 0 {
		m.lostReplies--
		return errReplyLost
	}
	return nil
}

func newClaim(seq uint64) awledger.Claim {
	return awledger.Claim{}.NextAttempt(awledger.Claim{Attempt: awledger.AttemptID{Entry: "e", Incarnation: 1, Sequence: seq}})
}

// startClaims returns claims over an empty table with the write loop running.
func startClaims(t *testing.T, group int) (*claimStore, *memoryTable) {
	table := &memoryTable{rows: map[string]awstore.Row{}}
	cfg := awsettings.DefaultEntry().Claims
	cfg.WritesPerSecond, cfg.MaxGroup = 1e6, group
	c := newClaimStore(table, cfg)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.writeLoop(ctx)
	return c, table
}

// Guards against a conflict that fails the other claims of its transaction, and
// against two claims of one key that both count as written.
func TestGroupKeepsWritesApart(t *testing.T) {
	c, table := startClaims(t, 32)
	table.hold = make(chan struct{})
	other, err := json.Marshal(newClaim(99))
	require.NoError(t, err)
	table.rows["taken"] = awstore.Row{Key: "taken", Version: 1, Value: other}
	keys := []string{"first", "taken", "same", "same", "same", "a", "b", "c"}
	states := make([]awledger.WriteState, len(keys))
	var wg sync.WaitGroup
	for i, key := range keys {
		wg.Go(func() { _, _, states[i] = c.write(context.Background(), key, 0, newClaim(uint64(i)+1)) })
	}
	close(table.hold)
	wg.Wait()
	written := map[string]int{}
	for i, key := range keys {
		require.NotEqual(t, awledger.NotWritten, states[i], key)
		if states[i] == awledger.Written {
			written[key]++
		}
	}
	require.Equal(t, map[string]int{"first": 1, "same": 1, "a": 1, "b": 1, "c": 1}, written)
}

// Guards against a lost reply that is treated as a failed or as a successful
// write without reading the row.
func TestLostReplyIsResolved(t *testing.T) {
	for _, group := range []int{1, 32} {
		t.Run(fmt.Sprintf("group %d", group), func(t *testing.T) {
			c, table := startClaims(t, group)
			table.lostReplies = 1
			_, version, state := c.write(context.Background(), "k", 0, newClaim(1))
			require.Equal(t, awledger.Written, state)
			require.Equal(t, 1, table.commits, "the write is not repeated")
			table.lostReplies = 1
			closed := newClaim(1).Finish(awledger.Result{Status: 200}, 10)
			_, version, state = c.write(context.Background(), "k", version, closed)
			require.Equal(t, awledger.Written, state)
			require.Equal(t, uint64(2), version)
			row, _, state := c.write(context.Background(), "k", 0, newClaim(2))
			require.Equal(t, awledger.Superseded, state)
			require.Equal(t, 200, row.Result.Status)
			table.failedTxns = maxWriteTries
			_, _, state = c.write(context.Background(), "other", 0, newClaim(3))
			require.Equal(t, awledger.NotWritten, state)
		})
	}
}

// Guards against a result that is lost because its first write failed, and
// against a slot that is not released.
func TestRecordIsRetried(t *testing.T) {
	c, table := startClaims(t, 32)
	_, version, _ := c.write(context.Background(), "k", 0, newClaim(1))
	table.failedTxns = maxWriteTries // the first round of writes fails
	done := make(chan struct{})
	c.record("k", version, newClaim(1).Finish(awledger.Result{Status: 200, Body: []byte("large")}, 4), func() { close(done) })
	<-done
	row, _, err := c.get(context.Background(), "k")
	require.NoError(t, err)
	require.Equal(t, awledger.Finished, row.State)
	require.True(t, row.Result.Dropped)
	require.Empty(t, row.Result.Body)
	require.Empty(t, c.recordSlots)
}

// Guards against a sweep that deletes rows that have not expired.
func TestSweepDeletesExpiredOnly(t *testing.T) {
	c, table := startClaims(t, 32)
	now := time.Now()
	for i, age := range []time.Duration{-time.Hour, 0, time.Hour} {
		claim := newClaim(uint64(i) + 1)
		claim.Expires = now.Add(age)
		_, _, state := c.write(context.Background(), awledger.RowKey("t", fmt.Sprint(i)), 0, claim)
		require.Equal(t, awledger.Written, state)
	}
	next, err := c.sweep(context.Background(), awledger.RowPrefix, now)
	require.NoError(t, err)
	require.Equal(t, awledger.RowPrefix, next)
	require.Len(t, table.rows, 2)
	require.NotContains(t, table.rows, "claim/t/0")
}

// Guards against entries that together exceed the store's write budget.
func TestClaimsShareTheBudget(t *testing.T) {
	cfg := awsettings.DefaultEntry().Claims
	c := newClaimStore(nil, cfg)
	for _, entries := range []int{0, 1, 3, 390} {
		c.setEntryCount(entries)
		require.InDelta(t, cfg.WritesPerSecond, float64(c.limiter.Limit())*float64(max(1, entries)), 1e-6)
	}
}
