package awtelemetry

import (
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// maxQueuedLines is the number of log lines that may wait for a slow writer. It
// covers a few seconds of the output of a busy process.
const maxQueuedLines = 2048

// Lines is an asynchronous writer of log lines that never blocks its callers.
// Lines written while the queue is full are counted and dropped.
type Lines struct {
	queue     chan []byte
	dropped   *metrics.Counter
	stop      chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

// NewLines returns a Lines that writes whole lines to w in the background.
func NewLines(w io.Writer) *Lines {
	l := &Lines{
		queue: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{}),
		dropped: metrics.GetOrCreateCounter("arbutuswind_log_lines_dropped_total"),
	}
	go l.run(w)
	return l
}

// Write implements [io.Writer]. It queues line, which must be one whole line.
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
			l.writeQueued(w, line)
		case <-l.stop:
			l.writeQueued(w, nil)
			return
		}
	}
}

// writeQueued writes batch and all queued lines to w in one call.
func (l *Lines) writeQueued(w io.Writer, batch []byte) {
	for {
		select {
		case line := <-l.queue:
			batch = append(batch, line...)
		default:
			_, _ = w.Write(batch) // a failed write of the log cannot be reported anywhere else
			return
		}
	}
}

// Close writes the queued lines and stops the writer. Lines written later are
// lost.
func (l *Lines) Close() {
	l.closeOnce.Do(func() { close(l.stop) })
	<-l.done
}
