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

// deliver hands a message to its process. It reports false when the process
// is paused.
func (m *machine) deliver(msg message) bool {
	for _, a := range m.agents {
		if a.id != msg.to {
			continue
		}
		switch {
		case a.paused:
			return false
		case a.incarnation != msg.inc: // the connection is refused
		case msg.start != nil:
			m.take(a, msg)
		case msg.view != nil:
			m.takeView(a, msg.view)
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
			if c.id == msg.call && (c.id1 == msg.id || m.broken(wholeAnswer)) && c.sent {
				m.receive(e, c, msg)
				break
			}
		}
	}
	return true
}

// take admits an attempt at an agent, or refuses it for good.
func (m *machine) take(a *agent, msg message) {
	a.attempts.AdvanceWatermark(msg.id.Entry, msg.id.Incarnation, msg.start.low)
	ticket, refusal := m.admit(a, msg)
	if refusal != nil {
		if refusal.Outcome == awoutcome.NotRun && !m.broken(notRunIsTrue) && a.attempts.Refuse(msg.id) != awledger.NotRun {
			refusal = &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.DuplicateID}
		}
		m.send(message{to: msg.start.entry, call: msg.call, id: msg.id, err: refusal})
		return
	}
	m.note("%s runs %v of key %q", a.id, msg.id, msg.start.key)
	m.oracle.handed(m, a, msg.start.key, fmt.Sprint(msg.id))
	a.running = append(a.running, &run{
		call: msg.call, id: msg.id, entry: msg.start.entry, ticket: ticket, position: awstream.Position{Digest: a.weights},
	})
}

func (m *machine) admit(a *agent, msg message) (*awadmit.Ticket, *awoutcome.Error) {
	switch {
	case a.leaving && !m.broken(leaving):
		return nil, awoutcome.Refuse(awoutcome.Leaving, "")
	case a.view.Out && !m.broken(domainOut):
		return nil, awoutcome.Refuse(awoutcome.DomainOut, "")
	case a.awaiting:
		return nil, awoutcome.Refuse(awoutcome.NotReady, "")
	case a.ready == "" || a.ready != msg.start.version:
		return nil, awoutcome.Refuse(awoutcome.NotReady, "")
	}
	ticket, err := a.gate.Offer(awadmit.Request{PromptTokens: 1, MaxTokens: callTokens, Deadline: m.clock.Now().Add(time.Hour)})
	if err != nil {
		return nil, awoutcome.Refuse(awoutcome.QueueFull, err.Error())
	}
	if err := a.attempts.Begin(msg.id); err != nil {
		a.gate.Release(ticket)
		return nil, err
	}
	return ticket, nil
}

// produce lets the engine give one token of a run, or its end.
func (m *machine) produce(a *agent, r *run) {
	tok := token{Call: r.call, Index: len(r.kept), Weights: a.weights}
	if err := r.position.Advance(uint32(tok.Index), tok.Weights); err != nil && !m.broken(noMixedWeights) {
		m.leave(a, r)
		m.send(message{to: r.entry, call: r.call, id: r.id, err: err})
		return
	}
	r.kept = append(r.kept, tok)
	m.send(message{to: r.entry, call: r.call, id: r.id, token: &tok})
	if len(r.kept) < callTokens {
		return
	}
	body, _ := json.Marshal(r.kept)
	a.attempts.Finish(r.id, &awledger.Result{Status: 200, Body: body})
	m.send(message{to: r.entry, call: r.call, id: r.id, end: true})
	a.gate.ObserveFinish(r.ticket)
	m.leave(a, r)
	if a.served++; a.served > 2 && a.knowsCold {
		m.observe(a, false)
	}
}

func (m *machine) leave(a *agent, r *run) {
	a.gate.Release(r.ticket)
	a.attempts.FinishWithoutResult(r.id)
	a.running = slices.DeleteFunc(a.running, func(o *run) bool { return o == r })
}

// receive takes a message of an attempt at its entry.
func (m *machine) receive(e *entry, c *call, msg message) {
	switch {
	case msg.err != nil:
		m.finish(e, c)
		if msg.err.Outcome == awoutcome.NotRun {
			m.oracle.refused(fmt.Sprint(msg.id))
			if c.mine != nil {
				m.write(c, c.mine.WithState(awledger.Refused))
			}
			e.mark.Settle(msg.id.Sequence)
		}
	case msg.token != nil:
		if err := m.assemble(c, *msg.token); err != nil {
			m.finish(e, c) // broken off visibly; a keyed call is settled by asking the agent
		}
	case msg.end:
		m.finish(e, c)
		if c.asm.End(callTokens, callTokens) != nil && !m.broken(wholeAnswer) {
			return
		}
		m.oracle.answered(c)
		if c.mine != nil {
			body, _ := json.Marshal(c.text)
			m.write(c, c.mine.Finish(awledger.Result{Status: 200, Body: body}, 1<<10))
		}
		e.mark.Settle(msg.id.Sequence)
	}
}

// assemble puts a token into its place in the answer.
func (m *machine) assemble(c *call, tok token) error {
	if m.broken(wholeAnswer) {
		c.text = append(c.text, tok)
		return nil
	}
	weights := tok.Weights
	if m.broken(noMixedWeights) {
		weights = "any"
	}
	if c.asm.Digest() == "" {
		if err := c.asm.Begin(weights); err != nil {
			return err
		}
	}
	data, _ := json.Marshal(tok)
	return c.asm.Add(awstream.Frame{
		Number: uint64(tok.Index), FirstToken: uint32(tok.Index), Tokens: 1, Data: data, Digest: weights,
	}, func(f awstream.Frame) error {
		var got token
		defer func() { c.text = append(c.text, got) }()
		return json.Unmarshal(f.Data, &got)
	})
}

// fetch moves the transfer of weights at an agent by one chunk, which may be
// corrupt.
func (m *machine) fetch(a *agent, corrupt bool) {
	want := a.view.Placement.Digest
	if want == "" || want == a.ready {
		return
	}
	if a.fetching != want { // the version changed under way
		a.fetching = want
		if !m.broken(noMixedWeights) {
			a.chunks = nil
		}
	}
	man, err := awweights.DecodeManifest(manifests[want], want)
	if err != nil {
		panic(err)
	}
	i := len(a.chunks)
	data := []byte(published[want])[i*chunkBytes:][:man.ChunkSize(i)]
	if corrupt {
		data = append([]byte("x"), data[1:]...)
	}
	if awweights.Digest(data) != man.Chunks[i] && !m.broken(noMixedWeights) {
		return
	}
	a.chunks = append(a.chunks, data)
	if len(a.chunks) < len(man.Chunks) {
		return
	}
	loaded := ""
	for _, c := range a.chunks {
		loaded += string(c)
	}
	a.weights, a.ready, a.chunks = loaded, want, nil
	m.oracle.loaded(a, loaded)
}

// restartEngine turns a warm engine cold; its requests are lost.
func (m *machine) restartEngine(a *agent) {
	a.boot++
	a.served = 0
	for len(a.running) > 0 {
		r := a.running[0]
		a.gate.ObserveFailure(r.ticket)
		m.leave(a, r)
		m.send(message{to: r.entry, call: r.call, id: r.id, err: &awoutcome.Error{Outcome: awoutcome.Unknown}})
	}
	m.observe(a, true)
}

func draw[T any](t *rapid.T, from []T) T { return from[rapid.IntRange(0, len(from)-1).Draw(t, "i")] }
