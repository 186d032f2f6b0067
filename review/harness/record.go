package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// recorder collects what was sent, answered and run. It is safe for concurrent
// use.
type recorder struct {
	started time.Time

	mu    sync.Mutex
	lines []string
}

// add appends a line with the time since the start.
func (r *recorder) add(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.4f %-8s %s", time.Since(r.started).Seconds(), kind, fmt.Sprintf(format, args...)))
}

// since returns a time as seconds since the start.
func (r *recorder) since(t time.Time) float64 { return t.Sub(r.started).Seconds() }

func (r *recorder) last() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.lines) == 0 {
		return ""
	}
	return r.lines[len(r.lines)-1]
}

func (r *recorder) write(file string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(file, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
