package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is the JSON form of a row.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r storeRow) rowKey() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// store is a stand-in for the platform's store.
type store struct {
	mu       sync.Mutex
	revision uint64
	rows     map[rowKey]storeRow // including removed ones
	changed  chan struct{}       // closed at the next change
	started  time.Time
}

func newStore() *store {
	return &store{revision: 1, rows: map[rowKey]storeRow{}, changed: make(chan struct{}), started: time.Now()}
}

// serve serves the store and returns its address.
func (s *store) serve() (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(lis) }() // ends with the process
	return lis.Addr().String(), nil
}

// put writes a row as the operator or a backend server would. A nil value removes it.
func (s *store) put(table, key string, value any) {
	row := storeRow{Table: table, Key: key, Deleted: value == nil}
	if value != nil {
		row.Value, _ = json.Marshal(value) // the values are maps of plain types
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write([]storeRow{row})
}

// write writes rows in one transaction; mu must be held.
func (s *store) write(rows []storeRow) {
	s.revision++
	for _, r := range rows {
		r.Version = s.revision
		s.rows[r.rowKey()] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handle(w http.ResponseWriter, r *http.Request) {
	status, rows := http.StatusNotFound, []storeRow(nil)
	switch r.URL.Path {
	case "/rows-get":
		status, rows = s.get(r)
	case "/rows-feed":
		status, rows = s.feed(r)
	case "/rows-tx":
		status, rows = s.commit(r)
	}
	s.mu.Lock()
	reply := map[string]any{
		"rows": rows, "has_more": false, "row_version": s.revision, "now_ms": time.Since(s.started).Milliseconds(),
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply) // the caller may be gone
}

// selectRows returns the rows of a table that are newer than a revision, in the order
// of their keys, or of their versions if it is above 0.
func (s *store) selectRows(table string, since uint64, match func(storeRow) bool) []storeRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []storeRow{}
	for _, r := range s.rows {
		if r.Table == table && r.Version > since && match(r) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool {
		if since > 0 {
			return rows[i].Version < rows[j].Version
		}
		return rows[i].Key < rows[j].Key
	})
	return rows
}

func (s *store) get(r *http.Request) (int, []storeRow) {
	q := r.URL.Query()
	return http.StatusOK, s.selectRows(q.Get("table"), 0, func(row storeRow) bool {
		return !row.Deleted && row.Part == q.Get("part") && row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to"))
	})
}

// feed returns the changes since a revision, and waits for the first one.
func (s *store) feed(r *http.Request) (int, []storeRow) {
	q := r.URL.Query()
	since, errSince := strconv.ParseUint(q.Get("since_rev"), 10, 64)
	wait, errWait := strconv.Atoi(q.Get("wait_ms"))
	if errSince != nil || errWait != nil {
		return http.StatusBadRequest, nil
	}
	until := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer until.Stop()
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		if rows := s.selectRows(q.Get("table"), since, func(storeRow) bool { return true }); len(rows) > 0 {
			return http.StatusOK, rows
		}
		select {
		case <-changed:
		case <-until.C:
			return http.StatusOK, []storeRow{}
		case <-r.Context().Done():
			return http.StatusOK, []storeRow{}
		}
	}
}

// commit performs a transaction if its preconditions hold.
func (s *store) commit(r *http.Request) (int, []storeRow) {
	var tx struct {
		Precondition []storeRow `json:"precondition"`
		Write        []storeRow `json:"write"`
		Remove       []storeRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, want := range tx.Precondition {
		current := s.rows[want.rowKey()]
		if current.Deleted {
			current.Version = 0
		}
		if current.Version != want.Version {
			return http.StatusPreconditionFailed, []storeRow{current}
		}
	}
	for i := range tx.Remove {
		tx.Remove[i].Deleted = true
	}
	s.write(append(tx.Write, tx.Remove...))
	return http.StatusOK, nil
}
