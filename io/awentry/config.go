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
	// offerTo is the number of entries that a new revision is offered to.
	offerTo = 3
	// offerRounds is the number of times that a revision is offered.
	offerRounds = 2
	// offerTime is enough for offers to reach most entries at the design size:
	// six rounds of three over links of 3 ms.
	offerTime = 100 * time.Millisecond
	// askAtOnce is the number of peers asked in one round without the store.
	askAtOnce = 3
	// askTimeout bounds one call of a peer.
	askTimeout = time.Second
	// pauseLimit is the gap after which the process takes itself for paused
	// and reads the configuration before it admits work.
	pauseLimit = 2 * time.Second
	beatPeriod = 250 * time.Millisecond
	// listPatience is how long a start waits for the instance list before it
	// trusts the store alone.
	listPatience = 3 * time.Second
	// startPeriod is the time between two looks until the first succeeds.
	startPeriod = 100 * time.Millisecond
)

// configSync keeps the configuration of an entry up to date: from the store,
// and from other entries while the store is out of reach. It knows how old
// the newest news of the store is, its own or that of a peer, so that
// freshness that entries pass on does not renew itself.
type configSync struct {
	entry *Entry
	wake  chan meeting

	mu        sync.Mutex
	peers     map[string]*peer
	listed    bool // the instance list was read
	synced    bool // the configuration was read from the store or a synced peer
	everRead  bool
	sourceAt  time.Time // newest news of the store
	startedAt time.Time
	storeErr  error
	lastBeat  time.Time
	pausedAt  time.Time // zero unless the process was paused and has not looked since
	digestOf  *awconfig.State
	digest    string

	progressOf uint64 // revision that the progress of peers belongs to
}

// meeting is a contact with a process that holds a newer revision. The zero
// value asks for a look at every source.
type meeting struct {
	revision uint64
	from     *awproto.ProcessIdentity // nil when that is not an entry
}

// peer is another entry.
type peer struct {
	info     awstore.Instance
	revision uint64                   // highest seen
	heardAt  time.Time                // last answer to this entry
	metAt    time.Time                // last call by it
	progress *awproto.PullConfigReply // last answer about progressOf
}

func newConfigSync(e *Entry) *configSync {
	now := e.cfg.Clock.Now()
	return &configSync{
		entry: e, wake: make(chan meeting, 1), peers: map[string]*peer{},
		startedAt: now, lastBeat: now,
	}
}

// learn takes over the entries of the instance list.
func (c *configSync) learn(list []awstore.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed = true
	shown := map[string]bool{}
	for _, in := range list {
		if in.Role != "entry" || in.ID == c.entry.identity.Instance {
			continue
		}
		shown[in.ID] = true
		if p := c.peers[in.ID]; p == nil || p.info.Address != in.Address {
			c.peers[in.ID] = &peer{info: in}
		} else {
			p.info = in
		}
	}
	for id, p := range c.peers {
		if !shown[id] && c.entry.cfg.Clock.Now().Sub(p.metAt) > c.entry.cfg.Settings.Timing.MissingAfter.Std() {
			delete(c.peers, id)
		}
	}
}

// meet is told of the revision of every process that this one talks to, and
// starts a pull when it is higher.
func (c *configSync) meet(revision uint64, sender *awproto.ProcessIdentity) {
	c.note(revision, sender)
	c.entry.log.ObserveRevision(revision)
	if revision <= c.entry.holder.State().Revision {
		return
	}
	if sender.GetProcess() != c.entry.identity.Process {
		sender = nil // only entries hold the whole configuration
	}
	select {
	case c.wake <- meeting{revision: revision, from: sender}:
	default: // a pull is due already
	}
}

// note remembers the revision of an entry. One that calls before the lagging
// instance list shows it becomes a peer as well.
func (c *configSync) note(revision uint64, sender *awproto.ProcessIdentity) {
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
	p.revision, p.metAt = max(p.revision, revision), c.entry.cfg.Clock.Now()
}

// configLoop keeps the configuration up to date until ctx ends.
func (e *Entry) configLoop(ctx context.Context) {
	go e.sync.offerLoop(ctx)
	go e.sync.beatLoop(ctx)
	poll := make(chan struct{}, 1)
	go e.sync.pullLoop(ctx, poll)
	for ctx.Err() == nil {
		e.sync.look(ctx)
		period := e.sync.period()
		select {
		case <-ctx.Done():
		case <-poll:
		case <-time.After(period/2 + e.jitter(period)):
		}
	}
}

// period returns the mean time between two reads of the head row.
func (c *configSync) period() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.synced {
		return startPeriod
	}
	entries := len(c.peers) + 1
	return max(c.entry.cfg.Settings.Timing.ConfigPoll.Std(), time.Duration(entries)*time.Second/headReadsPerSecond)
}

// look reads the store, or asks peers when it does not answer.
func (c *configSync) look(ctx context.Context) {
	began := c.entry.cfg.Clock.Now()
	err := c.entry.log.Poll(ctx)
	var reset *awcontrol.ResetError
	switch {
	case err == nil, errors.As(err, &reset):
		if c.starting(ctx) {
			return
		}
		c.read(began, err)
	case ctx.Err() != nil:
		return
	default:
		c.fail(err)
		c.ask(ctx, askAtOnce)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if began.After(c.pausedAt) {
		c.pausedAt = time.Time{}
	}
}

// starting asks peers before the first configuration of the store is taken
// for the accepted one, since the store may have been set back. It reports
// true while the peers are not known.
func (c *configSync) starting(ctx context.Context) bool {
	c.mu.Lock()
	synced, listed := c.synced, c.listed
	late := c.entry.cfg.Clock.Now().Sub(c.startedAt) > listPatience
	c.mu.Unlock()
	if synced {
		return false
	}
	c.ask(ctx, askAtOnce)
	return !listed && !late
}

// read notes an answer of the store. A store that was set back is a contact,
// but its content is not the configuration of this process.
func (c *configSync) read(at time.Time, err error) {
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

func (c *configSync) fail(err error) {
	c.mu.Lock()
	changed := c.storeErr == nil
	c.storeErr = err
	c.mu.Unlock()
	if changed {
		_ = c.entry.cfg.Logger.Log("Message", "configuration not read from the store", "Error", err.Error())
	}
}

// beatLoop notices that the process was paused.
func (c *configSync) beatLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(beatPeriod):
		}
		c.beat()
	}
}

func (c *configSync) beat() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.entry.cfg.Clock.Now()
	if now.Sub(c.lastBeat) > pauseLimit {
		c.pausedAt = now
		_ = c.entry.cfg.Logger.Log("Message", "process was paused", "Seconds", now.Sub(c.lastBeat).Seconds())
		select {
		case c.wake <- meeting{}:
		default: // a look is due already
		}
	}
	c.lastBeat = now
}

// failed reports whether the store did not answer the last look.
func (c *configSync) failed() bool {
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

func (c *configSync) fresh() bool {
	_, fresh := c.sourceAge()
	return fresh
}

// sharedOutage reports whether this entry has no fresh source and its peers
// have none either. An agent that hears this goes on; one that hears only
// entries that are cut off does not.
func (c *configSync) sharedOutage() bool {
	if c.fresh() {
		return false
	}
	now, limit := c.entry.cfg.Clock.Now(), c.entry.cfg.Settings.Timing.MaxIsolation.Std()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.synced && !c.cutOff(now, limit)
}

// admit returns why this entry may take no new work.
func (c *configSync) admit() error {
	now, limit := c.entry.cfg.Clock.Now(), c.entry.cfg.Settings.Timing.MaxIsolation.Std()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.synced:
		return c.unsynced()
	case !c.pausedAt.IsZero() || now.Sub(c.lastBeat) > pauseLimit:
		return eris.New("entry was paused and has not read the configuration since")
	case now.Sub(c.sourceAt) > limit && now.Sub(c.startedAt) > limit && c.cutOff(now, limit):
		return eris.Errorf("entry is isolated: neither the table service nor a peer beyond its region answered for %s", limit)
	}
	return nil
}

func (c *configSync) unsynced() error {
	switch {
	case !c.listed:
		return eris.Errorf("no configuration: the table service does not answer (%v) and the instance list shows no peers yet", c.storeErr)
	case len(c.peers) == 0:
		return eris.Errorf("no configuration: the table service does not answer (%v) and there is no other entry", c.storeErr)
	}
	return eris.Errorf("no configuration: the table service does not answer (%v) and none of %d peers gave one", c.storeErr, len(c.peers))
}

// cutOff tells an entry that is cut off from an outage of the store. In an
// outage the peers of other regions still answer; where there are none, any
// peer does. An entry without peers cannot be cut off from them.
func (c *configSync) cutOff(now time.Time, limit time.Duration) bool {
	known, knownFar, heard, heardFar := 0, 0, 0, 0
	for _, p := range c.peers {
		answered := !p.heardAt.IsZero() && now.Sub(p.heardAt) <= limit
		known++
		if answered {
			heard++
		}
		if p.info.Region != c.entry.identity.Region {
			knownFar++
			if answered {
				heardFar++
			}
		}
	}
	if knownFar > 0 {
		return heardFar == 0
	}
	return known > 0 && heard == 0
}

// digestAt returns the digest of s and keeps the last one, since many
// processes ask for the same.
func (c *configSync) digestAt(s *awconfig.State) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.digestOf != s {
		c.digestOf, c.digest = s, s.Digest()
	}
	return c.digest
}

// entries returns the number of entries known, this one included.
func (c *configSync) entries() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.peers) + 1
}

// canChange reports whether the store answered the last look and is not set
// back.
func (c *configSync) canChange() bool { return c.isSynced() && !c.failed() }
