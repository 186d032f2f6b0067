package awduties

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awduty"
)

// Guards against messages that lose counts or do not fit into one datagram, however
// many teams there are.
func TestMessageKeepsItsFields(t *testing.T) {
	want := &awduty.Message{
		Sender: "e1", Incarnation: 9, Domain: "z0", Wall: 1800000000123456 * time.Microsecond, Median: time.Second, Sources: 5,
		Counting: true, Since: 4, Last: true, Ask: true, Sent: 77, Echo: 78,
		Claim: awduty.Claim{Holder: "e2", Incarnation: 8, Token: 3, Position: awdirectory.Position{Era: 2, Version: 99}, Through: 5, Released: true, Age: time.Second},
	}
	for id := range int64(4) {
		counts := awduty.Counts{}
		for n := range 150 {
			counts[fmt.Sprintf("team-with-a-name-%d", n)] = int64(n + 1)
		}
		want.Windows = append(want.Windows, awduty.WindowCounts{Window: id + 4, Final: id < 3, Total: counts.Total(), Counts: counts})
	}
	merged := map[int64]awduty.WindowCounts{}
	payloads := encode(want)
	require.Greater(t, len(payloads), 4)
	for i, payload := range payloads {
		require.LessOrEqual(t, len(payload), 1150)
		got, err := decode(payload)
		require.NoError(t, err)
		require.Equal(t, i == len(payloads)-1, got.Ask)
		for _, w := range got.Windows {
			if before, ok := merged[w.Window]; ok {
				for team, n := range before.Counts {
					w.Counts[team] = n
				}
			}
			merged[w.Window] = w
		}
		got.Windows, got.Ask = want.Windows, true
		require.Equal(t, want, got)
	}
	for _, w := range want.Windows {
		require.Equal(t, w, merged[w.Window])
	}
	_, err := decode([]byte{0xff})
	require.Error(t, err)
}

// world is a store, a platform and a clock for one runner.
type world struct {
	*awclock.Fake
	mu       sync.Mutex
	row      awduty.Row
	position awdirectory.Position
	calls    int
	sent     int
	pause    time.Duration // between the decision on a call and its bytes
	limit    time.Duration // for the last call
}

func (w *world) ReadDuty(context.Context, awduty.Subject) (awduty.Row, awduty.Stored, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.row, awduty.Stored{Position: w.position}, nil
}

func (w *world) WriteDuty(_ context.Context, _ awduty.Subject, call awduty.StoreCall) (awduty.WriteResult, awduty.Stored, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if call.Precondition != w.position {
		return awduty.WriteConflict, awduty.Stored{}, nil
	}
	w.row = call.Row
	w.position.Version++
	return awduty.WriteDone, awduty.Stored{Position: w.position}, nil
}

func (w *world) Encode(window int64, _ awduty.Counts) []byte { return fmt.Append(nil, window) }

func (w *world) Call(ctx context.Context, _ awduty.Subject, _ awduty.Call, allowed func() bool) (awduty.Answer, time.Duration, error) {
	deadline, _ := ctx.Deadline()
	w.mu.Lock()
	w.limit = time.Until(deadline)
	pause := w.pause
	w.mu.Unlock()
	w.Advance(pause)
	ok := allowed()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	if !ok {
		return awduty.Retry, 0, nil
	}
	w.sent++
	return awduty.Accepted, 0, nil
}

func (w *world) SendDuties(netip.AddrPort, []byte) {}

func newTestRunner(w *world) *Runner {
	return New(Config{
		Logger: log.NewNopLogger(), Wall: w, Boot: w, Store: w, Platform: w, Instance: "e1", Incarnation: 1, Lease: 3 * time.Second,
		Window: 5 * time.Second, Late: 10 * time.Second, Tolerance: 0.05, Settling: time.Second,
	})
}

// Guards against a call whose bytes the kernel sends or retransmits after a
// challenger may have taken over.
func TestCallEndsWithLease(t *testing.T) {
	for _, tc := range []struct{ left, limit time.Duration }{
		{time.Minute, 2500 * time.Millisecond},
		{100 * time.Millisecond, 100*time.Millisecond + leaseMargin/2},
		{-time.Minute, 0},
	} {
		w := &world{Fake: awclock.NewFake(time.Unix(1_800_000_000, 0))}
		r := newTestRunner(w)
		r.callPlatform(context.Background(), awduty.Call{Until: r.now() + tc.left})
		require.LessOrEqual(t, w.limit, tc.limit)
	}
}

// Guards against a call that is sent after a pause in which the lease has run out.
func TestNoCallAfterPause(t *testing.T) {
	for _, tc := range []struct {
		pause time.Duration
		sent  bool
	}{{time.Second, true}, {6 * time.Second, false}} {
		w := &world{Fake: awclock.NewFake(time.Unix(1_800_000_000, 0)), pause: tc.pause}
		r := newTestRunner(w)
		for range 150 {
			w.Advance(tickInterval)
			r.step(context.Background())
			r.calls.Wait()
			w.mu.Lock()
			calls := w.calls
			w.mu.Unlock()
			if calls > 0 {
				break
			}
		}
		require.Equal(t, 1, w.calls)
		require.Equal(t, tc.sent, w.sent == 1)
	}
}

// Guards against requests that wait for the runner's decisions, log lines or
// datagrams, and against counts that are lost or shifted on the way to it.
func TestCountDoesNotWait(t *testing.T) {
	w := &world{Fake: awclock.NewFake(time.Unix(1_800_000_000, 0))}
	r := newTestRunner(w)
	r.mu.Lock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3000 { // over 6 s
			r.Count("team")
			w.Advance(2 * time.Millisecond)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Error("Count waits for the runner")
	}
	r.mu.Unlock()
	<-done
	r.step(context.Background())
	r.calls.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	m, _ := r.usage.Messages(r.now(), r.wall())
	require.Len(t, m.Windows, 2)
	require.InDelta(t, 2500, m.Windows[0].Counts["team"], 5)
	require.Equal(t, int64(3000), m.Windows[0].Total+m.Windows[1].Total)
}

// blockedSender is a socket that takes no datagram until it is released.
type blockedSender struct{ entered, release chan struct{} }

func (s blockedSender) SendDuties(netip.AddrPort, []byte) {
	s.entered <- struct{}{}
	<-s.release
}

// Guards against decisions, and checks before a call, that wait for datagrams.
func TestSendingDoesNotHoldTheLock(t *testing.T) {
	w := &world{Fake: awclock.NewFake(time.Unix(1_800_000_000, 0))}
	r := newTestRunner(w)
	r.SetEntries([]awdirectory.Entry{{Name: "e2", Address: "127.0.0.1:9"}})
	s := blockedSender{make(chan struct{}, 8), make(chan struct{})}
	r.sender = s
	for _, send := range []func(){r.sendMessages, r.Stop} {
		done := make(chan struct{})
		go func() {
			defer close(done)
			send()
		}()
		<-s.entered
		require.Eventually(t, func() bool {
			if !r.mu.TryLock() {
				return false
			}
			r.mu.Unlock()
			return true
		}, 5*time.Second, time.Millisecond)
		for waiting := true; waiting; {
			select {
			case s.release <- struct{}{}:
			case <-done:
				waiting = false
			}
		}
	}
}
