package awstandin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"arbutuswind/io/awstore"
)

// PlatformFault holds the faults injected into the platform.
type PlatformFault struct {
	StoreDown      bool
	StoreDelayMs   int
	LoseReplies    int  // the next n transactions are written, but get no reply
	ListFrozen     bool // reads of the instance list do not refresh it
	CorruptPercent int  // share of chunks read from the origin in which one byte is changed
}

type table struct {
	mu            sync.Mutex
	rows          map[string]awstore.Row
	saved         map[string]awstore.Row // copy that /admin/restore brings back
	reads         atomic.Int64
	writes        atomic.Int64
	faults        *faultState[PlatformFault]
	writeInterval time.Duration // least time between transactions; 0 means unlimited
	nextSlot      time.Time     // earliest time of the next transaction
}

func newTable(faults *faultState[PlatformFault], writesPerSecond float64) *table {
	t := &table{rows: map[string]awstore.Row{}, faults: faults}
	if writesPerSecond > 0 {
		t.writeInterval = time.Duration(float64(time.Second) / writesPerSecond)
	}
	return t
}

func (t *table) routes(r chi.Router) {
	r.Get("/rows/{key}", t.get)
	r.Get("/scan", t.scan)
	r.Post("/txn", t.commit)
	r.Post("/admin/save", t.save)
	r.Post("/admin/restore", t.restore)
	r.Get("/admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]int64{"Reads": t.reads.Load(), "Writes": t.writes.Load()})
	})
}

// available applies the delay and outage faults. It reports whether the request
// may proceed.
func (t *table) available(w http.ResponseWriter, r *http.Request) bool {
	f := t.faults.get()
	if f.StoreDelayMs > 0 {
		select {
		case <-time.After(time.Duration(f.StoreDelayMs) * time.Millisecond):
		case <-r.Context().Done():
			return false
		}
	}
	if f.StoreDown {
		http.Error(w, "store is down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (t *table) get(w http.ResponseWriter, r *http.Request) {
	if !t.available(w, r) {
		return
	}
	t.reads.Add(1)
	t.mu.Lock()
	row, ok := t.rows[pathKey(r)]
	t.mu.Unlock()
	knownVersion, _ := strconv.ParseUint(r.URL.Query().Get("IfNotVersion"), 10, 64)
	switch {
	case !ok:
		http.Error(w, "no such row", http.StatusNotFound)
	case knownVersion == row.Version:
		w.WriteHeader(http.StatusNotModified)
	default:
		writeJSON(w, row)
	}
}

func (t *table) scan(w http.ResponseWriter, r *http.Request) {
	if !t.available(w, r) {
		return
	}
	t.reads.Add(1)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil || limit < 1 {
		http.Error(w, "Limit must be a positive integer", http.StatusBadRequest)
		return
	}
	rows := []awstore.Row{}
	t.mu.Lock()
	for key, row := range t.rows {
		if key >= q.Get("From") && key < q.Get("To") {
			rows = append(rows, row)
		}
	}
	t.mu.Unlock()
	slices.SortFunc(rows, func(a, b awstore.Row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	writeJSON(w, rows[:min(limit, len(rows))])
}

func (t *table) commit(w http.ResponseWriter, r *http.Request) {
	if !t.available(w, r) {
		return
	}
	var txn awstore.Txn
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(t.reserveSlot())
	t.writes.Add(1)
	if !t.apply(txn) {
		http.Error(w, "condition not met", http.StatusConflict)
		return
	}
	lost := false
	t.faults.update(func(f *PlatformFault) {
		if lost = f.LoseReplies > 0; lost {
			f.LoseReplies--
		}
	})
	if lost {
		dropConnection(w)
		return
	}
	writeJSON(w, struct{}{})
}

// reserveSlot reserves the next transaction slot of the write rate and returns
// how long to wait for it.
func (t *table) reserveSlot() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.nextSlot.Before(now) {
		t.nextSlot = now
	}
	wait := t.nextSlot.Sub(now)
	t.nextSlot = t.nextSlot.Add(t.writeInterval)
	return wait
}

func (t *table) apply(txn awstore.Txn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range txn.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return false
		}
	}
	for _, p := range txn.Puts {
		t.rows[p.Key] = awstore.Row{Key: p.Key, Version: t.rows[p.Key].Version + 1, Value: p.Value}
	}
	for _, key := range txn.Deletes {
		delete(t.rows, key)
	}
	return true
}

func (t *table) save(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.saved = make(map[string]awstore.Row, len(t.rows))
	for k, v := range t.rows {
		t.saved[k] = v
	}
	writeJSON(w, map[string]int{"Rows": len(t.saved)})
}

func (t *table) restore(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows = make(map[string]awstore.Row, len(t.saved))
	for k, v := range t.saved {
		t.rows[k] = v
	}
	writeJSON(w, map[string]int{"Rows": len(t.rows)})
}
