package awentry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"

	"arbutuswind/core/awoutcome"
	"arbutuswind/io/awhttp"
)

// request holds the state of one request from a caller.
type request struct {
	entry            *Entry
	w                http.ResponseWriter
	id               string
	team             string
	priority         uint32
	arrived          time.Time
	deadline         time.Time // for the complete answer
	explicitDeadline bool      // the deadline was set by the caller's header
	body             []byte
	key              string // Idempotency-Key
	stream           bool

	extended  atomic.Bool // the deadline was extended to maxDeadline when the stream began
	delivered bool        // a part of the answer was passed to the caller
	timer     *time.Timer
	reserved  int // bytes counted against Limits.HeldBytes
}

var (
	errDeadline = errors.New("deadline passed")
	errStopped  = errors.New("entry stopped")
)

const (
	// maxPriority is the highest priority of a request.
	maxPriority = 9
	// bodyTimeout limits how long a caller may take to send its body.
	bodyTimeout = 10 * time.Second
	// writeTimeoutMargin is added to the maximum deadline to get the write
	// deadline of the connection. It ends connections of callers that do not
	// read.
	writeTimeoutMargin = 5 * time.Second
	maxTeamBytes       = 128 // length of a team name
	maxKeyBytes        = 255 // length of an Idempotency-Key
)

func (e *Entry) newRequest(w http.ResponseWriter) *request {
	req := &request{entry: e, w: w, id: uuid.NewString(), arrived: time.Now(), priority: maxPriority / 2}
	w.Header().Set(awhttp.HeaderRequest, req.id)
	return req
}

// withDeadline returns a context that is canceled at the request's deadline. If
// the caller set no deadline, markDelivered extends the
// deadline of a stream to maxDeadline, so that a slow caller still gets the
// complete answer.
func (r *request) withDeadline(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	r.timer = time.AfterFunc(time.Until(r.deadline), func() { cancel(errDeadline) })
	// Fails if the writer does not support deadlines, as in tests.
	_ = http.NewResponseController(r.w).SetWriteDeadline(r.maxDeadline().Add(writeTimeoutMargin))
	return ctx, func() {
		r.timer.Stop()
		cancel(nil)
	}
}

func (r *request) maxDeadline() time.Time {
	return r.arrived.Add(r.entry.cfg.Settings.Limits.MaxDeadline.Std())
}

// markDelivered is called before each frame is passed to the caller. At the
// first frame it updates the metric and, for a stream without an explicit
// deadline, extends the deadline.
func (r *request) markDelivered() {
	if r.delivered {
		return
	}
	r.delivered = true
	firstFrameSeconds.UpdateDuration(r.arrived)
	if r.stream && !r.explicitDeadline {
		r.extended.Store(true)
		r.timer.Reset(time.Until(r.maxDeadline()))
	}
}

// currentDeadline returns the deadline that applies now: maxDeadline after an
// extension, otherwise the initial deadline.
func (r *request) currentDeadline() time.Time {
	if r.extended.Load() {
		return r.maxDeadline()
	}
	return r.deadline
}

// reserve counts n bytes against Limits.HeldBytes until release is called. It
// returns false when the limit would be exceeded.
func (r *request) reserve(n int) bool {
	e := r.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.byteBudget.Reserve(n) {
		return false
	}
	r.reserved += n
	return true
}

func (r *request) release() {
	e := r.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	e.byteBudget.Release(r.reserved)
	r.reserved = 0
}

// reducedWindowBytes is the window of a new stream while more than half of
// Limits.HeldBytes is in use. It holds about fifty tokens with their frames.
const reducedWindowBytes = 8 << 10

// streamWindow returns the flow control window of a new stream in bytes.
func (e *Entry) streamWindow() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byteBudget.StreamWindow(e.cfg.Settings.Limits.StreamBytes/2, reducedWindowBytes)
}

// parse checks the headers and reads the body within the limits on size, time
// and held bytes.
func (e *Entry) parse(w http.ResponseWriter, r *http.Request, req *request) error {
	rc := http.NewResponseController(w)
	// Fails if the writer does not support deadlines, as in tests.
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	if err := req.parseHeaders(r.Header, e.cfg.Settings.Limits.DefaultDeadline.Std(), e.cfg.Settings.Limits.MaxDeadline.Std()); err != nil {
		return err
	}
	limit := e.cfg.Settings.Limits.MaxBodyBytes
	if r.ContentLength > int64(limit) {
		return tooLargeError(limit)
	}
	stop := context.AfterFunc(e.stopped, func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) })
	// Unlike http.MaxBytesReader, a LimitReader leaves the connection open.
	body, err := io.ReadAll(io.LimitReader(&reservingReader{r.Body, req}, int64(limit)+1))
	if !stop() {
		return awoutcome.Refuse(awoutcome.Leaving, "the entry stopped before the body had arrived")
	}
	if errors.Is(err, errHeldBytes) || errors.Is(err, awhttp.ErrShort) {
		return overloadedError("the entry has reached its limit of held bytes", defaultRetryAfterMs)
	}
	if err != nil {
		return bodyError(err)
	}
	if len(body) > limit {
		return tooLargeError(limit)
	}
	_ = rc.SetReadDeadline(time.Time{})
	req.body = body
	return nil
}

var errHeldBytes = errors.New("limit of held bytes reached")

// reservingReader counts a body against Limits.HeldBytes while it arrives.
type reservingReader struct {
	body io.Reader
	req  *request
}

// Read implements [io.Reader].
func (r *reservingReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if n > 0 && !r.req.reserve(n) {
		return 0, errHeldBytes
	}
	return n, err
}

func tooLargeError(limit int) error {
	return awoutcome.Refuse(awoutcome.BodyTooLarge, "body is larger than "+strconv.Itoa(limit)+" bytes")
}

func bodyError(err error) error {
	var netErr net.Error
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout() {
		return awoutcome.Refuse(awoutcome.BodyTimeout, "body did not arrive within "+bodyTimeout.String())
	}
	return awoutcome.Refuse(awoutcome.BadRequest, "cannot read the body: "+err.Error())
}

func (r *request) parseHeaders(h http.Header, defaultDeadline, maxDeadline time.Duration) error {
	r.team, r.key = h.Get(awhttp.HeaderTeam), h.Get(awhttp.HeaderKey)
	if len(r.team) > maxTeamBytes || len(r.key) > maxKeyBytes {
		return awoutcome.Refuse(awoutcome.BadRequest, awhttp.HeaderTeam+" or "+awhttp.HeaderKey+" is too long")
	}
	for _, name := range []string{awhttp.HeaderTeam, awhttp.HeaderKey, "Content-Type"} {
		if !utf8.ValidString(h.Get(name)) {
			return awoutcome.Refuse(awoutcome.BadRequest, name+" must be UTF-8")
		}
	}
	if v := h.Get(awhttp.HeaderPriority); v != "" {
		n, err := strconv.ParseUint(v, 10, 32)
		if err != nil || n > maxPriority {
			return awoutcome.Refuse(awoutcome.BadRequest, awhttp.HeaderPriority+" must be 0 to 9")
		}
		r.priority = uint32(n)
	}
	r.deadline = r.arrived.Add(defaultDeadline)
	if v := h.Get(awhttp.HeaderDeadline); v != "" {
		n, err := strconv.ParseUint(v, 10, 32)
		if err != nil || n == 0 || time.Duration(n)*time.Millisecond > maxDeadline {
			return awoutcome.Refuse(awoutcome.BadRequest,
				awhttp.HeaderDeadline+" must be 1 to "+strconv.FormatInt(maxDeadline.Milliseconds(), 10))
		}
		r.deadline, r.explicitDeadline = r.arrived.Add(time.Duration(n)*time.Millisecond), true
	}
	return nil
}
