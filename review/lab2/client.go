package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"
)

// apiKey is the key of the only tenant, and hostName the host of all routes.
const (
	apiKey   = "key-of-tenant-a"
	hostName = "rota.example"
)

// operatorConfig returns a configuration with one route of a plain service.
func operatorConfig(service, kind string) map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-assign", "host": hostName, "path_prefix": "/assign/", "kind": kind, "timeout_ms": 1000, "slo_ms": 150,
			"priority": 2, "service": service, "attempts": 2, "public": false, "can_resume": false, "allowed_regions": []string{},
		}},
		"services": []map[string]any{{"name": service, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "tenant-a", "api_keys": []string{apiKey}, "allowed_regions": []string{}}},
	}
}

// outcome is what a client got for an attempt.
type outcome struct {
	attempt    string
	status     int // 0 if there was no complete answer
	signed     bool
	retryAfter time.Duration
}

// promisesNotRun reports whether the answer promises that the request has not run and
// never will.
func (o outcome) promisesNotRun() bool {
	switch o.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// client sends requests over connections that it keeps.
type client struct {
	rec   *record
	http  *http.Client
	trace *httptrace.ClientTrace // of the requests; may be nil
}

func newClient(rec *record) *client {
	return &client{rec: rec, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 5 * time.Second}}
}

// send sends one request to a gateway and returns what comes back.
func (c *client) send(front, path, attempt, text string) outcome {
	out := outcome{attempt: attempt}
	// The body cannot be read again, so the transport never repeats the request.
	body := io.NopCloser(strings.NewReader(text))
	req, err := http.NewRequest(http.MethodPost, "http://"+front+path, body)
	if err != nil {
		c.rec.note("client cannot send %s: %v", attempt, err)
		return out
	}
	if c.trace != nil {
		req = req.WithContext(httptrace.WithClientTrace(req.Context(), c.trace))
	}
	req.Host = hostName
	req.Header.Set("X-Attempt-Id", attempt)
	req.Header.Set("X-Deadline-Ms", "1000")
	req.Header.Set("Authorization", "Bearer "+apiKey)
	c.rec.note("client sends %s, %s", attempt, text)
	resp, err := c.http.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if err != nil {
		c.rec.note("client gets no answer to %s: %v", attempt, err)
		return out
	}
	out.status, out.signed = resp.StatusCode, resp.Header.Get("X-Response-Signature") != ""
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		out.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	c.rec.note("client gets %d for %s, signed %t", out.status, attempt, out.signed)
	return out
}

// retryDelay is how long a client waits before it sends an order again if the answer
// names no time.
const retryDelay = 100 * time.Millisecond

// order sends one order, and once more, as another attempt, if the answer promises that
// it has not run. It returns all outcomes.
func (c *client) order(mark, front, path string, n int) []outcome {
	text := fmt.Sprintf("order %d", n)
	out := []outcome{c.send(front, path, fmt.Sprintf("%sa%014x", mark, n), text)}
	if out[0].promisesNotRun() {
		time.Sleep(max(out[0].retryAfter, retryDelay))
		out = append(out, c.send(front, path, fmt.Sprintf("%sb%014x", mark, n), text))
	}
	return out
}

// load sends orders at a steady pace for a time, by turns to the gateways, and returns
// all outcomes.
func (c *client) load(fronts []string, path string, perSecond int, length time.Duration) []outcome {
	return c.loadAs("0", fronts, path, perSecond, length)
}

// loadAs is like load; the ids of its attempts begin with a mark.
func (c *client) loadAs(mark string, fronts []string, path string, perSecond int, length time.Duration) []outcome {
	var (
		mu  sync.Mutex
		wg  sync.WaitGroup
		out []outcome
	)
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	total := int(length.Seconds() * float64(perSecond))
	for i := range total {
		<-tick.C
		wg.Add(1)
		go func() {
			defer wg.Done()
			list := c.order(mark, fronts[i%len(fronts)], path, i)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, list...)
		}()
	}
	wg.Wait()
	return out
}
