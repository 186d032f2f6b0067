// Package awwatch watches the platform's store and keeps a process up to date
// with the configuration and the list of backend servers.
//
// It reads each table once in full and then only the changes since the last
// read. If the store no longer has these changes, it reads the full table
// again. While the store is unavailable, the last state stays in force.
package awwatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
)

// State is what a [Watcher] knows of the store's contents.
type State struct {
	Servers    []awdirectory.Server
	DomainsOut map[string]bool                // failure domains that are out
	Floors     map[string][]awdirectory.Floor // by model: from when on no request may begin on an older version
	Entries    []awdirectory.Entry            // registered entries that count, sorted by name
}

// Config configures a [Watcher].
type Config struct {
	Clock        awclock.Clock
	Logger       log.Logger
	Source       Source
	MaxStaleness time.Duration // from when a version is desired until no request may begin on an older one
	// Stable is the time after the start of this process from which it must keep to
	// MaxStaleness also for versions that were desired before.
	Stable    time.Duration
	OnConfig  func(*awdirectory.Config) bool // returns whether the configuration was put in force
	OnState   func(State)                    // called after each read of the operators' or the backend servers' rows
	OnEntries func([]awdirectory.Entry)      // called with those that count after each read of the list of entries; may be nil
	// OnLost is called with the registrations of lost entries that this one is to
	// remove; may be nil.
	OnLost func([]awdirectory.Registration)
	// Self is the name of this entry, if it is one.
	Self string
	// ServersInterval is the time between reads of the list of backend servers.
	// The store holds such a read open for a third of it while nothing changes. If
	// it is 0, the list is not read.
	ServersInterval time.Duration
	// EntriesInterval is the time between reads of the list of entries. If it is
	// 0, the list is not read.
	EntriesInterval time.Duration
	// RecordFirstSeen makes the watcher record in the store when a version was
	// first seen, so that MaxStaleness counts from then even if all processes
	// restart.
	RecordFirstSeen bool
	// LongPollTimeout is how long the store holds a read of the operators' rows
	// open while nothing changes.
	LongPollTimeout time.Duration
	// EraCaution is the time after the store has come back from an older copy for which
	// rows may be older than what is known. Operators and backend servers write again
	// within seconds.
	EraCaution time.Duration
	// MaxRetryDelay is the longest delay between two reads while the store is
	// unavailable. If the list of entries is read and short, the delay is shorter.
	MaxRetryDelay time.Duration
}

// Tables of a [Source], as named in logs.
const (
	tableOperator = "operator"
	tableServers  = "servers"
	tableEntries  = "entries"
)

// storeTimeout limits each call of the store, in addition to the time for which
// the store holds a read open. It bounds a response that keeps arriving; a
// [Source] fails much sooner if the store is silent.
const storeTimeout = 8 * time.Second

// serversHoldDivisor makes the store hold a read of the list open for a third of
// the interval between reads. A store that is silent is noticed only after that.
const serversHoldDivisor = 3

// recordRetryDelay is the delay after a failed record of a version's time.
const recordRetryDelay = 400 * time.Millisecond

// Watcher watches the store. Use [New] to create one.
type Watcher struct {
	cfg        Config
	updates    chan func() // run by Run one at a time; they change the fields up to mu
	table      *awdirectory.Table
	versions   awdirectory.VersionTracker
	domainsOut map[string]bool
	entries    []awdirectory.Entry
	eraState
	loaded struct{ operator, servers, entries bool } // whether the table has been read in full
	outage outage

	entryCount atomic.Int32 // length of entries, for the polls
	tracker    entryTracker
	configs    configPace // used by readOperator only

	mu        sync.Mutex
	abortRead context.CancelCauseFunc // aborts the current long poll of the operators' rows; nil if there is none
}

// startupTime is the time within which entries that are started together have
// registered. The first read of the entries may miss some of them.
const startupTime = time.Second

// New returns a watcher with an empty state.
func New(cfg Config) *Watcher {
	return &Watcher{
		cfg: cfg, updates: make(chan func()), table: awdirectory.NewTable(),
		versions: awdirectory.VersionTracker{MaxStaleness: cfg.MaxStaleness}, domainsOut: map[string]bool{}, eraState: eraState{carriedOut: map[string]bool{}, named: map[string]namedVersion{}},
		outage: outage{maxWait: maxOutageWait}, tracker: entryTracker{tracker: awdirectory.EntryTracker{Self: cfg.Self}},
	}
}

// Run watches the store until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	go w.poll(ctx, tableOperator, 0, w.readOperator)
	if w.cfg.ServersInterval > 0 {
		go w.poll(ctx, tableServers, w.cfg.ServersInterval, w.readServers)
	}
	if w.cfg.EntriesInterval > 0 {
		go w.poll(ctx, tableEntries, w.cfg.EntriesInterval, w.readEntries)
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

// readFunc reads the changes since a revision and returns the revision that the
// next read should start from. With probe set it does not wait for changes, in
// order to find out whether the store is available again.
type readFunc func(ctx context.Context, since awdirectory.Position, probe bool) (awdirectory.Position, error)

// poll reads a table repeatedly. It logs when the store becomes unavailable and
// when it is available again.
func (w *Watcher) poll(ctx context.Context, table string, interval time.Duration, read readFunc) {
	since, failures, first := awdirectory.Position{}, 0, true
	for ctx.Err() == nil {
		w.outage.await(ctx, table)
		next, err := read(ctx, since, failures > 0)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			w.log("change history is no longer available; reading the whole table again", "Table", table, "Since", since.Version, "Era", since.Era)
			since = awdirectory.Position{}
			continue
		case err != nil:
			failures++
			if failures == 1 {
				w.log("store lost", "Table", table, "Error", err.Error())
			}
			if errors.Is(err, errReadAborted) {
				continue
			}
			// The number of entries alone does not show whether the store is available.
			if table != tableEntries && w.outage.begin(table) {
				w.beginOutage(ctx)
			}
			Sleep(ctx, delayAfter(err, failures, w.maxRetryDelay()))
			continue
		}
		w.outage.end(table)
		if failures > 0 {
			failures = 0
			w.log("store regained", "Table", table, "Revision", next.Version, "Era", next.Era)
		}
		since = next
		if first && table == tableEntries {
			Sleep(ctx, min(interval, startupTime))
		} else {
			Sleep(ctx, interval)
		}
		first = false
	}
}

// maxRetryDelay returns the longest delay after a failed read.
func (w *Watcher) maxRetryDelay() time.Duration {
	if w.cfg.EntriesInterval == 0 {
		return w.cfg.MaxRetryDelay // this process does not know how many others there are
	}
	return maxRetryDelay(int(w.entryCount.Load()), w.cfg.MaxRetryDelay)
}

// beginOutage aborts the long poll of the operators' rows and records the time
// from which registrations of backend servers may lapse.
func (w *Watcher) beginOutage(ctx context.Context) {
	w.abortOperatorRead()
	now := w.cfg.Clock.Now()
	w.update(ctx, func() { w.table.MarkStoreUnavailable(now) })
}

var errReadAborted = errors.New("read aborted because a read of another table failed")

// abortOperatorRead aborts the current long poll of the operators' rows. The
// store holds it open for seconds, and it would not notice if the store became
// unavailable and available again in the meantime.
func (w *Watcher) abortOperatorRead() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.abortRead != nil {
		w.abortRead(errReadAborted)
	}
}

// SetMaxStaleness sets the limit for versions that become desired from now on.
// It blocks until [Watcher.Run] is running.
func (w *Watcher) SetMaxStaleness(limit time.Duration) {
	w.updates <- func() { w.versions.MaxStaleness = limit }
}

func (w *Watcher) log(message string, kv ...any) {
	_ = level.Info(w.cfg.Logger).Log(append([]any{"Message", message}, kv...)...) // a failure to log must not stop the watcher
}

// update passes a change of the state to Run.
func (w *Watcher) update(ctx context.Context, change func()) {
	select {
	case w.updates <- change:
	case <-ctx.Done():
	}
}

// Sleep waits for d, or until ctx ends if that is sooner.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	WaitFor(ctx, nil, d)
}

// WaitFor waits until the event's channel is closed, up to limit, or until ctx
// ends if that is sooner. It reports whether the event has occurred.
func WaitFor(ctx context.Context, event <-chan struct{}, limit time.Duration) bool {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-event:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// Connected reports whether the last read of the store succeeded.
func (w *Watcher) Connected() bool { return !w.outage.active() }

func (w *Watcher) readOperator(ctx context.Context, since awdirectory.Position, probe bool) (awdirectory.Position, error) {
	wait := w.cfg.LongPollTimeout
	if probe {
		// The changes include every version of the configuration that was in force
		// during the outage. They can take longer to arrive than the newest is due.
		wait, since = time.Millisecond, awdirectory.Position{}
	}
	if w.configs.inSuccession {
		since = awdirectory.Position{}
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	callCtx, abort := context.WithCancelCause(callCtx)
	defer abort(nil)
	if !since.IsZero() {
		w.setAbortRead(abort)
		defer w.setAbortRead(nil)
	}
	rows, err := w.cfg.Source.Operator(callCtx, since, wait)
	if cause := context.Cause(callCtx); err != nil && errors.Is(cause, errReadAborted) {
		return awdirectory.Position{}, cause
	}
	if err != nil {
		return awdirectory.Position{}, err
	}
	w.update(ctx, func() { w.applyOperator(ctx, rows, since.IsZero()) })
	if w.configs.observe(rows.Config, w.cfg.Clock.Now()) {
		Sleep(ctx, configPause)
	}
	return rows.Revision, nil
}

const (
	// configPause is the delay after a read that brought a configuration. Further
	// ones are then read together.
	configPause = 400 * time.Millisecond
	// successionGap is the time between two configurations from which they no
	// longer count as written in quick succession.
	successionGap = time.Second
)

// configPace notices configurations that are written in quick succession. The
// changes of a table hold each of them in full, which a link between regions
// may not carry in time for all entries behind it. A full read holds only the
// newest.
type configPace struct {
	version      uint64
	readAt       time.Time // when version was read
	inSuccession bool
}

// observe records the configuration of a read, which is nil if it has not
// changed. It reports whether the configuration is new.
func (p *configPace) observe(c *awdirectory.Config, now time.Time) bool {
	if c == nil || c.Version == p.version {
		p.inSuccession = false
		return false
	}
	p.inSuccession = p.version != 0 && now.Sub(p.readAt) < successionGap
	p.version, p.readAt = c.Version, now
	return true
}

func (w *Watcher) setAbortRead(f context.CancelCauseFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abortRead = f
}

func (w *Watcher) applyOperator(ctx context.Context, rows OperatorRows, full bool) {
	now := w.cfg.Clock.Now()
	newEra := w.beginEra(&w.eras.operator, rows.Revision.Era, tableOperator)
	if newEra {
		w.carryOver(ctx, rows.DomainsOut)
	}
	if full {
		clear(w.domainsOut)
	}
	for domain, out := range rows.DomainsOut {
		delete(w.carriedOut, domain)
		w.log("failure domain changed", "Domain", domain, "Out", out, "Revision", rows.Revision.Version)
		if out {
			w.domainsOut[domain] = true
		} else {
			delete(w.domainsOut, domain)
		}
	}
	since, found := now, w.cfg.RecordFirstSeen && !w.loaded.operator
	if found {
		since = awdirectory.UnknownSince(now, w.versions.MaxStaleness, w.cfg.Stable)
	}
	if newEra {
		w.recordAgain(ctx)
	}
	for model, version := range rows.DesiredVersions {
		if w.versions.SetDesired(model, version, since) {
			w.log("version named", "Model", model, "Version", version, "Revision", rows.Revision.Version, "AgeMs", now.Sub(since).Milliseconds())
			if w.cfg.RecordFirstSeen {
				w.named[model] = namedVersion{version: version, since: since}
				go w.recordFirstSeen(ctx, model, version, since, found)
			}
		}
	}
	for _, key := range rows.Unreadable {
		w.log("row cannot be read", "Table", "operator", "Key", key)
	}
	if rows.Config != nil {
		ok := w.cfg.OnConfig(rows.Config)
		w.log("configuration read", "Version", rows.Config.Version, "InForce", ok, "Revision", rows.Revision.Version)
	}
	w.loaded.operator = true
	w.publish()
}

// recordFirstSeen records since when a version has been desired, unless another entry
// has done so. It replaces the time known here by the recorded one, if that is earlier
// or the version was found at the start, and also adds the recorded earlier versions.
func (w *Watcher) recordFirstSeen(ctx context.Context, model string, version int64, since time.Time, found bool) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		ages, err := w.cfg.Source.VersionAges(callCtx, model, version, w.cfg.Clock.Now().Sub(since))
		cancel()
		if err == nil {
			now := w.cfg.Clock.Now()
			w.update(ctx, func() {
				times := map[int64]time.Time{}
				for v, age := range ages {
					if at := now.Add(-age); found || at.Before(since) {
						w.log("age of version known", "Model", model, "Version", v, "AgeMs", age.Milliseconds())
						times[v] = at
					}
				}
				w.versions.SetDesiredSince(model, times, now)
				w.publish()
			})
			return
		}
		Sleep(ctx, recordRetryDelay)
	}
}

func (w *Watcher) readServers(ctx context.Context, since awdirectory.Position, probe bool) (awdirectory.Position, error) {
	wait := w.cfg.ServersInterval / serversHoldDivisor
	if probe {
		wait = time.Millisecond
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	rows, err := w.cfg.Source.Servers(callCtx, since, wait)
	if err != nil {
		return awdirectory.Position{}, err
	}
	w.update(ctx, func() { w.applyServers(ctx, rows, since.IsZero()) })
	return rows.Revision, nil
}

func (w *Watcher) applyServers(ctx context.Context, rows ServerRows, full bool) {
	now := w.cfg.Clock.Now()
	if w.beginEra(&w.eras.servers, rows.Revision.Era, tableServers) {
		w.table.Distrust(now, now.Add(w.cfg.EraCaution))
		go w.later(ctx, func() {
			if w.table.Expire(w.cfg.Clock.Now()) {
				w.publish()
			}
		})
	}
	w.table.MarkStoreAvailable(now)
	if full {
		w.table.Replace(rows.Put, now)
	} else {
		for _, s := range rows.Put {
			w.table.Put(s)
		}
		for _, id := range rows.Removed {
			w.log("backend server removed from the list", "Server", id, "Revision", rows.Revision.Version)
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

func (w *Watcher) readEntries(ctx context.Context, _ awdirectory.Position, _ bool) (awdirectory.Position, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list, err := w.cfg.Source.Entries(callCtx)
	if err != nil {
		return awdirectory.Position{}, err
	}
	entries, removable := w.tracker.observe(list, w.cfg.Clock.Now())
	if w.cfg.OnEntries != nil {
		w.cfg.OnEntries(entries)
	}
	if w.cfg.OnLost != nil && len(removable) > 0 && awdirectory.Removes(len(entries), rand.Float64()) {
		w.cfg.OnLost(removable)
	}
	w.update(ctx, func() {
		slices.SortFunc(entries, func(a, b awdirectory.Entry) int { return strings.Compare(a.Name, b.Name) })
		if w.loaded.entries && slices.Equal(entries, w.entries) {
			return
		}
		w.loaded.entries = true
		w.log("entries changed", "Entries", len(entries))
		w.entries = entries
		w.entryCount.Store(int32(len(entries)))
		w.publish()
	})
	return awdirectory.Position{}, nil
}

// publish passes the state to OnState once all watched tables have been read. An
// entry that does not know the others yet would take their shares of all limits.
func (w *Watcher) publish() {
	if !w.loaded.operator || (w.cfg.ServersInterval > 0 && !w.loaded.servers) || (w.cfg.EntriesInterval > 0 && !w.loaded.entries) {
		return
	}
	s := State{
		Servers: w.table.Servers(), DomainsOut: map[string]bool{}, Floors: w.versions.Floors(), Entries: w.entries,
	}
	for domain := range w.domainsOut {
		s.DomainsOut[domain] = true
	}
	for domain := range w.carriedOut {
		s.DomainsOut[domain] = true
	}
	w.cfg.OnState(s)
}
