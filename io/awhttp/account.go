package awhttp

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"arbutuswind/core/awguard"
)

const (
	// connBytes is what a connection without a request takes: buffers, stacks and the
	// objects of net/http. Measured: 12 KiB of resident memory.
	connBytes = 16 << 10
	// headerFactor is the memory that a parsed header takes for each of its bytes if
	// it has as many fields as possible. Measured: 17 to 20 with fields of five bytes.
	headerFactor = 20
	// smallHeader is the size up to which a header counts as its bytes.
	smallHeader = 2 << 10
	// fieldBytes is the memory that a parsed field takes besides its bytes.
	fieldBytes = 80
	// headerCopies is how often the header of a request that is passed on is copied.
	headerCopies = 2
	// silentPeer is how long nothing moves on a connection of the internal protocol
	// before it may be closed. Clients close their idle ones after 30 s, and streams
	// carry heartbeats every second.
	silentPeer = 35 * time.Second
	// progressBytes is the number of bytes after which a connection counts as having
	// moved. A client that sends fewer, one by one, gets no precedence by them.
	progressBytes = 4 << 10
)

// Account holds what one connection of a client holds and moves. Its methods do
// nothing if it has no guard.
type Account struct {
	guard *Guard
	close func()
	// unread returns the bytes that the kernel has received and the process has not
	// read. It is called only when memory may be short, and for idle connections when
	// some are chosen.
	unread func() int64

	mu         sync.Mutex
	phase      awguard.Phase
	inHeader   bool  // what arrives belongs to a header
	discards   bool  // what arrives is not kept
	closed     bool  // closed or about to be
	arrived    int64 // bytes of the current request
	held       int64 // accounted for the current request
	header     int64 // of held, for the header
	passed     bool  // the request is counted in the guard's passed
	answered   bool
	messages   bool      // carries a protocol of messages
	unfinished bool      // the current message is large and not complete
	moved      int64     // bytes since progress
	progress   time.Time // when the connection last moved progressBytes
	writing    time.Time // when the write that waits for the client began; zero if none
}

// hold changes the bytes accounted for the current request; mu must be held.
func (a *Account) hold(n int64) {
	a.held += n
	a.guard.held.Add(n)
}

// Read records that n bytes have arrived.
func (a *Account) Read(n int) {
	if a.guard == nil || n <= 0 {
		return
	}
	a.mu.Lock()
	if a.phase == awguard.Waiting {
		a.phase, a.inHeader = awguard.Receiving, true
	}
	a.recordMoved(n)
	a.arrived += int64(n)
	switch {
	case a.closed || a.discards:
	case a.inHeader && a.arrived > smallHeader:
		a.hold(int64(n) * headerFactor)
	default:
		a.hold(int64(n))
	}
	receiving := a.phase == awguard.Receiving
	a.mu.Unlock()
	if receiving {
		a.guard.checkBytes()
	}
}

// recordMoved records bytes in either direction; mu must be held.
func (a *Account) recordMoved(n int) {
	if a.moved += int64(n); a.moved >= progressBytes {
		a.moved, a.progress = 0, a.guard.running()
	}
}

// Hold accounts n further bytes for the current request.
func (a *Account) Hold(n int) {
	if a.guard == nil {
		return
	}
	a.mu.Lock()
	if !a.closed {
		a.hold(int64(n))
	}
	a.mu.Unlock()
	a.guard.checkBytes()
}

// ReadMessage records that bytes of a protocol of messages have arrived, which makes
// the process hold held bytes for the connection. If unfinished is set, the current
// message is large and not complete.
func (a *Account) ReadMessage(n int, held int64, unfinished bool) {
	if a.guard == nil {
		return
	}
	a.mu.Lock()
	if !a.closed && held != a.held {
		a.hold(held - a.held)
	}
	a.unfinished = unfinished
	a.recordMessage(n)
	a.mu.Unlock()
	a.guard.checkBytes()
}

// WroteMessage records that n bytes of a protocol of messages have been written.
func (a *Account) WroteMessage(n int) {
	if a.guard == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answered = true
	a.recordMessage(n)
}

// recordMessage records bytes of a protocol of messages; mu must be held.
func (a *Account) recordMessage(n int) {
	if a.unfinished || !a.answered {
		a.phase = awguard.Receiving
		a.recordMoved(n)
		return
	}
	a.phase, a.progress, a.messages = awguard.Serving, a.guard.running(), true
}

// headerRead records that a header has been read. Only a large one is looked at.
func (a *Account) headerRead(h http.Header) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase == awguard.Waiting { // pipelined behind the request before
		a.phase = awguard.Receiving
	}
	a.inHeader = false
	if a.arrived > smallHeader && !a.closed {
		a.header = parsedBytes(h)
		a.hold(a.arrived + a.header - a.held)
	}
}

// ErrShort is the error of a body that has arrived whole while the clients hold as much
// as they may. The request must be refused.
var ErrShort = errors.New("clients hold too much memory")

// smallRequest is the size up to which a request is passed on even then.
const smallRequest = 16 << 10

// pass records that the request is passed on. If it returns an error, the request must
// not run: [net.ErrClosed] if the connection is being closed, or [ErrShort].
func (a *Account) pass() error {
	err := a.markPassed()
	if errors.Is(err, ErrShort) {
		// Connections may still be about to be closed for the bytes that exceed the limit.
		a.guard.checkBytes()
		err = a.markPassed()
	}
	if err != nil {
		return err
	}
	a.guard.checkFiles()
	return nil
}

func (a *Account) markPassed() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.closed:
		return net.ErrClosed
	case a.discards:
		return nil
	case a.held > smallRequest && a.guard.held.Load() > a.guard.limits.Bytes:
		return ErrShort
	}
	if a.phase == awguard.Receiving {
		a.phase = awguard.Serving
		a.hold(headerCopies * a.header)
		a.passed = true
		a.guard.passed.Add(1)
	}
	return nil
}

// end records that the request, if one was passed on, has ended; mu must be held.
func (a *Account) end() {
	if a.passed {
		a.passed = false
		a.guard.passed.Add(-1)
	}
}

// discard records that the request was refused and that the rest of it is not kept.
func (a *Account) discard() {
	if a.guard == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.end()
	a.phase, a.discards = awguard.Receiving, true
	if !a.closed {
		a.hold(-a.held)
	}
}

// beginWrite records that a response is being written to the client.
func (a *Account) beginWrite() {
	if a.guard == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writing = a.guard.running()
	if a.phase == awguard.Serving { // before, it is a 100 Continue or a refusal
		a.phase = awguard.Responding
	}
}

// endWrite records that n bytes have been written.
func (a *Account) endWrite(n int) {
	if a.guard == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writing = time.Time{}
	a.answered = a.answered || a.phase == awguard.Responding
	a.recordMoved(n)
}

// finish records the end of a response, after which the next request may arrive.
func (a *Account) finish() {
	if a.guard == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.end()
	if !a.closed {
		a.hold(-a.held)
	}
	a.phase, a.discards, a.inHeader = awguard.Waiting, false, true
	a.arrived, a.header, a.moved = 0, 0, 0
	a.progress = a.guard.running()
}

// state returns what is known of the connection now.
func (a *Account) state(now time.Time, sample bool) awguard.Conn {
	a.mu.Lock()
	idle := a.phase == awguard.Waiting && a.answered
	a.mu.Unlock()
	var unread int64
	if a.unread != nil && (sample || idle) {
		unread = a.unread()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn(now, unread)
}

// conn returns what is known of the connection, with the bytes that the kernel holds;
// mu must be held.
func (a *Account) conn(now time.Time, unread int64) awguard.Conn {
	c := awguard.Conn{Phase: a.phase, Bytes: connBytes + a.held + unread, Quiet: now.Sub(a.progress), Answered: a.answered, Files: 1}
	c.Arrived = c.Phase == awguard.Waiting && c.Answered && unread > 0
	if a.passed {
		c.Files = 2
	}
	if !a.writing.IsZero() {
		c.Blocked = now.Sub(a.writing)
	}
	if a.messages && c.Phase == awguard.Serving && c.Quiet > silentPeer {
		c.Phase = awguard.Waiting
	}
	return c
}

// shut closes the connection unless it has moved since it was chosen at the time now,
// and may no longer be closed.
func (a *Account) shut(now time.Time) bool {
	a.mu.Lock()
	may := !a.closed && a.conn(now, 0).MayBeClosed()
	if may {
		a.release()
	}
	a.mu.Unlock()
	if may {
		a.close()
	}
	return may
}

// release ends the account; mu must be held.
func (a *Account) release() {
	if !a.closed {
		a.closed = true
		a.end()
		a.guard.held.Add(-a.held - connBytes)
	}
}

// Close ends the account of a connection that is closed.
func (a *Account) Close() {
	if a.guard == nil {
		return
	}
	a.mu.Lock()
	a.release()
	a.mu.Unlock()
	a.guard.remove(a)
}
