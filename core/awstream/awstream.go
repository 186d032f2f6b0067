// Package awstream holds the rules of one response between agent and entry:
// the byte window that the entry grants, and the identity and order of what
// a backend server produces.
//
// The agent sends only what the window allows, so the entry never holds more
// than it offered. A response whose reader has stopped keeps its resume point
// only.
package awstream

import (
	"fmt"

	"arbutuswind/core/awoutcome"
)

// frameOverhead is what a frame costs beside its data. Frames of one token
// are mostly overhead; counting data alone would fill the socket buffers long
// before the window.
const frameOverhead = 128

// FrameCost returns the credit that a frame with n bytes of data takes. Both
// sides of a stream must use it.
func FrameCost(n int) int { return n + frameOverhead }

// maxWindow bounds the credit that a sender may pile up.
const maxWindow = 1 << 30

// Window is the credit left to send. It is not safe for concurrent use.
type Window struct {
	free    int64
	initial int64
}

// NewWindow returns a window with the credit that came with the request.
func NewWindow(bytes uint32) *Window {
	return &Window{free: int64(bytes), initial: int64(bytes)}
}

// Add grants more credit.
func (w *Window) Add(bytes uint32) { w.free = min(w.free+int64(bytes), maxWindow) }

// Consume uses credit for a frame with n bytes of data and reports whether there
// was any. A frame may overdraw a window that is not empty, so that a frame
// larger than the window still passes.
func (w *Window) Consume(n int) bool {
	if w.free <= 0 {
		return false
	}
	w.free -= int64(FrameCost(n))
	return true
}

// CanResume reports whether a paused response should start again. Half of the
// window must be free: resuming for every byte that a slow reader takes would
// make the backend server read the prompt again each time.
func (w *Window) CanResume() bool { return w.free > 0 && w.free >= w.initial/2 }

// Position is how far a completion has got, and which weights it comes from.
type Position struct {
	Next   uint32 // index of the next token; the resume point
	Digest string // of the weights as the engine reports them; empty accepts the first
}

// Advance checks that a token is the next one and comes from the same
// weights. A completion that fails here must not be continued.
func (p *Position) Advance(index uint32, digest string) *awoutcome.Error {
	if p.Digest == "" {
		p.Digest = digest
	}
	switch {
	case digest != p.Digest:
		return p.broken(fmt.Sprintf("token %d comes from weights %q, not %q", index, digest, p.Digest))
	case index != p.Next:
		return p.broken(fmt.Sprintf("token %d follows where %d is due", index, p.Next))
	}
	p.Next++
	return nil
}

// Finish checks the end of a completion of at most maxTokens tokens. An
// engine that ends without a finish reason has been cut short.
func (p *Position) Finish(reason string, maxTokens uint32) *awoutcome.Error {
	if reason == "" && p.Next < maxTokens {
		return &awoutcome.Error{
			Outcome: awoutcome.Unknown, Reason: awoutcome.Truncated,
			Detail: fmt.Sprintf("completion ended after %d tokens without a finish reason", p.Next),
		}
	}
	return nil
}

func (p *Position) broken(detail string) *awoutcome.Error {
	return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.IdentityChanged, Detail: detail}
}
