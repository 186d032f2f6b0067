package awentry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"unicode/utf8"

	"github.com/go-chi/chi/v5"
	"go.opentelemetry.io/otel/trace"

	"arbutuswind/core/awoutcome"
	"arbutuswind/io/awhttp"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awtelemetry"
)

// newCallerServer returns the server for callers. Its listener must be one of the
// guard.
func (e *Entry) newCallerServer(guard *awhttp.Guard) *http.Server {
	srv := awhttp.NewServer(e.callerHandler())
	guard.Protect(srv)
	return srv
}

// callerHandler returns the callers' API.
func (e *Entry) callerHandler() http.Handler {
	r := chi.NewRouter()
	r.Use(e.closeWhileDraining)
	r.NotFound(e.statusHandler(http.StatusNotFound))
	r.MethodNotAllowed(e.statusHandler(http.StatusMethodNotAllowed))
	r.Post("/v1/completions", e.serve(e.handleCompletion))
	r.Post("/v1/services/{service}/*", e.serve(e.handleService))
	return r
}

type handlerFunc func(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) error

// serve parses and admits a request and calls the handler with a context that
// ends at the request's deadline. Unless the handler has already reported its
// error to the caller, the response is a problem document.
func (e *Entry) serve(h handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.running.Add(1)
		defer e.running.Add(-1)
		awhttp.StripHeaders(r.Header)
		ctx := awtelemetry.Extract(r.Context(), r.Header.Get("Traceparent"))
		ctx, span := e.cfg.Tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		ctx, stopWatch := awhttp.WatchClient(ctx)
		defer stopWatch()
		ctx, end := e.untilStopped(ctx)
		defer end()
		if err := e.sync.awaitAdmission(ctx); err != nil {
			e.refuseEarly(w, r, awoutcome.Refuse(awoutcome.NotReady, err.Error()))
			return
		}
		req := e.newRequest(w)
		defer req.release()
		err := e.parse(w, r, req)
		if err == nil {
			err = e.admitTeam(req.team)
		}
		if err != nil {
			span.RecordError(err)
			e.refuseEarly(w, r, err)
			return
		}
		ctx, endDeadline := req.withDeadline(ctx)
		defer endDeadline()
		if err := h(ctx, w, r, req); err != nil {
			span.RecordError(err)
			if !errors.Is(err, errReported) {
				e.refuse(w, err)
			}
		}
	}
}

// errReported is returned for a failure that was already reported to the caller
// within the response.
var errReported = errors.New("failure was already reported to the caller")

// refuse counts the error and responds with a problem document.
func (e *Entry) refuse(w http.ResponseWriter, err error) {
	e.recordProblem(err)
	awhttp.WriteError(w, err)
}

// refuseEarly refuses a request whose body may not have been read.
func (e *Entry) refuseEarly(w http.ResponseWriter, r *http.Request, err error) {
	awhttp.RespondEarly(w, r, int64(e.cfg.Settings.Limits.MaxBodyBytes), bodyTimeout, func() { e.refuse(w, err) })
}

// statusHandler returns a handler that responds with a status and no body.
func (e *Entry) statusHandler(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		awhttp.RespondEarly(w, r, int64(e.cfg.Settings.Limits.MaxBodyBytes), bodyTimeout, func() {
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(status)
		})
	}
}

// completionRequest is the body of POST /v1/completions.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens uint32 `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

const (
	defaultMaxTokens = 16 // default of the OpenAI completions API
	maxTokensLimit   = 1 << 17
	bytesPerToken    = 4 // estimate of the prompt's tokens
)

func (e *Entry) handleCompletion(ctx context.Context, w http.ResponseWriter, _ *http.Request, req *request) error {
	var body completionRequest
	if err := json.Unmarshal(req.body, &body); err != nil {
		return awoutcome.Refuse(awoutcome.BadRequest, "body is not a completion request: "+err.Error())
	}
	if body.MaxTokens == 0 {
		body.MaxTokens = defaultMaxTokens
	}
	if body.Model == "" || body.MaxTokens > maxTokensLimit {
		return awoutcome.Refuse(awoutcome.BadRequest, "model is required and max_tokens must be at most "+strconv.Itoa(maxTokensLimit))
	}
	start := &awproto.ServeStart{
		Model: body.Model, Body: []byte(body.Prompt), MaxTokens: body.MaxTokens,
		PromptTokens: uint32(len(body.Prompt)/bytesPerToken) + 1, Repeatable: true,
	}
	if body.Stream {
		req.stream = true
		return e.dispatch(ctx, req, start, &sseSink{w: w})
	}
	sink := &jsonSink{model: body.Model}
	if err := e.dispatch(ctx, req, start, sink); err != nil {
		return err
	}
	sink.writeResponse(w)
	return nil
}

func (e *Entry) handleService(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) error {
	name, path := chi.URLParam(r, "service"), chi.URLParam(r, "*")
	if !utf8.ValidString(name) || !utf8.ValidString(path) {
		return awoutcome.Refuse(awoutcome.BadRequest, "the path must be UTF-8")
	}
	start := &awproto.ServeStart{
		Model: awproto.ServicePrefix + name, Body: req.body,
		Service: &awproto.ServiceCall{
			Service: name, Method: r.Method, Path: path,
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
	return sink.writeResponse(w)
}
