package awentry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"

	"arbutuswind/core/awoutcome"
	"arbutuswind/core/awstream"
	"arbutuswind/io/awhttp"
	"arbutuswind/io/awproto"
)

// sink receives the frames of one answer in order and writes them to the caller
// or collects them.
type sink interface {
	// setVersion sets the digest of the weights that produce the answer.
	setVersion(version string)
	writeFrame(f awstream.Frame) error
	finish(e *awproto.End) error
	// buffers reports whether the sink keeps all frames in memory until finish.
	buffers() bool
	// reset discards the collected answer. It returns false when a part of the
	// answer was already sent to the caller.
	reset() bool
	// reportError tells the caller that the answer is incomplete if the response
	// was already started. It returns whether it did.
	reportError(err error) bool
}

// sseSink streams tokens to the caller as server-sent events.
type sseSink struct {
	w       http.ResponseWriter
	version string
	started bool
	buf     bytes.Buffer
}

type sseEvent struct {
	Choices []sseChoice `json:"choices"`
}

type sseChoice struct {
	Text         string `json:"text"`
	Index        int    `json:"index"`
	FinishReason string `json:"finish_reason,omitempty"`
}

func (s *sseSink) setVersion(version string) { s.version = version }

func (s *sseSink) start() {
	if s.started {
		return
	}
	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.Header().Set(awhttp.HeaderVersion, s.version)
	s.w.WriteHeader(http.StatusOK)
}

func (s *sseSink) sendEvent(name string, v any) error {
	s.start()
	s.buf.Reset()
	if err := s.encode(name, v); err != nil {
		return err
	}
	return s.flush()
}

func (s *sseSink) encode(name string, v any) error {
	if name != "" {
		s.buf.WriteString("event: " + name + "\n")
	}
	s.buf.WriteString("data: ")
	if err := json.NewEncoder(&s.buf).Encode(v); err != nil {
		return err
	}
	s.buf.WriteByte('\n')
	return nil
}

func (s *sseSink) flush() error {
	if _, err := s.w.Write(s.buf.Bytes()); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

func (s *sseSink) writeFrame(f awstream.Frame) error {
	return s.sendEvent("", sseEvent{Choices: []sseChoice{{Text: string(f.Data)}}})
}

func (s *sseSink) finish(e *awproto.End) error {
	s.start()
	s.buf.Reset()
	if err := s.encode("", sseEvent{Choices: []sseChoice{{FinishReason: e.FinishReason}}}); err != nil {
		return err
	}
	s.buf.WriteString("data: [DONE]\n\n")
	_, err := s.w.Write(s.buf.Bytes()) // flushed when the handler returns
	return err
}

func (s *sseSink) buffers() bool { return false }

func (s *sseSink) reset() bool { return !s.started }

func (s *sseSink) reportError(err error) bool {
	if !s.started {
		return false
	}
	_ = s.sendEvent("error", awhttp.NewProblem(err)) // fails only if the caller has disconnected
	return true
}

// jsonSink collects a completion and writes it as one JSON document.
type jsonSink struct {
	model        string
	version      string
	text         bytes.Buffer
	tokens       uint32
	finishReason string
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

func (s *jsonSink) setVersion(version string) { s.version = version }

func (s *jsonSink) writeFrame(f awstream.Frame) error {
	s.text.Write(f.Data)
	s.tokens += f.Tokens
	return nil
}

func (s *jsonSink) finish(e *awproto.End) error {
	s.finishReason = e.FinishReason
	return nil
}

func (s *jsonSink) buffers() bool { return true }

func (s *jsonSink) reset() bool {
	s.text.Reset()
	s.tokens = 0
	return true
}

func (s *jsonSink) reportError(error) bool { return false }

func (s *jsonSink) writeResponse(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(awhttp.HeaderVersion, s.version)
	_ = json.NewEncoder(w).Encode(completionReply{ // fails only if the caller has disconnected
		Object: "text_completion", Model: s.model, Usage: usage{CompletionTokens: s.tokens},
		Choices: []sseChoice{{Text: s.text.String(), FinishReason: s.finishReason}},
	})
}

// bufferSink collects the response of a plain HTTP service.
type bufferSink struct {
	body        bytes.Buffer
	status      int
	contentType string
}

func (s *bufferSink) setVersion(string) {}

func (s *bufferSink) writeFrame(f awstream.Frame) error {
	s.body.Write(f.Data)
	return nil
}

func (s *bufferSink) finish(e *awproto.End) error {
	s.status, s.contentType = int(e.Status), e.ContentType
	return nil
}

func (s *bufferSink) buffers() bool { return true }

func (s *bufferSink) reset() bool {
	s.body.Reset()
	return true
}

func (s *bufferSink) reportError(error) bool { return false }

// writeResponse writes the response of the service, or returns the error that the caller
// gets in its place.
func (s *bufferSink) writeResponse(w http.ResponseWriter) error {
	switch {
	case awoutcome.PromisesNotRun(s.status):
		return unknownOutcome(awoutcome.EngineFailed, fmt.Sprintf("the service returned status %d, which does not prove that the call did not run", s.status))
	case !awoutcome.IsFinalStatus(s.status):
		return unknownOutcome(awoutcome.EngineFailed, fmt.Sprintf("the service returned the invalid status %d", s.status))
	}
	if s.contentType != "" {
		w.Header().Set("Content-Type", s.contentType)
	}
	w.WriteHeader(s.status)
	_, _ = w.Write(s.body.Bytes()) // fails only if the caller has disconnected
	return nil
}
