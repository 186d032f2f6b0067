package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	ledgerService = "rota-ledger"
	ledgerSlots   = 6
	ledgerWork    = 20 * time.Millisecond

	namedLimit  = 12.0 // requests per second
	limitWindow = 4 * time.Second
	limitShare  = 1.5
	limitSlack  = 5.0
	passedOn    = 500 * time.Millisecond
	// lateBy is how much later the store performs the write that it does not
	// answer; the pages allow 1 to 6 s.
	lateBy = 6 * time.Second
	// rollGap is the time between two SIGTERMs of a rolling restart.
	rollGap = 1300 * time.Millisecond
)

// startEdges starts the gateways of the deployment.
func startEdges(ctx context.Context, w *world) ([]*process, error) {
	var list []*process
	for _, z := range []string{zones[0], zones[0], zones[1], zones[1], zones[2]} {
		n := 1
		for _, p := range list {
			if p.zone == z {
				n++
			}
		}
		p, err := w.newGateway(fmt.Sprintf("edge-%s-%d", z, n), z)
		if err != nil {
			return nil, err
		}
		list = append(list, p)
	}
	return list, w.startGateways(ctx, list)
}

// firstInOrder returns the gateway that the others ask first for the permits of a
// replica. Any other one would show the fault only for another replica.
func firstInOrder(r *replica, gateways []*process) *process {
	rank := func(p *process) uint64 {
		return xxhash.Sum64String(r.id + "|" + strconv.FormatInt(r.born, 10) + "|" + p.node)
	}
	return slices.MinFunc(gateways, func(a, b *process) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
}

// runTwoIssuers restarts all gateways in turn while one answer of the store is
// lost, and then has a replica name a limit.
func runTwoIssuers(ctx context.Context, w *world) ([]string, error) {
	w.store.put("op", "config", configRow(1,
		[]map[string]any{routeRow("assign", "/assign/", "non_idempotent", ledgerService)},
		[]map[string]any{serviceRow(ledgerService)}, []map[string]any{tenantRow("key-1")}))
	r, err := w.startReplica(ctx, ledgerService, zones[0], "", ledgerSlots, ledgerWork)
	if err != nil {
		return nil, err
	}
	var limited atomic.Bool
	r.decorate = func(h http.Header) {
		if limited.Load() {
			h.Set("Server-Limit", fmt.Sprint(namedLimit))
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
	sleep(ctx, 2*time.Second)

	victim := firstInOrder(r, gateways)
	var lost atomic.Bool
	w.store.delayWrite = func(machine string, tx storeTx) time.Duration {
		if w.trouble && machine == victim.node && len(tx.Remove) > 0 && !lost.Swap(true) {
			return lateBy
		}
		return 0
	}
	ended := make(chan error, len(gateways))
	for _, p := range gateways {
		go func() { ended <- p.restartGracefully(ctx) }()
		sleep(ctx, rollGap)
	}
	for range gateways {
		if err := <-ended; err != nil {
			return nil, err
		}
	}
	// All gateways have run for longer than it takes them to read of each other.
	sleep(ctx, 16*time.Second)
	limited.Store(true)
	named := time.Now()
	w.record.add("replica", "%s names a limit of %g requests a second", r.id, namedLimit)
	sleep(ctx, 20*time.Second)
	stop()
	return checkLimit(w, r.list(), all(clients), named), nil
}

// checkLimit checks rule LIMIT of the letter.
func checkLimit(w *world, arrivals []arrival, requests map[string]request, named time.Time) []string {
	first := map[string]time.Time{} // when a machine first passed on an answer that names the limit
	for _, q := range requests {
		if q.status != 0 && q.header.Get("Server-Limit") != "" {
			if at, ok := first[q.machine]; !ok || q.answered.Before(at) {
				first[q.machine] = q.answered
			}
		}
	}
	var counted []arrival
	byMachine := map[string]int{}
	for _, a := range arrivals {
		m := requests[a.attempt].machine
		at, ok := first[m]
		if ok && a.at.After(at.Add(passedOn)) && a.at.After(named.Add(stableMs*time.Millisecond)) {
			counted = append(counted, a)
			byMachine[m]++
		}
	}
	w.record.add("count", "arrivals under the limit by machine: %v", byMachine)
	bound := limitShare*namedLimit*limitWindow.Seconds() + limitSlack
	var broken []string
	most := 0
	for i, a := range counted {
		n := 0
		for _, b := range counted[i:] {
			if b.at.Sub(a.at) < limitWindow {
				n++
			}
		}
		most = max(most, n)
		if float64(n) > bound {
			broken = append(broken, fmt.Sprintf("LIMIT: %d requests in the 4 s from %.3f, %g allowed", n, w.record.since(a.at), bound))
		}
	}
	w.record.add("count", "most requests in 4 s: %d, %g allowed", most, bound)
	return broken
}
