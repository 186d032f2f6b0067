package awevidence_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awevidence"
)

// A process that is paused after its observation must observe again.
func ExampleObservation_Supports() {
	clock := awclock.NewFake(time.Unix(0, 0))
	seen := awevidence.Observation{Began: clock.Now()}
	fmt.Println(seen.Supports(clock.Now(), 2*time.Second))
	clock.Advance(4 * time.Second)
	fmt.Println(seen.Supports(clock.Now(), 2*time.Second))
	// Output:
	// true
	// false
}

// Guards against an act that relies on an observation that was never made.
func TestNoObservationSupportsNothing(t *testing.T) {
	require.False(t, awevidence.Observation{}.Supports(time.Time{}, time.Hour))
}
