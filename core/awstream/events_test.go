package awstream

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against parts of an event that reach the caller when a backend
// server breaks off in the middle of it, however its bytes are cut.
func TestSplitterPassesWholeEventsOnly(t *testing.T) {
	const whole = "id: 1\ndata: a\n\nx-version: 2\nid: 2\r\ndata: b\r\n\r\n"
	const broken = "id: 3\ndata: c\n"
	rapid.Check(t, func(t *rapid.T) {
		var s Splitter
		var ids []uint64
		passed := ""
		rest := whole + broken
		for rest != "" {
			n := rapid.IntRange(1, len(rest)).Draw(t, "bytes")
			require.NoError(t, s.Write([]byte(rest[:n])))
			rest = rest[n:]
			for {
				e, ok := s.Next()
				if !ok {
					break
				}
				require.True(t, e.HasID)
				ids = append(ids, e.ID)
				passed += string(e.Raw)
			}
		}
		require.Equal(t, whole, passed)
		require.Equal(t, []uint64{1, 2}, ids)
		require.Equal(t, len(broken), s.Buffered())
	})
}

// Guards against an event without an end that fills the memory.
func TestSplitterBoundsOneEvent(t *testing.T) {
	var s Splitter
	chunk := make([]byte, 64<<10)
	var err error
	for range 2 * MaxEventBytes / len(chunk) {
		if err = s.Write(chunk); err != nil {
			break
		}
	}
	require.ErrorIs(t, err, ErrEventTooLong)
}
