package awentry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"arbutuswind/core/awconfig"
	"arbutuswind/io/awcontrol"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
	"arbutuswind/io/awstore"
)

const (
	// headReadsPerSecond bounds the reads of the head row by all entries, out
	// of the 500 control reads a second that they may use together.
	headReadsPerSecond = 400
	// offerTo is the number of entries that a new revision is offered to.
	offerTo = 3
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
	for id := range c.peers {
		if !shown[id] {
			delete(c.peers, id)
		}
	}
}

// meet is told of the revision of every process that this one talks to, and
// starts a pull when it is higher.
func (c *configSync) meet(revision uint64, sender *awproto.ProcessIdentity) {
	c.mu.Lock()
	if p := c.peers[sender.GetInstance()]; p != nil {
		p.revision = max(p.revision, revision)
	}
	c.mu.Unlock()
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

// pullLoop pulls from whoever was met with a newer revision.
func (c *configSync) pullLoop(ctx context.Context, poll chan<- struct{}) {
	for ctx.Err() == nil {
		met, ok := c.next(ctx)
		if !ok || c.reached(met) {
			continue
		}
		if met.from != nil {
			_ = c.pull(ctx, awrpc.Target{Address: met.from.Address, Instance: met.from.Instance}, 0)
		} else {
			c.ask(ctx, 1)
		}
		if c.reached(met) {
			continue // a read of the store is saved
		}
		select {
		case poll <- struct{}{}:
		default:
		}
	}
}

// reached reports whether the revision of a meeting is held by now.
func (c *configSync) reached(met meeting) bool {
	return met.revision > 0 && c.entry.holder.State().Revision >= met.revision
}

// next returns the next meeting to act on. An agent that one entry has told
// of a revision is seen by many entries at once; they wait for the offer of
// a peer, so that they do not all read the store together.
func (c *configSync) next(ctx context.Context) (meeting, bool) {
	var met meeting
	select {
	case <-ctx.Done():
		return met, false
	case met = <-c.wake:
	}
	if met.from != nil || met.revision == 0 {
		return met, true
	}
	limit := time.NewTimer(c.entry.jitter(offerTime))
	defer limit.Stop()
	for !c.reached(met) {
		select {
		case <-ctx.Done():
			return met, false
		case <-limit.C:
			return met, true
		case offer := <-c.wake:
			met.revision = max(met.revision, offer.revision)
			if offer.from != nil {
				met.from = offer.from
				return met, true
			}
		}
	}
	return met, false
}

// ask pulls from n random peers at once. Peers in other regions come first
// while there is no fresh source, since they tell whether this region is cut
// off or the store is down for all.
func (c *configSync) ask(ctx context.Context, n int) {
	targets := c.choose(n)
	var wg sync.WaitGroup
	for _, t := range targets {
		wg.Go(func() { _ = c.pull(ctx, t, 0) }) // an error shows in the age of the source
	}
	wg.Wait()
}

func (c *configSync) choose(n int) []awrpc.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	var near, far []awrpc.Target
	for id, p := range c.peers { // the order of a map is random enough here
		t := awrpc.Target{Address: p.info.Address, Instance: id}
		if p.info.Region == c.entry.identity.Region {
			near = append(near, t)
		} else {
			far = append(far, t)
		}
	}
	near = near[:min(len(near), 1)]
	list := append(far[:min(len(far), max(1, n-len(near)))], near...)
	return list[:min(n, len(list))]
}

// pull asks an entry for what is newer than the configuration held.
func (c *configSync) pull(ctx context.Context, t awrpc.Target, progressOf uint64) error {
	e := c.entry
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	have := e.holder.State()
	asked := e.cfg.Clock.Now()
	reply, err := e.dialer.Entry(ctx, t).PullConfig(ctx, &awproto.PullConfigRequest{
		HaveRevision: have.Revision, Sender: e.identity, ProgressOf: progressOf,
	})
	if err != nil {
		return err
	}
	if reply.Synced {
		if err := takeOver(e.holder, have, reply); err != nil {
			_ = e.cfg.Logger.Log("Message", "configuration of a peer refused", "Peer", t.Instance, "Error", err.Error())
			return err
		}
	}
	c.heard(t.Instance, reply, asked, progressOf)
	return nil
}

var pulledSnapshots = metrics.NewCounter("ConfigPeerSnapshots")

// takeOver applies the answer of a peer; its digest must match.
func takeOver(holder *awconfig.Holder, have *awconfig.State, reply *awproto.PullConfigReply) error {
	if reply.Revision <= have.Revision {
		return nil
	}
	if len(reply.Snapshot) == 0 {
		changes := make([]awconfig.Change, 0, len(reply.Changes))
		for _, row := range reply.Changes {
			ch, err := awconfig.DecodeChange(row)
			if err != nil {
				return err
			}
			changes = append(changes, ch)
		}
		return holder.Extend(have, changes, reply.Digest)
	}
	pulledSnapshots.Inc()
	s, err := awconfig.DecodeState(reply.Snapshot)
	if err != nil {
		return err
	}
	if got := s.Digest(); got != reply.Digest || s.Revision != reply.Revision {
		return &awconfig.DigestError{Revision: reply.Revision, Want: reply.Digest, Got: got}
	}
	var old *awconfig.RevertError
	if err := holder.Replace(s); err != nil && !errors.As(err, &old) {
		return err
	}
	return nil // a faster source is as good
}

// heard notes the answer of a peer.
func (c *configSync) heard(instance string, reply *awproto.PullConfigReply, asked time.Time, progressOf uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[instance]; p != nil {
		p.revision = max(p.revision, reply.Revision)
		p.heardAt = asked
		if progressOf > 0 && progressOf == c.progressOf {
			p.progress = reply
		}
	}
	if !reply.Synced {
		return
	}
	c.synced = true
	if at := asked.Add(-time.Duration(reply.SourceAgeMs) * time.Millisecond); reply.EverRead && at.After(c.sourceAt) {
		c.sourceAt, c.everRead = at, true
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
