package main

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// freezeTime is how long the machine of a loader stands still. The site file
	// has 4 s for machines of class side.
	freezeTime = 4 * time.Second
	// frozenAt is the number of staged pieces that have been compared when the
	// machine freezes, and rotten the one that turns bad meanwhile.
	frozenAt, rotten = 48, 10
	// namedVersions is the number of versions that the operator names, one after
	// the other. In each of them the machine freezes once.
	namedVersions = 4
	versionGap    = 16 * time.Second
)

// scribeConfig returns a configuration with a model service.
func scribeConfig(version int, originAddress string) map[string]any {
	scribe := serviceRow(scribeService)
	scribe["max_conns"], scribe["cold_per_s"] = 434, 36.0
	scribe["engine"] = map[string]any{
		"slots": 16, "kv_tokens": 685000, "layers": 16, "chunk_count": chunkCount, "chunk_bytes": chunkBytes,
		"models": []map[string]any{{"name": modelName, "pace": 1.0, "load_time_s": 4.0, "warm_s": 0.3}},
	}
	draft := routeRow("draft", "/draft/", "streaming", scribeService)
	draft["timeout_ms"], draft["slo_ms"], draft["gap_aim_ms"], draft["can_resume"] = streamDeadline.Milliseconds(), 400, 300, true
	return configRow(version, []map[string]any{draft}, []map[string]any{scribe, {
		"name": originService, "origin": originAddress, "zone": zones[1], "link_mbps": originMbit, "max_conns": 48,
	}}, []map[string]any{tenantRow("key-1")})
}

// runSpoiltWeights names new weights and freezes the machine of a loader while it
// compares the staged pieces. One of those that it has compared turns bad.
func runSpoiltWeights(ctx context.Context, w *world) ([]string, error) {
	originAddress, err := w.listen("127.0.0.1:0", &origin{})
	if err != nil {
		return nil, err
	}
	w.store.put("op", "config", scribeConfig(1, originAddress))
	var engines []*replica
	var loaders []*process
	for _, z := range zones {
		p, err := w.newLoader("side-"+z+"-1", z, scribeService)
		if err != nil {
			return nil, err
		}
		r, err := w.startEngine(ctx, z, p.app())
		if err != nil {
			return nil, err
		}
		if err := p.start(); err != nil {
			return nil, err
		}
		engines, loaders = append(engines, r), append(loaders, p)
	}
	gateways, err := startEdges(ctx, w)
	if err != nil {
		return nil, err
	}
	var clients []*client
	for _, p := range gateways {
		for range 3 {
			c := w.newClient(p, http.MethodPost, "/draft/", "key-1", 150*time.Millisecond)
			c.header = map[string]string{"X-Model": modelName, "X-Token-Usage": "400,48", "X-Prompt-Prefix": "5c1e07a2:40,91bd3f06:360"}
			c.deadline = streamDeadline
			clients = append(clients, c)
		}
	}
	stop := runClients(ctx, clients)
	defer stop()
	sleep(ctx, 3*time.Second)
	for version := int64(2); version < 2+namedVersions; version++ {
		if w.trouble {
			freezeWhileComparing(engines[0].engine, loaders[0])
		}
		w.store.put("op", "version/"+modelName, map[string]any{"model": modelName, "version": version})
		w.record.add("operator", "version %d acknowledged", version)
		sleep(ctx, versionGap)
	}
	stop()
	var broken []string
	for _, r := range engines {
		e := r.engine
		e.mu.Lock()
		w.record.add("count", "%s holds version %d; %d events made with spoilt weights", r.id, e.version, e.tokens)
		if e.tokens > 0 {
			broken = append(broken, fmt.Sprintf("WHOLE: %s made %d events with spoilt weights: %s when it took them", r.id, e.tokens, e.wasSpoilt))
		}
		e.mu.Unlock()
	}
	return broken, nil
}

// freezeWhileComparing freezes a loader's machine once, when it has read back half
// of the staged pieces of a version after it had put the last one.
func freezeWhileComparing(e *engine, loader *process) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var frozen atomic.Bool
	putBefore := e.puts
	e.onStageGet = func(index, puts, sincePut int) {
		if puts < putBefore+chunkCount || index != frozenAt || sincePut != frozenAt+1 || frozen.Swap(true) {
			return
		}
		loader.signal(syscall.SIGSTOP)
		go func() {
			time.Sleep(200 * time.Millisecond)
			e.rot(rotten)
			time.Sleep(freezeTime - 200*time.Millisecond)
			loader.signal(syscall.SIGCONT)
		}()
	}
}
