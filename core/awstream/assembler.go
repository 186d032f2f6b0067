package awstream

import (
	"fmt"
)

// Frame is a part of a response.
type Frame struct {
	Number     uint64 // sequence number within the attempt, from 0
	FirstToken uint32 // index of the first token in Data
	Tokens     uint32 // number of tokens in Data; 0 for a plain service
	Data       []byte
	Digest     string // digest of the weights that produced the data
}

// Fault is the kind of an [Error].
type Fault string

// The faults of a stream.
const (
	FaultIdentity Fault = "identity" // produced by other weights than the start of the response
	FaultGap      Fault = "gap"      // frames or tokens are missing
	FaultOverlap  Fault = "overlap"  // a frame contains both delivered and new tokens
	FaultWindow   Fault = "window"   // more out-of-order data than the reorder window allows
)

// Error is the error for a stream that cannot be part of a complete response.
type Error struct {
	Fault  Fault
	Detail string
}

// Error implements the error interface.
func (e *Error) Error() string { return string(e.Fault) + ": " + e.Detail }

// Assembler reassembles one response from the frames of all attempts that
// deliver it. It drops duplicates, buffers out-of-order frames up to a limit, and
// reports gaps and changes of the weights. It is not safe for concurrent use.
type Assembler struct {
	reorderWindow int // maximum number of bytes buffered out of order
	digest        string
	started       bool
	nextFrame     uint64 // next frame of the attempt
	nextToken     uint32 // next token of the response
	pending       map[uint64]Frame
	pendingBytes  int
}

// NewAssembler returns an assembler that buffers at most reorderWindow bytes of
// out-of-order frames.
func NewAssembler(reorderWindow int) *Assembler {
	return &Assembler{reorderWindow: reorderWindow}
}

// Begin starts an attempt whose frames are produced by the weights with the given
// digest. Once tokens have been delivered, all attempts must have the same
// digest.
func (a *Assembler) Begin(digest string) error {
	if a.nextToken > 0 && digest != a.digest {
		return &Error{FaultIdentity, fmt.Sprintf("response started with weights %q, attempt uses %q", a.digest, digest)}
	}
	a.digest, a.started = digest, true
	a.nextFrame, a.pending, a.pendingBytes = 0, nil, 0
	return nil
}

// Reset discards the response. It must not be called after data has been sent to
// the caller.
func (a *Assembler) Reset() { *a = Assembler{reorderWindow: a.reorderWindow} }

// NextToken returns the number of tokens delivered, which is the resume point.
func (a *Assembler) NextToken() uint32 { return a.nextToken }

// Digest returns the digest of the weights that produce the response. It is empty
// before the first attempt.
func (a *Assembler) Digest() string { return a.digest }

// Add adds a frame and calls deliver for each frame that is now next in order.
func (a *Assembler) Add(f Frame, deliver func(Frame) error) error {
	if !a.started || f.Digest != a.digest {
		return &Error{FaultIdentity, fmt.Sprintf("frame %d was produced by weights %q, want %q", f.Number, f.Digest, a.digest)}
	}
	if _, ok := a.pending[f.Number]; ok || f.Number < a.nextFrame {
		return nil
	}
	if f.Number > a.nextFrame {
		return a.buffer(f)
	}
	for {
		if err := a.deliver(f, deliver); err != nil {
			return err
		}
		next, ok := a.pending[a.nextFrame]
		if !ok {
			return nil
		}
		delete(a.pending, next.Number)
		a.pendingBytes -= len(next.Data)
		f = next
	}
}

func (a *Assembler) buffer(f Frame) error {
	if a.pendingBytes+len(f.Data) > a.reorderWindow {
		return &Error{FaultWindow, fmt.Sprintf("frame %d is missing and the reorder window is full", a.nextFrame)}
	}
	if a.pending == nil {
		a.pending = map[uint64]Frame{}
	}
	f.Data = append([]byte(nil), f.Data...) // the caller reuses its buffer
	a.pending[f.Number] = f
	a.pendingBytes += len(f.Data)
	return nil
}

func (a *Assembler) deliver(f Frame, deliver func(Frame) error) error {
	a.nextFrame = f.Number + 1
	if f.Tokens == 0 {
		return deliver(f)
	}
	switch {
	case f.FirstToken+f.Tokens <= a.nextToken:
		return nil // already delivered by an earlier attempt
	case f.FirstToken > a.nextToken:
		return &Error{FaultGap, fmt.Sprintf("frame starts at token %d, want %d", f.FirstToken, a.nextToken)}
	case f.FirstToken < a.nextToken:
		return &Error{FaultOverlap, fmt.Sprintf("frame contains tokens %d to %d, want a start at token %d", f.FirstToken, f.FirstToken+f.Tokens-1, a.nextToken)}
	}
	a.nextToken += f.Tokens
	return deliver(f)
}

// End checks that all frames of the attempt have arrived and that the response has
// the number of tokens that its sender reports.
func (a *Assembler) End(frames uint64, tokens uint32) error {
	if !a.started || frames != a.nextFrame {
		return &Error{FaultGap, fmt.Sprintf("attempt ended after %d frames, received %d", frames, a.nextFrame)}
	}
	if tokens != a.nextToken {
		return &Error{FaultGap, fmt.Sprintf("response has %d tokens, received %d", tokens, a.nextToken)}
	}
	return nil
}
