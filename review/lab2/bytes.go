package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	modelService = "scribe"
	modelName    = "m0"
	modelSlots   = 16
	// ordinaryClients is the number of ordinary clients, and thinkTime the time between
	// an answer and the next request of each.
	ordinaryClients = 60
	thinkTime       = 100 * time.Millisecond
	// strangeGap is the time between two requests of the client that does not behave.
	strangeGap = 200 * time.Millisecond
	// strangePrefix holds a part whose id is not text in UTF-8.
	strangePrefix = "5c1e07a2:800,\xff\xfe\xfd:250"
)

// answerLost is the dose of an entry of the site file: answer_lost with how "reset",
// share 0.6, x 0.4 and for_s 4.0. Here it is one of three servers, and a smaller x.
var answerLost = windows{on: 4 * time.Second, off: 2 * time.Second, troubled: 1, chance: 0.3}

// twoRoutes returns a configuration with a plain service and a model service.
func twoRoutes() map[string]any {
	cfg := operatorConfig(plainService, "non_idempotent")
	cfg["routes"] = append(cfg["routes"].([]map[string]any), map[string]any{
		"name": "r-draft", "host": hostName, "path_prefix": "/draft/", "kind": "streaming", "timeout_ms": 6000, "slo_ms": 400,
		"priority": 1, "service": modelService, "attempts": 2, "public": false, "sticky": true, "can_resume": true, "gap_aim_ms": 300,
		"allowed_regions": []string{},
	})
	cfg["services"] = append(cfg["services"].([]map[string]any), map[string]any{
		"name": modelService, "health_path": "/health", "max_conns": 434, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 36.0,
		"engine": map[string]any{
			"slots": modelSlots, "models": []map[string]any{{"name": modelName}}, "layers": 16, "chunk_count": 96, "chunk_bytes": 24576,
		},
	})
	return cfg
}

// startServices starts the servers of both services. The plain ones stay sound.
func startServices(l *lab, w *windows) error {
	for i := range plainServers {
		if _, err := newServer(i+1, plainService, l.rec, l.store); err != nil {
			return err
		}
		s, err := newModelServer(100+i, modelService, modelName, modelSlots, l.rec, l.store)
		if err != nil {
			return err
		}
		if l.trouble && i < w.troubled {
			s.setTrouble(func() reply { return reply{lost: w.active() && s.chance(w.chance)} })
		}
	}
	return nil
}

// headerBytes checks LOST while one client sends a prompt prefix that is not text, and
// some answers of a model server are lost.
func headerBytes(l *lab) (int, error) {
	l.store.put("op", "config", twoRoutes())
	w := answerLost
	if err := startServices(l, &w); err != nil {
		return 0, err
	}
	fronts, err := l.startGateways(2)
	if err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	w.begin = time.Now()
	end := w.begin.Add(w.length(5))
	var lost atomic.Int64
	var wg sync.WaitGroup
	for _, g := range l.gateways {
		wg.Add(1)
		go func() { defer wg.Done(); l.keepRunning(g, end) }()
	}
	for n := range ordinaryClients {
		wg.Add(1)
		go func() { defer wg.Done(); lost.Add(int64(l.ordinary(n, fronts[n%len(fronts)], end))) }()
	}
	if l.trouble {
		wg.Add(1)
		go func() { defer wg.Done(); l.strange(fronts, end) }()
	}
	wg.Wait()
	l.rec.note("LOST: %d requests of kept connections ran at a sound server and got no answer; three are allowed", lost.Load())
	return max(0, int(lost.Load())-3), nil
}

// keepRunning starts a gateway again when it ends by itself, as the platform does.
func (l *lab) keepRunning(g *gateway, end time.Time) {
	for time.Now().Before(end) {
		select {
		case <-g.exited:
			l.rec.note("%s has ended by itself: %s", g.name, g.cmd.ProcessState)
			time.Sleep(300 * time.Millisecond)
			if err := g.start(); err != nil {
				l.rec.note("cannot start %s: %v", g.name, err)
				return
			}
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// ordinary sends requests of one client over a kept connection, and returns how many
// were lost.
func (l *lab) ordinary(n int, front string, end time.Time) int {
	c, lost := newClient(l.rec), 0
	for i := 0; time.Now().Before(end); i++ {
		kept := false
		c.trace = &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused }}
		o := c.send(front, "/assign/2f", fmt.Sprintf("c%05x%010x", n, i), fmt.Sprintf("order %d of client %d", i, n))
		if o.status == 0 && kept && l.rec.runCount(o.attempt) > 0 {
			lost++
			l.rec.note("LOST: %s ran at a sound server, and its kept connection ended without an answer", o.attempt)
		}
		time.Sleep(thinkTime)
	}
	return lost
}

// strange sends requests with a prompt prefix that is not text.
func (l *lab) strange(fronts []string, end time.Time) {
	client := http.Client{Timeout: 5 * time.Second}
	for i := 0; time.Now().Before(end); i++ {
		attempt := fmt.Sprintf("d%015x", i)
		req, err := http.NewRequest(http.MethodPost, "http://"+fronts[i%len(fronts)]+"/draft/2f", strings.NewReader("draft"))
		if err != nil {
			return
		}
		req.Host = hostName
		req.Header.Set("X-Attempt-Id", attempt)
		req.Header.Set("X-Deadline-Ms", "6000")
		req.Header.Set("X-Model", modelName)
		req.Header.Set("X-Token-Usage", "1050,80")
		req.Header.Set("X-Prompt-Prefix", strangePrefix)
		req.Header.Set("Authorization", "Bearer "+apiKey)
		l.rec.note("the client that does not behave sends %s with the prompt prefix %q", attempt, strangePrefix)
		if resp, err := client.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			l.rec.note("it gets %d for %s", resp.StatusCode, attempt)
		}
		time.Sleep(strangeGap)
	}
}
