package awtelemetry

import (
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// lineQueue is the number of log lines that may wait for a slow reader: some
// seconds of a busy process.
const lineQueue = 2048

// Lines is a writer of log lines that never blocks its callers. Lines that
// find the queue full are counted and dropped.
type Lines struct {
	queue   chan []byte
	dropped *metrics.Counter
	stop    chan struct{}
	done    chan struct{}
	closing sync.Once
}

// NewLines returns a writer that passes whole lines on to w.
func NewLines(w io.Writer) *Lines {
	l := &Lines{
		queue: make(chan []byte, lineQueue), stop: make(chan struct{}), done: make(chan struct{}),
		dropped: metrics.GetOrCreateCounter("arbutuswind_log_lines_dropped_total"),
	}
	go l.run(w)
	return l
}

// Write implements [io.Writer] for one line.
func (l *Lines) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.dropped.Inc()
	}
	return len(line), nil
}

func (l *Lines) run(w io.Writer) {
	defer close(l.done)
	for {
		select {
		case line := <-l.queue:
			l.pass(w, line)
		case <-l.stop:
			l.pass(w, nil)
			return
		}
	}
}

// pass writes a line and all that wait behind it with one call.
func (l *Lines) pass(w io.Writer, batch []byte) {
	for {
		select {
		case line := <-l.queue:
			batch = append(batch, line...)
		default:
			_, _ = w.Write(batch) // there is no other place to report a lost log
			return
		}
	}
}

// Close writes what waits. What is written later is lost.
func (l *Lines) Close() {
	l.closing.Do(func() { close(l.stop) })
	<-l.done
}
