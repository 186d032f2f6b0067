package main

import (
	"fmt"
	"time"
)

const (
	archiveService = "archive"
	heartbeat      = 1200 * time.Millisecond
	// foreignGap is the time between two rows of the other writer, and foreignRows
	// their number.
	foreignGap  = 3 * time.Second
	foreignRows = 4
)

// foreignRow checks ROUTE while another writer writes rows of a server of one service.
// They name another service and lack the field born, which is in all that a server says
// of itself.
func foreignRow(l *lab) (int, error) {
	cfg := operatorConfig(plainService, "idempotent")
	second := operatorConfig(archiveService, "idempotent")
	for _, r := range second["routes"].([]map[string]any) {
		r["name"], r["path_prefix"] = "r-archive", "/archive/"
	}
	for _, list := range []string{"routes", "services"} {
		cfg[list] = append(cfg[list].([]map[string]any), second[list].([]map[string]any)...)
	}
	l.store.put("op", "config", cfg)
	var ledger []*server
	for i := range plainServers {
		s, err := newServer(i+1, plainService, l.rec, l.store)
		if err != nil {
			return 0, err
		}
		ledger = append(ledger, s)
		if _, err := newServer(100+i, archiveService, l.rec, l.store); err != nil {
			return 0, err
		}
	}
	fronts, err := l.startGateways(2)
	if err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	length := (foreignRows + 1) * foreignGap
	go ledger[0].beat(length)
	if l.trouble {
		go l.writeForeignRows(ledger[0])
	}
	done := make(chan []outcome, 1)
	go func() { done <- newClient(l.rec).load(fronts, "/archive/2f", perSecond, length) }()
	newClient(l.rec).loadAs("l", fronts, "/assign/2f", perSecond, length)
	broken := 0
	for _, o := range <-done {
		if server := l.rec.ranAt(o.attempt); server == ledger[0].id {
			broken++
			l.rec.note("ROUTE: %s for service %s ran at server %s of service %s", o.attempt, archiveService, server, plainService)
		}
	}
	return broken, nil
}

// beat writes the server's row again and again for a time.
func (s *server) beat(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(heartbeat) {
		s.register("ready")
	}
}

// writeForeignRows writes rows of a server as another writer.
func (l *lab) writeForeignRows(s *server) {
	for n := range foreignRows {
		time.Sleep(foreignGap)
		row := s.row("ready")
		delete(row, "born")
		row["service"] = archiveService
		l.store.put("servers", s.id, row)
		l.rec.note("%s", fmt.Sprintf("another writer writes row %d of server %s, service %s, without the field born", n+1, s.id, archiveService))
	}
}
