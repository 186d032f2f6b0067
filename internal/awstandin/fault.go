// Package awstandin holds small stand-ins for the systems around arbutuswind:
// the platform, model engines and plain services. They serve tests and the
// bench only. Faults are switched by POST /fault with a JSON body whose
// fields are those of the stand-in's fault struct.
package awstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
)

const maxBodyBytes = 256 << 20

// switches holds the faults of one stand-in. It is safe for concurrent use.
type switches[T any] struct {
	mu  sync.Mutex
	val T
}

func (s *switches[T]) get() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.val
}

// update changes the faults under the lock.
func (s *switches[T]) update(f func(*T)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.val)
}

// ServeHTTP replaces the named fields and leaves the others as they are.
func (s *switches[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.val
	if err := json.NewDecoder(r.Body).Decode(&next); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.val = next
	writeJSON(w, next)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client may be gone
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	return data, true
}

// hangUp closes the connection without an answer, as a lost reply does.
func hangUp(w http.ResponseWriter) {
	if hj, ok := w.(http.Hijacker); ok {
		if conn, _, err := hj.Hijack(); err == nil {
			_ = conn.Close()
			return
		}
	}
	panic(http.ErrAbortHandler)
}
