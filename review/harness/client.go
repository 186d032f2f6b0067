package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	clientHost = "ledger.example"
	deadline   = time.Second
)

// request is one attempt of a client.
type request struct {
	id       string
	machine  string // to which the client sent it
	key      string
	sent     time.Time
	status   int // 0 if the connection ended without a whole answer
	answered time.Time
	header   http.Header
}

// client sends one request after another over a connection that it keeps.
type client struct {
	w       *world
	gateway *process
	method  string
	path    string
	key     string
	body    []byte
	every   time.Duration // mean time between two requests
	// header holds further headers, and deadline the time that the client waits.
	header   map[string]string
	deadline time.Duration
	http     *http.Client

	mu       sync.Mutex
	requests []*request
}

func (w *world) newClient(gateway *process, method, path, key string, every time.Duration) *client {
	d := &net.Dialer{Timeout: time.Second}
	return &client{
		w: w, gateway: gateway, method: method, path: path, key: key, every: every, deadline: deadline,
		http: &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DialContext: d.DialContext, MaxConnsPerHost: 1, DisableCompression: true}},
	}
}

// run sends requests until ctx ends. After a failure it waits until the gateway
// is in rotation, since the balancer would send a new connection elsewhere.
func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		r := c.send(ctx)
		if r.status == 0 {
			sleep(ctx, 100*time.Millisecond)
			for !c.gateway.inRotation.Load() && ctx.Err() == nil {
				sleep(ctx, 100*time.Millisecond)
			}
		}
		sleep(ctx, time.Duration(rand.Int64N(int64(2*c.every))))
	}
	c.http.CloseIdleConnections()
}

func (c *client) send(ctx context.Context) *request {
	r := &request{id: fmt.Sprintf("%016x", rand.Uint64()), machine: c.gateway.node, key: c.key}
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.gateway.front()+c.path+r.id, bytes.NewReader(c.body))
	if err != nil {
		panic(err)
	}
	req.Host = clientHost
	req.Header.Set("X-Attempt-Id", r.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	for name, value := range c.header {
		req.Header.Set(name, value)
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	c.mu.Lock()
	c.requests = append(c.requests, r)
	c.mu.Unlock()
	r.sent = time.Now()
	resp, err := c.http.Do(req)
	outcome := "no answer"
	if err == nil {
		body, errBody := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err = errBody; err == nil {
			outcome = fmt.Sprintf("%d, %d bytes", resp.StatusCode, len(body))
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.answered = time.Now(); err == nil {
		r.status, r.header = resp.StatusCode, resp.Header
	}
	c.w.record.add("client", "%s %s %s via %s key %q sent at %.4f: %s", r.id, c.method, c.path, r.machine, c.key, c.w.record.since(r.sent), outcome)
	return r
}

// all returns the requests of clients by id.
func all(clients []*client) map[string]request {
	out := map[string]request{}
	for _, c := range clients {
		c.mu.Lock()
		for _, r := range c.requests {
			out[r.id] = *r
		}
		c.mu.Unlock()
	}
	return out
}

// runClients runs clients until the returned function is called.
func runClients(ctx context.Context, clients []*client) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for _, c := range clients {
		running.Go(func() { c.run(ctx) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// Rows of a configuration, as the operator writes them.

func routeRow(name, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": clientHost, "path_prefix": prefix, "kind": kind, "timeout_ms": deadline.Milliseconds(), "slo_ms": 150,
		"priority": 1, "service": service, "attempts": 2, "public": false, "allowed_regions": []string{},
	}
}

func serviceRow(name string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
	}
}

func tenantRow(keys ...string) map[string]any {
	return map[string]any{"name": "kitchen", "api_keys": keys, "priority": 1, "allowed_regions": []string{}}
}

func configRow(version int, routes, services, tenants []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
