package awstandin

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// ServiceFault holds the faults of a plain service.
type ServiceFault struct {
	DelayMs     int
	LoseReplies int // the next n calls run and their answers are lost
}

// Service stands in for a plain service. It counts how often it ran per key
// and never removes duplicates itself.
type Service struct {
	faults switches[ServiceFault]
	mu     sync.Mutex
	runs   map[string]int
}

// NewService returns a service that has not run yet.
func NewService() *Service { return &Service{runs: map[string]int{}} }

// Handler returns the HTTP API of the service.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Handle("/fault", &s.faults)
	r.Get("/admin/runs", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(w, s.runs)
	})
	r.HandleFunc("/*", s.run)
	return r
}

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = string(body)
	}
	s.mu.Lock()
	s.runs[key]++
	n := s.runs[key]
	s.mu.Unlock()
	lost := false
	var delay int
	s.faults.update(func(f *ServiceFault) {
		delay = f.DelayMs
		if lost = f.LoseReplies > 0; lost {
			f.LoseReplies--
		}
	})
	time.Sleep(time.Duration(delay) * time.Millisecond)
	if lost {
		hangUp(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(`{"Run":` + strconv.Itoa(n) + `,"Bytes":` + strconv.Itoa(len(body)) + "}\n"))
}
