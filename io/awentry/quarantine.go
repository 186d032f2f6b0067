package awentry

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"arbutuswind/core/awoutcome"
	"arbutuswind/core/awquarantine"
	"arbutuswind/core/awstream"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
	"arbutuswind/io/awstore"
)

const (
	// factsDelay is how long facts are collected before they are sent. All requests
	// at an engine that crashes fail within a few milliseconds.
	factsDelay = 3 * time.Millisecond
	// digestInterval is the time between two digests to one other entry.
	digestInterval = time.Second
	// factsTimeout limits one call.
	factsTimeout = time.Second
)

var quarantinedParts = metrics.NewGauge("arbutuswind_entry_quarantined_parts", nil)

// suspicion is the state of one request as far as it may crash engines.
type suspicion struct {
	parts   []string // with the whole prompt, which identifies the request, as the last one
	crashes int      // attempts under which an engine crashed early
	probe   bool
	proof   awquarantine.Proof // of the current attempt
	agent   string             // of the current attempt
	sent    time.Time
}

// request identifies the request together with its repetitions by the caller.
func (s *suspicion) request() string { return s.parts[len(s.parts)-1] }

// shared returns the parts of the prompt that other requests may have.
func (s *suspicion) shared() []string { return s.parts[:len(s.parts)-1] }

// newSuspicion returns the state of a completion. Its parts are the prefixes of the
// prompt and the whole of it.
func newSuspicion(prefixes []uint64, prompt []byte) suspicion {
	s := suspicion{parts: make([]string, 0, len(prefixes)+1)}
	for _, h := range append(prefixes[:len(prefixes):len(prefixes)], xxhash.Sum64(prompt)) {
		s.parts = append(s.parts, strconv.FormatUint(h, 16))
	}
	return s
}

// checkQuarantine refuses a request with a prompt part that crashes engines.
func (x *dispatchState) checkQuarantine() error {
	s, e := &x.suspicion, x.entry
	if len(s.parts) == 0 {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	until, blocked := e.quarantine.Blocked(s.parts)
	if !blocked {
		return nil
	}
	if !s.probe && e.quarantine.StartProbe(s.parts) {
		s.probe = true
		return nil
	}
	refusal := awoutcome.Refuse(awoutcome.Quarantined, "requests with a part of this prompt crash engines")
	refusal.RetryAfterMs = uint32(max(1, until.Sub(e.cfg.Clock.Now()).Milliseconds()))
	return refusal
}

func (s *suspicion) begin(agent string, now time.Time) {
	s.agent, s.sent, s.proof = agent, now, awquarantine.Proof{}
}

// frameObserver is a sink that reports each frame before it is passed on.
type frameObserver struct {
	sink
	observe func()
}

func (o frameObserver) writeFrame(f awstream.Frame) error {
	o.observe()
	return o.sink.writeFrame(f)
}

// recordFrame records that the prompt is sound once the answer has gone on for long
// enough.
func (x *dispatchState) recordFrame() {
	s, e := &x.suspicion, x.entry
	if len(s.parts) == 0 || s.proof.Done {
		return
	}
	if s.proof.Event(e.cfg.Clock.Now()) {
		e.recordSound(s)
	}
}

// recordEnd records how an attempt ended.
func (x *dispatchState) recordEnd(err error) {
	s, e := &x.suspicion, x.entry
	var oe *awoutcome.Error
	switch {
	case len(s.parts) == 0 || s.proof.Done:
	case err == nil:
		s.proof.End()
		e.recordSound(s)
	case errors.As(err, &oe) && oe.Reason == awoutcome.EngineCrashed:
		x.recordCrash(s.agent, oe.Engine, s.sent)
	}
}

// recordCrash records that an engine crashed under an attempt.
func (x *dispatchState) recordCrash(agent, engine string, sent time.Time) {
	s, e := &x.suspicion, x.entry
	s.crashes++
	if len(s.parts) == 0 {
		return
	}
	c := awquarantine.Crash{Engine: agent + "|" + engine, Request: s.request(), Parts: s.shared(), Sent: sent, At: e.cfg.Clock.Now()}
	e.mu.Lock()
	e.quarantine.RecordCrash(c)
	e.mu.Unlock()
	e.updateQuarantine()
}

func (e *Entry) recordSound(s *suspicion) {
	e.mu.Lock()
	cleared := e.quarantine.RecordSound(s.request(), s.shared())
	e.mu.Unlock()
	if cleared {
		e.updateQuarantine()
	}
}

// updateQuarantine has pending facts sent and logs changes of the quarantine.
func (e *Entry) updateQuarantine() {
	select {
	case e.factsPending <- struct{}{}:
	default: // a signal is already pending
	}
	e.mu.Lock()
	blocks := e.quarantine.Blocks()
	var parts []string
	for _, b := range blocks {
		parts = append(parts, b.Part)
	}
	list := strings.Join(parts, ",")
	changed := list != e.quarantined
	e.quarantined = list
	e.mu.Unlock()
	quarantinedParts.Set(float64(len(parts)))
	if changed {
		_ = e.cfg.Logger.Log("Message", "quarantined prompt parts changed", "Parts", list)
	}
}

// factsLoop exchanges with the other entries what is known about requests that
// crash engines, until ctx ends.
func (e *Entry) factsLoop(ctx context.Context) {
	digest := time.NewTicker(digestInterval)
	defer digest.Stop()
	asked := false // whether the other entries have been asked for what they know
	for {
		select {
		case <-ctx.Done():
			return
		case <-digest.C:
			peers := e.fleet.otherEntries()
			e.mu.Lock()
			e.quarantine.SetEntries(entryNames(peers, e.identity.Instance))
			facts := e.quarantine.Digest()
			if asked && len(peers) > 0 {
				i := e.rng.IntN(len(peers))
				peers = peers[i : i+1]
			}
			e.mu.Unlock()
			e.shareFacts(ctx, facts, !asked, peers)
			asked = asked || len(peers) > 0
		case <-e.factsPending:
			time.Sleep(factsDelay)
			e.mu.Lock()
			facts := e.quarantine.TakePending()
			e.mu.Unlock()
			e.shareFacts(ctx, facts, false, e.fleet.otherEntries())
		}
	}
}

func entryNames(peers []awstore.Instance, self string) []string {
	names := []string{self}
	for _, p := range peers {
		names = append(names, p.ID)
	}
	return names
}

// shareFacts sends facts to the peers without waiting for them. A digest replaces
// a message that is lost.
func (e *Entry) shareFacts(ctx context.Context, facts awquarantine.Facts, wanted bool, peers []awstore.Instance) {
	if facts.Empty() && !wanted {
		return
	}
	m := awproto.NewFacts(facts, e.cfg.Clock.Now())
	m.Wanted = wanted
	for _, peer := range peers {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, factsTimeout)
			defer cancel()
			reply, err := e.dialer.Entry(ctx, awrpc.Target{Address: peer.Address, Instance: peer.ID}).ShareFacts(ctx, m)
			if err == nil {
				e.mergeFacts(reply)
			}
		}()
	}
}

func (e *Entry) mergeFacts(m *awproto.Facts) {
	facts := m.Decode(e.cfg.Clock.Now())
	if facts.Empty() {
		return
	}
	e.mu.Lock()
	e.quarantine.Merge(facts)
	e.mu.Unlock()
	e.updateQuarantine()
}

// ShareFacts records the facts of another entry and returns those of this one if
// they are wanted.
func (s *innerServer) ShareFacts(_ context.Context, m *awproto.Facts) (*awproto.Facts, error) {
	e := s.entry
	e.mergeFacts(m)
	if !m.Wanted {
		return &awproto.Facts{}, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return awproto.NewFacts(e.quarantine.Digest(), e.cfg.Clock.Now()), nil
}
