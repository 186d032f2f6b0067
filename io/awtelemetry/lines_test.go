package awtelemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// stuck is a reader of logs that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// Guards against requests that wait for a reader of the log, and against
// lines that are lost when it reads.
func TestLinesNeverBlock(t *testing.T) {
	w := &stuck{release: make(chan struct{})}
	l := NewLines(w)
	before := l.dropped.Get()
	for range 3 * lineQueue {
		n, err := l.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	dropped := l.dropped.Get() - before
	require.Positive(t, dropped)
	close(w.release)
	l.Close()
	require.Equal(t, 3*lineQueue, int(dropped)+strings.Count(w.got.String(), "line\n"))
}
