package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt, and counts the runs of
// each client attempt.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	runs    map[string]int    // by attempt
	last    map[string]string // by attempt: server that ran it last
}

func newRecord(dir string) (*record, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now(), runs: map[string]int{}, last: map[string]string{}}, nil
}

// note adds a line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

// line adds a line; mu must be held.
func (r *record) line(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// ran records that a server has begun to work on an attempt with the given body.
func (r *record) ran(server, attempt, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[attempt]++
	r.last[attempt] = server
	r.line("server %s runs %s, %s", server, attempt, body)
}

// runCount returns how often an attempt has run.
func (r *record) runCount(attempt string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[attempt]
}

// ranAt returns the server that ran an attempt last.
func (r *record) ranAt(attempt string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last[attempt]
}

func (r *record) close() { _ = r.file.Close() }
