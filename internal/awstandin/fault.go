// Package awstandin provides stand-ins for the systems around arbutuswind: the
// platform, model engines, plain services and network links. Only tests and
// the bench use them. POST /fault injects faults; its JSON body has the fields
// of the stand-in's fault struct, such as [EngineFault].
package awstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
)

const maxBodyBytes = 256 << 20

// faultState holds the faults injected into one stand-in. It is safe for concurrent use.
type faultState[T any] struct {
	mu  sync.Mutex
	val T
}

func (s *faultState[T]) get() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.val
}

// update calls f with the faults while it holds the lock.
func (s *faultState[T]) update(f func(*T)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.val)
}

// ServeHTTP sets the faults that the JSON body names, leaves the others as they
// are and responds with all of them.
func (s *faultState[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	return data, true
}

// dropConnection closes the connection without a response, as if the reply was lost.
func dropConnection(w http.ResponseWriter) {
	if hj, ok := w.(http.Hijacker); ok {
		if conn, _, err := hj.Hijack(); err == nil {
			_ = conn.Close()
			return
		}
	}
	panic(http.ErrAbortHandler)
}
