// Package awwatch follows the platform's store and keeps what a process knows
// of the configuration and of the backend servers up to date.
//
// A whole read is followed by reads of what has changed since; when the store
// no longer has that history, the whole is read again. While the store does
// not answer, the last state stays in force.
package awwatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
)

// ErrHistoryGone is returned by a [Source] that no longer has the changes
// since the given revision.
var ErrHistoryGone = errors.New("history is gone")

// OperatorRows is what operators have written.
type OperatorRows struct {
	Revision        uint64
	Config          *awdirectory.Config // nil if it did not change
	DomainsOut      map[string]bool     // failure domains that were taken out, or are back
	DesiredVersions map[string]int64    // versions of models
	Unreadable      []string            // rows that could not be read
}

// ServerRows is what backend servers have written.
type ServerRows struct {
	Revision   uint64
	Put        []awdirectory.Server
	Removed    []string
	Unreadable []string // rows that could not be read; they name no backend server
}

// Source reads the store. A Since of 0 reads the whole.
type Source interface {
	Operator(ctx context.Context, since uint64, wait time.Duration) (OperatorRows, error)
	Servers(ctx context.Context, since uint64) (ServerRows, error)
	// Entries returns the names of the entries that have registered.
	Entries(ctx context.Context) ([]string, error)
	// VersionAges returns how long ago a version of a model, and each one before
	// it, was first seen by any entry. If this is the first to see the version,
	// it notes that this was some time ago.
	VersionAges(ctx context.Context, model string, version int64, seen time.Duration) (map[int64]time.Duration, error)
}

// State is what is known.
type State struct {
	Servers    []awdirectory.Server
	DomainsOut map[string]bool
	Floors     map[string][]awdirectory.Floor // oldest versions that may begin a request
	Entries    int
}

// Config configures a [Watcher].
type Config struct {
	Clock        awclock.Clock
	Logger       log.Logger
	Source       Source
	MaxStaleness time.Duration                  // until no request begins on older weights
	OnConfig     func(*awdirectory.Config) bool // false if it was not put in force
	OnState      func(State)
	// ServersInterval is the time between two reads of the list of backend
	// servers; 0 turns them off.
	ServersInterval time.Duration
	// EntriesInterval is the time between two counts of the entries; 0 turns them
	// off.
	EntriesInterval time.Duration
	// RecordFirstSeen makes this process note in the store when a version was first
	// seen, so that its bound outlives a restart of all processes.
	RecordFirstSeen bool
	// LongPollTimeout is how long the store holds a read of the operators' rows open
	// until something changes.
	LongPollTimeout time.Duration
}

const (
	// storeTimeout is added to the time for which the store holds a read open;
	// a store that takes longer is away.
	storeTimeout = 1500 * time.Millisecond
	// maxRetryDelay is the longest pause after a failed read. The state of the
	// fleet must be known within two seconds after the store is back.
	maxRetryDelay = 400 * time.Millisecond
)

// Watcher follows the store.
type Watcher struct {
	cfg        Config
	updates    chan func() // changes of what follows, one at a time
	table      *awdirectory.Table
	versions   awdirectory.VersionTracker
	domainsOut map[string]bool
	entries    int
	loaded     struct{ operator, servers bool } // a whole read has succeeded

	mu        sync.Mutex
	abortRead context.CancelCauseFunc // of the read of the operators' rows that runs
}

// New returns a watcher that knows nothing.
func New(cfg Config) *Watcher {
	return &Watcher{
		cfg: cfg, updates: make(chan func()), table: awdirectory.NewTable(),
		versions: awdirectory.VersionTracker{MaxStaleness: cfg.MaxStaleness}, domainsOut: map[string]bool{}, entries: 1,
	}
}

// Run follows the store until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	go w.poll(ctx, "operator", 0, w.readOperator)
	if w.cfg.ServersInterval > 0 {
		go w.poll(ctx, "servers", w.cfg.ServersInterval, w.readServers)
	}
	if w.cfg.EntriesInterval > 0 {
		go w.poll(ctx, "entries", w.cfg.EntriesInterval, w.readEntries)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case change := <-w.updates:
			change()
		}
	}
}

// readFunc reads what has changed since a revision and returns the revision to
// go on from. Hurry asks for an answer at once, to see whether the store is
// back.
type readFunc func(ctx context.Context, since uint64, hurry bool) (uint64, error)

// poll reads again and again.
func (w *Watcher) poll(ctx context.Context, tableName string, interval time.Duration, read readFunc) {
	since, failing := uint64(0), false
	for ctx.Err() == nil {
		next, err := read(ctx, since, failing)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			w.log("reading the whole table again", "Table", tableName, "Since", since)
			since = 0
			continue
		case err != nil:
			if !failing {
				failing = true
				w.log("store lost", "Table", tableName, "Error", err.Error())
			}
			if !errors.Is(err, errReadAborted) {
				w.abortOperatorRead()
				Sleep(ctx, maxRetryDelay/2+time.Duration(rand.Int64N(int64(maxRetryDelay/2))))
			}
			continue
		}
		if failing {
			failing = false
			w.log("store regained", "Table", tableName, "Revision", next)
		}
		since = next
		Sleep(ctx, interval)
	}
}

var errReadAborted = errors.New("read given up because another read failed")

// abortOperatorRead ends the read of the operators' rows that runs. The store
// holds it open for seconds, and it would not notice that the store went away
// and came back in the meantime.
func (w *Watcher) abortOperatorRead() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.abortRead != nil {
		w.abortRead(errReadAborted)
	}
}

// SetMaxStaleness changes the bound of versions that are named from now on.
// The watcher must be running.
func (w *Watcher) SetMaxStaleness(limit time.Duration) {
	w.updates <- func() { w.versions.MaxStaleness = limit }
}

func (w *Watcher) log(message string, kv ...any) {
	_ = level.Info(w.cfg.Logger).Log(append([]any{"Message", message}, kv...)...) // a lost log line must not stop the watcher
}

// update runs a change of the state.
func (w *Watcher) update(ctx context.Context, change func()) {
	select {
	case w.updates <- change:
	case <-ctx.Done():
	}
}

// Sleep waits for a time, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (w *Watcher) readOperator(ctx context.Context, since uint64, probe bool) (uint64, error) {
	wait := w.cfg.LongPollTimeout
	if probe {
		wait = time.Millisecond
	}
	call, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	call, abort := context.WithCancelCause(call)
	defer abort(nil)
	if !probe && since > 0 {
		w.setAbortRead(abort)
		defer w.setAbortRead(nil)
	}
	rows, err := w.cfg.Source.Operator(call, since, wait)
	if cause := context.Cause(call); err != nil && errors.Is(cause, errReadAborted) {
		return 0, cause
	}
	if err != nil {
		return 0, err
	}
	w.update(ctx, func() { w.applyOperator(ctx, rows, since == 0) })
	return rows.Revision, nil
}

func (w *Watcher) setAbortRead(f context.CancelCauseFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abortRead = f
}

func (w *Watcher) applyOperator(ctx context.Context, rows OperatorRows, full bool) {
	now := w.cfg.Clock.Now()
	if full {
		clear(w.domainsOut)
	}
	for domain, out := range rows.DomainsOut {
		w.log("failure domain changed", "Domain", domain, "Out", out, "Revision", rows.Revision)
		if out {
			w.domainsOut[domain] = true
		} else {
			delete(w.domainsOut, domain)
		}
	}
	for model, version := range rows.DesiredVersions {
		if w.versions.SetDesired(model, version, now) {
			w.log("version named", "Model", model, "Version", version, "Revision", rows.Revision)
			if w.cfg.RecordFirstSeen {
				go w.recordFirstSeen(ctx, model, version, now)
			}
		}
	}
	for _, key := range rows.Unreadable {
		w.log("row cannot be read", "Table", "operator", "Key", key)
	}
	if rows.Config != nil {
		ok := w.cfg.OnConfig(rows.Config)
		w.log("configuration read", "Version", rows.Config.Version, "InForce", ok, "Revision", rows.Revision)
	}
	w.loaded.operator = true
	w.publish()
}

// recordFirstSeen corrects the time at which a version was named by that of the
// entry that saw it first, and learns of the versions before it.
func (w *Watcher) recordFirstSeen(ctx context.Context, model string, version int64, seen time.Time) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		ages, err := w.cfg.Source.VersionAges(call, model, version, w.cfg.Clock.Now().Sub(seen))
		cancel()
		if err == nil {
			now := w.cfg.Clock.Now()
			w.update(ctx, func() {
				for v, age := range ages {
					if at := now.Add(-age); at.Before(seen) {
						w.log("version named earlier", "Model", model, "Version", v, "AgeMs", age.Milliseconds())
						w.versions.SetDesiredSince(model, v, at)
					}
				}
				w.publish()
			})
			return
		}
		Sleep(ctx, maxRetryDelay)
	}
}

func (w *Watcher) readServers(ctx context.Context, since uint64, _ bool) (uint64, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := w.cfg.Source.Servers(call, since)
	if err != nil {
		now := w.cfg.Clock.Now()
		w.update(ctx, func() { w.table.MarkStoreUnavailable(now) })
		return 0, err
	}
	w.update(ctx, func() { w.applyServers(rows, since == 0) })
	return rows.Revision, nil
}

func (w *Watcher) applyServers(rows ServerRows, full bool) {
	now := w.cfg.Clock.Now()
	w.table.MarkStoreAvailable(now)
	if full {
		w.table.Replace(rows.Put, now)
	} else {
		for _, s := range rows.Put {
			w.table.Put(s)
		}
		for _, id := range rows.Removed {
			w.log("backend server removed from the list", "Server", id, "Revision", rows.Revision)
			w.table.Remove(id, now)
		}
	}
	for _, id := range rows.Unreadable {
		w.log("row cannot be read", "Table", "servers", "Key", id)
		w.table.Remove(id, now)
	}
	w.table.Expire(now)
	w.loaded.servers = true
	w.publish()
}

func (w *Watcher) readEntries(ctx context.Context, _ uint64, _ bool) (uint64, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	names, err := w.cfg.Source.Entries(call)
	if err != nil {
		return 0, err
	}
	w.update(ctx, func() {
		if n := max(1, len(names)); n != w.entries {
			w.log("number of entries changed", "Entries", n)
			w.entries = n
		}
	})
	return 0, nil
}

// publish hands the state on once all tables have been read.
func (w *Watcher) publish() {
	if !w.loaded.operator || (w.cfg.ServersInterval > 0 && !w.loaded.servers) {
		return
	}
	s := State{
		Servers: w.table.Servers(), DomainsOut: map[string]bool{}, Floors: w.versions.Floors(), Entries: w.entries,
	}
	for domain := range w.domainsOut {
		s.DomainsOut[domain] = true
	}
	w.cfg.OnState(s)
}
