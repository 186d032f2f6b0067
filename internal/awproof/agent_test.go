package awproof

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"arbutuswind/core/awadmit"
	"arbutuswind/core/awledger"
	"arbutuswind/core/awoutcome"
	"arbutuswind/core/awstream"
	"arbutuswind/core/awweights"
)

// deliver delivers a message to its recipient. It returns false if the
// recipient is paused.
func (m *machine) deliver(msg message) bool {
	for _, a := range m.agents {
		if a.id != msg.to {
			continue
		}
		switch {
		case a.paused:
			return false
		case a.incarnation != msg.incarnation: // the agent restarted; the connection is refused
		case msg.start != nil:
			m.handleStart(a, msg)
		case msg.view != nil:
			m.applyView(a, msg.view)
		}
	}
	for _, e := range m.entries {
		if e.id != msg.to {
			continue
		}
		if e.paused {
			return false
		}
		for _, c := range e.calls {
			if c.id == msg.call && (c.attempt == msg.attempt || m.breaks(wholeAnswer)) && c.sent {
				m.handleReply(e, c, msg)
				break
			}
		}
	}
	return true
}

// handleStart admits an attempt at an agent and starts it, or records a final
// refusal so that the attempt cannot run later.
func (m *machine) handleStart(a *agent, msg message) {
	a.attempts.AdvanceWatermark(msg.attempt.Entry, msg.attempt.Incarnation, msg.start.settledThrough)
	ticket, refusal := m.admit(a, msg)
	if refusal != nil {
		if refusal.Outcome == awoutcome.NotRun && !m.breaks(notRunIsTrue) && a.attempts.Refuse(msg.attempt) != awledger.NotRun {
			refusal = &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.DuplicateID}
		}
		m.send(message{to: msg.start.entry, call: msg.call, attempt: msg.attempt, failure: refusal})
		return
	}
	m.tracef("%s runs %v of key %q", a.id, msg.attempt, msg.start.key)
	m.oracle.recordRun(m, a, msg.start.key, fmt.Sprint(msg.attempt))
	a.running = append(a.running, &run{
		call: msg.call, id: msg.attempt, entry: msg.start.entry, ticket: ticket, position: awstream.Position{Digest: a.loadedWeights},
	})
}

func (m *machine) admit(a *agent, msg message) (*awadmit.Ticket, *awoutcome.Error) {
	switch {
	case a.leaving && !m.breaks(leaving):
		return nil, awoutcome.Refuse(awoutcome.Leaving, "")
	case a.view.Out && !m.breaks(domainOut):
		return nil, awoutcome.Refuse(awoutcome.DomainOut, "")
	case a.awaitingContact:
		return nil, awoutcome.Refuse(awoutcome.NotReady, "")
	case a.ready == "" || a.ready != msg.start.version:
		return nil, awoutcome.Refuse(awoutcome.NotReady, "")
	}
	ticket, err := a.admission.Offer(awadmit.Request{PromptTokens: 1, MaxTokens: callTokens, Deadline: m.clock.Now().Add(time.Hour)})
	if err != nil {
		return nil, awoutcome.Refuse(awoutcome.QueueFull, err.Error())
	}
	if err := a.attempts.Begin(msg.attempt); err != nil {
		a.admission.Release(ticket)
		return nil, err
	}
	return ticket, nil
}

// produceToken makes the engine emit the next token of a run and completes the
// run after its last token.
func (m *machine) produceToken(a *agent, r *run) {
	tok := token{Call: r.call, Index: len(r.produced), Weights: a.loadedWeights}
	if err := r.position.Advance(uint32(tok.Index), tok.Weights); err != nil && !m.breaks(noMixedWeights) {
		m.releaseRun(a, r)
		m.send(message{to: r.entry, call: r.call, attempt: r.id, failure: err})
		return
	}
	r.produced = append(r.produced, tok)
	m.send(message{to: r.entry, call: r.call, attempt: r.id, token: &tok})
	if len(r.produced) < callTokens {
		return
	}
	body, _ := json.Marshal(r.produced)
	a.attempts.Finish(r.id, &awledger.Result{Status: 200, Body: body})
	m.send(message{to: r.entry, call: r.call, attempt: r.id, end: true})
	a.admission.ObserveFinish(r.ticket)
	m.releaseRun(a, r)
	if a.served++; a.served > 2 && a.believesCold {
		m.observeEngine(a, false)
	}
}

func (m *machine) releaseRun(a *agent, r *run) {
	a.admission.Release(r.ticket)
	a.attempts.FinishWithoutResult(r.id)
	a.running = slices.DeleteFunc(a.running, func(o *run) bool { return o == r })
}

// handleReply processes an agent's message about an attempt at the entry.
func (m *machine) handleReply(e *entry, c *call, msg message) {
	switch {
	case msg.failure != nil:
		m.finishCall(e, c)
		if msg.failure.Outcome == awoutcome.NotRun {
			m.oracle.recordNotRun(fmt.Sprint(msg.attempt))
			if c.ownClaim != nil {
				m.writeClaim(c, c.ownClaim.WithState(awledger.Refused))
			}
			e.watermark.Settle(msg.attempt.Sequence)
		}
	case msg.token != nil:
		if err := m.assembleToken(c, *msg.token); err != nil {
			m.finishCall(e, c) // the caller sees a truncated stream; the outcome of a keyed call is queried from the agent
		}
	case msg.end:
		m.finishCall(e, c)
		if c.assembler.End(callTokens, callTokens) != nil && !m.breaks(wholeAnswer) {
			return
		}
		m.oracle.recordAnswer(c)
		if c.ownClaim != nil {
			body, _ := json.Marshal(c.tokens)
			m.writeClaim(c, c.ownClaim.Finish(awledger.Result{Status: 200, Body: body}, 1<<10))
		}
		e.watermark.Settle(msg.attempt.Sequence)
	}
}

// assembleToken appends a token to the response.
func (m *machine) assembleToken(c *call, tok token) error {
	if m.breaks(wholeAnswer) {
		c.tokens = append(c.tokens, tok)
		return nil
	}
	weights := tok.Weights
	if m.breaks(noMixedWeights) {
		weights = "any"
	}
	if c.assembler.Digest() == "" {
		if err := c.assembler.Begin(weights); err != nil {
			return err
		}
	}
	data, _ := json.Marshal(tok)
	return c.assembler.Add(awstream.Frame{
		Number: uint64(tok.Index), FirstToken: uint32(tok.Index), Tokens: 1, Data: data, Digest: weights,
	}, func(f awstream.Frame) error {
		var got token
		defer func() { c.tokens = append(c.tokens, got) }()
		return json.Unmarshal(f.Data, &got)
	})
}

// fetchChunk transfers one chunk of weights to an agent. A corrupt chunk is
// rejected unless NoMixedWeights is being mutated.
func (m *machine) fetchChunk(a *agent, corrupt bool) {
	want := a.view.Placement.Digest
	if want == "" || want == a.ready {
		return
	}
	if a.fetching != want { // the desired version changed during the transfer
		a.fetching = want
		if !m.breaks(noMixedWeights) {
			a.chunks = nil
		}
	}
	manifest, err := awweights.DecodeManifest(manifests[want], want)
	if err != nil {
		panic(err)
	}
	i := len(a.chunks)
	data := []byte(publishedWeights[want])[i*chunkBytes:][:manifest.ChunkSize(i)]
	if corrupt {
		data = append([]byte("x"), data[1:]...)
	}
	if awweights.Digest(data) != manifest.Chunks[i] && !m.breaks(noMixedWeights) {
		return
	}
	a.chunks = append(a.chunks, data)
	if len(a.chunks) < len(manifest.Chunks) {
		return
	}
	loaded := ""
	for _, c := range a.chunks {
		loaded += string(c)
	}
	a.loadedWeights, a.ready, a.chunks = loaded, want, nil
	m.oracle.recordLoad(a, loaded)
}

// restartEngine restarts an agent's engine, which is cold afterwards. Its
// running requests fail with an unknown outcome.
func (m *machine) restartEngine(a *agent) {
	a.engineBoot++
	a.served = 0
	for len(a.running) > 0 {
		r := a.running[0]
		a.admission.ObserveFailure(r.ticket)
		m.releaseRun(a, r)
		m.send(message{to: r.entry, call: r.call, attempt: r.id, failure: &awoutcome.Error{Outcome: awoutcome.Unknown}})
	}
	m.observeEngine(a, true)
}

func drawOne[T any](t *rapid.T, from []T) T { return from[rapid.IntRange(0, len(from)-1).Draw(t, "i")] }
