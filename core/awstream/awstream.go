// Package awstream implements the rules for streaming one response from an
// agent to an entry: flow control, and checks of the order of frames and tokens
// and of the weights that produced them.
//
// The agent sends only as much as the entry's flow-control window allows, so
// the entry never buffers more than it has granted. For a response whose reader
// has stopped reading, only the resume point is kept.
package awstream

import (
	"fmt"

	"arbutuswind/core/awoutcome"
)

// frameOverhead is the credit that a frame takes in addition to its data, in
// bytes. Frames of one token are mostly overhead. If only data were counted,
// the socket buffers would fill up long before the window.
const frameOverhead = 128

// FrameCost returns the credit that a frame with n bytes of data takes, in bytes.
// Both sides of a stream must use it.
func FrameCost(n int) int { return n + frameOverhead }

// maxWindow is the maximum credit of a sender, in bytes.
const maxWindow = 1 << 30

// Window is the flow-control window of a sender: the credit left, in bytes. It is
// not safe for concurrent use.
type Window struct {
	credit  int64
	initial int64
}

// NewWindow returns a window with the initial credit granted by the request.
func NewWindow(bytes uint32) *Window {
	return &Window{credit: int64(bytes), initial: int64(bytes)}
}

// Add grants more credit.
func (w *Window) Add(bytes uint32) { w.credit = min(w.credit+int64(bytes), maxWindow) }

// Consume takes the credit for a frame with n bytes of data. It returns false, and
// takes nothing, if no credit is left. The last frame may take more credit than
// is left, so that a frame larger than the window can be sent.
func (w *Window) Consume(n int) bool {
	if w.credit <= 0 {
		return false
	}
	w.credit -= int64(FrameCost(n))
	return true
}

// CanResume reports whether a paused response should be resumed. At least half of
// the initial window must be free, because the backend server processes the
// prompt again on each resume, and a slow reader frees only a few bytes at a
// time.
func (w *Window) CanResume() bool { return w.credit > 0 && w.credit >= w.initial/2 }

// Position is the progress of a completion and the weights that produce it.
type Position struct {
	Next   uint32 // index of the next token, which is the resume point
	Digest string // digest of the weights as reported by the engine; if empty, set by the first token
}

// Advance checks that a token is the next one and was produced by the same weights,
// and advances the position. A completion that fails this check must not be
// continued.
func (p *Position) Advance(index uint32, digest string) *awoutcome.Error {
	if p.Digest == "" {
		p.Digest = digest
	}
	switch {
	case digest != p.Digest:
		return p.identityError(fmt.Sprintf("token %d was produced by weights %q, want %q", index, digest, p.Digest))
	case index != p.Next:
		return p.identityError(fmt.Sprintf("got token %d, want token %d", index, p.Next))
	}
	p.Next++
	return nil
}

// Finish checks the end of a completion of at most maxTokens tokens. A completion
// that ends earlier without a finish reason has been truncated.
func (p *Position) Finish(reason string, maxTokens uint32) *awoutcome.Error {
	if reason == "" && p.Next < maxTokens {
		return &awoutcome.Error{
			Outcome: awoutcome.Unknown, Reason: awoutcome.Truncated,
			Detail: fmt.Sprintf("completion ended after %d tokens without a finish reason", p.Next),
		}
	}
	return nil
}

func (p *Position) identityError(detail string) *awoutcome.Error {
	return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.IdentityChanged, Detail: detail}
}
