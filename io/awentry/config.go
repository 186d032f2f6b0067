package awentry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"arbutuswind/core/awconfig"
	"arbutuswind/io/awcontrol"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awstore"
)

const (
	// headReadsPerSecond limits the reads of the head row by all entries
	// together. Their total budget for control reads is 500 per second.
	headReadsPerSecond = 400
	// notifyFanout is the number of peers notified of a new revision in one round.
	notifyFanout = 3
	// notifyRounds is the number of notification rounds per revision.
	notifyRounds = 2
	// notifyInterval is the time between two notification rounds. It suffices
	// for notifications to reach most entries at the design size: six hops with
	// a fanout of three over links of 3 ms.
	notifyInterval = 100 * time.Millisecond
	// pullFanout is the number of peers to pull from in one round, at startup
	// and when the store does not answer.
	pullFanout = 3
	// pullTimeout bounds one PullConfig call to a peer.
	pullTimeout = time.Second
	// pauseThreshold is the time without a pause check after which the process
	// counts as paused. It must then read the configuration before it admits
	// work.
	pauseThreshold     = 2 * time.Second
	pauseCheckInterval = 250 * time.Millisecond
	// pausedWait is how long requests wait for that read before they are refused.
	pausedWait = 500 * time.Millisecond
	// instanceListTimeout is how long a starting entry waits for the instance
	// list before it accepts the store's configuration without knowing its peers.
	instanceListTimeout = 3 * time.Second
	// startupPollInterval is the mean time between two reads of the head row
	// until the entry has a configuration.
	startupPollInterval = 100 * time.Millisecond
)

// configSync keeps the configuration of an entry up to date: from the store, or
// from other entries while the store is unreachable. It tracks when the store
// was last read by this entry or by a peer that it pulled from. Entries pass on
// the age of that read, so they cannot renew each other's freshness without the
// store.
type configSync struct {
	entry *Entry
	hints chan revisionHint

	mu             sync.Mutex
	peers          map[string]*peer
	instancesRead  bool // the instance list was read
	synced         bool // the configuration was read from the store or a synced peer
	everRead       bool
	sourceAt       time.Time // last read of the store, by this entry or a peer
	startedAt      time.Time
	storeErr       error
	lastPauseCheck time.Time
	pausedAt       time.Time     // zero unless the process was paused and has not read the configuration since
	refreshed      chan struct{} // closed and replaced after each read of the configuration
	digestState    *awconfig.State
	digest         string

	progressOf uint64 // revision that peer.progress refers to
}

// revisionHint says that a process holds a newer revision. The zero value
// requests a read of all sources.
type revisionHint struct {
	revision uint64
	from     *awproto.ProcessIdentity // nil unless the process is an entry
}

// peer is another entry.
type peer struct {
	info      awstore.Instance
	revision  uint64                   // highest reported
	repliedAt time.Time                // start of the last pull that it answered
	calledAt  time.Time                // last call from it
	progress  *awproto.PullConfigReply // last reply about progressOf
}

func newConfigSync(e *Entry) *configSync {
	now := e.cfg.Clock.Now()
	return &configSync{
		entry: e, hints: make(chan revisionHint, 1), peers: map[string]*peer{},
		startedAt: now, lastPauseCheck: now, refreshed: make(chan struct{}),
	}
}

// applyInstanceList updates the peers from the instance list. A missing peer is
// dropped once it has not called for MissingAfter.
func (c *configSync) applyInstanceList(list []awstore.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instancesRead = true
	inList := map[string]bool{}
	for _, in := range list {
		if in.Role != "entry" || in.ID == c.entry.identity.Instance {
			continue
		}
		inList[in.ID] = true
		if p := c.peers[in.ID]; p == nil || p.info.Address != in.Address {
			c.peers[in.ID] = &peer{info: in}
		} else {
			p.info = in
		}
	}
	for id, p := range c.peers {
		if !inList[id] && c.entry.cfg.Clock.Now().Sub(p.calledAt) > c.entry.cfg.Settings.Timing.MissingAfter.Std() {
			delete(c.peers, id)
		}
	}
}

// observeRevision records the revision reported by another process and triggers
// a pull if it is newer than the one held.
func (c *configSync) observeRevision(revision uint64, sender *awproto.ProcessIdentity) {
	c.recordPeerRevision(revision, sender)
	c.entry.configLog.ObserveRevision(revision)
	if revision <= c.entry.holder.State().Revision {
		return
	}
	if sender.GetProcess() != c.entry.identity.Process {
		sender = nil // only entries hold the whole configuration
	}
	select {
	case c.hints <- revisionHint{revision: revision, from: sender}:
	default: // a pull is already pending
	}
}

// recordPeerRevision stores the revision of a calling entry. A caller that the
// instance list does not show yet becomes a peer as well, because the list lags.
func (c *configSync) recordPeerRevision(revision uint64, sender *awproto.ProcessIdentity) {
	self := c.entry.identity
	if sender.GetProcess() != self.Process || sender.Instance == self.Instance || sender.Address == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[sender.Instance]
	if p == nil {
		p = &peer{info: awstore.Instance{
			ID: sender.Instance, Role: "entry", Address: sender.Address, Domain: sender.Domain, Region: sender.Region,
		}}
		c.peers[sender.Instance] = p
	}
	p.revision, p.calledAt = max(p.revision, revision), c.entry.cfg.Clock.Now()
}

// configLoop keeps the configuration up to date until ctx ends.
func (e *Entry) configLoop(ctx context.Context) {
	go e.sync.notifyLoop(ctx)
	go e.sync.pauseCheckLoop(ctx)
	poll := make(chan struct{}, 1)
	go e.sync.pullLoop(ctx, poll)
	for ctx.Err() == nil {
		e.sync.refresh(ctx)
		period := e.sync.pollInterval()
		select {
		case <-ctx.Done():
		case <-poll:
		case <-time.After(period/2 + e.jitter(period)):
		}
	}
}

// pollInterval returns the mean time between two reads of the head row.
func (c *configSync) pollInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.synced {
		return startupPollInterval
	}
	entries := len(c.peers) + 1
	return max(c.entry.cfg.Settings.Timing.ConfigPoll.Std(), time.Duration(entries)*time.Second/headReadsPerSecond)
}

// refresh reads the store, and pulls from peers if the store does not answer.
func (c *configSync) refresh(ctx context.Context) {
	start := c.entry.cfg.Clock.Now()
	err := c.entry.configLog.Poll(ctx)
	var reset *awcontrol.ResetError
	switch {
	case err == nil, errors.As(err, &reset):
		if c.pullAtStartup(ctx) {
			return
		}
		c.recordStoreRead(start, err)
	case ctx.Err() != nil:
		return
	default:
		c.recordStoreError(err)
		c.pullFromPeers(ctx, pullFanout)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if start.After(c.pausedAt) {
		c.pausedAt = time.Time{}
	}
	close(c.refreshed)
	c.refreshed = make(chan struct{})
}

// pullAtStartup pulls from peers before the first configuration read from the
// store is accepted, since the store may have been restored to an older state.
// It returns true if the caller must wait because the peers are not known yet.
func (c *configSync) pullAtStartup(ctx context.Context) bool {
	c.mu.Lock()
	synced, instancesRead := c.synced, c.instancesRead
	late := c.entry.cfg.Clock.Now().Sub(c.startedAt) > instanceListTimeout
	c.mu.Unlock()
	if synced {
		return false
	}
	c.pullFromPeers(ctx, pullFanout)
	return !instancesRead && !late
}

// recordStoreRead records that the store answered. A store that was reset counts
// as reachable, but this process does not use its content.
func (c *configSync) recordStoreRead(at time.Time, err error) {
	c.mu.Lock()
	changed := (err == nil) != (c.storeErr == nil)
	c.storeErr = err
	c.sourceAt, c.everRead = at, true
	c.synced = true
	c.mu.Unlock()
	if err != nil && changed {
		_ = c.entry.cfg.Logger.Log("Message", "ConfigStoreReset", "Error", err.Error())
	} else if changed {
		_ = c.entry.cfg.Logger.Log("Message", "configuration is read from the store again")
	}
}

func (c *configSync) recordStoreError(err error) {
	c.mu.Lock()
	changed := c.storeErr == nil
	c.storeErr = err
	c.mu.Unlock()
	if changed {
		_ = c.entry.cfg.Logger.Log("Message", "configuration not read from the store", "Error", err.Error())
	}
}

// pauseCheckLoop detects that the process was paused.
func (c *configSync) pauseCheckLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pauseCheckInterval):
		}
		c.checkPause()
	}
}

func (c *configSync) checkPause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.entry.cfg.Clock.Now()
	if now.Sub(c.lastPauseCheck) > pauseThreshold {
		c.pausedAt = now
		_ = c.entry.cfg.Logger.Log("Message", "process was paused", "Seconds", now.Sub(c.lastPauseCheck).Seconds())
		select {
		case c.hints <- revisionHint{}:
		default: // a pull is already pending
		}
	}
	c.lastPauseCheck = now
}

// storeFailed reports whether the last read of the store failed or found a reset
// store.
func (c *configSync) storeFailed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeErr != nil
}

// sourceAge returns the age of the last read of the store, by this entry or a
// peer, and whether it is within MaxIsolation. The age is -1 if there was none.
func (c *configSync) sourceAge() (ms int64, fresh bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.everRead {
		return -1, false
	}
	age := c.entry.cfg.Clock.Now().Sub(c.sourceAt)
	return age.Milliseconds(), age <= c.entry.cfg.Settings.Timing.MaxIsolation.Std()
}

func (c *configSync) sourceFresh() bool {
	_, fresh := c.sourceAge()
	return fresh
}

// sharedOutage reports whether the store is unavailable to the peers as well: the
// source of this entry is not fresh, but the entry is not isolated. Agents keep
// working if an entry reports a shared outage; those that are connected only to
// isolated entries do not.
func (c *configSync) sharedOutage() bool {
	if c.sourceFresh() {
		return false
	}
	now, limit := c.entry.cfg.Clock.Now(), c.entry.cfg.Settings.Timing.MaxIsolation.Std()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.synced && !c.isIsolated(now, limit)
}

var errPaused = eris.New("entry was paused and has not read the configuration since")

// awaitAdmission waits until this entry has read the configuration after a pause. It
// returns the reason why the entry must not admit new work, or nil.
func (c *configSync) awaitAdmission(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pausedWait)
	defer cancel()
	for {
		c.mu.Lock()
		refreshed := c.refreshed
		c.mu.Unlock()
		err := c.checkAdmission()
		if !errors.Is(err, errPaused) {
			return err
		}
		select {
		case <-refreshed:
		case <-ctx.Done():
			return err
		}
	}
}

// checkAdmission returns the reason why this entry must not admit new work, or
// nil.
func (c *configSync) checkAdmission() error {
	now, limit := c.entry.cfg.Clock.Now(), c.entry.cfg.Settings.Timing.MaxIsolation.Std()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.synced:
		return c.unsyncedError()
	case !c.pausedAt.IsZero() || now.Sub(c.lastPauseCheck) > pauseThreshold:
		return errPaused
	case now.Sub(c.sourceAt) > limit && now.Sub(c.startedAt) > limit && c.isIsolated(now, limit):
		return eris.Errorf("entry is isolated: neither the table service nor a peer beyond its region answered for %s", limit)
	}
	return nil
}

func (c *configSync) unsyncedError() error {
	switch {
	case !c.instancesRead:
		return eris.Errorf("no configuration: the table service does not answer (%v) and the instance list shows no peers yet", c.storeErr)
	case len(c.peers) == 0:
		return eris.Errorf("no configuration: the table service does not answer (%v) and there is no other entry", c.storeErr)
	}
	return eris.Errorf("no configuration: the table service does not answer (%v) and none of %d peers gave one", c.storeErr, len(c.peers))
}

// isIsolated distinguishes an isolated entry from one that sees an outage of the
// store. In an outage, peers in other regions still answer; if there are no such
// peers, any peer counts. An entry without peers is never isolated. The caller
// holds mu.
func (c *configSync) isIsolated(now time.Time, limit time.Duration) bool {
	known, knownRemote, replied, repliedRemote := 0, 0, 0, 0
	for _, p := range c.peers {
		answered := !p.repliedAt.IsZero() && now.Sub(p.repliedAt) <= limit
		known++
		if answered {
			replied++
		}
		if p.info.Region != c.entry.identity.Region {
			knownRemote++
			if answered {
				repliedRemote++
			}
		}
	}
	if knownRemote > 0 {
		return repliedRemote == 0
	}
	return known > 0 && replied == 0
}

// stateDigest returns the digest of s. It caches the last one, since many
// processes request the same one.
func (c *configSync) stateDigest(s *awconfig.State) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.digestState != s {
		c.digestState, c.digest = s, s.Digest()
	}
	return c.digest
}

// entryCount returns the number of known entries, including this one.
func (c *configSync) entryCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.peers) + 1
}

// canCommit reports whether the entry has a configuration and the last read of
// the store succeeded and found no reset.
func (c *configSync) canCommit() bool { return c.isSynced() && !c.storeFailed() }
