// Package awadmit decides at the agent which requests its backend server
// takes. The bound holds however many entries send, because every request to
// the backend server passes here.
package awadmit

import (
	"arbutuswind/core/awoutcome"
)

// Config bounds the backend server.
type Config struct {
	MaxInFlight   int
	ColdInFlight  int
	MemoryBytes   uint64
	BytesPerToken uint64
}

// Request is what admission needs to know.
type Request struct {
	PromptTokens uint32
	MaxTokens    uint32
}

// Gate counts what the backend server holds. It is not safe for concurrent
// use.
type Gate struct {
	cfg      Config
	cold     bool
	inFlight int
	reserved uint64
}

// NewGate returns a gate before a cold backend server.
func NewGate(cfg Config) *Gate { return &Gate{cfg: cfg, cold: true} }

// SetCold tells the gate whether the backend server is in cold start.
func (g *Gate) SetCold(cold bool) { g.cold = cold }

// Limit returns the number of requests admitted at once now.
func (g *Gate) Limit() int {
	if g.cold {
		return g.cfg.ColdInFlight
	}
	return g.cfg.MaxInFlight
}

// InFlight returns the number of requests admitted and not released.
func (g *Gate) InFlight() int { return g.inFlight }

// FreeMemory returns the unreserved bytes of the backend server.
func (g *Gate) FreeMemory() uint64 { return g.cfg.MemoryBytes - g.reserved }

// Admit reserves room for a request and returns the bytes to release.
func (g *Gate) Admit(r Request) (uint64, *awoutcome.Error) {
	if g.inFlight >= g.Limit() {
		reason := awoutcome.QueueFull
		if g.cold {
			reason = awoutcome.ColdLimit
		}
		return 0, awoutcome.Refuse(reason, "backend server is at its limit")
	}
	need := (uint64(r.PromptTokens) + uint64(r.MaxTokens)) * g.cfg.BytesPerToken
	if need > g.FreeMemory() {
		return 0, awoutcome.Refuse(awoutcome.MemoryFull, "backend server has no memory left for the request")
	}
	g.inFlight++
	g.reserved += need
	return need, nil
}

// Release returns what Admit reserved.
func (g *Gate) Release(need uint64) {
	g.inFlight--
	g.reserved -= need
}
