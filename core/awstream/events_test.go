package awstream

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against passing on an incomplete event when a backend server closes the
// stream in the middle of it, regardless of how the stream is split into reads.
func TestSplitterPassesOnlyCompleteEvents(t *testing.T) {
	const complete = "id: 1\ndata: a\n\nx-version: 2\nid: 2\r\ndata: b\r\n\r\n"
	const incomplete = "id: 3\ndata: c\n"
	rapid.Check(t, func(t *rapid.T) {
		var s Splitter
		var ids []uint64
		passed := ""
		rest := complete + incomplete
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
		require.Equal(t, complete, passed)
		require.Equal(t, []uint64{1, 2}, ids)
		require.Equal(t, len(incomplete), s.Buffered())
	})
}

// Guards against unbounded memory use by an event that never ends.
func TestSplitterLimitsEventSize(t *testing.T) {
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
