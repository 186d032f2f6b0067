package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

const (
	silenceRounds = 4
	silence       = 300 * time.Millisecond
	roundTime     = 15 * time.Second
	// mutedGateways is the number of the five gateways that the store does not
	// answer. The site file has a share of 0.35.
	mutedGateways = 2
)

// runShortSilence takes a key away while the store does not answer some gateways
// for a moment, several times.
func runShortSilence(ctx context.Context, w *world) ([]string, error) {
	keys := make([]string, silenceRounds+1)
	for i := range keys {
		keys[i] = fmt.Sprintf("key-%d", i)
	}
	config := func(version, from int) map[string]any {
		return configRow(version, []map[string]any{routeRow("lookup", "/lookup/", "idempotent", ledgerService)},
			[]map[string]any{serviceRow(ledgerService)}, []map[string]any{tenantRow(keys[from:]...)})
	}
	w.store.put("op", "config", config(1, 0))
	r, err := w.startReplica(ctx, ledgerService, zones[0], "", ledgerSlots, ledgerWork)
	if err != nil {
		return nil, err
	}
	gateways, err := startEdges(ctx, w)
	if err != nil {
		return nil, err
	}
	var clients []*client
	for _, p := range gateways {
		for _, k := range keys {
			clients = append(clients, w.newClient(p, http.MethodGet, "/lookup/", k, 100*time.Millisecond))
		}
	}
	stop := runClients(ctx, clients)
	defer stop()
	sleep(ctx, 3*time.Second)
	// dueFrom is when requests with a key must no longer run: config_ms after the
	// acknowledgement, and at machines in touch.
	dueFrom := map[string]time.Time{}
	for i := range silenceRounds {
		var names []string
		for _, n := range rand.Perm(len(gateways))[:mutedGateways] {
			names = append(names, gateways[n].node)
		}
		slices.Sort(names)
		if w.trouble {
			w.record.add("store", "gives no answer to %v for %s", names, silence)
			w.store.muteMachines(names, silence)
		}
		sleep(ctx, silence/3)
		acked := w.store.put("op", "config", config(2+i, i+1))
		w.record.add("operator", "version %d without %s acknowledged", 2+i, keys[i])
		sleep(ctx, silence-silence/3)
		dueFrom[keys[i]] = latest(acked.Add(configMs*time.Millisecond), time.Now().Add(stableMs*time.Millisecond+100*time.Millisecond))
		sleep(ctx, roundTime)
	}
	stop()
	var broken []string
	requests := all(clients)
	for _, a := range r.list() {
		q := requests[a.attempt]
		due, ok := dueFrom[q.key]
		if ok && a.ran && q.sent.After(due) {
			broken = append(broken, fmt.Sprintf("CONFIG: %s with the dropped %s, sent at %.3f via %s, ran at %.3f; not allowed from %.3f",
				q.id, q.key, w.record.since(q.sent), q.machine, w.record.since(a.at), w.record.since(due)))
		}
	}
	return broken, nil
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
