package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that has reached a replica.
type arrival struct {
	at      time.Time
	attempt string
	tenant  string
	ran     bool
}

// replica is a stand-in for a backend server. It answers as the pages say and
// registers itself in the store.
type replica struct {
	w             *world
	service, zone string
	id, address   string
	born          int64
	slots, queue  int
	work          time.Duration
	server        *http.Server
	places        chan struct{} // one value for each request that runs
	// decorate adds headers to an answer to a request that ran. It may be nil.
	decorate func(h http.Header)
	engine   *engine // nil for a plain service

	mu       sync.Mutex
	waiting  int
	state    string
	sequence int
	gone     bool
	arrivals []arrival
}

func newID() string { return fmt.Sprintf("i-%08x", rand.Uint32()) }

// startReplica starts a replica at an address and registers it.
func (w *world) startReplica(ctx context.Context, service, zone, address string, slots int, work time.Duration) (*replica, error) {
	r := &replica{
		w: w, service: service, zone: zone, id: newID(), born: time.Now().UnixMilli(), slots: slots, queue: 4 * slots, work: work,
		places: make(chan struct{}, slots), state: "ready",
	}
	if address == "" {
		ip, err := w.newIP()
		if err != nil {
			return nil, err
		}
		address = net.JoinHostPort(ip, strconv.Itoa(appPort))
	}
	return r, r.listen(ctx, address)
}

func (r *replica) listen(ctx context.Context, address string) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	r.address = lis.Addr().String()
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	r.w.mu.Lock()
	r.w.servers = append(r.w.servers, r.server)
	r.w.mu.Unlock()
	go func() { _ = r.server.Serve(lis) }() // ends when the replica ends
	go r.heartbeat(ctx)
	return nil
}

// entry returns what the replica writes about itself; mu must be held.
func (r *replica) entry() map[string]any {
	e := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": r.state,
		"cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born,
	}
	if r.engine != nil {
		e["phase"], e["models"] = "hybrid", r.engine.models()
	}
	return e
}

// heartbeat writes the entry until the replica is gone.
func (r *replica) heartbeat(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.writeEntry() {
			return
		}
		sleep(ctx, heartbeatMs*time.Millisecond)
	}
}

// writeEntry writes the entry if more than its sequence has changed. It reports
// whether the replica still writes one.
func (r *replica) writeEntry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone {
		return false
	}
	r.sequence++
	next := r.entry()
	var stored map[string]any
	r.w.store.mu.Lock()
	row, present := r.w.store.rows[rowName{"servers", "", r.id}]
	r.w.store.mu.Unlock()
	if present && json.Unmarshal(row.Value, &stored) == nil {
		stored["sequence"] = next["sequence"]
		if bytes.Equal(mustJSON(stored), mustJSON(next)) {
			return true
		}
	}
	r.w.store.put("servers", r.id, next)
	return true
}

// drain reports that the replica is leaving, and returns the time at which the
// store has acknowledged that.
func (r *replica) drain() time.Time {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.writeEntry()
	return time.Now()
}

// exit ends the replica and its connections and removes its entry.
func (r *replica) exit() {
	r.mu.Lock()
	r.gone = true
	r.mu.Unlock()
	_ = r.server.Close()
	r.w.store.put("servers", r.id, nil)
}

func (r *replica) note(req *http.Request) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, arrival{at: time.Now(), attempt: req.Header.Get("X-Attempt-Id"), tenant: req.Header.Get("X-Tenant")})
	return len(r.arrivals) - 1
}

func (r *replica) list() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

// enter waits for a place. It returns false if the replica is full or the caller
// has left.
func (r *replica) enter(ctx context.Context) bool {
	r.mu.Lock()
	full := r.waiting >= r.queue
	if !full {
		r.waiting++
	}
	r.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		r.mu.Lock()
		r.waiting--
		r.mu.Unlock()
	}()
	select {
	case r.places <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// ServeHTTP implements [http.Handler].
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", r.id)
		return
	}
	if r.engine != nil && r.engine.serve(w, req) {
		return
	}
	n := r.note(req)
	attempt := req.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		panic(http.ErrAbortHandler) // the caller has left
	}
	if (r.engine != nil && !r.engine.accepts(req)) || !r.enter(req.Context()) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-r.places }()
	r.mu.Lock()
	r.arrivals[n].ran = true
	r.mu.Unlock()
	r.w.record.add("run", "%s at %s of %s for tenant %q", attempt, r.id, r.service, req.Header.Get("X-Tenant"))
	if r.decorate != nil {
		r.decorate(w.Header())
	}
	w.Header().Set("X-Response-Signature", r.id+"."+attempt)
	if r.engine != nil {
		r.engine.stream(w, req)
		return
	}
	time.Sleep(r.work)
	body := answerBody(attempt)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body) // the caller may be gone
}

// answerBody returns the whole body of an answer of a plain service.
func answerBody(attempt string) string { return "answer to " + attempt }
