package awwatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Shows how long a read may be held open so that a lost notification is noticed
// within three seconds.
func ExampleHoldTime() {
	fmt.Println(HoldTime(3 * time.Second))
	// Output: 1.2s
}

// Guards rules CONFIG and EVAC: a read whose response was lost must be repeated at
// once, while a store that refuses calls, or stays silent, is given time.
func TestLostResponseIsReadAgainAtOnce(t *testing.T) {
	lost := fmt.Errorf("read: %w", ErrSilent)
	require.Zero(t, delayAfter(lost, 1, time.Hour))
	require.Positive(t, delayAfter(lost, 2, time.Hour))
	require.Positive(t, delayAfter(errStoreDown, 1, time.Hour))
}
