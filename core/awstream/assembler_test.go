package awstream

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func tokenFrame(number uint64, token uint32, digest string) Frame {
	return Frame{Number: number, FirstToken: token, Tokens: 1, Data: []byte(fmt.Sprintf("%d ", token)), Digest: digest}
}

// Checks the WholeAnswer property with reordered, duplicated and lost frames: the
// delivered text is always a prefix of the response, and complete if End
// returns no error.
func TestAssemblerDeliversInOrder(t *testing.T) {
	const tokens = 40
	var want strings.Builder
	for i := range tokens {
		fmt.Fprintf(&want, "%d ", i)
	}
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		a := NewAssembler(1 << 10)
		var got strings.Builder
		for done := false; !done; {
			require.NoError(t, a.Begin("d"))
			from := a.NextToken()
			var frames []Frame
			for i := from; i < tokens; i++ {
				frames = append(frames, tokenFrame(uint64(i-from), i, "d"))
			}
			if cutAt := rng.IntN(len(frames) + 1); cutAt < len(frames) {
				frames = frames[:cutAt]
			} else {
				done = true
			}
			sent := append([]Frame(nil), frames...)
			for range len(frames) / 3 {
				sent = append(sent, frames[rng.IntN(len(frames))]) // duplicates
			}
			rng.Shuffle(len(sent), func(i, j int) { sent[i], sent[j] = sent[j], sent[i] })
			for _, f := range sent {
				require.NoError(t, a.Add(f, func(f Frame) error {
					got.Write(f.Data)
					return nil
				}))
			}
			require.True(t, strings.HasPrefix(want.String(), got.String()))
			if done {
				require.NoError(t, a.End(uint64(len(frames)), tokens))
			} else {
				require.Error(t, a.End(uint64(tokens-from), tokens))
			}
		}
		require.Equal(t, want.String(), got.String())
	}
}

// Checks the WholeAnswer and NoMixedWeights properties for each fault of a stream.
func TestAssemblerFaults(t *testing.T) {
	discard := func(Frame) error { return nil }
	for _, tc := range []struct {
		name string
		run  func(a *Assembler) error
		want Fault
	}{
		{"other weights in a frame", func(a *Assembler) error { return a.Add(tokenFrame(1, 1, "e"), discard) }, FaultIdentity},
		{"other weights on resume", func(a *Assembler) error { return a.Begin("e") }, FaultIdentity},
		{"token skipped", func(a *Assembler) error { return a.Add(tokenFrame(1, 2, "d"), discard) }, FaultGap},
		{"frame missing at the end", func(a *Assembler) error { return a.End(2, 2) }, FaultGap},
		{"token missing at the end", func(a *Assembler) error { return a.End(1, 2) }, FaultGap},
		{"partly delivered frame", func(a *Assembler) error {
			return a.Add(Frame{Number: 1, FirstToken: 0, Tokens: 2, Digest: "d"}, discard)
		}, FaultOverlap},
		{"too much out of order", func(a *Assembler) error {
			return a.Add(Frame{Number: 5, FirstToken: 5, Tokens: 1, Data: make([]byte, 101), Digest: "d"}, discard)
		}, FaultWindow},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := NewAssembler(100)
			require.NoError(t, a.Begin("d"))
			require.NoError(t, a.Add(tokenFrame(0, 0, "d"), discard))
			var fault *Error
			require.ErrorAs(t, tc.run(a), &fault)
			require.Equal(t, tc.want, fault.Fault)
		})
	}
	a := NewAssembler(100)
	require.NoError(t, a.Begin("d"))
	a.Reset()
	require.NoError(t, a.Begin("e"), "other weights are allowed before any token is delivered")
}
