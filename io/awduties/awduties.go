// Package awduties performs the duties of a gateway towards the platform. It runs
// the decisions of [arbutuswind/core/awduty]: it exchanges messages with the other
// gateways, makes the calls of the store and of the platform, and shows in logs
// and metrics who holds a duty and what was reported.
package awduties

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awduty"
)

const (
	// tickInterval is how often the decisions are asked for what is due.
	tickInterval = 100 * time.Millisecond
	// sendInterval is the time between two messages with counts. A gateway that is
	// killed loses at most what it has counted since.
	sendInterval = time.Second
	// storeTimeout limits a call of the store. Its result is unknown after that.
	storeTimeout = 2 * time.Second
	// callTimeout limits a call of the platform, which is repeated after that.
	callTimeout = 2500 * time.Millisecond
	// lastMessages is the number of times that the last counts are sent at a planned
	// stop, since a datagram may be lost, and lastMessageGap the time between two.
	lastMessages   = 3
	lastMessageGap = 30 * time.Millisecond
	// lastCallTime limits how long calls that run at a planned stop are waited for.
	lastCallTime = 150 * time.Millisecond
)

// Store reads and writes the row of a subject.
type Store interface {
	// ReadDuty returns the row of the newest era that has one, and where it is.
	ReadDuty(ctx context.Context, subject awduty.Subject) (awduty.Row, awduty.Stored, error)
	// WriteDuty performs a write, and returns where the row is. The error is nil for a
	// conflict and for an outdated write.
	WriteDuty(ctx context.Context, subject awduty.Subject, call awduty.StoreCall) (awduty.WriteResult, awduty.Stored, error)
}

// Platform makes the calls of duties.
type Platform interface {
	// Encode returns the body of a usage report.
	Encode(window int64, counts awduty.Counts) []byte
	// Call sends an order unless allowed returns false right before the bytes are
	// written. It returns the answer and how long the platform asks to wait.
	Call(ctx context.Context, subject awduty.Subject, call awduty.Call, allowed func() bool) (awduty.Answer, time.Duration, error)
}

// Sender sends messages to other gateways.
type Sender interface {
	SendDuties(addr netip.AddrPort, payload []byte)
}

// Config configures a [Runner].
type Config struct {
	Logger      log.Logger
	Wall        awclock.Clock // true time, if it is not stepped
	Boot        awclock.Clock // counts suspends
	Store       Store
	Platform    Platform
	Instance    string
	Domain      string
	Incarnation uint64
	// Lease is the time within which calls of one holder, another one and the first
	// again are not allowed.
	Lease     time.Duration
	Window    time.Duration // of usage reports
	Late      time.Duration // time after the end of a window at which its report is due
	Tolerance float64       // fraction by which a count may be off
	PerSecond float64       // calls per second of all gateways together; 0 means unlimited
	// Settling is the time from the start of a gateway until all others know it.
	Settling time.Duration
}

// usageSubject is the subject of usage reports.
var usageSubject = awduty.Subject{Duty: "usage"}

const (
	// leaseMargin is added to the lease by challengers. It covers the way of a call
	// that was sent before the end of the lease, up to callOverrun, and in the rest
	// the reset of its connection and different rates of clocks.
	leaseMargin = 500 * time.Millisecond
	// callOverrun is how long a call may go on after the end of the lease. Until its
	// connection is reset, the kernel may send or retransmit what was written.
	callOverrun = leaseMargin / 2
	// leaseRenewal is the time by which the lease exceeds a window, so that one write
	// for each window keeps it.
	leaseRenewal = 500 * time.Millisecond
	// maxPending is the number of reports that wait for an unavailable platform.
	maxPending = 120
	// callShare is the fraction of the platform's limit on calls that is used.
	callShare = 0.5
)

// Runner performs the duties of one gateway. It is safe for concurrent use.
type Runner struct {
	cfg   Config
	sends chan struct{} // signals messages that should not wait
	tally tally         // counts that usage does not have yet

	mu       sync.Mutex
	usage    *awduty.Usage
	sender   Sender // nil before Run
	lastSend time.Time
	ended    bool
	known    awduty.Claim // as last logged
	calls    sync.WaitGroup

	badMessages *metrics.Counter
	repeats     *metrics.Counter
	held, token *metrics.Gauge
}

// New returns a runner. It counts at once and exchanges messages and acts once it
// runs.
func New(cfg Config) *Runner {
	r := &Runner{
		cfg: cfg, sends: make(chan struct{}, 1), badMessages: metrics.GetOrCreateCounter("arbutuswind_duty_bad_messages_total"),
		repeats: metrics.GetOrCreateCounter("arbutuswind_duty_windows_repeated_total"),
	}
	label := fmt.Sprintf(`{Duty=%q}`, usageSubject.Key())
	r.held = metrics.GetOrCreateGauge("arbutuswind_duty_held_seconds"+label, nil)
	r.token = metrics.GetOrCreateGauge("arbutuswind_duty_token"+label, nil)
	var gap time.Duration
	if cfg.PerSecond > 0 {
		gap = time.Duration(float64(time.Second) / (callShare * cfg.PerSecond))
	}
	r.usage = awduty.NewUsage(awduty.UsageConfig{
		Candidate: awduty.Config{
			Self: cfg.Instance, Incarnation: cfg.Incarnation, Lease: max(cfg.Lease, cfg.Window+leaseRenewal), Margin: leaseMargin,
			MaxPending: maxPending, CallGap: gap,
		},
		Domain: cfg.Domain, Window: cfg.Window, Late: cfg.Late, Settling: cfg.Settling, Encode: cfg.Platform.Encode, OnEvent: r.record,
	}, r.now(), r.wall())
	return r
}

// now returns the time of the machine's clock.
func (r *Runner) now() time.Duration { return time.Duration(r.cfg.Boot.Now().UnixNano()) }

// wall returns the time of the wall clock.
func (r *Runner) wall() time.Duration { return time.Duration(r.cfg.Wall.Now().UnixNano()) }

// Count counts a request of a team that a backend server has begun to run.
func (r *Runner) Count(team string) { r.tally.add(r.now, team) }

// mergeCounts passes on what was counted; mu must be held. It returns a time up to
// which that is complete.
func (r *Runner) mergeCounts() time.Duration {
	now := r.now()
	for _, b := range r.tally.take() {
		for team, n := range b.counts {
			r.usage.Count(b.at, team, n)
		}
	}
	return now
}

// SetEntries replaces the registered gateways.
func (r *Runner) SetEntries(entries []awdirectory.Entry) {
	list := make([]awduty.Peer, len(entries))
	for i, e := range entries {
		list[i] = awduty.Peer{Name: e.Name, Domain: e.Domain, Address: e.Address}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usage.SetPeers(r.now(), list)
	r.signalSend()
}

func (r *Runner) signalSend() {
	select {
	case r.sends <- struct{}{}:
	default: // messages are due already
	}
}

// Run performs the duties until ctx ends.
func (r *Runner) Run(ctx context.Context, sender Sender) {
	r.mu.Lock()
	r.sender = sender
	r.mu.Unlock()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.sends:
			r.sendMessages()
		case <-tick.C:
			r.step(ctx)
		}
	}
}

// step makes the calls that are due.
func (r *Runner) step(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	now := r.mergeCounts()
	if urgent := r.usage.Tick(now, r.wall()); urgent || r.cfg.Boot.Now().Sub(r.lastSend) >= sendInterval {
		r.signalSend()
	}
	if call, ok := r.usage.NextStoreCall(now); ok {
		r.calls.Go(func() { r.callStore(ctx, call) })
	}
	if call, ok := r.usage.NextCall(now); ok {
		r.calls.Go(func() { r.callPlatform(ctx, call) })
	}
	r.showHolder(now)
}

// datagrams are the parts of a message and where they go.
type datagrams struct {
	sender   Sender // nil if there is nothing to send
	targets  []netip.AddrPort
	payloads [][]byte
}

func (d datagrams) send() {
	for _, addr := range d.targets {
		for _, payload := range d.payloads {
			d.sender.SendDuties(addr, payload)
		}
	}
}

// sendMessages sends the counts to the candidates.
func (r *Runner) sendMessages() {
	r.mu.Lock()
	r.lastSend = r.cfg.Boot.Now()
	d := r.messages()
	r.mu.Unlock()
	d.send()
}

// messages returns the counts for the candidates; mu must be held.
func (r *Runner) messages() datagrams {
	if r.sender == nil {
		return datagrams{}
	}
	m, targets := r.usage.Messages(r.mergeCounts(), r.wall())
	if len(targets) == 0 {
		return datagrams{}
	}
	d := datagrams{sender: r.sender, payloads: encode(m)}
	for _, peer := range targets {
		if addr, err := netip.ParseAddrPort(peer.Address); err == nil { // an address that cannot be read gets nothing
			d.targets = append(d.targets, addr)
		}
	}
	return d
}

// HandleMessage handles a datagram of another gateway.
func (r *Runner) HandleMessage(from netip.AddrPort, payload []byte) {
	m, err := decode(payload)
	if err != nil {
		r.badMessages.Inc()
		return
	}
	r.reply(from, m).send()
}

// reply returns the reply to a message.
func (r *Runner) reply(from netip.AddrPort, m *awduty.Message) datagrams {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return datagrams{}
	}
	reply := r.usage.Receive(r.now(), r.wall(), m, from.String())
	if reply == nil || r.sender == nil {
		return datagrams{}
	}
	return datagrams{sender: r.sender, targets: []netip.AddrPort{from}, payloads: encode(reply)}
}

// callStore makes a call of the store.
func (r *Runner) callStore(ctx context.Context, call awduty.StoreCall) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if !call.Write {
		row, at, err := r.cfg.Store.ReadDuty(ctx, usageSubject)
		r.logStoreError("read", err)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.usage.ReadDone(r.now(), row, at, err)
		return
	}
	result, at, err := r.cfg.Store.WriteDuty(ctx, usageSubject, call)
	r.logStoreError("write", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.usage.WriteDone(r.now(), result, at) {
		r.signalSend() // the others see the progress before they would challenge
	}
}

// callPlatform sends a report.
func (r *Runner) callPlatform(ctx context.Context, call awduty.Call) {
	begin := time.Now() // before the lease is read: a pause in between must not extend the call
	ctx, cancel := context.WithDeadline(ctx, begin.Add(min(callTimeout, call.Until-r.now()+callOverrun)))
	defer cancel()
	if call.Repeated {
		r.repeats.Inc()
	}
	answer, wait, err := r.cfg.Platform.Call(ctx, usageSubject, call, func() bool { return r.mayCall(call) })
	r.logCall(call, answer, err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usage.Answered(r.now(), call.Order.ID, answer, wait)
}

// mayCall reports whether a call may still be sent.
func (r *Runner) mayCall(call awduty.Call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.usage.Candidate().MayCall(r.now(), call)
}

// Leave has the gateway challenge no holder any more. It is called when a planned
// stop begins; a holder goes on until Stop.
func (r *Runner) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usage.Leave()
}

// Stop sends the last counts and ends the gateway's part in the duties. It is called
// once no request runs any more.
func (r *Runner) Stop() {
	r.mu.Lock()
	r.ended = true // no call begins any more
	r.mu.Unlock()
	r.awaitCalls()
	r.mu.Lock()
	r.usage.Tick(r.mergeCounts(), r.wall())
	r.usage.Close()
	d := r.messages()
	r.mu.Unlock()
	for range lastMessages {
		d.send()
		time.Sleep(lastMessageGap)
	}
}

// awaitCalls waits for the running calls for a short time.
func (r *Runner) awaitCalls() {
	done := make(chan struct{})
	go func() {
		r.calls.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(lastCallTime):
	}
}
