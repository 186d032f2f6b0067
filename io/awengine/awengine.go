// Package awengine is a client of the backend server of an agent: a model
// engine or a plain service.
//
// Engines implement the common completions protocol with server-sent events, a
// status endpoint, and load commands that carry a fencing token.
package awengine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awthrottle"
	"arbutuswind/io/awhttp"
	"arbutuswind/io/awtelemetry"
)

// Completion is the request body of the completions protocol.
type Completion struct {
	Model      string `json:"model"`
	Prompt     string `json:"prompt"`
	MaxTokens  uint32 `json:"max_tokens"`
	Stream     bool   `json:"stream"`
	Priority   uint32 `json:"priority,omitempty"`
	ResumeFrom uint32 `json:"resume_from,omitempty"` // number of tokens delivered already
}

// Token is one event of an engine's stream.
type Token struct {
	Index  uint32 `json:"index"`
	Text   string `json:"text"`
	Digest string `json:"digest"` // digest of the weights that produced the token
	Finish string `json:"finish_reason,omitempty"`
}

// Status is the state that an engine reports about itself. Its load figures may
// be out of date.
type Status struct {
	BootID      string
	State       string // "empty", "cold" or "warm"
	Model       string
	Version     string
	Digest      string // BLAKE3 digest of the weights as loaded
	Fence       uint64 // fencing token of the last accepted command
	Running     int
	Waiting     int
	MemoryBytes uint64
	UsedBytes   uint64
}

// LoadCommand tells an engine to load weights from URL.
type LoadCommand struct {
	Model   string
	Version string
	URL     string
	Fence   uint64
}

// StatusError is an HTTP response of a backend server with status 400 or above.
type StatusError struct {
	Status int
	Body   string
}

// Error implements the error interface.
func (e *StatusError) Error() string {
	return fmt.Sprintf("backend server returned status %d: %s", e.Status, e.Body)
}

// ErrTruncatedStream is returned for a stream that ended without its end event.
var ErrTruncatedStream = eris.New("stream ended without its end event")

const (
	statusTimeout   = 2 * time.Second
	maxEventBytes   = 64 << 10
	maxErrorBytes   = 1 << 10
	maxStatusBytes  = 64 << 10
	streamEnd       = "[DONE]"
	eventDataPrefix = "data: "
	maxIdleConns    = 256
)

// Client is a client of one backend server.
type Client struct {
	base    string
	http    *http.Client
	clock   awclock.Clock
	observe func(s awthrottle.Signals, sent time.Time)
}

// Headers in which a backend server says something about itself in a response. With
// status 503, Retry-After holds the seconds for which it takes no requests.
const (
	HeaderRateLimit = "Request-Rate-Limit" // requests per second that it takes, a decimal number
	HeaderLeaving   = "Backend-Leaving"    // 1 if it will stop
)

// OnSignals sets the function that gets what each response says about the backend
// server, and when its request was sent. It must be called before any request.
func (c *Client) OnSignals(clock awclock.Clock, observe func(s awthrottle.Signals, sent time.Time)) {
	c.clock, c.observe = clock, observe
}

func (c *Client) observeResponse(resp *http.Response, sent time.Time) {
	if c.observe == nil {
		return
	}
	texts := awthrottle.Texts{RateLimit: resp.Header.Get(HeaderRateLimit), Leaving: resp.Header.Get(HeaderLeaving)}
	if resp.StatusCode == http.StatusServiceUnavailable {
		texts.RetryAfter = resp.Header.Get("Retry-After")
	}
	c.observe(texts.Parse(), sent)
}

// New returns a client of the backend server at the URL base.
func New(base string) *Client {
	d := &net.Dialer{Control: awhttp.ResetOnClose}
	tr := &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: maxIdleConns, ReadBufferSize: 4 << 10}
	return &Client{base: strings.TrimRight(base, "/"), http: &http.Client{Transport: awhttp.NewTransport(tr)}, clock: awclock.System{}}
}

// Status returns the current status of the engine.
func (c *Client) Status(ctx context.Context) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var st Status
	resp, err := c.send(ctx, http.MethodGet, "/status", "", nil)
	if err != nil {
		return st, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&st)
	return st, eris.Wrap(err, "decode engine status")
}

// Load sends a load command to the engine. After any error other than a
// [StatusError] the command may have taken effect, and the caller must check
// [Client.Status].
func (c *Client) Load(ctx context.Context, cmd LoadCommand) error {
	body, err := json.Marshal(cmd)
	if err != nil {
		return eris.Wrap(err, "encode load command")
	}
	resp, err := c.send(ctx, http.MethodPost, "/commands/load", "application/json", body)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Stream is one running completion.
type Stream struct {
	body io.ReadCloser
	scan *bufio.Scanner
}

// Complete starts a completion. Closing the stream or ending ctx cancels it
// at the engine.
func (c *Client) Complete(ctx context.Context, req Completion) (*Stream, error) {
	req.Stream = true
	body, err := json.Marshal(req)
	if err != nil {
		return nil, eris.Wrap(err, "encode completion")
	}
	resp, err := c.send(ctx, http.MethodPost, "/v1/completions", "application/json", body) //nolint:bodyclose // closed by Stream.Close
	if err != nil {
		return nil, err
	}
	scan := bufio.NewScanner(resp.Body)
	scan.Buffer(make([]byte, 0, 1<<10), maxEventBytes)
	return &Stream{body: resp.Body, scan: scan}, nil
}

// Next returns the next token, io.EOF after the end event, and [ErrTruncatedStream]
// when the stream ends without one.
func (s *Stream) Next() (Token, error) {
	var t Token
	for s.scan.Scan() {
		data, ok := bytes.CutPrefix(s.scan.Bytes(), []byte(eventDataPrefix))
		if !ok {
			continue
		}
		if string(data) == streamEnd {
			return t, io.EOF
		}
		if err := json.Unmarshal(data, &t); err != nil {
			return t, eris.Wrap(err, "decode token")
		}
		return t, nil
	}
	if err := s.scan.Err(); err != nil {
		return t, eris.Wrap(err, "read stream")
	}
	return t, ErrTruncatedStream
}

// Close ends the stream; a running completion is cancelled.
func (s *Stream) Close() error { return s.body.Close() }

// ServiceRequest is a call to a plain service.
type ServiceRequest struct {
	Method         string
	Path           string
	ContentType    string
	IdempotencyKey string
	Body           []byte
}

// Call sends a request to a plain service once, without retries. The caller
// must close the response body.
func (c *Client) Call(ctx context.Context, r ServiceRequest) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, c.base+"/"+strings.TrimLeft(r.Path, "/"), bytes.NewReader(r.Body))
	if err != nil {
		return nil, eris.Wrap(err, "create service request")
	}
	// net/http retries a request on a reused connection if it considers the
	// request idempotent and can replay its body with GetBody. A call must run
	// at most once, so retries are prevented.
	req.GetBody = nil
	// net/http also replays an empty body, so the body's type hides whether it
	// is empty. Redirects are not followed, since they would send the call again.
	req.Body = io.NopCloser(struct{ io.Reader }{bytes.NewReader(r.Body)})
	setTraceContext(ctx, req)
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	client := &http.Client{Transport: c.http.Transport, CheckRedirect: noRedirect}
	sent := c.clock.Now()
	resp, err := client.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "call service")
	}
	c.observeResponse(resp, sent)
	return resp, nil
}

// setTraceContext adds the W3C trace context of ctx to a request.
func setTraceContext(ctx context.Context, req *http.Request) {
	if parent := awtelemetry.Inject(ctx); parent != "" {
		req.Header.Set("Traceparent", parent)
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (c *Client) send(ctx context.Context, method, path, contentType string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "create engine request")
	}
	setTraceContext(ctx, req)
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	sent := c.clock.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, eris.Wrapf(err, "%s %s", method, path)
	}
	c.observeResponse(resp, sent)
	if resp.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		_ = resp.Body.Close()
		return nil, &StatusError{Status: resp.StatusCode, Body: strings.TrimSpace(string(text))}
	}
	return resp, nil
}
