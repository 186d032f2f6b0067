package awstandin

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// ServiceFault holds the faults injected into a plain service.
type ServiceFault struct {
	DelayMs     int // delay before each reply
	LoseReplies int // the next n calls run, but get no reply
}

// Service stands in for a plain service. It counts its calls by idempotency key,
// or by body if there is no key, and runs duplicates again.
type Service struct {
	faults faultState[ServiceFault]
	mu     sync.Mutex
	runs   map[string]int
}

// NewService returns a service without calls.
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
		dropConnection(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(`{"Run":` + strconv.Itoa(n) + `,"Bytes":` + strconv.Itoa(len(body)) + "}\n"))
}
