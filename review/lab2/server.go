package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// workTime is the time for which a server works on a request.
const workTime = 30 * time.Millisecond

// server is a stand-in for a backend server of a plain service. It speaks HTTP/1.1 on
// raw connections, so that a case can add bytes to its answers.
type server struct {
	id      string
	service string
	model   string // served by a model replica; empty for a plain server
	address string
	rec     *record
	slots   chan struct{}
	store   *store
	born    int64

	mu      sync.Mutex
	rng     *rand.Rand
	trouble func() reply // chooses how a request is answered; nil for a sound server
}

// reply is how a server answers a request that it runs.
type reply struct {
	// early holds bytes that the server sends late, after the answer to the request
	// before, when this request has arrived.
	early  string
	status int  // of its own answer; 0 for 200
	lost   bool // the request is run and its answer is lost with a reset of the connection
}

// setTrouble sets how the server chooses its answers from now on.
func (s *server) setTrouble(trouble func() reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble = trouble
}

// chooseReply returns how the next request is answered.
func (s *server) chooseReply() reply {
	s.mu.Lock()
	trouble := s.trouble
	s.mu.Unlock()
	if trouble == nil {
		return reply{}
	}
	return trouble()
}

// chance returns true with a probability.
func (s *server) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < p
}

// newServer starts a plain server of a service.
func newServer(n int, service string, rec *record, st *store) (*server, error) {
	return newModelServer(n, service, "", plainSlots, rec, st)
}

// newModelServer starts a server of a service that serves a model.
func newModelServer(n int, service, model string, slots int, rec *record, st *store) (*server, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		id: fmt.Sprintf("i-%04d", n), service: service, model: model, address: lis.Addr().String(), rec: rec, slots: make(chan struct{}, slots),
		store: st, born: time.Now().UnixMilli(), rng: rand.New(rand.NewPCG(1, uint64(n))),
	}
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go s.serveConn(c)
		}
	}()
	s.register("ready")
	return s, nil
}

// row returns the server's row in the list.
func (s *server) row(state string) map[string]any {
	row := map[string]any{
		"service": s.service, "address": s.address, "zone": "zone-a", "version": "v1", "slots": cap(s.slots), "state": state,
		"cold_remaining_ms": 0, "sequence": 0, "born": s.born,
	}
	if s.model != "" {
		row["phase"] = "hybrid"
		row["models"] = []map[string]any{{"name": s.model, "version": 1, "adapters": []string{}}}
	}
	return row
}

// register writes the server's row.
func (s *server) register(state string) { s.store.put("servers", s.id, s.row(state)) }

// serveConn answers the requests on a connection one after the other.
func (s *server) serveConn(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for served := 0; ; served++ {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if err := s.answer(c, req, string(body), served > 0); err != nil {
			return
		}
	}
}

// answer runs a request and answers it. again is set on a connection that has carried
// an answer before.
func (s *server) answer(c net.Conn, req *http.Request, text string, again bool) error {
	attempt := req.Header.Get("X-Attempt-Id")
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		return s.write(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", attempt, s.id)
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		return s.write(c, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt)
	}
	how := s.chooseReply()
	if how.early != "" && again {
		s.rec.note("server %s sends bytes that belong to no request, before its answer to %s", s.id, attempt)
		if err := s.write(c, "%s", how.early); err != nil {
			return err
		}
	}
	s.rec.ran(s.id, attempt, text)
	time.Sleep(workTime)
	if how.lost {
		s.rec.note("server %s loses its answer to %s", s.id, attempt)
		_ = c.(*net.TCPConn).SetLinger(0) // only the connection is lost with it
		return errAnswerLost
	}
	if how.status == 0 {
		how.status = http.StatusOK
	}
	body, kind := "answer to "+attempt, ""
	if s.model != "" {
		body, kind = "id: 1\ndata: "+attempt+"\n\n", "Content-Type: text/event-stream\r\nX-Weight-Versions: 1\r\n"
	}
	return s.write(c, "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Response-Signature: sig-%s\r\n%sContent-Length: %d\r\n\r\n%s",
		how.status, http.StatusText(how.status), attempt, attempt, kind, len(body), body)
}

var errAnswerLost = errors.New("answer lost")

func (s *server) write(c net.Conn, format string, args ...any) error {
	_, err := fmt.Fprintf(c, format, args...)
	return err
}
