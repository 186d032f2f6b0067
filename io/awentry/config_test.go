package awentry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awconfig"
	"arbutuswind/internal/awport"
	"arbutuswind/internal/awstandin"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
	"arbutuswind/io/awsettings"
	"arbutuswind/io/awstore"
)

const testTimeout = 2 * time.Minute // ends a test that hangs; no result depends on it

type testbed struct {
	t         *testing.T
	url       string
	authority *awstandin.Authority // nil for plain TCP
}

func newTestbed(t *testing.T) testbed {
	srv := httptest.NewServer(awstandin.NewPlatform(awstandin.PlatformConfig{}).Handler())
	t.Cleanup(srv.Close)
	return testbed{t: t, url: srv.URL}
}

func (b testbed) send(method, path string, v any) {
	data, err := json.Marshal(v)
	require.NoError(b.t, err)
	req, err := http.NewRequest(method, b.url+path, bytes.NewReader(data))
	require.NoError(b.t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(b.t, err)
	require.Equal(b.t, http.StatusOK, resp.StatusCode)
	require.NoError(b.t, resp.Body.Close())
}

func freeAddress(t *testing.T) string {
	addr, err := awport.FreeAddress()
	require.NoError(t, err)
	return addr
}

// entry returns an entry that is in the instance list but not running.
func (b testbed) entry(id, region, store string, clock awclock.Clock) *Entry {
	cfg := awsettings.DefaultEntry()
	cfg.Process = awsettings.Process{Instance: id, Domain: region, Region: region}
	cfg.Listen = awsettings.EntryListen{Callers: freeAddress(b.t), Operators: freeAddress(b.t), Inner: freeAddress(b.t)}
	cfg.Platform = awsettings.Platform{
		TableURL: store, ObjectURL: store, OriginURL: store, InstanceListURL: b.url + "/instances",
		Timeout: awsettings.Duration(time.Second),
	}
	cfg.Timing.ConfigPoll, cfg.Timing.ListPoll = awsettings.Duration(50*time.Millisecond), awsettings.Duration(50*time.Millisecond)
	cfg.TLS.Plain = true
	if b.authority != nil {
		var err error
		cfg.TLS, err = b.authority.Issue(b.t.TempDir(), id, time.Now().Add(time.Hour))
		require.NoError(b.t, err)
	}
	b.send(http.MethodPut, "/instances", awstore.Instance{ID: id, Role: "entry", Address: cfg.Listen.Inner, Domain: region, Region: region})
	return New(Config{
		Settings: cfg, Clock: clock, Logger: log.NewNopLogger(), Tracer: noop.NewTracerProvider().Tracer("test"), Incarnation: 1,
	})
}

func (b testbed) run(e *Entry) *Entry {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	b.t.Cleanup(func() {
		stop()
		require.NoError(b.t, <-done)
	})
	return e
}

func (b testbed) waitForRevision(e *Entry, revision uint64) {
	require.Eventually(b.t, func() bool { return e.holder.State().Revision >= revision && e.sync.checkAdmission() == nil },
		testTimeout, 5*time.Millisecond, "%s is at %d, wants %d: %v", e.identity.Instance, e.holder.State().Revision, revision, e.sync.checkAdmission())
}

func (b testbed) commit(e *Entry, target string) uint64 {
	c, err := e.configLog.Commit(b.t.Context(), e.holder.State().Revision, awconfig.Change{Kind: awconfig.KindDomainOut, Target: target, Actor: "ana"})
	require.NoError(b.t, err)
	return c.Revision
}

const unreachableURL = "http://127.0.0.1:1" // no process listens on this port

// An entry without the store must start and follow from a peer that has the
// configuration, and must not become ready without any configuration.
func TestStartAndFollowWithoutStore(t *testing.T) {
	b := newTestbed(t)
	alone := b.run(b.entry("alone", "south", unreachableURL, awclock.System{}))
	require.Eventually(t, func() bool { return alone.sync.checkAdmission() != nil && alone.sync.storeFailed() }, testTimeout, 5*time.Millisecond)
	require.ErrorContains(t, alone.ready(), "no configuration")

	a := b.run(b.entry("entry-a", "north", b.url, awclock.System{}))
	b.waitForRevision(a, 0)
	revision := b.commit(a, "serra")
	b.waitForRevision(alone, revision)
	require.True(t, alone.sync.sourceFresh(), "a fresh peer is a fresh source")
	for i := range 600 { // more changes than the peer keeps, so that a starting entry needs a snapshot
		revision = b.commit(a, fmt.Sprintf("domain-%d", i%9))
	}
	b.waitForRevision(alone, revision)
	late := b.run(b.entry("late", "south", unreachableURL, awclock.System{}))
	b.waitForRevision(late, revision)
	require.Equal(t, a.holder.State().Digest(), late.holder.State().Digest())
	require.Eventually(t, func() bool {
		p := a.sync.progress(t.Context(), revision)
		return p.Everywhere && p.EntriesInForce == 3
	}, testTimeout, 5*time.Millisecond)
}

// Guards against processes that do not use their certificates, and against
// accepting a certificate of another authority.
func TestEntriesOverTLS(t *testing.T) {
	b := newTestbed(t)
	newAuthority := func() *awstandin.Authority {
		a, err := awstandin.NewAuthority()
		require.NoError(t, err)
		return a
	}
	b.authority = newAuthority()
	a := b.run(b.entry("entry-a", "north", b.url, awclock.System{}))
	follower := b.run(b.entry("follower", "south", unreachableURL, awclock.System{}))
	b.waitForRevision(a, 0)
	b.waitForRevision(follower, b.commit(a, "serra"))

	b.authority = newAuthority()
	stranger := b.run(b.entry("stranger", "south", unreachableURL, awclock.System{}))
	target := awrpc.Target{Address: a.identity.Address, Instance: "entry-a"}
	require.Error(t, stranger.sync.pull(t.Context(), target, 0))
	require.Error(t, stranger.ready())
	require.NoError(t, follower.sync.pull(t.Context(), target, 0))
}

// Guards against accepting a peer's reply whose content does not match its digest
// or revision, or that takes the process back to an older revision.
func TestApplyReplyChecksDigest(t *testing.T) {
	change := awconfig.Change{Revision: 1, Kind: awconfig.KindDomainOut, Target: "serra"}
	row, err := json.Marshal(change)
	require.NoError(t, err)
	s, err := awconfig.NewState().Apply(change)
	require.NoError(t, err)
	data, err := s.Encode()
	require.NoError(t, err)
	for name, c := range map[string]struct {
		reply *awproto.PullConfigReply
		ok    bool
	}{
		"changes":              {&awproto.PullConfigReply{Revision: 1, Changes: [][]byte{row}, Digest: s.Digest()}, true},
		"changes, bad digest":  {&awproto.PullConfigReply{Revision: 1, Changes: [][]byte{row}, Digest: "bad"}, false},
		"snapshot":             {&awproto.PullConfigReply{Revision: 1, Snapshot: data, Digest: s.Digest()}, true},
		"snapshot, bad digest": {&awproto.PullConfigReply{Revision: 1, Snapshot: data, Digest: "bad"}, false},
		"other revision":       {&awproto.PullConfigReply{Revision: 9, Snapshot: data, Digest: s.Digest()}, false},
	} {
		h := awconfig.NewHolder()
		err := applyReply(h, h.State(), c.reply)
		require.Equal(t, c.ok, err == nil, "%s: %v", name, err)
		require.Equal(t, c.ok, h.State().Revision == 1, name)
	}
}

// An isolated entry must stop taking work, an outage of the store must not stop
// all entries, and entries must not renew each other's freshness without the store.
func TestIsolation(t *testing.T) {
	b := newTestbed(t)
	clock := awclock.NewFake(time.Now())
	e := b.entry("entry-a", "north", b.url, clock)
	e.sync.applyInstanceList([]awstore.Instance{
		{ID: "near", Role: "entry", Region: "north"}, {ID: "far", Role: "entry", Region: "south"},
	})
	const age = 20_000 // ms, source age that the peers report
	limit := e.cfg.Settings.Timing.MaxIsolation.Std()
	recordReply := func(from string, everRead bool, ageMs uint32) {
		e.sync.recordReply(from, &awproto.PullConfigReply{Synced: true, EverRead: everRead, SourceAgeMs: ageMs}, clock.Now(), 0)
	}
	step := func(d time.Duration) {
		clock.Advance(d)
		e.sync.mu.Lock()
		e.sync.lastPauseCheck = clock.Now()
		e.sync.mu.Unlock()
	}
	e.sync.recordStoreRead(clock.Now(), nil)
	require.NoError(t, e.ready())
	step(limit)
	require.True(t, e.sync.sourceFresh())
	step(time.Second)
	require.False(t, e.sync.sourceFresh())
	require.ErrorContains(t, e.ready(), "isolated")
	require.False(t, e.sync.sharedOutage(), "agents connected only to this entry are isolated too")

	recordReply("near", true, 600_000)
	require.Error(t, e.ready(), "the whole region may be isolated")
	recordReply("far", true, 600_000)
	require.NoError(t, e.ready(), "the store is down for all")
	require.False(t, e.sync.sourceFresh())
	require.True(t, e.sync.sharedOutage(), "agents keep working")
	recordReply("far", true, age)
	require.True(t, e.sync.sourceFresh())
	require.False(t, e.sync.sharedOutage())
	step(limit - age*time.Millisecond)
	require.True(t, e.sync.sourceFresh())
	step(time.Second)
	require.False(t, e.sync.sourceFresh(), "the age of the source counts, not that of the reply")
	step(limit)
	require.ErrorContains(t, e.ready(), "isolated")
	e.sync.recordStoreRead(clock.Now(), nil)
	require.NoError(t, e.ready())
}

// Guards against an entry that admits work after a pause before it has read the
// configuration.
func TestPausedEntryReadsConfigFirst(t *testing.T) {
	b := newTestbed(t)
	clock := awclock.NewFake(time.Now())
	e := b.entry("entry-a", "north", b.url, clock)
	e.sync.refresh(t.Context())
	e.sync.applyInstanceList(nil)
	e.sync.refresh(t.Context())
	require.NoError(t, e.ready())
	clock.Advance(pauseThreshold + time.Millisecond)
	require.ErrorContains(t, e.ready(), "paused")
	e.sync.checkPause()
	require.ErrorContains(t, e.ready(), "paused", "a pause check does not read the configuration")
	clock.Advance(time.Millisecond)
	e.sync.refresh(t.Context())
	require.NoError(t, e.ready())
}

// Guards against several active reconcilers at once, and against having none after
// the holder died, stopped or was paused.
func TestLease(t *testing.T) {
	b := newTestbed(t)
	clock := awclock.NewFake(time.Now())
	table := awstore.New(awstore.Config{TableURL: b.url})
	var leases []*lease
	for i := range 3 {
		leases = append(leases, newLease(table, clock, leaseRow{Instance: fmt.Sprintf("entry-%d", i), Incarnation: 1}))
	}
	active := func(among ...*lease) []int {
		var list []int
		for i, l := range among {
			if held, err := l.acquire(t.Context(), len(among)); held {
				require.NoError(t, err)
				list = append(list, i)
			}
		}
		return list
	}
	for range 20 {
		require.Equal(t, []int{0}, active(leases...))
		clock.Advance(time.Second)
	}
	seconds := 0
	for seconds = 1; len(active(leases[1:]...)) == 0; seconds++ { // the holder does not renew
		clock.Advance(time.Second)
		require.Less(t, seconds, 12)
	}
	require.GreaterOrEqual(t, time.Duration(seconds)*time.Second, leaseExpiry-leaseRenewInterval)
	held, err := leases[0].acquire(t.Context(), 3)
	require.NoError(t, err)
	require.False(t, held, "the former holder finds that it lost the lease")

	leases[1].release(t.Context())
	clock.Advance(leaseRenewInterval)
	require.Len(t, active(leases...), 1, "a released lease is taken at the next read")
	b.send(http.MethodPost, "/fault", awstandin.PlatformFault{LoseReplies: 1})
	clock.Advance(leaseRenewInterval)
	require.Empty(t, active(leases...), "an entry whose write lost its reply does not count itself as the holder")
	for range 20 {
		clock.Advance(time.Second)
		require.LessOrEqual(t, len(active(leases...)), 1)
	}
	require.Len(t, active(leases...), 1)
}

// Guards against notifications that always go to the same entries.
func TestNotifyTargets(t *testing.T) {
	b := newTestbed(t)
	e := b.entry("entry-a", "north", b.url, awclock.System{})
	var list []awstore.Instance
	for i := range 30 {
		list = append(list, awstore.Instance{ID: fmt.Sprintf("entry-%d", i), Role: "entry"})
	}
	e.sync.applyInstanceList(list)
	reached := map[string]bool{}
	for revision := uint64(1); revision <= 100; revision++ {
		once, again := e.sync.notifyTargets(revision, 0), e.sync.notifyTargets(revision, 1)
		require.Len(t, once, notifyFanout)
		require.Len(t, again, notifyFanout)
		for _, target := range append(once, again...) {
			reached[target.Instance] = true
		}
	}
	require.Len(t, reached, 30)
	for i := range 29 {
		e.sync.observeRevision(200, &awproto.ProcessIdentity{Process: "awentry", Instance: fmt.Sprintf("entry-%d", i), Address: "127.0.0.1:1"})
	}
	require.Equal(t, []awrpc.Target{{Instance: "entry-29"}}, e.sync.notifyTargets(200, 0), "entries that have the revision are not notified")
	early := &awproto.ProcessIdentity{Process: "awentry", Instance: "early", Address: "127.0.0.1:2"}
	e.sync.observeRevision(1, early)
	e.sync.applyInstanceList(list)
	require.Len(t, e.sync.notifyTargets(200, 0), 2, "a caller that is not in the list yet is a peer")
	e.sync.observeRevision(1, &awproto.ProcessIdentity{Process: "awagent", Instance: "agent", Address: "127.0.0.1:3"})
	require.Len(t, e.sync.notifyTargets(200, 0), 2, "agents are not peers")
}

// Guards against refusing requests that arrived while the entry was paused.
func TestRequestWaitsForReadAfterPause(t *testing.T) {
	b, clock := newTestbed(t), awclock.NewFake(time.Unix(1_700_000_000, 0))
	e := b.entry("entry", "north", b.url, clock)
	e.sync.recordStoreRead(clock.Now(), nil)
	require.NoError(t, e.sync.awaitAdmission(t.Context()))
	clock.Advance(3 * time.Second)
	require.ErrorIs(t, e.sync.awaitAdmission(t.Context()), errPaused, "the configuration may be out of date")
	time.AfterFunc(pausedWait/10, func() {
		e.sync.checkPause()
		clock.Advance(time.Millisecond)
		e.sync.refresh(context.Background())
	})
	require.NoError(t, e.sync.awaitAdmission(t.Context()))
}
