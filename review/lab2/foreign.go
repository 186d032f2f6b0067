package main

import "time"

const (
	heartbeat = 1200 * time.Millisecond
	drain     = 2 * time.Second // drain_ms
	// drainAt is when a server begins to leave, after the start of the load, and
	// stayFor how long it goes on serving.
	drainAt = 5 * time.Second
	stayFor = 14 * time.Second
	// foreignGap is the time between two rows of the other writer, and foreignRows
	// their number.
	foreignGap  = 3 * time.Second
	foreignRows = 3
)

// foreignRow checks DRAIN while another writer writes rows of a server that leaves. They
// lack the field born, which is in all that a server says of itself.
func foreignRow(l *lab) (int, error) {
	l.store.put("op", "config", operatorConfig(plainService, "idempotent"))
	var servers []*server
	for n := range plainServers {
		s, err := newServer(n+1, plainService, plainSlots, l.rec, l.store)
		if err != nil {
			return 0, err
		}
		servers = append(servers, s)
	}
	fronts, err := l.startGateways(2)
	if err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	leaver := servers[0]
	acknowledged := make(chan time.Time, 1)
	go func() {
		time.Sleep(drainAt)
		leaver.register("draining")
		l.rec.note("the store accepts that server %s is draining", leaver.id)
		acknowledged <- time.Now()
		end := time.Now().Add(stayFor)
		for n := 0; time.Now().Before(end); n++ {
			time.Sleep(heartbeat)
			leaver.register("draining")
		}
	}()
	if l.trouble {
		go func() {
			time.Sleep(drainAt + foreignGap)
			for range foreignRows {
				row := leaver.row("ready")
				delete(row, "born")
				l.store.put("servers", leaver.id, row)
				l.rec.note("another writer writes a row of server %s without the field born", leaver.id)
				time.Sleep(foreignGap)
			}
		}()
	}
	newClient(l.rec).load(fronts, "/assign/2f", perSecond, drainAt+stayFor)
	late := leaver.arrivalsSince((<-acknowledged).Add(drain))
	for _, a := range late {
		l.rec.note("DRAIN: %s reached server %s at %.3f s", a.attempt, leaver.id, a.at.Sub(l.rec.started).Seconds())
	}
	return len(late), nil
}
