package awentry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/trace"

	"arbutuswind/core/awoutcome"
	"arbutuswind/io/awhttp"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awtelemetry"
)

// servicePrefix marks the routing name of a plain service.
const servicePrefix = "service/"

// callerHandler returns the callers' API.
func (e *Entry) callerHandler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/completions", e.serve(e.completion))
	r.Post("/v1/services/{service}/*", e.serve(e.service))
	return r
}

// request is a caller's request after its headers were checked.
type request struct {
	id       string
	team     string
	priority uint32
	deadline time.Time
	body     []byte
	key      string // Idempotency-Key
}

type handler func(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) error

// serve checks a request, bounds it in time and answers with a problem
// document when the handler fails before it has written.
func (e *Entry) serve(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		awhttp.StripHeaders(r.Header)
		if err := e.ready(); err != nil {
			awhttp.WriteError(w, awoutcome.Refuse(awoutcome.Leaving, err.Error()))
			return
		}
		req, err := e.parse(w, r)
		if err != nil {
			awhttp.WriteError(w, err)
			return
		}
		ctx := awtelemetry.Extract(r.Context(), r.Header.Get("Traceparent"))
		ctx, span := e.cfg.Tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		ctx, cancel := context.WithDeadline(ctx, req.deadline)
		defer cancel()
		w.Header().Set(awhttp.HeaderRequest, req.id)
		if err := h(ctx, w, r, req); err != nil {
			span.RecordError(err)
			if !errors.Is(err, errAnswered) {
				awhttp.WriteError(w, err)
			}
		}
	}
}

// errAnswered marks a failure that the caller was told about already.
var errAnswered = errors.New("answer was started")

// maxPriority is the highest priority of a request.
const maxPriority = 9

func (e *Entry) parse(w http.ResponseWriter, r *http.Request) (*request, error) {
	limits := e.cfg.Settings.Limits
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limits.MaxBodyBytes)))
	if err != nil {
		return nil, awoutcome.Refuse(awoutcome.BadRequest, "body: "+err.Error())
	}
	req := &request{
		id: uuid.NewString(), team: r.Header.Get(awhttp.HeaderTeam), body: body, key: r.Header.Get(awhttp.HeaderKey),
		priority: maxPriority / 2, deadline: time.Now().Add(limits.DefaultDeadline.Std()),
	}
	if v := r.Header.Get(awhttp.HeaderPriority); v != "" {
		n, err := strconv.ParseUint(v, 10, 32)
		if err != nil || n > maxPriority {
			return nil, awoutcome.Refuse(awoutcome.BadRequest, awhttp.HeaderPriority+" must be 0 to 9")
		}
		req.priority = uint32(n)
	}
	if v := r.Header.Get(awhttp.HeaderDeadline); v != "" {
		n, err := strconv.ParseUint(v, 10, 32)
		if err != nil || n == 0 || time.Duration(n)*time.Millisecond > limits.MaxDeadline.Std() {
			return nil, awoutcome.Refuse(awoutcome.BadRequest,
				awhttp.HeaderDeadline+" must be 1 to "+strconv.FormatInt(limits.MaxDeadline.Std().Milliseconds(), 10))
		}
		req.deadline = time.Now().Add(time.Duration(n) * time.Millisecond)
	}
	return req, nil
}

// completionRequest is the body of POST /v1/completions.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens uint32 `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

const (
	defaultMaxTokens = 16 // as in the usual completions API
	maxMaxTokens     = 1 << 17
	bytesPerToken    = 4 // estimate for prompts
)

func (e *Entry) completion(ctx context.Context, w http.ResponseWriter, _ *http.Request, req *request) error {
	var body completionRequest
	if err := json.Unmarshal(req.body, &body); err != nil {
		return awoutcome.Refuse(awoutcome.BadRequest, "body is not a completion request: "+err.Error())
	}
	if body.MaxTokens == 0 {
		body.MaxTokens = defaultMaxTokens
	}
	if body.Model == "" || body.MaxTokens > maxMaxTokens {
		return awoutcome.Refuse(awoutcome.BadRequest, "want a model and max_tokens of at most "+strconv.Itoa(maxMaxTokens))
	}
	start := &awproto.ServeStart{
		Model: body.Model, Body: []byte(body.Prompt), MaxTokens: body.MaxTokens,
		PromptTokens: uint32(len(body.Prompt)/bytesPerToken) + 1, Repeatable: true,
	}
	if body.Stream {
		return e.dispatch(ctx, req, start, &sseSink{w: w})
	}
	sink := &jsonSink{model: body.Model}
	if err := e.dispatch(ctx, req, start, sink); err != nil {
		return err
	}
	sink.write(w)
	return nil
}

func (e *Entry) service(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) error {
	name := chi.URLParam(r, "service")
	start := &awproto.ServeStart{
		Model: servicePrefix + name, Body: req.body,
		Service: &awproto.ServiceCall{
			Service: name, Method: r.Method, Path: chi.URLParam(r, "*"),
			ContentType: r.Header.Get("Content-Type"), IdempotencyKey: req.key,
		},
	}
	sink := &bufferSink{}
	if req.key != "" {
		return e.serveClaimed(ctx, w, req, start, sink)
	}
	if err := e.dispatch(ctx, req, start, sink); err != nil {
		return err
	}
	sink.write(w)
	return nil
}

// sink takes the answer of the backend server in order.
type sink interface {
	accept(version string)
	frame(f *awproto.Frame) error
	end(e *awproto.End) error
	// fail tells the caller that a started answer broke off; it reports
	// whether the caller has been told.
	fail(err error) bool
}

// sseSink streams tokens to the caller as server-sent events.
type sseSink struct {
	w       http.ResponseWriter
	version string
	started bool
}

type sseEvent struct {
	Choices []sseChoice `json:"choices"`
}

type sseChoice struct {
	Text         string `json:"text"`
	Index        int    `json:"index"`
	FinishReason string `json:"finish_reason,omitempty"`
}

func (s *sseSink) accept(version string) { s.version = version }

func (s *sseSink) start() {
	if s.started {
		return
	}
	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set(awhttp.HeaderVersion, s.version)
	s.w.WriteHeader(http.StatusOK)
}

func (s *sseSink) event(name string, v any) error {
	s.start()
	var b bytes.Buffer
	if name != "" {
		b.WriteString("event: " + name + "\n")
	}
	b.WriteString("data: ")
	if err := json.NewEncoder(&b).Encode(v); err != nil {
		return err
	}
	b.WriteByte('\n')
	if _, err := s.w.Write(b.Bytes()); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

func (s *sseSink) frame(f *awproto.Frame) error {
	return s.event("", sseEvent{Choices: []sseChoice{{Text: string(f.Data)}}})
}

func (s *sseSink) end(e *awproto.End) error {
	if err := s.event("", sseEvent{Choices: []sseChoice{{FinishReason: e.FinishReason}}}); err != nil {
		return err
	}
	_, err := io.WriteString(s.w, "data: [DONE]\n\n")
	return err
}

func (s *sseSink) fail(err error) bool {
	if !s.started {
		return false
	}
	_ = s.event("error", awhttp.NewProblem(err)) // a caller that is gone needs no event
	return true
}

// jsonSink collects a completion for one JSON answer.
type jsonSink struct {
	model   string
	version string
	text    bytes.Buffer
	tokens  uint32
	finish  string
}

type completionReply struct {
	Object  string      `json:"object"`
	Model   string      `json:"model"`
	Choices []sseChoice `json:"choices"`
	Usage   usage       `json:"usage"`
}

type usage struct {
	CompletionTokens uint32 `json:"completion_tokens"`
}

func (s *jsonSink) accept(version string) { s.version = version }

func (s *jsonSink) frame(f *awproto.Frame) error {
	s.text.Write(f.Data)
	s.tokens += f.Tokens
	return nil
}

func (s *jsonSink) end(e *awproto.End) error {
	s.finish = e.FinishReason
	return nil
}

func (s *jsonSink) fail(error) bool { return false }

func (s *jsonSink) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(awhttp.HeaderVersion, s.version)
	_ = json.NewEncoder(w).Encode(completionReply{ // the caller may be gone
		Object: "text_completion", Model: s.model, Usage: usage{CompletionTokens: s.tokens},
		Choices: []sseChoice{{Text: s.text.String(), FinishReason: s.finish}},
	})
}

// bufferSink collects the answer of a plain service.
type bufferSink struct {
	body        bytes.Buffer
	status      int
	contentType string
}

func (s *bufferSink) accept(string) {}

func (s *bufferSink) frame(f *awproto.Frame) error {
	s.body.Write(f.Data)
	return nil
}

func (s *bufferSink) end(e *awproto.End) error {
	s.status, s.contentType = int(e.Status), e.ContentType
	return nil
}

func (s *bufferSink) fail(error) bool { return false }

func (s *bufferSink) write(w http.ResponseWriter) {
	if s.contentType != "" {
		w.Header().Set("Content-Type", s.contentType)
	}
	w.WriteHeader(s.status)
	_, _ = w.Write(s.body.Bytes()) // the caller may be gone
}
