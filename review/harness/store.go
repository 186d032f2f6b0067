package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeAnswerTime = 4 * time.Millisecond
	storePage       = 500
)

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowName struct{ table, part, key string }

func (r storeRow) name() rowName { return rowName{r.Table, r.Part, r.Key} }

type storeTx struct {
	Preconditions []storeRow `json:"precondition"`
	Write         []storeRow `json:"write"`
	Remove        []storeRow `json:"remove"`
}

// store is a stand-in for the platform's store, in its form with tables.
type store struct {
	w       *world
	started time.Time

	mu      sync.Mutex
	version uint64
	rows    map[rowName]storeRow
	history []storeRow
	changed chan struct{}
	// mute holds, by machine, until when the store gives that machine no answer.
	mute map[string]time.Time
	// delayWrite decides about a write of a machine: if it is above zero, the call
	// is performed that much later and not answered. It may be nil.
	delayWrite func(machine string, tx storeTx) time.Duration
}

func newStore(w *world) *store {
	return &store{w: w, started: time.Now(), version: 1, rows: map[rowName]storeRow{}, changed: make(chan struct{}), mute: map[string]time.Time{}}
}

// put writes a row as the operator or a replica does. A nil value removes it. It
// returns the time of the acknowledgement.
func (s *store) put(table, key string, value any) time.Time {
	row := storeRow{Table: table, Key: key}
	tx := storeTx{Remove: []storeRow{row}}
	if value != nil {
		row.Value = mustJSON(value)
		tx = storeTx{Write: []storeRow{row}}
	}
	s.apply(tx)
	return time.Now()
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// apply performs a transaction. It returns the rows of a failed precondition.
func (s *store) apply(tx storeTx) (failed []storeRow, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range tx.Preconditions {
		if row := s.rows[c.name()]; row.Version != c.Version {
			failed = append(failed, row)
		}
	}
	if len(failed) > 0 {
		return failed, false
	}
	s.version++
	for _, r := range tx.Write {
		r.Version, r.Deleted = s.version, false
		s.rows[r.name()] = r
		s.history = append(s.history, r)
	}
	for _, r := range tx.Remove {
		if _, present := s.rows[r.name()]; !present {
			continue
		}
		delete(s.rows, r.name())
		s.history = append(s.history, storeRow{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil, true
}

// muteMachines makes the store give some machines no answer for a while.
func (s *store) muteMachines(machines []string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range machines {
		s.mute[m] = time.Now().Add(d)
	}
}

// muted reports whether an answer to a machine is lost now.
func (s *store) muted(machine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.mute[machine])
}

// forMachine returns the handler of the calls of one machine.
func (s *store) forMachine(machine string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var status int
		var reply map[string]any
		switch r.URL.Path {
		case "/rows-get":
			status, reply = s.get(r)
		case "/rows-feed":
			status, reply = s.feed(r)
		case "/rows-tx":
			var answered bool
			if status, reply, answered = s.commit(r, machine); !answered {
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
		default:
			status = http.StatusNotFound
		}
		time.Sleep(storeAnswerTime)
		if s.muted(machine) {
			// A connection on which an answer is lost delivers nothing further.
			s.w.record.add("store", "no answer to %s: %s %s", machine, r.URL.Path, r.URL.Query().Get("table"))
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(reply) // the caller may be gone
	})
}

// reply returns the body of an answer with rows; mu must be held.
func (s *store) reply(rows []storeRow, more bool) map[string]any {
	if rows == nil {
		rows = []storeRow{}
	}
	return map[string]any{"rows": rows, "has_more": more, "row_version": s.version, "now_ms": time.Since(s.started).Milliseconds()}
}

func (s *store) get(r *http.Request) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > storePage {
		limit = storePage
	}
	var rows []storeRow
	for name, row := range s.rows {
		if name.table == q.Get("table") && name.part == q.Get("part") && name.key >= q.Get("from") && (q.Get("to") == "" || name.key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	return http.StatusOK, s.reply(rows[:min(limit, len(rows))], more)
}

func (s *store) feed(r *http.Request) (int, map[string]any) {
	q := r.URL.Query()
	since, errSince := strconv.ParseUint(q.Get("since_rev"), 10, 64)
	wait, errWait := strconv.Atoi(q.Get("wait_ms"))
	if errSince != nil || errWait != nil {
		return http.StatusBadRequest, nil
	}
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []storeRow
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Version > since {
				rows = append(rows, row)
			}
		}
		reply, changed := s.reply(rows, false), s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			return http.StatusOK, reply
		}
		select {
		case <-changed:
		case <-until:
			return http.StatusOK, reply
		case <-r.Context().Done():
			return http.StatusOK, reply
		}
	}
}

// commit performs a transaction of a machine. It reports false if the call gets
// no answer.
func (s *store) commit(r *http.Request, machine string) (int, map[string]any, bool) {
	var tx storeTx
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		return http.StatusBadRequest, nil, true
	}
	for _, row := range slices.Concat(tx.Write, tx.Remove) {
		if row.Table == "op" || row.Table == "servers" {
			return http.StatusForbidden, nil, true
		}
		s.w.record.add("store", "%s writes %s/%s, %d bytes", machine, row.Table, row.Key, len(row.Value))
	}
	if s.delayWrite != nil {
		if d := s.delayWrite(machine, tx); d > 0 {
			s.w.record.add("store", "the write of %s is performed in %s and not answered", machine, d)
			time.AfterFunc(d, func() {
				_, ok := s.apply(tx)
				s.w.record.add("store", "the late write of %s is performed: %t", machine, ok)
			})
			return 0, nil, false
		}
	}
	failed, ok := s.apply(tx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ok {
		return http.StatusPreconditionFailed, s.reply(failed, false), true
	}
	return http.StatusOK, s.reply(nil, false), true
}
