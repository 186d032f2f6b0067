package awtelemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedWriter is a writer whose Write blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

// Guards against callers that block while the log writer is stuck, and against
// lines that are lost without being counted as dropped.
func TestLinesNeverBlock(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	l := NewLines(w)
	before := l.dropped.Get()
	for range 3 * maxQueuedLines {
		n, err := l.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	dropped := l.dropped.Get() - before
	require.Positive(t, dropped)
	close(w.release)
	l.Close()
	require.Equal(t, 3*maxQueuedLines, int(dropped)+strings.Count(w.written.String(), "line\n"))
}
