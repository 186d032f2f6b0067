package awloader

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
	"arbutuswind/io/awwatch"
)

// versionsTTL is how long a loader relies on the entries to tell it the named
// versions. They do so every second, and a datagram may be lost.
const versionsTTL = 3 * time.Second

// relayedVersions is a [awwatch.Source] that takes the named versions from the
// entries that subscribe to load reports, and reads them from the store only if
// no entry has sent them for versionsTTL. A fleet has many more loaders than
// entries, and each read that the store holds open counts as a call.
type relayedVersions struct {
	awwatch.Source
	clock awclock.Clock

	mu       sync.Mutex
	relayed  time.Time        // when an entry last sent the versions
	versions map[string]int64 // newest versions from any entry, by model
	changed  chan struct{}    // closed and replaced when versions changes

	returned map[string]int64 // versions last returned; used by Operator only, which is not called concurrently
}

func newRelayedVersions(source awwatch.Source, clock awclock.Clock) *relayedVersions {
	return &relayedVersions{Source: source, clock: clock, versions: map[string]int64{}, changed: make(chan struct{})}
}

// relay records the versions that an entry has sent. An entry may lag behind
// another one, so it only raises versions.
func (r *relayedVersions) relay(versions map[string]int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relayed = r.clock.Now()
	for model, version := range versions {
		if version > r.versions[model] {
			r.versions[model] = version
			close(r.changed)
			r.changed = make(chan struct{})
		}
	}
}

// Operator implements [awwatch.Source]. It returns the revision since unchanged
// while the entries send the versions, so that a later read of the store returns
// all that has changed meanwhile.
func (r *relayedVersions) Operator(ctx context.Context, since uint64, wait time.Duration) (awwatch.OperatorRows, error) {
	if since == 0 {
		return r.Source.Operator(ctx, since, wait)
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		r.mu.Lock()
		age := r.clock.Now().Sub(r.relayed)
		versions, changed := maps.Clone(r.versions), r.changed
		r.mu.Unlock()
		switch {
		case age >= versionsTTL:
			return r.Source.Operator(ctx, since, wait)
		case !maps.Equal(versions, r.returned):
			r.returned = versions
			return awwatch.OperatorRows{Revision: since, DesiredVersions: versions}, nil
		}
		stale := time.NewTimer(versionsTTL - age)
		select {
		case <-changed:
		case <-stale.C:
		case <-end.C:
			stale.Stop()
			return awwatch.OperatorRows{Revision: since, DesiredVersions: versions}, nil
		case <-ctx.Done():
			stale.Stop()
			return awwatch.OperatorRows{}, ctx.Err()
		}
		stale.Stop()
	}
}

// serverList is the list of backend servers as last read from the store. After
// the first read only changes are read: the whole list, read by every loader
// during a transfer, would fill the links between regions.
type serverList struct {
	mu       sync.Mutex
	table    *awdirectory.Table
	revision uint64
	readAt   time.Time
}

// read returns the list as of at most maxAge ago. It reads the changes from the
// store if the last read is longer ago.
func (s *serverList) read(ctx context.Context, source awwatch.Source, now time.Time, maxAge time.Duration) ([]awdirectory.Server, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revision > 0 && now.Sub(s.readAt) < maxAge {
		return s.table.Servers(), nil
	}
	rows, err := source.Servers(ctx, s.revision)
	if errors.Is(err, awwatch.ErrHistoryGone) {
		s.revision = 0
		rows, err = source.Servers(ctx, 0)
	}
	if err != nil {
		return nil, err
	}
	if s.revision == 0 {
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
