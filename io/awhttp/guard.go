package awhttp

import (
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"arbutuswind/core/awguard"
)

const (
	// clientShare is the share of a process's memory that clients may make it hold.
	// The heap may take 0.7 of it, and needs room for garbage and for what the process
	// itself keeps.
	clientShare = 0.35
	// ownFiles is the number of descriptors that are kept for files.
	ownFiles = 200
	// clientFiles is the share of the other descriptors for connections of clients and
	// those over which their requests are passed on. The rest is for idle connections to
	// other processes and for the store.
	clientFiles = 7. / 8
	// minFiles is the least bound on descriptors, with any settings.
	minFiles = 32
	// maxReceiveBuffer and minReceiveBuffer bound what the kernel buffers in the
	// direction of the process. The kernel doubles the values.
	maxReceiveBuffer = 32 << 10
	minReceiveBuffer = 8 << 10
	// tunedShare is the share of the bound on descriptors up to which the kernel sizes
	// the receive buffers. A fixed size of 32 KiB lets a body of 4 MiB take seconds at
	// a round-trip time of 50 ms.
	tunedShare = 0.25
	// tunedBuffer is what the kernel may hold for a connection whose buffer it sizes:
	// the default of Linux for the last value of net.ipv4.tcp_rmem.
	tunedBuffer = 6 << 20
	// chooseInterval is the least time between two choices while the descriptors are
	// between the limit and its reserve.
	chooseInterval = 20 * time.Millisecond
	// sampleInterval is the time between two looks at what the kernel holds.
	sampleInterval = 100 * time.Millisecond
	// calmTicks is the number of sample intervals between two looks while clients hold
	// little. Looking each time took a tenth of a gateway's processor time on quiet days.
	calmTicks = 5
	// maxTick is the most by which the time of connections goes on between two ticks of
	// Run. It is less than the time after which a write counts as blocked.
	maxTick = 2 * sampleInterval
	// logInterval is the least time between two log lines for one reason.
	logInterval = 5 * time.Second
)

// GuardConfig configures a [Guard].
type GuardConfig struct {
	MemoryBytes int64 // memory above which the process is killed
	MaxBytes    int64 // bound on the bytes of clients, if that is less than a share of the memory; 0 for none
	Files       int   // descriptors that the process may open; 0 means its resource limit
	Logger      log.Logger
	Now         func() time.Time // nil for the system's clock
}

// Guard bounds the memory and the descriptors that the clients of a process take. All
// listeners of a process share one. A nil Guard bounds nothing.
type Guard struct {
	limits awguard.Limits
	logger log.Logger
	now    func() time.Time
	held   atomic.Int64         // bytes of all accounts, with connBytes for each
	chosen atomic.Int64         // when connections were last chosen, in Unix ns
	floor  atomic.Int64         // bytes below which it is of no use to choose again
	tick   atomic.Pointer[tick] // of Run; nil while it does not run
	// filesFloor is the number of descriptors up to which it is of no use to choose
	// again within chooseInterval.
	filesFloor atomic.Int64
	open       atomic.Int64 // accounts
	passed     atomic.Int64 // requests that were passed on and are not answered
	sampled    atomic.Int64 // bytes of all connections at the last look, with those in the kernel
	closed     [awguard.Reasons]*metrics.Counter

	choosing sync.Mutex // held while connections are chosen and closed

	mu       sync.Mutex
	accounts map[*Account]struct{}
	logged   [awguard.Reasons]time.Time
	unlogged [awguard.Reasons]int // connections closed since the last log line
}

// NewGuard returns a guard that keeps within the limits of the process.
func NewGuard(cfg GuardConfig) *Guard {
	g := &Guard{limits: limitsOf(cfg), logger: cfg.Logger, now: cfg.Now, accounts: map[*Account]struct{}{}}
	if g.now == nil {
		g.now = time.Now
	}
	for r := range g.closed {
		g.closed[r] = metrics.GetOrCreateCounter(`arbutuswind_clients_closed_total{reason="` + awguard.Reason(r).String() + `"}`)
	}
	metrics.GetOrCreateGauge("arbutuswind_clients_held_bytes", func() float64 { return float64(g.held.Load()) })
	metrics.GetOrCreateGauge("arbutuswind_clients_connections", func() float64 { return float64(g.count()) })
	metrics.GetOrCreateGauge("arbutuswind_clients_descriptors", func() float64 { return float64(g.files()) })
	metrics.GetOrCreateGauge("arbutuswind_clients_limit_bytes", func() float64 { return float64(g.limits.Bytes) })
	metrics.GetOrCreateGauge("arbutuswind_clients_limit_descriptors", func() float64 { return float64(g.limits.Files) })
	return g
}

func limitsOf(cfg GuardConfig) awguard.Limits {
	files := uint64(cfg.Files)
	if files == 0 {
		var r syscall.Rlimit
		if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) == nil {
			files = r.Cur
		}
	}
	l := awguard.Limits{Bytes: int64(clientShare * float64(cfg.MemoryBytes)), ByteStep: connBytes}
	if cfg.MaxBytes > 0 {
		l.Bytes = min(l.Bytes, cfg.MaxBytes)
	}
	bound := l.Bytes / connBytes
	if files > 0 {
		bound = min(bound, int64(clientFiles*(float64(files)-ownFiles)))
	}
	l.Files = int(max(bound, minFiles))
	return l
}

// Account returns the account of a new connection, which closeConn closes at once.
// unread returns the bytes that the kernel holds for the process, and may be nil.
// Nothing is bounded before [Account.Admit].
func (g *Guard) Account(closeConn func(), unread func() int64) *Account {
	if g == nil {
		return &Account{}
	}
	return &Account{guard: g, close: closeConn, unread: unread, inHeader: true, progress: g.running()}
}

// Admit begins to bound the connection. It returns false if there is no room for it;
// the connection is then closed.
func (a *Account) Admit() bool {
	g := a.guard
	if g == nil {
		return true
	}
	g.held.Add(connBytes)
	g.mu.Lock()
	g.accounts[a] = struct{}{}
	g.open.Store(int64(len(g.accounts)))
	g.mu.Unlock()
	g.checkFiles()
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.closed
}

// Held returns the bytes that the clients hold, with a fixed size for each connection.
func (g *Guard) Held() int64 { return g.held.Load() }

func (g *Guard) remove(a *Account) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.accounts, a)
	g.open.Store(int64(len(g.accounts)))
}

func (g *Guard) count() int { return int(g.open.Load()) }

// files returns the descriptors that the connections take.
func (g *Guard) files() int { return int(g.open.Load() + g.passed.Load()) }

// isCrowded reports whether the connections take too many descriptors. Responses then
// end their connections.
func (g *Guard) isCrowded() bool { return g.files() > g.limits.Files }

// servedReserve is the part of the descriptors by which requests may exceed the limit.
// It is less than that of fresh connections, so that these can still be answered.
const servedReserve = 16

// isFull reports whether the requests that were passed on take all descriptors alone.
// Requests with a body are then refused. Without a refusal their connections would be
// reset as soon as more arrive, because none of the others may be closed. Requests
// without a body, such as those for readiness, are still passed on.
func (g *Guard) isFull() bool {
	return 2*int(g.passed.Load()) >= g.limits.Files+g.limits.Files/servedReserve
}

// checkFiles closes connections if all of them together take too many descriptors.
func (g *Guard) checkFiles() {
	if g.lacksFiles() {
		g.reclaim(false)
	}
}

// lacksFiles reports whether connections should be chosen because of their descriptors.
func (g *Guard) lacksFiles() bool {
	files := g.files()
	if files <= g.limits.Files {
		return false
	}
	return files > max(g.limits.MaxFiles(), int(g.filesFloor.Load())) || g.now().UnixNano()-g.chosen.Load() >= int64(chooseInterval)
}

// receiveBuffer returns the size of the receive buffer of the next connection, or 0 if
// the kernel may size it because there are few connections and they hold little. All
// buffers of a fixed size together should take no more than half of the bytes for
// clients, and the kernel doubles the size.
func (g *Guard) receiveBuffer() int {
	n := g.count() + 1
	if float64(n) <= tunedShare*float64(g.limits.Files) && !g.isShort() {
		return 0
	}
	return int(min(max(g.limits.Bytes/4/int64(n), minReceiveBuffer), maxReceiveBuffer))
}

// LimitsBuffers reports whether the receive buffer of a new connection should have a
// fixed size, because the clients are many or hold much.
func (g *Guard) LimitsBuffers() bool { return g != nil && g.receiveBuffer() > 0 }

// checkBytes closes connections if all of them together hold too much.
func (g *Guard) checkBytes() {
	if g.lacksBytes() {
		g.reclaim(false)
	}
}

// lacksBytes reports whether connections should be chosen because of their bytes.
func (g *Guard) lacksBytes() bool {
	held := g.held.Load()
	return held > g.limits.Bytes && held > g.floor.Load()
}

// floorStep is the part of the bytes for clients by which they must grow until
// connections are chosen again, while the limit is exceeded by those that must not be
// closed.
const floorStep = 64

// shortShare is the part of the bytes for clients above which less of each response is
// buffered.
const shortShare = 0.5

// isShort reports whether the clients hold much.
func (g *Guard) isShort() bool { return float64(g.held.Load()) > shortShare*float64(g.limits.Bytes) }

// tick is a time at which the process was seen to run.
type tick struct {
	at   time.Time
	lost time.Duration // for which the process stood still before
}

// recordTick records that the process runs.
func (g *Guard) recordTick() {
	next := &tick{at: g.now()}
	if last := g.tick.Load(); last != nil {
		next.lost = last.lost + max(next.at.Sub(last.at)-maxTick, 0)
	}
	g.tick.Store(next)
}

// running returns a time that stands still while the process does. Otherwise each
// connection would seem blocked or quiet for the length of a freeze.
func (g *Guard) running() time.Time {
	now, last := g.now(), g.tick.Load()
	if last == nil {
		return now
	}
	return now.Add(-last.lost - max(now.Sub(last.at)-maxTick, 0))
}

// Run looks at what the kernel holds for the process until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	defer g.tick.Store(nil)
	for n := 0; ; n++ {
		g.recordTick()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.floor.Store(0)
			calm := !g.isShort() && float64(g.sampled.Load()) < shortShare*float64(g.limits.Bytes)
			if calm && n%calmTicks != 0 {
				continue
			}
			if g.held.Load()+int64(g.count())*tunedBuffer > g.limits.Bytes {
				g.reclaim(true)
			}
		}
	}
}

// reclaim closes the connections that the limits call for. If sample is set, what the
// kernel holds counts too.
func (g *Guard) reclaim(sample bool) {
	g.choosing.Lock()
	defer g.choosing.Unlock()
	if !sample && !g.lacksBytes() && !g.lacksFiles() {
		return // another goroutine has just chosen
	}
	g.mu.Lock()
	accounts := make([]*Account, 0, len(g.accounts))
	for a := range g.accounts {
		accounts = append(accounts, a)
	}
	g.mu.Unlock()
	now, running := g.now(), g.running()
	g.chosen.Store(now.UnixNano())
	states := make([]awguard.Conn, len(accounts))
	total := int64(0)
	for i, a := range accounts {
		states[i] = a.state(running, sample)
		total += states[i].Bytes
	}
	if sample {
		g.sampled.Store(total)
	}
	for _, v := range g.limits.Choose(states) {
		if accounts[v.Index].shut(running) {
			g.recordClosed(v.Reason, now)
		}
	}
	g.filesFloor.Store(int64(g.files()))
	if held := g.held.Load(); held > g.limits.Bytes {
		g.floor.Store(held + g.limits.Bytes/floorStep)
	}
}

// recordClosed counts a closed connection and writes a log line if the last one for
// the reason is old enough.
func (g *Guard) recordClosed(r awguard.Reason, now time.Time) {
	g.closed[r].Inc()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unlogged[r]++
	if now.Sub(g.logged[r]) < logInterval {
		return
	}
	_ = level.Warn(g.logger).Log("Message", "connections of clients closed", "Reason", r.String(), "Closed", g.unlogged[r],
		"Connections", len(g.accounts), "MaxDescriptors", g.limits.Files, "HeldBytes", g.held.Load(), "MaxHeldBytes", g.limits.Bytes)
	g.logged[r], g.unlogged[r] = now, 0
}
