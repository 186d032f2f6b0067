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
	// headReadsPerSecond bounds the reads of the head row by all entries, out
	// of the 500 control reads a second that they may use together.
	headReadsPerSecond = 400
	// notifyFanout is the number of entries that a new revision is offered to.
	notifyFanout = 3
	// notifyRounds is the number of times that a revision is offered.
	notifyRounds = 2
	// notifyInterval is enough for offers to reach most entries at the design size:
	// six rounds of three over links of 3 ms.
	notifyInterval = 100 * time.Millisecond
	// pullFanout is the number of peers asked in one round without the store.
	pullFanout = 3
	// pullTimeout bounds one call of a peer.
	pullTimeout = time.Second
	// pauseThreshold is the gap after which the process takes itself for paused
	// and reads the configuration before it admits work.
	pauseThreshold     = 2 * time.Second
	pauseCheckInterval = 250 * time.Millisecond
	// instanceListTimeout is how long a start waits for the instance list before it
	// trusts the store alone.
	instanceListTimeout = 3 * time.Second
	// startupPollInterval is the time between two looks until the first succeeds.
	startupPollInterval = 100 * time.Millisecond
)

// configSync keeps the configuration of an entry up to date: from the store,
// and from other entries while the store is out of reach. It knows how old
// the newest news of the store is, its own or that of a peer, so that
// freshness that entries pass on does not renew itself.
type configSync struct {
	entry *Entry
	hints chan revisionHint

	mu             sync.Mutex
	peers          map[string]*peer
	instancesRead  bool // the instance list was read
	synced         bool // the configuration was read from the store or a synced peer
	everRead       bool
	sourceAt       time.Time // newest news of the store
	startedAt      time.Time
	storeErr       error
	lastPauseCheck time.Time
	pausedAt       time.Time // zero unless the process was paused and has not looked since
	digestState    *awconfig.State
	digest         string

	progressOf uint64 // revision that the progress of peers belongs to
}

// revisionHint is a contact with a process that holds a newer revision. The zero
// value asks for a look at every source.
type revisionHint struct {
	revision uint64
	from     *awproto.ProcessIdentity // nil when that is not an entry
}

// peer is another entry.
type peer struct {
	info      awstore.Instance
	revision  uint64                   // highest seen
	repliedAt time.Time                // last answer to this entry
	calledAt  time.Time                // last call by it
	progress  *awproto.PullConfigReply // last answer about progressOf
}

func newConfigSync(e *Entry) *configSync {
	now := e.cfg.Clock.Now()
	return &configSync{
		entry: e, hints: make(chan revisionHint, 1), peers: map[string]*peer{},
		startedAt: now, lastPauseCheck: now,
	}
}

// applyInstanceList takes over the entries of the instance list.
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

// observeRevision is told of the revision of every process that this one talks to, and
// starts a pull when it is higher.
func (c *configSync) observeRevision(revision uint64, sender *awproto.ProcessIdentity) {
	c.recordPeerRevision(revision, sender)
	c.entry.log.Witness(revision)
	if revision <= c.entry.holder.State().Revision {
		return
	}
	if sender.GetProcess() != c.entry.identity.Process {
		sender = nil // only entries hold the whole configuration
	}
	select {
	case c.hints <- revisionHint{revision: revision, from: sender}:
	default: // a pull is due already
	}
}

// recordPeerRevision remembers the revision of an entry. One that calls before the lagging
// instance list shows it becomes a peer as well.
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

// refresh reads the store, or asks peers when it does not answer.
func (c *configSync) refresh(ctx context.Context) {
	start := c.entry.cfg.Clock.Now()
	err := c.entry.log.Poll(ctx)
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
}

// pullAtStartup asks peers before the first configuration of the store is taken
// for the accepted one, since the store may have been set back. It reports
// true while the peers are not known.
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

// recordStoreRead notes an answer of the store. A store that was set back is a contact,
// but its content is not the configuration of this process.
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
		_ = c.entry.cfg.Logger.Log("Message", "configuration is read again")
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

// pauseCheckLoop notices that the process was paused.
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
		default: // a look is due already
		}
	}
	c.lastPauseCheck = now
}

// storeFailed reports whether the store did not answer the last look.
func (c *configSync) storeFailed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeErr != nil
}

// sourceAge returns the age of the newest news of the store and whether it
// is within MaxIsolation. The age is -1 when there never was one.
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

// sharedOutage reports whether this entry has no fresh source and its peers
// have none either. An agent that hears this goes on; one that hears only
// entries that are cut off does not.
func (c *configSync) sharedOutage() bool {
	if c.sourceFresh() {
		return false
	}
	now, limit := c.entry.cfg.Clock.Now(), c.entry.cfg.Settings.Timing.MaxIsolation.Std()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.synced && !c.isIsolated(now, limit)
}

// checkAdmission returns why this entry may take no new work.
func (c *configSync) checkAdmission() error {
	now, limit := c.entry.cfg.Clock.Now(), c.entry.cfg.Settings.Timing.MaxIsolation.Std()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.synced:
		return c.unsyncedError()
	case !c.pausedAt.IsZero() || now.Sub(c.lastPauseCheck) > pauseThreshold:
		return eris.New("entry was paused and has not read the configuration since")
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

// isIsolated tells an entry that is cut off from an outage of the store. In an
// outage the peers of other regions still answer; where there are none, any
// peer does. An entry without peers cannot be cut off from them.
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

// stateDigest returns the digest of s and keeps the last one, since many
// processes ask for the same.
func (c *configSync) stateDigest(s *awconfig.State) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.digestState != s {
		c.digestState, c.digest = s, s.Digest()
	}
	return c.digest
}

// entryCount returns the number of entryCount known, this one included.
func (c *configSync) entryCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.peers) + 1
}

// canCommit reports whether the store answered the last look and is not set
// back.
func (c *configSync) canCommit() bool { return c.isSynced() && !c.storeFailed() }
