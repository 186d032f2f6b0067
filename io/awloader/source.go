package awloader

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"reflect"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
	"arbutuswind/io/awload"
	"arbutuswind/io/awwatch"
)

const (
	// relayTTL is how long a loader relies on what an entry has sent. Entries send
	// it every second, and a datagram may be lost.
	relayTTL = 3 * time.Second
	// firstRelayWait is how long a loader waits for the first datagram. Entries
	// send it as soon as they have read the configuration and the engine is listed.
	firstRelayWait = 4 * time.Second
	// storeRetryDelay is the mean delay after a failed read of the store. There are
	// many loaders, and each call counts at the store.
	storeRetryDelay = 1500 * time.Millisecond
	// relayedRevision makes a later read of changes from the store fail, so that
	// the table is read in full.
	relayedRevision = 1
)

// relayedSource is a [awwatch.Source] that takes the configuration of the service
// and the named versions from the entries that subscribe to load reports. It
// reads them from the store only if no entry has sent them for relayTTL.
//
// A fleet has many more loaders than entries. Each read that the store holds open
// counts as a call, and a large configuration that all loaders of a region read
// after a power failure keeps the region's link busy for many seconds.
type relayedSource struct {
	awwatch.Source
	clock      awclock.Clock
	logger     log.Logger
	service    string
	firstWait  time.Duration // see firstRelayWait
	retryDelay time.Duration // see storeRetryDelay

	mu        sync.Mutex
	relayedAt time.Time     // when an entry last sent a fleet
	fleet     awload.Fleet  // with the newest versions from any entry
	changed   chan struct{} // closed and replaced when fleet changes

	// The following are used by Operator only, which is not called concurrently.
	returned  *awload.Fleet // last returned
	readStore bool          // the last call read the store
}

func newRelayedSource(source awwatch.Source, clock awclock.Clock, logger log.Logger, service string) *relayedSource {
	return &relayedSource{
		Source: source, clock: clock, logger: logger, service: service, firstWait: firstRelayWait, retryDelay: storeRetryDelay, changed: make(chan struct{}),
	}
}

// relay records what an entry has sent. An entry may lag behind another one, so it
// only raises versions.
func (r *relayedSource) relay(f awload.Fleet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relayedAt = r.clock.Now()
	versions := maps.Clone(r.fleet.Versions)
	for model, version := range f.Versions {
		if version > versions[model] {
			if versions == nil {
				versions = map[string]int64{}
			}
			versions[model] = version
		}
	}
	f.Versions = versions
	if !reflect.DeepEqual(f, r.fleet) {
		r.fleet = f
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// Operator implements [awwatch.Source]. While the entries send the fleet, it
// returns a revision from which a later read of the store returns everything.
func (r *relayedSource) Operator(ctx context.Context, since awdirectory.Position, wait time.Duration) (awwatch.OperatorRows, error) {
	if since.IsZero() && r.returned == nil {
		r.awaitFirst(ctx)
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		r.mu.Lock()
		age, fleet, changed := r.clock.Now().Sub(r.relayedAt), r.fleet, r.changed
		r.mu.Unlock()
		if age >= relayTTL {
			r.logSource(true)
			rows, err := r.Source.Operator(ctx, since, wait)
			if err != nil && !errors.Is(err, awwatch.ErrHistoryGone) && r.awaitChange(ctx, changed) {
				continue // an entry was back in touch before the store was read again
			}
			return rows, err
		}
		r.logSource(false)
		if since.IsZero() || r.returned == nil || !reflect.DeepEqual(fleet, *r.returned) {
			r.returned = &fleet
			return r.rows(fleet), nil
		}
		stale := time.NewTimer(relayTTL - age)
		select {
		case <-changed:
		case <-stale.C:
		case <-end.C:
			stale.Stop()
			return awwatch.OperatorRows{Revision: awdirectory.Position{Version: relayedRevision}}, nil
		case <-ctx.Done():
			stale.Stop()
			return awwatch.OperatorRows{}, ctx.Err()
		}
		stale.Stop()
	}
}

// awaitChange waits for an entry to send something new, up to a random time
// around storeRetryDelay. It reports whether one has done so.
func (r *relayedSource) awaitChange(ctx context.Context, changed <-chan struct{}) bool {
	return awwatch.WaitFor(ctx, changed, r.retryDelay/2+time.Duration(rand.Int64N(int64(r.retryDelay)+1)))
}

// logSource logs where the configuration and the versions come from, if that has
// changed.
func (r *relayedSource) logSource(store bool) {
	if store == r.readStore {
		return
	}
	r.readStore = store
	message := "an entry sends the configuration again"
	if store {
		message = "no entry sends the configuration; reading the store"
	}
	_ = level.Info(r.logger).Log("Message", message) // a failure to log must not stop the loader
}

// awaitFirst waits up to firstWait for the first datagram of an entry.
func (r *relayedSource) awaitFirst(ctx context.Context) {
	r.mu.Lock()
	changed, wait := r.changed, r.relayedAt.IsZero()
	r.mu.Unlock()
	if wait {
		awwatch.WaitFor(ctx, changed, r.firstWait)
	}
}

// rows returns a fleet as rows of operators.
func (r *relayedSource) rows(f awload.Fleet) awwatch.OperatorRows {
	c := &awdirectory.Config{Services: []awdirectory.Service{
		{Name: r.service, Engine: true, Model: awdirectory.Model{Name: f.Model, Chunks: f.Chunks, ChunkBytes: f.ChunkBytes}},
	}}
	if f.Origin != "" {
		c.Services = append(c.Services, awdirectory.Service{Origin: awdirectory.Origin{Address: f.Origin, Domain: f.OriginDomain}})
	}
	return awwatch.OperatorRows{Revision: awdirectory.Position{Version: relayedRevision}, Config: c.Index(), DesiredVersions: f.Versions}
}

// serverList is the list of backend servers as last read from the store. After
// the first read only changes are read: the whole list, read by every loader
// during a transfer, would fill the links between regions.
type serverList struct {
	mu       sync.Mutex
	table    *awdirectory.Table
	revision awdirectory.Position
	readAt   time.Time
}

// minWait is the shortest wait for a change that the store accepts.
const minWait = time.Millisecond

// read returns the list as of at most maxAge ago. It reads the changes from the
// store if the last read is longer ago.
func (s *serverList) read(ctx context.Context, source awwatch.Source, now time.Time, maxAge time.Duration) ([]awdirectory.Server, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.revision.IsZero() && now.Sub(s.readAt) < maxAge {
		return s.table.Servers(), nil
	}
	rows, err := source.Servers(ctx, s.revision, minWait)
	if errors.Is(err, awwatch.ErrHistoryGone) {
		s.revision = awdirectory.Position{}
		rows, err = source.Servers(ctx, s.revision, minWait)
	}
	if err != nil {
		return nil, err
	}
	if s.revision.IsZero() {
		s.table.Replace(rows.Put, now)
	} else {
		for _, server := range rows.Put {
			s.table.Put(server)
		}
		for _, id := range rows.Removed {
			s.table.Remove(id, now)
		}
	}
	for _, id := range rows.Unreadable {
		s.table.Remove(id, now)
	}
	s.revision, s.readAt = rows.Revision, now
	return s.table.Servers(), nil
}
