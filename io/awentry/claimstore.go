package awentry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"arbutuswind/core/awledger"
	"arbutuswind/io/awsettings"
	"arbutuswind/io/awstore"
)

// claimTable is the part of the table service's API that claims use.
type claimTable interface {
	Get(ctx context.Context, key string, known uint64) (awstore.Row, error)
	Scan(ctx context.Context, from, to string, limit int) ([]awstore.Row, error)
	Commit(ctx context.Context, txn awstore.Txn) error
}

// claimStore reads and writes claim rows within the write budget. One goroutine
// groups waiting writes into transactions.
type claimStore struct {
	table       claimTable
	cfg         awsettings.Claims
	limiter     *rate.Limiter
	queue       chan *claimWrite
	recordSlots chan struct{} // one element for each row that record is writing
}

// claimWrite is one row that waits for a transaction.
type claimWrite struct {
	ctx     context.Context
	key     string
	version uint64
	value   []byte
	done    chan error // buffered
}

const (
	// maxPendingRecords limits the results that wait to be recorded. Multiplied by
	// Claims.MaxResultBytes it bounds their memory while the store is unavailable.
	maxPendingRecords = 256
	// maxGroupBytes limits the size of the rows in one transaction.
	maxGroupBytes = 1 << 20
	// maxWriteTries limits how often one call of write tries to commit.
	maxWriteTries = 3

	// claimBurst allows the claim and the result of one call without a delay,
	// even when many entries share the budget.
	claimBurst = 2

	minRecordBackoff = 100 * time.Millisecond
	maxRecordBackoff = 5 * time.Second
)

// errNotQueued is returned for a write that was not sent to the store.
var errNotQueued = errors.New("too many claims are waiting to be written")

func newClaimStore(table claimTable, cfg awsettings.Claims) *claimStore {
	return &claimStore{
		table: table, cfg: cfg, limiter: rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), claimBurst),
		queue: make(chan *claimWrite, cfg.MaxQueue), recordSlots: make(chan struct{}, maxPendingRecords),
	}
}

// setEntryCount sets the write limit of this entry to an equal share of the
// budget of all entries.
func (c *claimStore) setEntryCount(entries int) {
	c.limiter.SetLimit(rate.Limit(c.cfg.WritesPerSecond / float64(max(1, entries))))
}

// get returns the claim in a row and the row's version, or nil and 0 when there
// is no row.
func (c *claimStore) get(ctx context.Context, key string) (*awledger.Claim, uint64, error) {
	row, err := c.table.Get(ctx, key, 0)
	if errors.Is(err, awstore.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	claim := &awledger.Claim{}
	if err := json.Unmarshal(row.Value, claim); err != nil {
		return nil, 0, eris.Wrapf(err, "decode row %s", key)
	}
	return claim, row.Version, nil
}

// write replaces the row if it still has the version; 0 means that there must be
// no row. After a lost reply it reads the row again to find out whether it was
// written. With Superseded it returns the row that another process wrote.
// NotWritten includes the case that the result is unknown.
func (c *claimStore) write(ctx context.Context, key string, version uint64, claim awledger.Claim) (*awledger.Claim, uint64, awledger.WriteState) {
	value, err := json.Marshal(claim)
	if err != nil {
		return nil, 0, awledger.NotWritten
	}
	for range maxWriteTries {
		err := c.commit(ctx, &claimWrite{ctx: ctx, key: key, version: version, value: value, done: make(chan error, 1)})
		if err == nil {
			return &claim, version + 1, awledger.Written
		}
		if errors.Is(err, errNotQueued) {
			break
		}
		row, current, readErr := c.get(ctx, key)
		if readErr != nil {
			break
		}
		switch state := awledger.ResolveWrite(row, claim); {
		case state != awledger.NotWritten:
			return row, current, state
		case current == version:
		case row != nil && row.AttemptNo == claim.AttemptNo:
			version = current // the row still has the claim that this write replaces
		default:
			return row, current, awledger.Superseded
		}
	}
	return nil, 0, awledger.NotWritten
}

// record writes the final claim of a row in the background, with retries for up
// to RecordTime. It calls done, which may be nil, when the row is written or
// record gives up.
func (c *claimStore) record(key string, version uint64, final awledger.Claim, done func()) {
	if done == nil {
		done = func() {}
	}
	select {
	case c.recordSlots <- struct{}{}:
	default:
		done()
		return
	}
	go func() {
		defer func() { <-c.recordSlots; done() }()
		ctx, cancel := context.WithTimeout(context.Background(), c.cfg.RecordTime.Std())
		defer cancel()
		for backoff := minRecordBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxRecordBackoff) {
			if _, _, state := c.write(ctx, key, version, final); state != awledger.NotWritten {
				return
			}
			select {
			case <-ctx.Done():
			case <-time.After(backoff):
			}
		}
	}()
}

// commit queues the write and returns the error of its transaction.
// [awstore.ErrConflict] means that the row had another version.
func (c *claimStore) commit(ctx context.Context, w *claimWrite) error {
	if c.cfg.MaxGroup == 1 {
		return c.commitAll(ctx, []*claimWrite{w})
	}
	select {
	case c.queue <- w:
	default:
		return errNotQueued
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// writeLoop commits queued writes in groups until ctx ends.
func (c *claimStore) writeLoop(ctx context.Context) {
	var pending []*claimWrite
	for {
		var group []*claimWrite
		group, pending = c.nextGroup(ctx, pending)
		if len(group) == 0 {
			return
		}
		c.commitGroup(ctx, group)
	}
}

// nextGroup returns the next group and the writes deferred to the one after it. A
// group never has two writes of the same key: the conditions of both would hold,
// and both writers would assume that the row is theirs.
func (c *claimStore) nextGroup(ctx context.Context, pending []*claimWrite) (group, deferred []*claimWrite) {
	if len(pending) == 0 {
		select {
		case w := <-c.queue:
			pending = append(pending, w)
		case <-ctx.Done():
			return nil, nil
		}
	}
	for len(pending) < 2*c.cfg.MaxGroup {
		select {
		case w := <-c.queue:
			pending = append(pending, w)
			continue
		default:
		}
		break
	}
	keys, bytes := map[string]bool{}, 0
	for _, w := range pending {
		if len(group) == c.cfg.MaxGroup || keys[w.key] || (bytes > 0 && bytes+len(w.value) > maxGroupBytes) {
			deferred = append(deferred, w)
			continue
		}
		keys[w.key] = true
		bytes += len(w.value)
		group = append(group, w)
	}
	return group, deferred
}

// commitGroup commits the writes in one transaction. If a condition fails,
// nothing was written: writes whose rows have changed fail with a conflict, and
// the others are committed without them.
func (c *claimStore) commitGroup(ctx context.Context, group []*claimWrite) {
	for len(group) > 0 {
		ctx, cancel := context.WithTimeout(ctx, maxRecordBackoff)
		err := c.commitAll(ctx, group)
		cancel()
		if len(group) == 1 || !errors.Is(err, awstore.ErrConflict) {
			reportResult(group, err)
			return
		}
		conflicting, rest := c.splitConflicts(group)
		if len(conflicting) == 0 {
			// The conflict has gone since, or a row cannot be read. Commit the
			// first half separately and retry the rest.
			half := len(rest) / 2
			c.commitGroup(ctx, rest[:half])
			group = rest[half:]
			continue
		}
		reportResult(conflicting, awstore.ErrConflict)
		group = rest
	}
}

func reportResult(group []*claimWrite, err error) {
	for _, w := range group {
		w.done <- err
	}
}

// splitConflicts reads the rows of a group and separates the writes whose condition
// does not hold. Reads are cheaper than further transactions.
func (c *claimStore) splitConflicts(group []*claimWrite) (conflicting, rest []*claimWrite) {
	conflicts := make([]bool, len(group))
	done := make(chan struct{}, len(group))
	for i, w := range group {
		go func() {
			_, version, err := c.get(w.ctx, w.key)
			conflicts[i] = err == nil && version != w.version
			done <- struct{}{}
		}()
	}
	for range group {
		<-done
	}
	for i, w := range group {
		if conflicts[i] {
			conflicting = append(conflicting, w)
		} else {
			rest = append(rest, w)
		}
	}
	return conflicting, rest
}

func (c *claimStore) commitAll(ctx context.Context, group []*claimWrite) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return errNotQueued
	}
	var txn awstore.Txn
	for _, w := range group {
		txn.Conditions = append(txn.Conditions, awstore.Condition{Key: w.key, Version: w.version})
		txn.Puts = append(txn.Puts, awstore.Put{Key: w.key, Value: w.value})
	}
	return c.table.Commit(ctx, txn)
}

// sweep scans the next SweepRows rows starting at a key, deletes the expired
// claims among them and returns the key for the next scan.
func (c *claimStore) sweep(ctx context.Context, from string, now time.Time) (string, error) {
	rows, err := c.table.Scan(ctx, from, awledger.RowEnd, c.cfg.SweepRows)
	if err != nil {
		return from, err
	}
	next := awledger.RowPrefix
	if len(rows) == c.cfg.SweepRows {
		next = rows[len(rows)-1].Key + "\x00"
	}
	var txn awstore.Txn
	for _, row := range rows {
		var claim awledger.Claim
		if err := json.Unmarshal(row.Value, &claim); err != nil || !claim.Expired(now) {
			continue
		}
		txn.Conditions = append(txn.Conditions, awstore.Condition{Key: row.Key, Version: row.Version})
		txn.Deletes = append(txn.Deletes, row.Key)
	}
	if len(txn.Deletes) == 0 {
		return next, nil
	}
	if err := c.limiter.Wait(ctx); err != nil {
		return from, err
	}
	return next, c.table.Commit(ctx, txn)
}
