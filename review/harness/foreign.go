package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	foreignRounds = 5
	// foreignAfter is when another writer's entry arrives, counted from the notice
	// of the leaving.
	foreignAfter = drainMs*time.Millisecond + 100*time.Millisecond
	// lingerTime is when the replica exits, counted from the notice.
	lingerTime = drainMs*time.Millisecond + 1300*time.Millisecond
)

// runForeignEntry has replicas leave, one after the other. Another writer then
// writes an incomplete entry under the name of the replica.
func runForeignEntry(ctx context.Context, w *world) ([]string, error) {
	w.store.put("op", "config", configRow(1, []map[string]any{routeRow("assign", "/assign/", "non_idempotent", ledgerService)},
		[]map[string]any{serviceRow(ledgerService)}, []map[string]any{tenantRow("key-1")}))
	var replicas []*replica
	start := func(zone string) error {
		r, err := w.startReplica(ctx, ledgerService, zone, "", ledgerSlots, 30*time.Millisecond)
		replicas = append(replicas, r)
		return err
	}
	for _, z := range zones {
		if err := start(z); err != nil {
			return nil, err
		}
	}
	gateways, err := startEdges(ctx, w)
	if err != nil {
		return nil, err
	}
	var clients []*client
	for _, p := range gateways {
		for range 4 {
			clients = append(clients, w.newClient(p, http.MethodPost, "/assign/", "key-1", 100*time.Millisecond))
		}
	}
	stop := runClients(ctx, clients)
	defer stop()
	sleep(ctx, 4*time.Second)
	left := map[*replica]time.Time{}
	for i := range foreignRounds {
		r := replicas[i]
		if err := start(r.zone); err != nil { // the one that replaces it
			return nil, err
		}
		sleep(ctx, 1500*time.Millisecond)
		left[r] = r.drain()
		w.record.add("replica", "%s is draining, acknowledged", r.id)
		sleep(ctx, foreignAfter)
		if w.trouble {
			w.store.put("servers", r.id, map[string]any{
				"service": r.service, "address": r.address, "zone": r.zone, "slots": r.slots, "state": "ready",
			})
			w.record.add("store", "another writer's entry under the name %s, without version, cold_remaining_ms, sequence and born", r.id)
		}
		sleep(ctx, lingerTime-foreignAfter)
		r.exit()
		w.record.add("replica", "%s has left", r.id)
		sleep(ctx, time.Second)
	}
	stop()
	return checkDrain(w, left, all(clients)), nil
}

// checkDrain checks rule DRAIN. It also counts the requests that were lost with a
// replica that had left.
func checkDrain(w *world, left map[*replica]time.Time, requests map[string]request) []string {
	var broken []string
	lost := 0
	for r, at := range left {
		due := at.Add(drainMs * time.Millisecond)
		for _, a := range r.list() {
			q := requests[a.attempt]
			if a.ran && a.at.After(due) && q.sent.After(at) {
				if q.status != http.StatusOK {
					lost++
				}
				broken = append(broken, fmt.Sprintf("DRAIN: %s sent at %.3f via %s reached %s at %.3f, %.3f s after its leaving was acknowledged, and was answered %d",
					q.id, w.record.since(q.sent), q.machine, r.id, w.record.since(a.at), a.at.Sub(at).Seconds(), q.status))
			}
		}
	}
	w.record.add("count", "requests that reached a replica too late: %d, of these without a success: %d", len(broken), lost)
	return broken
}
