package awstream

import (
	"fmt"
)

// Frame is one piece of an answer.
type Frame struct {
	Number     uint64 // from 0, per attempt
	FirstToken uint32 // index of the first token in Data
	Tokens     uint32 // 0 for the bytes of a plain service
	Data       []byte
	Digest     string // weights that produced the data
}

// Fault names what is wrong with a stream.
type Fault string

// The faults.
const (
	FaultIdentity Fault = "identity" // other weights than those that began the answer
	FaultGap      Fault = "gap"      // frames or tokens are missing
	FaultOverlap  Fault = "overlap"  // a frame repeats delivered tokens together with new ones
	FaultWindow   Fault = "window"   // more is held out of order than the window allows
)

// Error reports a stream that cannot be part of a complete answer.
type Error struct {
	Fault  Fault
	Detail string
}

// Error implements the error interface.
func (e *Error) Error() string { return string(e.Fault) + ": " + e.Detail }

// Assembler puts the frames of one answer in order, over all attempts that
// deliver it. It drops duplicates, holds early frames within a window, and
// reports gaps and changes of identity. It is not safe for concurrent use.
type Assembler struct {
	window    int // bytes held out of order
	digest    string
	begun     bool
	nextFrame uint64 // of the attempt
	nextToken uint32 // of the answer
	held      map[uint64]Frame
	heldBytes int
}

// NewAssembler returns an assembler that holds at most window bytes of frames
// that arrive early.
func NewAssembler(window int) *Assembler { return &Assembler{window: window} }

// Begin starts an attempt that delivers frames of the digest. Once tokens
// were delivered every attempt must have the same digest.
func (a *Assembler) Begin(digest string) error {
	if a.nextToken > 0 && digest != a.digest {
		return &Error{FaultIdentity, fmt.Sprintf("answer began with weights %q, attempt has %q", a.digest, digest)}
	}
	a.digest, a.begun = digest, true
	a.nextFrame, a.held, a.heldBytes = 0, nil, 0
	return nil
}

// Reset forgets the answer. It may be called only while nothing has reached
// the caller.
func (a *Assembler) Reset() { *a = Assembler{window: a.window} }

// NextToken returns the resume point: the number of tokens delivered.
func (a *Assembler) NextToken() uint32 { return a.nextToken }

// Digest returns the weights of the answer; empty before the first attempt.
func (a *Assembler) Digest() string { return a.digest }

// Add takes a frame and calls deliver for each frame that is next in order.
func (a *Assembler) Add(f Frame, deliver func(Frame) error) error {
	if !a.begun || f.Digest != a.digest {
		return &Error{FaultIdentity, fmt.Sprintf("frame %d has weights %q, answer has %q", f.Number, f.Digest, a.digest)}
	}
	if _, ok := a.held[f.Number]; ok || f.Number < a.nextFrame {
		return nil
	}
	if f.Number > a.nextFrame {
		return a.hold(f)
	}
	for {
		if err := a.deliver(f, deliver); err != nil {
			return err
		}
		next, ok := a.held[a.nextFrame]
		if !ok {
			return nil
		}
		delete(a.held, next.Number)
		a.heldBytes -= len(next.Data)
		f = next
	}
}

func (a *Assembler) hold(f Frame) error {
	if a.heldBytes+len(f.Data) > a.window {
		return &Error{FaultWindow, fmt.Sprintf("frame %d is missing and the window is full", a.nextFrame)}
	}
	if a.held == nil {
		a.held = map[uint64]Frame{}
	}
	f.Data = append([]byte(nil), f.Data...) // the sender's buffer is reused
	a.held[f.Number] = f
	a.heldBytes += len(f.Data)
	return nil
}

func (a *Assembler) deliver(f Frame, deliver func(Frame) error) error {
	a.nextFrame = f.Number + 1
	if f.Tokens == 0 {
		return deliver(f)
	}
	switch {
	case f.FirstToken+f.Tokens <= a.nextToken:
		return nil // delivered by an earlier attempt
	case f.FirstToken > a.nextToken:
		return &Error{FaultGap, fmt.Sprintf("frame starts at token %d, want %d", f.FirstToken, a.nextToken)}
	case f.FirstToken < a.nextToken:
		return &Error{FaultOverlap, fmt.Sprintf("frame holds tokens %d to %d, want %d", f.FirstToken, f.FirstToken+f.Tokens-1, a.nextToken)}
	}
	a.nextToken += f.Tokens
	return deliver(f)
}

// End checks that the attempt delivered all of its frames and that the answer
// has as many tokens as its sender counted.
func (a *Assembler) End(frames uint64, tokens uint32) error {
	if !a.begun || frames != a.nextFrame {
		return &Error{FaultGap, fmt.Sprintf("attempt ended after %d frames, %d arrived", frames, a.nextFrame)}
	}
	if tokens != a.nextToken {
		return &Error{FaultGap, fmt.Sprintf("answer has %d tokens, %d arrived", tokens, a.nextToken)}
	}
	return nil
}
