package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"path"
	"strconv"
	"sync"
	"time"
)

const (
	modelName      = "scribe"
	scribeService  = "ladle-scribe"
	originService  = "pantry-desk"
	chunkCount     = 96
	chunkBytes     = 24576
	originMbit     = 7.3
	streamEvents   = 8
	eventInterval  = 30 * time.Millisecond
	loadDuration   = 300 * time.Millisecond
	spoiltExcuse   = 3 * time.Second // a piece that turned bad this shortly before it is taken is excused
	streamDeadline = 6 * time.Second
)

// chunk returns a piece of a version of the weights.
func chunk(version int64, index int) []byte {
	rng := rand.NewChaCha8(sha256.Sum256(fmt.Append(nil, version, "/", index)))
	b := make([]byte, chunkBytes)
	_, _ = rng.Read(b) // never fails
	return b
}

func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// piece is a piece that lies at a replica.
type piece struct {
	data     []byte
	badSince time.Time // zero if it has not turned bad
}

// engine is the part of a replica that runs a model.
type engine struct {
	r *replica
	// onStageGet is called before a staged piece is returned, with the numbers of
	// pieces that were put so far and that were returned since. It may be nil.
	onStageGet func(index, puts, sincePut int)

	mu       sync.Mutex
	staged   map[int]piece
	puts     int
	sincePut int
	orders   int64
	version  int64
	active   int
	busy     bool
	spoilt   string // why the loaded weights are spoilt; empty if they are whole
	// tokens is the number of events made with spoilt weights, and wasSpoilt why
	// those were spoilt.
	tokens    int
	wasSpoilt string
}

// startEngine starts a replica with a model that holds version 1.
func (w *world) startEngine(ctx context.Context, zone, address string) (*replica, error) {
	r := &replica{
		w: w, service: scribeService, zone: zone, id: newID(), born: time.Now().UnixMilli(), slots: 16, queue: 32,
		places: make(chan struct{}, 16), state: "ready",
	}
	r.engine = &engine{r: r, version: 1, staged: map[int]piece{}}
	for i := range chunkCount {
		r.engine.staged[i] = piece{data: chunk(1, i)}
	}
	return r, r.listen(ctx, address)
}

func (e *engine) models() []map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return []map[string]any{{"name": modelName, "version": e.version, "adapters": []string{}}}
}

// serve handles the calls of the loader. It reports whether the request is one.
func (e *engine) serve(w http.ResponseWriter, req *http.Request) bool {
	index, errIndex := strconv.Atoi(req.URL.Query().Get("sample_count"))
	switch {
	case req.URL.Path == "/report":
		e.serveReport(w)
	case req.URL.Path == "/order":
		e.serveOrder(w, req)
	case path.Dir(req.URL.Path) == "/stage-put" && errIndex == nil:
		data, err := io.ReadAll(req.Body)
		if err != nil {
			panic(http.ErrAbortHandler) // the caller has left
		}
		e.mu.Lock()
		e.staged[index] = piece{data: data}
		e.puts++
		e.sincePut = 0
		e.mu.Unlock()
	case path.Dir(req.URL.Path) == "/stage-get" && errIndex == nil:
		e.serveStaged(w, index)
	default:
		return false
	}
	return true
}

func (e *engine) serveStaged(w http.ResponseWriter, index int) {
	e.mu.Lock()
	e.sincePut++
	puts, n, hook := e.puts, e.sincePut, e.onStageGet
	p, ok := e.staged[index]
	e.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if hook != nil {
		hook(index, puts, n)
	}
	_, _ = w.Write(p.data) // the caller may be gone
}

func (e *engine) serveReport(w http.ResponseWriter) {
	models := e.models()
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"phase": "hybrid", "models": models, "busy": e.busy, "sequence": e.orders, "queued": 0, "active": e.active,
		"kv_used": 0, "kv_total": 685000 * 16, "handles": 0, "pace": 1.0, "born": e.r.born,
		"layers": map[string]any{"from": 0, "to": 16, "version": e.version},
	})
}

// serveOrder takes the staged pieces as they are now.
func (e *engine) serveOrder(w http.ResponseWriter, req *http.Request) {
	var in struct {
		Op        string `json:"op"`
		Version   int64  `json:"version"`
		Condition int64  `json:"precondition"`
	}
	if json.NewDecoder(req.Body).Decode(&in) != nil || in.Op != "start" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy || in.Condition != e.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.busy = true
	e.orders++
	spoilt := ""
	for i := range chunkCount {
		p, ok := e.staged[i]
		switch {
		case !ok:
			spoilt = fmt.Sprintf("piece %d was missing", i)
		case bytes.Equal(p.data, chunk(in.Version, i)):
		case p.badSince.IsZero():
			spoilt = fmt.Sprintf("piece %d was of another version", i)
		case time.Since(p.badSince) > spoiltExcuse:
			spoilt = fmt.Sprintf("piece %d had been bad for %.2f s", i, time.Since(p.badSince).Seconds())
		default:
			e.r.w.record.add("engine", "%s takes piece %d, bad for %.2f s: excused", e.r.id, i, time.Since(p.badSince).Seconds())
		}
	}
	e.r.w.record.add("engine", "%s accepts the order for version %d; spoilt: %q", e.r.id, in.Version, spoilt)
	go e.load(in.Version, spoilt)
	w.WriteHeader(http.StatusAccepted)
}

// load switches to a version when nothing runs.
func (e *engine) load(version int64, spoilt string) {
	for {
		time.Sleep(loadDuration)
		e.mu.Lock()
		if e.active == 0 {
			e.version, e.busy, e.spoilt = version, false, spoilt
			e.mu.Unlock()
			e.r.w.record.add("engine", "%s has loaded version %d", e.r.id, version)
			e.r.writeEntry()
			return
		}
		e.mu.Unlock()
	}
}

// accepts reports whether a request may begin, and counts it if so.
func (e *engine) accepts(req *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	want := req.Header.Get("X-Expect-Version")
	if e.busy || e.active >= e.r.slots || (want != "" && want != strconv.FormatInt(e.version, 10)) {
		return false
	}
	e.active++
	return true
}

// stream answers with numbered events.
func (e *engine) stream(w http.ResponseWriter, req *http.Request) {
	defer func() {
		e.mu.Lock()
		e.active--
		e.mu.Unlock()
	}()
	first := 1
	if n, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	e.mu.Lock()
	version, spoilt := e.version, e.spoilt
	e.mu.Unlock()
	w.Header().Set("X-Weight-Versions", strconv.FormatInt(version, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := first; n <= streamEvents; n++ {
		time.Sleep(eventInterval)
		if req.Context().Err() != nil {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d weights %d\n\n", n, req.Header.Get("X-Attempt-Id"), n, version)
		w.(http.Flusher).Flush()
		if spoilt != "" {
			e.mu.Lock()
			e.tokens++
			e.wasSpoilt = spoilt
			e.mu.Unlock()
		}
	}
	if spoilt != "" {
		e.r.w.record.add("engine", "%s answered %s with spoilt weights: %s", e.r.id, req.Header.Get("X-Attempt-Id"), spoilt)
	}
}

// rot makes a staged piece turn bad.
func (e *engine) rot(index int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.staged[index]
	data := bytes.Clone(p.data)
	data[100] ^= 0xff
	e.staged[index] = piece{data: data, badSince: time.Now()}
	e.r.w.record.add("engine", "%s: staged piece %d turns bad", e.r.id, index)
}

// origin is a stand-in for the service that provides the weights.
type origin struct{ link sync.Mutex }

// ServeHTTP implements [http.Handler].
func (o *origin) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	version, err := strconv.ParseInt(req.URL.Query().Get("version"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var body []byte
	if path.Dir(req.URL.Path) == "/manifest" {
		var digests []string
		for i := range chunkCount {
			digests = append(digests, digest(chunk(version, i)))
		}
		body = mustJSON(map[string]any{"model": modelName, "version": version, "chunk_bytes": chunkBytes, "layers": 16, "block_hashes": digests})
	} else {
		index, err := strconv.Atoi(req.URL.Query().Get("sample_count"))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		body = chunk(version, index)
	}
	o.link.Lock()
	time.Sleep(time.Duration(float64(len(body)) * 8 / originMbit * float64(time.Microsecond)))
	o.link.Unlock()
	_, _ = w.Write(body) // the caller may be gone
}
